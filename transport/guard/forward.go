package guard

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/dispatcher"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/deliverer"
)

const (
	// ShortBodyBytes is the longest body that travels in one piece with its head.
	ShortBodyBytes = 64 << 10
	// chunkBytes is the size of the pieces of longer bodies.
	chunkBytes = 32 << 10
	// serverErrorStatus is the least status that counts as a bad answer.
	serverErrorStatus = 500
	okStatus          = 200
)

// Errors of forwarded requests.
var (
	ErrProtocol = eris.New("stream does not start with a request's head")
	errCutShort = eris.New("request body ended early")
)

// task is one attempt at this guard.
type task struct {
	head     *messenger.RequestHead
	id       uint64
	attempt  dispatcher.AttemptID
	deadline clocker.Instant
	// remembered is set if the attempt stands in the dispatcher's memory.
	remembered bool
	origin     detector.Origin
	service    cataloger.Service
}

// refusal is a truthful word that an attempt has not run, or the word on its key.
type refusal struct {
	outcome answerer.Outcome
	reason  string
	// answer is the kept answer of the same key, if there is one.
	answer *dispatcher.Answer
}

// Forward carries one attempt.
func (g *Guard) Forward(stream messenger.DRPCGuard_ForwardStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receiving a request's head: %w", err)
	}
	head := frame.GetRequest()
	if head == nil || len(head.Attempt) != len(dispatcher.AttemptID{}) {
		return ErrProtocol
	}
	budget := time.Duration(head.BudgetUs) * time.Microsecond
	ctx, cancel := context.WithTimeout(stream.Context(), budget)
	defer cancel()
	work, refused := g.admit(ctx, head, budget)
	if refused != nil {
		return g.refuse(stream, head, *refused)
	}
	defer g.release()
	return g.run(ctx, stream, work)
}

// admit rules on the attempt and waits until it holds a slot.
func (g *Guard) admit(ctx context.Context, head *messenger.RequestHead, budget time.Duration) (*task, *refusal) {
	g.mu.Lock()
	work, decision, refused := g.enter(head, budget)
	if refused != nil {
		g.mu.Unlock()
		return nil, refused
	}
	if decision == limiter.Started {
		g.active++
		g.mu.Unlock()
		return work, nil
	}
	started := make(chan bool, 1)
	g.waiters[work.id] = started
	g.mu.Unlock()
	return g.wait(ctx, work, started)
}

func (g *Guard) enter(head *messenger.RequestHead, budget time.Duration) (*task, limiter.Decision, *refusal) {
	now := g.deps.Now()
	if head.Incarnation != g.deps.Incarnation {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: "OtherIncarnation"}
	}
	if !g.controller.Present() || head.Service != g.service.Name {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: "OtherService"}
	}
	g.nextID++
	work := &task{
		head:       head,
		id:         g.nextID,
		deadline:   now.Add(budget),
		remembered: !head.Idempotent,
		origin:     detector.Origin{Caller: head.Caller, Route: head.Route},
		service:    g.service,
	}
	copy(work.attempt[:], head.Attempt)
	if refused := g.rule(now, work); refused != nil {
		return nil, 0, refused
	}
	reason := g.closedReason()
	if reason == "" {
		decision := g.limiter.Admit(now, work.id, work.deadline)
		if decision == limiter.Started || decision == limiter.Queued {
			return work, decision, nil
		}
		reason = decision.String()
	}
	g.withdraw(work)
	return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: reason}
}

// rule consults the memory of attempts and keys.
func (g *Guard) rule(now clocker.Instant, work *task) *refusal {
	if !work.remembered {
		return nil
	}
	ruling, answer := g.dispatcher.Begin(now, work.attempt, work.head.Key, work.head.IssuedMs)
	switch ruling {
	case dispatcher.RulingRun:
		return nil
	case dispatcher.RulingRepeat:
		return &refusal{outcome: answerer.OutcomeAnswered, reason: ruling.String(), answer: answer}
	case dispatcher.RulingRan:
		return &refusal{outcome: answerer.OutcomeRan, reason: ruling.String()}
	case dispatcher.RulingRunning, dispatcher.RulingDuplicate:
		return &refusal{outcome: answerer.OutcomeUnknown, reason: ruling.String()}
	default:
		return &refusal{outcome: answerer.OutcomeNotRun, reason: ruling.String()}
	}
}

func (g *Guard) closedReason() string {
	switch g.controller.State() {
	case registrar.StateEjected:
		return "Ejected"
	case registrar.StateLeaving, registrar.StateGone:
		return "Leaving"
	default:
		return ""
	}
}

func (g *Guard) withdraw(work *task) {
	if work.remembered {
		g.dispatcher.Withdraw(work.attempt, work.head.Key)
	}
}

func (g *Guard) wait(ctx context.Context, work *task, started chan bool) (*task, *refusal) {
	select {
	case ok := <-started:
		if ok {
			return work, nil
		}
	case <-ctx.Done():
		if g.abandon(work, started) {
			break
		}
		g.release()
	}
	g.mu.Lock()
	g.withdraw(work)
	g.mu.Unlock()
	return nil, &refusal{outcome: answerer.OutcomeNotRun, reason: "QueueTimeout"}
}

// abandon takes a waiting request out of the queue. It returns false if the
// request was started in the meantime and holds a slot.
func (g *Guard) abandon(work *task, started chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waiting := g.waiters[work.id]; waiting {
		delete(g.waiters, work.id)
		g.limiter.Remove(work.id)
		return true
	}
	return !<-started
}

