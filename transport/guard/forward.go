package guard

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

const (
	// MaxBufferedBytes is the longest answer that is checked whole before any of it is passed on.
	MaxBufferedBytes = 64 << 10
	// chunkBytes is the size of the pieces of longer bodies.
	chunkBytes = 32 << 10
	// serverErrorStatus is the least status that counts as a bad answer.
	serverErrorStatus = 500
	okStatus          = 200
)

// Errors of forwarded requests.
var (
	ErrMissingHead   = eris.New("stream does not start with a request's head")
	errBodyTruncated = eris.New("request body ended early")
	// errNotReleased means that a router did not release an attempt that it had offered.
	errNotReleased = eris.New("offered attempt was not released in time")
)

// task is one attempt at this guard.
type task struct {
	head     *messenger.RequestHead
	id       uint64
	attempt  deduplicator.AttemptID
	deadline clocker.Instant
	// tracked is set if the attempt stands in the deduplicator's memory.
	tracked bool
	origin  detector.Origin
	service cataloger.Service
	// run is that of the backend server at the task's start.
	run string
	// sent is when the request was handed to the backend server.
	sent clocker.Instant
	// overdue is set once the answer has taken much longer than is usual.
	overdue bool
}

// requestInfo is what the backend server is told of the attempt.
func (w *task) requestInfo(now clocker.Instant) interpreter.RequestInfo {
	return interpreter.RequestInfo{
		ID:         w.head.RequestId,
		TimeLeft:   -now.Since(w.deadline),
		DeadlineMs: w.deadline.UnixMilli(),
		Instance:   w.run,
		Origin:     w.head.Origin,
	}
}

// refusal is a truthful word that an attempt has not run, or the word on its key.
type refusal struct {
	outcome answerer.Outcome
	reason  string
	// answer is the kept answer of the same key, if there is one.
	answer *deduplicator.Answer
	// fromServer is set if the backend server itself refused.
	fromServer bool
}

// Forward carries one attempt.
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
	work, refused := g.admit(ctx, stream, head, budget)
	if refused != nil {
		return g.refuse(stream, head, *refused)
	}
	defer g.releaseSlot()
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
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome:  uint32(outcome),
		Reason:   refused.reason,
		Leaving:  refused.reason == reasonLeaving,
		Ejected:  refused.reason == reasonEjected,
		Doubtful: refused.reason == reasonDoubtful,
		Unfunded: refused.reason == reasonNoBudget,
		Busy:     refused.reason == reasonBusy || refused.reason == reasonQueueTimeout,
		Load:     uint32(max(0, inFlight+waiting)),
		Arrived:  refused.fromServer,
	}}})
}

// fence puts a tombstone on a refused attempt. Without one the outcome stays unknown.
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

// dispatch hands the request to the backend server and streams the answer back.
func (g *Guard) dispatch(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, body *upload,
) error {
	request := &protocol.Request{}
	g.buildRequest(request, work, body)
	if !g.mayDispatch(work) {
		return g.sendUnknown(stream, "InvariantBroken")
	}
	began := g.deps.Now()
	var info interpreter.AnswerInfo
	judge := func(header *protocol.ResponseHeader) (bool, time.Duration) {
		info = g.deps.Servers.Inspect(header, work.requestInfo(began))
		return info.IDMismatch, info.IdleTimeout
	}
	exchange, err := g.deliverer.Send(ctx, request, judge, func() { g.recordDispatch(work) })
	if err != nil {
		return g.handleFailure(ctx, stream, work, err)
	}
	defer exchange.Close()
	if info.NotRun {
		return g.handleNotRun(stream, work, exchange, info)
	}
	return g.forwardAnswer(ctx, stream, work, exchange, info)
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

// mayDispatch asserts that the memory allows this attempt to run now.
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

func (g *Guard) recordDispatch(work *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work.sent = g.deps.Now()
	g.running[work.id] = work
	g.controller.Detector().StartNormalized(work.sent, work.id, g.typical.Time(work.head.Route))
	g.deps.Log.Info("Dispatched", "Request", work.head.RequestId, "Service", work.head.Service, "Run", work.run,
		"Rank", work.head.Rank, "Earlier", work.head.Earlier, "InFlight", g.limiter.InFlight(),
		"Waiting", g.limiter.Waiting(), "LeftMs", -work.sent.Since(work.deadline).Milliseconds())
}
