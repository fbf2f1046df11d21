package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

var errUnframed = eris.New("guard sent an unexpected frame")

// exchange speaks with the guard and fills in how the attempt went. An attempt
// that was offered and not released has not run and never will.
func (r *Router) exchange(ctx context.Context, request *call, outcome *result, insist bool) {
	ctx, silence := context.WithCancel(ctx)
	outcome.cancel = joined(outcome.cancel, silence)
	watch := time.AfterFunc(admissionTimeout, silence)
	defer watch.Stop()
	outcome.kind = resultLost
	r.converse(ctx, request, outcome, insist, watch)
	if outcome.kind == resultLost && !outcome.released {
		outcome.kind = resultRefused
	}
}

func joined(first, second context.CancelFunc) context.CancelFunc {
	return func() {
		first()
		second()
	}
}

func (r *Router) converse(ctx context.Context, request *call, outcome *result, insist bool, watch *time.Timer) {
	stream, err := r.deps.GuardClient(ctx, outcome.entry.Member.Address).Forward(ctx)
	if err != nil {
		outcome.reason = "Connect"
		return
	}
	outcome.stream = stream
	head := r.requestHead(request, outcome, insist)
	outcome.released = !head.Offer
	if err := stream.Send(&messenger.Frame{Part: &messenger.Frame_Request{Request: head}}); err != nil {
		outcome.reason = "Send"
		return
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			outcome.reason = "Receive"
			return
		}
		watch.Stop()
		outcome.heard = true
		if verdict := frame.GetVerdict(); verdict != nil {
			if verdict.Admitted {
				r.release(request, outcome, head)
				continue
			}
			if verdict.Queued {
				continue
			}
			outcome.take(verdict)
			return
		}
		if answer := frame.GetAnswer(); answer != nil {
			outcome.head = answer
			outcome.readFirst()
			return
		}
		outcome.reason = errUnframed.Error()
		return
	}
}

func (r *Router) requestHead(request *call, outcome *result, insist bool) *messenger.RequestHead {
	left := -r.deps.Now().Since(request.deadline())
	head := &messenger.RequestHead{
		Attempt:     outcome.attempt[:],
		Incarnation: outcome.entry.Member.Incarnation,
		Key:         request.key,
		Idempotent:  request.idempotent,
		IssuedMs:    outcome.issued,
		BudgetUs:    left.Microseconds(),
		Method:      request.method,
		Uri:         request.uri,
		BodyLength:  request.length,
		Service:     request.service.Name,
		Caller:      request.caller,
		Route:       request.routeHash,
		RequestId:   request.id,
		Origin:      r.deps.Origin(),
		Rank:        request.rank(),
		HoldUs:      max(0, request.hold()-r.deps.Now().Since(request.began)).Microseconds(),
		Insist:      insist,
		Earlier:     uint32(request.arrivals),
		Derived:     float32(request.derived),
		Offer:       true,
	}
	if !head.Offer {
		r.fill(request, head)
	}
	return head
}

// fill adds what a guard needs to run the attempt, with the body if it is short.
func (r *Router) fill(request *call, head *messenger.RequestHead) {
	head.Headers = request.headers
	head.BodyFollows = request.long != nil || len(request.body) > inlineBodyBytes
	if !head.BodyFollows {
		head.Body = request.body
	}
}

// release sends what the guard waits for after it has admitted the attempt. A
// failure ends the stream, which the guard sees.
func (r *Router) release(request *call, outcome *result, head *messenger.RequestHead) {
	outcome.released = true
	if head.Offer {
		r.fill(request, head)
		rest := &messenger.RequestHead{Headers: head.Headers, Body: head.Body, BodyFollows: head.BodyFollows}
		if err := outcome.stream.Send(&messenger.Frame{Part: &messenger.Frame_Request{Request: rest}}); err != nil {
			r.deps.Log.Info("ReleaseBroken", "Request", request.id, "Error", err)
			return
		}
	}
	if !head.BodyFollows {
		return
	}
	var err error
	if request.long != nil {
		outcome.touched = true
		err = copyBody(outcome.stream, request.long)
	} else {
		err = sendBody(outcome.stream, request.body)
	}
	if err != nil {
		r.deps.Log.Info("UploadBroken", "Request", request.id, "Error", err)
		if outcome.touched {
			outcome.cancel()
		}
	}
}

func sendBody(stream messenger.DRPCGuard_ForwardClient, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		data := &messenger.Frame{Part: &messenger.Frame_Data{Data: body[:n]}}
		if err := stream.Send(data); err != nil {
			return fmt.Errorf("sending the body: %w", err)
		}
		body = body[n:]
	}
	return endBody(stream)
}

func copyBody(stream messenger.DRPCGuard_ForwardClient, body io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			data := &messenger.Frame{Part: &messenger.Frame_Data{Data: buffer[:n]}}
			if sendErr := stream.Send(data); sendErr != nil {
				return fmt.Errorf("sending the body: %w", sendErr)
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return endBody(stream)
		}
		if err != nil {
			return fmt.Errorf("reading the caller's body: %w", err)
		}
	}
}

func endBody(stream messenger.DRPCGuard_ForwardClient) error {
	if err := stream.Send(&messenger.Frame{Part: &messenger.Frame_End{End: true}}); err != nil {
		return fmt.Errorf("ending the body: %w", err)
	}
	return nil
}