// wake tells a waiting request whether it starts. The lock is held.
func (g *Guard) wake(id uint64, start bool) {
	waiter, ok := g.waiters[id]
	if !ok {
		return
	}
	delete(g.waiters, id)
	if start {
		g.active++
	}
	waiter <- start
}

// release frees the slot and starts waiting requests.
func (g *Guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	started, refused := g.limiter.Release(g.deps.Now())
	for _, id := range refused {
		g.wake(id, false)
	}
	for _, id := range started {
		g.wake(id, true)
	}
}

func (g *Guard) refuse(stream messenger.DRPCGuard_ForwardStream, head *messenger.RequestHead, refused refusal) error {
	g.deps.Log.Info("Refused", "Request", fmt.Sprintf("%x", head.Attempt), "Service", head.Service,
		"Outcome", refused.outcome.String(), "Reason", refused.reason)
	if refused.answer != nil {
		return g.sendKept(stream, refused.answer)
	}
	outcome := refused.outcome
	if outcome == answerer.OutcomeNotRun && !head.Idempotent {
		outcome = g.fenced(head)
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome: uint32(outcome),
		Reason:  refused.reason,
		Leaving: refused.reason == "Leaving",
		Ejected: refused.reason == "Ejected",
	}}})
}

// fenced puts a tombstone on a refused attempt. Without one the outcome stays unknown.
func (g *Guard) fenced(head *messenger.RequestHead) answerer.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dispatcher.Fence(g.deps.Now(), dispatcher.AttemptID(head.Attempt)) {
		return answerer.OutcomeNotRun
	}
	return answerer.OutcomeUnknown
}

func (g *Guard) sendKept(stream messenger.DRPCGuard_ForwardStream, answer *dispatcher.Answer) error {
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

// run hands the request to the backend server and streams the answer back.
func (g *Guard) run(ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task) error {
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	body := &upload{stream: stream, left: work.head.BodyLength, ended: !work.head.BodyFollows}
	defer body.drain()
	if err := g.fill(request, stream, work, body); err != nil {
		return err
	}
	if !g.mayDispatch(work) {
		return g.unknown(stream, "InvariantBroken")
	}
	began := g.deps.Now()
	exchange, err := g.deliverer.Send(ctx, request, func() { g.startClock(work) })
	if err != nil {
		return g.failed(ctx, stream, work, err)
	}
	defer exchange.Close()
	return g.answer(ctx, stream, work, exchange, began)
}

func (g *Guard) fill(
	request *protocol.Request, stream messenger.DRPCGuard_ForwardStream, work *task, body *upload,
) error {
	head := work.head
	request.Header.SetMethod(head.Method)
	request.Header.SetRequestURI(head.Uri)
	for _, header := range head.Headers {
		if strings.EqualFold(header.Name, "Host") {
			request.Header.SetHost(header.Value)
			continue
		}
		request.Header.Add(header.Name, header.Value)
	}
	deadline := work.deadline.UnixMilli()
	request.Header.Set(answerer.HeaderServerDeadline, strconv.FormatInt(deadline, 10))
	if !head.BodyFollows {
		request.SetBody(head.Body)
		return nil
	}
	admitted := &messenger.Verdict{Admitted: true}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: admitted}}); err != nil {
		return err
	}
	request.SetBodyStream(body, int(head.BodyLength))
	return nil
}

// mayDispatch asserts that the memory allows this attempt to run now.
func (g *Guard) mayDispatch(work *task) bool {
	if !work.remembered {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dispatcher.MayDispatch(work.attempt, work.head.Key) {
		return true
	}
	g.deps.Log.Error("InvariantBroken", "Invariant", "RunsAtMostOnce",
		"Request", fmt.Sprintf("%x", work.head.Attempt), "Key", work.head.Key)
	return false
}

func (g *Guard) startClock(work *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Detector().Start(g.deps.Now(), work.id)
}

// failed handles a request without an answer's head.
func (g *Guard) failed(ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, cause error) error {
	g.mu.Lock()
	now := g.deps.Now()
	censored := ctx.Err() != nil
	g.controller.Detector().Finish(now, work.id, true, censored, work.origin)
	if errors.Is(cause, deliverer.ErrNotSent) {
		g.withdraw(work)
		g.controller.Detector().Fault(work.origin)
		g.mu.Unlock()
		return g.refuse(stream, work.head, refusal{outcome: answerer.OutcomeNotRun, reason: "ServerUnreachable"})
	}
	g.finish(now, work, dispatcher.StateBroken, 0, nil)
	g.observe(now, false)
	g.mu.Unlock()
	g.deps.Log.Info("Broken", "Request", fmt.Sprintf("%x", work.head.Attempt), "Error", cause)
	return g.unknown(stream, "NoAnswer")
}

func (g *Guard) unknown(stream messenger.DRPCGuard_ForwardStream, reason string) error {
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome: uint32(answerer.OutcomeUnknown),
		Reason:  reason,
	}}})
}

func (g *Guard) finish(now clocker.Instant, work *task, state dispatcher.State, status int, answer *dispatcher.Answer) {
	if work.remembered {
		g.dispatcher.Finish(now, work.attempt, work.head.Key, state, status, answer)
	}
}

func (g *Guard) observe(now clocker.Instant, good bool) {
	if err := g.controller.Observe(now, good); err != nil {
		g.deps.Log.Error("ObserveFailed", "Error", err)
	}
}
