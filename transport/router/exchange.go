package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

// forward runs the attempt's Forward stream and sets the outcome. An attempt that
// was offered but not released did not run and never will.
func (r *Router) forward(ctx context.Context, request *callerRequest, outcome *result, insist bool) {
	ctx, cancelStream := context.WithCancel(ctx)
	outcome.cancel = joinCancels(outcome.cancel, cancelStream)
	admissionTimer := time.AfterFunc(admissionTimeout, cancelStream)
	defer admissionTimer.Stop()
	outcome.kind = resultLost
	r.runStream(ctx, request, outcome, insist, admissionTimer)
	if outcome.kind == resultLost && !outcome.released {
		outcome.kind = resultRefused
	}
}

func joinCancels(first, second context.CancelFunc) context.CancelFunc {
	return func() {
		first()
		second()
	}
}

func (r *Router) runStream(
	ctx context.Context, request *callerRequest, outcome *result, insist bool, admissionTimer *time.Timer,
) {
	stream, err := r.deps.GuardClient(ctx, outcome.entry.Member.Address).Forward(ctx)
	if err != nil {
		outcome.reason = "Connect"
		return
	}
	outcome.stream = stream
	head := r.requestHead(request, outcome, insist)
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
		admissionTimer.Stop()
		if !outcome.responded {
			r.deps.Statements.RecordTold(outcome.entry.Member, outcome.told, "Way", "Request", "Request", request.id)
		}
		outcome.responded = true
		if verdict := frame.GetVerdict(); verdict != nil {
			if verdict.Admitted {
				r.release(request, outcome)
				continue
			}
			if verdict.Queued {
				continue
			}
			r.deps.Statements.Hear(outcome.entry.Member, converter.StatementFromProto(verdict.Statement),
				"Way", "Refusal", "Request", request.id)
			outcome.applyVerdict(verdict)
			return
		}
		if answer := frame.GetAnswer(); answer != nil {
			r.hearAnswer(request, outcome, answer)
			outcome.head = answer
			r.readAnswer(request, outcome)
			return
		}
		outcome.reason = "UnexpectedFrame"
		return
	}
}

// hearAnswer records what a server says of itself in an answer, also if the caller is gone or
// another attempt has won. A stored answer does not tell what the server takes now.
func (r *Router) hearAnswer(request *callerRequest, outcome *result, answer *messenger.AnswerHead) {
	said := converter.StatementFromProto(answer.Statement)
	if answer.RepeatedAnswer {
		r.deps.Statements.Hear(outcome.entry.Member, said, "Way", "StoredAnswer", "Request", request.id)
		return
	}
	r.deps.Statements.HearAnswer(outcome.entry.Member, said, "Way", "Answer", "Request", request.id)
}

// readAnswer reads the first bytes of an answer. A request whose answer there is no memory
// for has run, or may have.
func (r *Router) readAnswer(request *callerRequest, outcome *result) {
	if err := checkAnswerHead(outcome.head); err != nil {
		r.deps.Log.Info("AnswerRefused", "Request", request.id, "Server", outcome.entry.Member.Address, "Error", err)
		outcome.kind, outcome.reason = resultUnknown, reasonMalformedAnswer
		return
	}
	outcome.body.length = outcome.head.Length
	if request.reserveAnswer != nil && !request.reserveAnswer(answerBytes(outcome.head.Length)) {
		outcome.kind, outcome.reason = resultUnknown, "NoMemoryForAnswer"
		return
	}
	outcome.readBodyPrefix()
}

// answerBytes returns the memory of an answer of the given length, -1 if it is not known: the
// bytes read ahead, and for a streamed one the frames in transit and the kernel's buffers.
func answerBytes(length int64) int64 {
	if length >= 0 && length <= bodyPrefixBytes {
		return length
	}
	return bodyPrefixBytes + streamWindowBytes
}

// streamWindowBytes is the memory of a streamed answer beyond the bytes read ahead.
const streamWindowBytes = 192 << 10

func (r *Router) requestHead(request *callerRequest, outcome *result, insist bool) *messenger.RequestHead {
	remaining := -r.deps.Now().Since(request.deadline())
	return &messenger.RequestHead{
		Attempt:     outcome.attemptID[:],
		Incarnation: outcome.entry.Member.Incarnation,
		Key:         request.key,
		Idempotent:  request.idempotent,
		IssuedMs:    outcome.issuedMs,
		BudgetUs:    remaining.Microseconds(),
		BodyLength:  request.bodyLength,
		Service:     request.service.Name,
		Caller:      request.callerHash,
		Route:       request.routeHash,
		RequestId:   request.id,
		Origin:      r.deps.Origin(),
		Customer:    request.customer.Name,
		Rank:        request.rank(),
		HoldUs:      max(0, request.maxQueueWait()-request.queueWait(r.deps.Now())).Microseconds(),
		Insist:      insist,
		Earlier:     uint32(request.arrivals),
		Derived:     float32(request.parentRetryProbability),
		Offer:       true,
		Funded:      request.funded,
		Retryable:   request.arrivals+1 < request.maxArrivals(),
		CostUs:      outcome.expected.Microseconds(),
		Statement:   converter.StatementToProto(outcome.told),
	}
}

// release lets a guard that has admitted the attempt run it, and sends what it needs for
// that: method, target, header fields and body. Errors are only logged: a broken stream
// ends the attempt at the guard as well.
func (r *Router) release(request *callerRequest, outcome *result) {
	outcome.released = true
	rest := &messenger.RequestHead{
		Method:      request.method,
		Uri:         request.uri,
		Headers:     request.headers,
		BodyFollows: request.bodyStream != nil || len(request.body) > inlineBodyBytes,
	}
	if !rest.BodyFollows {
		rest.Body = request.body
	}
	if err := outcome.stream.Send(&messenger.Frame{Part: &messenger.Frame_Request{Request: rest}}); err != nil {
		r.deps.Log.Info("ReleaseBroken", "Request", request.id, "Error", err)
		return
	}
	if !rest.BodyFollows {
		return
	}
	var err error
	if request.bodyStream != nil {
		outcome.bodyConsumed = true
		err = copyBody(outcome.stream, request.bodyStream)
	} else {
		err = sendBody(outcome.stream, request.body)
	}
	if err != nil {
		r.deps.Log.Info("UploadBroken", "Request", request.id, "Error", err)
		if outcome.bodyConsumed {
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
