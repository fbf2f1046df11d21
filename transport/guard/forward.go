package guard

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/converter"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

const (
	// MaxBufferedBytes is the longest response body that is checked whole before
	// any of it is sent to the router.
	MaxBufferedBytes = 64 << 10
	// chunkBytes is the chunk size for longer bodies.
	chunkBytes = 32 << 10
	// serverErrorStatus is the lowest status that counts as a failure of the server.
	serverErrorStatus = 500
	okStatus          = 200
)

var (
	// ErrMissingHead means that a frame lacks the request head that it must carry.
	ErrMissingHead   = eris.New("stream does not start with a request's head")
	errBodyTruncated = eris.New("request body ended early")
	// errNotReleased means that a router did not release its offered attempt for execution.
	errNotReleased = eris.New("offered attempt was not released in time")
)

// task is the state of one attempt that this guard handles.
type task struct {
	head     *messenger.RequestHead
	id       uint64
	attempt  deduplicator.AttemptID
	deadline clocker.Instant
	// tracked is set if the deduplicator has a record of the attempt.
	tracked bool
	origin  detector.Origin
	service cataloger.Service
	// run is the backend server's run at the time of admission, and runStartedMs the Unix
	// time of its start: a later run may have the same ID.
	run          string
	runStartedMs int64
	// sent is the time at which the request was sent to the backend server.
	sent clocker.Instant
	// cost is the expected service time, 0 if it is not known.
	cost time.Duration
	// bodyBytes is what the attempt's body counts toward the bytes at the server.
	bodyBytes int64
	// memory is what the attempt has reserved.
	memory *reserver.Reservation
	// overdue is set once the breaker was told that the response is overdue.
	overdue bool
	// said is what the backend server said of itself in its answer.
	said witness.Statement
}

// requestInfo returns the values for the header fields sent to the backend server.
func (w *task) requestInfo(now clocker.Instant) interpreter.RequestInfo {
	return interpreter.RequestInfo{
		ID:         w.head.RequestId,
		TimeLeft:   -now.Since(w.deadline),
		DeadlineMs: w.deadline.UnixMilli(),
		Instance:   w.run,
		Origin:     w.head.Origin,
		Customer:   w.head.Customer,
	}
}

// refusal is the reply to an attempt that is not sent to the backend server, or
// that the server itself refused.
type refusal struct {
	outcome answerer.Outcome
	reason  string
	// answer is the stored answer of an earlier attempt with the same key, if there is one.
	answer *deduplicator.Answer
	// fromServer is set if the backend server itself refused the request.
	fromServer bool
	// retryFunded is set if a retry token was taken for the next attempt.
	retryFunded bool
	// retryAfter is the time after which a slot is expected to be free, 0 if unknown.
	retryAfter time.Duration
	// said is what the backend server said of itself when it refused the request.
	said witness.Statement
}

// busy reports whether the attempt was refused for lack of a slot.
func (r refusal) busy() bool {
	switch r.reason {
	case reasonBusy, reasonQueueTimeout, reasonDisplaced, reserver.ReasonServerBytes, reserver.ReasonRefused:
		return true
	}
	return false
}

// Forward handles one attempt: it admits the request, sends it to the backend
// server and streams the response back.
func (g *Guard) Forward(stream messenger.DRPCGuard_ForwardStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receiving a request's head: %w", err)
	}
	head := frame.GetRequest()
	if head == nil || len(head.Attempt) != len(deduplicator.AttemptID{}) {
		return ErrMissingHead
	}
	budget := time.Duration(head.BudgetUs) * time.Microsecond
	ctx, cancel := context.WithTimeout(stream.Context(), budget)
	defer cancel()
	g.learnStatement(head)
	g.beginWork(head)
	defer g.endWork(head)
	work, refused := g.admit(ctx, stream, head, budget)
	if refused != nil {
		return g.refuse(stream, head, *refused)
	}
	defer g.releaseSlot(work)
	if refused := g.reserveBody(work); refused != nil {
		return g.refuse(stream, head, *refused)
	}
	defer g.releaseBody(work)
	body := &upload{stream: stream, remaining: head.BodyLength, ended: !head.BodyFollows && !head.Offer}
	defer body.drain()
	if err := g.awaitRelease(stream, work, body); err != nil {
		return err
	}
	return g.dispatch(ctx, stream, work, body)
}

func (g *Guard) refuse(stream messenger.DRPCGuard_ForwardStream, head *messenger.RequestHead, refused refusal) error {
	g.deps.Log.Info("Refused", "Request", head.RequestId, "Service", head.Service,
		"Outcome", refused.outcome.String(), "Reason", refused.reason, "Insist", head.Insist)
	if refused.answer != nil {
		return g.sendStoredAnswer(stream, refused.answer)
	}
	outcome := refused.outcome
	if outcome == answerer.OutcomeNotRun && !head.Idempotent {
		outcome = g.fence(head)
	}
	inFlight, waiting := g.Load()
	avoid, avoidNonIdempotent := g.Avoidance()
	if refused.reason == reasonLimited {
		wait := g.limitWait()
		avoid, avoidNonIdempotent = max(avoid, wait), max(avoidNonIdempotent, wait)
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome:  uint32(outcome),
		Reason:   refused.reason,
		Leaving:  refused.reason == reasonLeaving,
		Ejected:  refused.reason == reasonEjected,
		Doubtful: refused.reason == reasonDoubtful,
		Unfunded: refused.reason == reasonNoBudget,
		Busy:     refused.busy(),
		Load:     uint32(max(0, inFlight+waiting)),
		Arrived:  refused.fromServer,
		WorkUs:   g.workLeftWithout(head).Microseconds(),

		RetryFunded:          refused.retryFunded,
		RetryAfterMs:         uint32(min(refused.retryAfter.Milliseconds(), math.MaxUint32)),
		AvoidMs:              uint32(avoid.Milliseconds()),
		AvoidNonIdempotentMs: uint32(avoidNonIdempotent.Milliseconds()),
		Statement:            converter.StatementToProto(refused.said),
	}}})
}

// fence records a tombstone for a refused attempt, so that a late copy of it never
// runs. Without a tombstone the outcome is unknown.
func (g *Guard) fence(head *messenger.RequestHead) answerer.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deduplicator.Fence(g.deps.Now(), deduplicator.AttemptID(head.Attempt)) {
		return answerer.OutcomeNotRun
	}
	return answerer.OutcomeUnknown
}

func (g *Guard) sendStoredAnswer(stream messenger.DRPCGuard_ForwardStream, answer *deduplicator.Answer) error {
	head := &messenger.AnswerHead{
		Status:         uint32(answer.Status),
		Length:         int64(len(answer.Body)),
		RepeatedAnswer: true,
		Statement:      converter.StatementToProto(witness.Statement{Departure: answer.Departure}),
	}
	for _, field := range answer.Headers {
		head.Headers = append(head.Headers, &messenger.Header{Name: field.Name, Value: field.Value})
	}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Answer{Answer: head}}); err != nil {
		return err
	}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Data{Data: answer.Body}}); err != nil {
		return err
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
}

func send(stream messenger.DRPCGuard_ForwardStream, frame *messenger.Frame) error {
	if err := stream.Send(frame); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	return nil
}

// dispatch sends the request to the backend server and streams the response back.
func (g *Guard) dispatch(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, body *upload,
) error {
	request := &protocol.Request{}
	g.buildRequest(request, work, body)
	if !g.mayDispatch(work) {
		return g.sendUnknown(stream, "InvariantBroken", false)
	}
	began := g.deps.Now()
	var info interpreter.AnswerInfo
	inspect := func(header *protocol.ResponseHeader) (bool, time.Duration) {
		info = g.deps.Servers.Inspect(header, work.requestInfo(began))
		return info.IDMismatch, info.IdleTimeout
	}
	exchange, err := g.forwarder.Send(ctx, request, inspect, func() { g.recordDispatch(work) })
	if err != nil {
		return g.handleFailure(ctx, stream, work, err)
	}
	defer exchange.Close()
	g.recordStatements(work, info)
	if info.NotRun {
		return g.handleNotRun(stream, work, exchange, info)
	}
	return g.forwardResponse(ctx, stream, work, exchange, info)
}

func (g *Guard) buildRequest(request *protocol.Request, work *task, body *upload) {
	head := work.head
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(head.Method)
	request.Header.SetRequestURI(head.Uri)
	for _, header := range head.Headers {
		if strings.EqualFold(header.Name, "Host") {
			request.Header.SetHost(header.Value)
			continue
		}
		request.Header.Add(header.Name, header.Value)
	}
	g.deps.Servers.Annotate(&request.Header, work.requestInfo(g.deps.Now()))
	switch {
	case !head.BodyFollows:
		request.SetBody(head.Body)
	case head.BodyLength != 0:
		request.SetBodyStream(body, int(head.BodyLength))
	}
}

// mayDispatch reports whether the deduplicator still allows the attempt to run. It
// asserts the invariant that a non-idempotent attempt runs at most once.
func (g *Guard) mayDispatch(work *task) bool {
	if !work.tracked {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.deduplicator.MayDispatch(work.attempt, work.head.Key) {
		return true
	}
	g.deps.Log.Error("InvariantBroken", "Invariant", "RunsAtMostOnce",
		"Request", work.head.RequestId, "Key", work.head.Key)
	return false
}

// recordDispatch is called when the request is on its way to the backend server.
func (g *Guard) recordDispatch(work *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work.sent = g.deps.Now()
	g.running[work.id] = work
	g.startWork(work)
	g.controller.Detector().StartNormalized(work.sent, work.id, g.typical.Time(work.head.Route))
	g.deps.Log.Info("Dispatched", "Request", work.head.RequestId, "Service", work.head.Service, "Run", work.run,
		"StartedMs", work.runStartedMs, "Rank", work.head.Rank, "Earlier", work.head.Earlier,
		"InFlight", g.admitter.Limiter.InFlight(),
		"Waiting", g.admitter.Limiter.Waiting(), "LeftMs", -work.sent.Since(work.deadline).Milliseconds())
}
