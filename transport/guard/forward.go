package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/dispatcher"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/deliverer"
)

const (
	// ShortBodyBytes is the longest answer that is checked whole before any of it is passed on.
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
	// errNotReleased means that a router did not release an attempt that it had offered.
	errNotReleased = eris.New("offered attempt was not released in time")
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
	// run is that of the backend server at the task's start.
	run string
	// sent is when the request was handed to the backend server.
	sent clocker.Instant
	// overdue is set once the answer has taken much longer than is usual.
	overdue bool
}

// offer is what the backend server is told of the attempt.
func (w *task) offer(now clocker.Instant) interpreter.Offer {
	return interpreter.Offer{
		ID:         w.head.RequestId,
		Left:       -now.Since(w.deadline),
		DeadlineMs: w.deadline.UnixMilli(),
		Run:        w.run,
		Origin:     w.head.Origin,
	}
}

// refusal is a truthful word that an attempt has not run, or the word on its key.
type refusal struct {
	outcome answerer.Outcome
	reason  string
	// answer is the kept answer of the same key, if there is one.
	answer *dispatcher.Answer
	// arrived is set if the backend server itself refused.
	arrived bool
}

// Reasons of refusals that a router acts on.
const (
	reasonBusy     = "Busy"
	reasonDoubtful = "Doubtful"
	reasonLeaving  = "Leaving"
	reasonEjected  = "Ejected"
	reasonNoBudget = "NoBudget"
	// reasonQueueTimeout means that no slot was free in time.
	reasonQueueTimeout = "QueueTimeout"
	// reasonErrorAnswer is an error status of the server's own.
	reasonErrorAnswer = "ErrorAnswer"
)

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
	work, refused := g.admit(ctx, stream, head, budget)
	if refused != nil {
		return g.refuse(stream, head, *refused)
	}
	defer g.release()
	body := &upload{stream: stream, left: head.BodyLength, ended: !head.BodyFollows && !head.Offer}
	defer body.drain()
	if err := g.awaitRelease(stream, work, body); err != nil {
		return err
	}
	return g.run(ctx, stream, work, body)
}

// admit rules on the attempt and waits until it holds a slot.
func (g *Guard) admit(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, head *messenger.RequestHead, budget time.Duration,
) (*task, *refusal) {
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
	queued := &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{Queued: true}}}
	if err := send(stream, queued); err != nil {
		g.deps.Log.Debug("QueuedNotTold", "Error", err)
	}
	return g.wait(ctx, work, started)
}

func (g *Guard) enter(head *messenger.RequestHead, budget time.Duration) (*task, limiter.Decision, *refusal) {
	now := g.deps.Now()
	if head.Incarnation != g.deps.Incarnation {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: "OtherIncarnation"}
	}
	if !g.controller.Present() || head.Service != g.service.Name {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: reasonLeaving}
	}
	g.nextID++
	work := &task{
		head:       head,
		id:         g.nextID,
		deadline:   now.Add(budget),
		remembered: !head.Idempotent,
		origin:     detector.Origin{Caller: head.Caller, Route: head.Route},
		service:    g.service,
		run:        g.announced.Run,
	}
	copy(work.attempt[:], head.Attempt)
	if refused := g.rule(now, work); refused != nil {
		return nil, 0, refused
	}
	decision, reason := g.admission(now, work)
	if reason == "" {
		return work, decision, nil
	}
	g.withdraw(work)
	return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: reason}
}

// admission returns the limiter's decision, or why the request is refused.
func (g *Guard) admission(now clocker.Instant, work *task) (limiter.Decision, string) {
	if reason := g.closedReason(); reason != "" {
		return 0, reason
	}
	if !work.head.Insist && !g.limiter.Free() {
		return 0, reasonBusy
	}
	if !g.breaker.Allow(now, work.head.Idempotent, work.head.Insist) {
		return 0, reasonDoubtful
	}
	if !g.takeBudget(now, work) {
		return 0, reasonNoBudget
	}
	decision := g.limiter.AdmitRanked(now, limiter.Request{
		ID: work.id, Deadline: work.deadline, Rank: work.head.Rank,
		Hold: time.Duration(work.head.HoldUs) * time.Microsecond,
	})
	if decision == limiter.Started || decision == limiter.Queued {
		return decision, ""
	}
	g.returnBudget(work)
	return 0, decision.String()
}

// takeBudget counts a first attempt, or uses a token for a repeat of a request
// that may have reached a server already.
func (g *Guard) takeBudget(now clocker.Instant, work *task) bool {
	g.budget.Refill(now.Mono)
	if work.head.Earlier == 0 {
		g.budget.First()
		g.budget.Charge(float64(work.head.Derived))
		return true
	}
	return g.budget.Take()
}

// returnBudget gives back what an attempt took that its server never gets.
func (g *Guard) returnBudget(work *task) {
	if work.head.Earlier > 0 {
		g.budget.Return()
	}
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
		return reasonEjected
	case registrar.StateLeaving, registrar.StateGone:
		return reasonLeaving
	default:
		return ""
	}
}

func (g *Guard) withdraw(work *task) {
	if work.remembered {
		g.dispatcher.Withdraw(work.attempt, work.head.Key)
	}
}

// queueSlice is how long a request waits at one server before its router looks
// for a free slot elsewhere. A server whose slots are taken by long runs would
// hold it while others become free.
const queueSlice = 200 * time.Millisecond

func (g *Guard) wait(ctx context.Context, work *task, started chan bool) (*task, *refusal) {
	if hold := work.head.HoldUs; hold > 0 {
		held, cancel := context.WithTimeout(ctx, min(queueSlice, time.Duration(hold)*time.Microsecond))
		defer cancel()
		ctx = held
	}
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
	g.returnBudget(work)
	g.mu.Unlock()
	return nil, &refusal{outcome: answerer.OutcomeNotRun, reason: reasonQueueTimeout}
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
	g.deps.Log.Info("Refused", "Request", head.RequestId, "Service", head.Service,
		"Outcome", refused.outcome.String(), "Reason", refused.reason, "Insist", head.Insist)
	if refused.answer != nil {
		return g.sendKept(stream, refused.answer)
	}
	outcome := refused.outcome
	if outcome == answerer.OutcomeNotRun && !head.Idempotent {
		outcome = g.fenced(head)
	}
	inFlight, waiting := g.Load()
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome:  uint32(outcome),
		Reason:   refused.reason,
		Leaving:  refused.reason == reasonLeaving,
		Ejected:  refused.reason == reasonEjected,
		Doubtful: refused.reason == reasonDoubtful,
		Busy:     refused.reason == reasonBusy || refused.reason == reasonQueueTimeout,
		Load:     uint32(max(0, inFlight+waiting)),
		Arrived:  refused.arrived,
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

// releaseTimeout is how long an admitted attempt may hold its slot before its
// router releases it. It covers a retransmission between availability zones.
const releaseTimeout = time.Second

// awaitRelease tells the router that the attempt is admitted. An attempt that
// was offered runs only once the router has sent its first frame after that,
// so that one whose router has gone never runs.
func (g *Guard) awaitRelease(stream messenger.DRPCGuard_ForwardStream, work *task, body *upload) error {
	admitted := &messenger.Verdict{Admitted: true}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: admitted}}); err != nil {
		g.abandonOffer(work, err)
		return err
	}
	if !work.head.Offer {
		return nil
	}
	type release struct {
		head *messenger.RequestHead
		err  error
	}
	released := make(chan release, 1)
	go func() {
		head, err := body.prefetch()
		released <- release{head: head, err: err}
	}()
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case got := <-released:
		if got.err != nil {
			g.abandonOffer(work, got.err)
			return got.err
		}
		work.head.Headers, work.head.Body, work.head.BodyFollows = got.head.Headers, got.head.Body, got.head.BodyFollows
		return nil
	case <-timer.C:
		body.abandon()
		g.abandonOffer(work, errNotReleased)
		return errNotReleased
	}
}

func (g *Guard) abandonOffer(work *task, cause error) {
	g.mu.Lock()
	g.withdraw(work)
	g.returnBudget(work)
	g.mu.Unlock()
	g.deps.Log.Info("OfferAbandoned", "Request", work.head.RequestId, "Error", cause)
}

// run hands the request to the backend server and streams the answer back.
func (g *Guard) run(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, body *upload,
) error {
	request := &protocol.Request{}
	g.fill(request, work, body)
	if !g.mayDispatch(work) {
		return g.unknown(stream, "InvariantBroken")
	}
	began := g.deps.Now()
	var judged interpreter.Judgement
	judge := func(header *protocol.ResponseHeader) (bool, time.Duration) {
		judged = g.deps.Servers.Judge(header, work.offer(began))
		return judged.Foreign, judged.Idle
	}
	exchange, err := g.deliverer.Send(ctx, request, judge, func() { g.startClock(work) })
	if err != nil {
		return g.failed(ctx, stream, work, err)
	}
	defer exchange.Close()
	if judged.NotRun {
		return g.declined(stream, work, exchange, judged)
	}
	return g.answer(ctx, stream, work, exchange, judged)
}

func (g *Guard) fill(request *protocol.Request, work *task, body *upload) {
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
	g.deps.Servers.Offer(&request.Header, work.offer(g.deps.Now()))
	switch {
	case !head.BodyFollows:
		request.SetBody(head.Body)
	case head.BodyLength != 0:
		request.SetBodyStream(body, int(head.BodyLength))
	}
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
		"Request", work.head.RequestId, "Key", work.head.Key)
	return false
}

func (g *Guard) startClock(work *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	work.sent = g.deps.Now()
	g.running[work.id] = work
	g.controller.Detector().StartTypical(work.sent, work.id, g.usual.Time(work.head.Route))
	g.deps.Log.Info("Dispatched", "Request", work.head.RequestId, "Service", work.head.Service, "Run", work.run,
		"Rank", work.head.Rank, "Earlier", work.head.Earlier, "InFlight", g.limiter.InFlight(), "Waiting", g.limiter.Waiting(), "LeftMs", -work.sent.Since(work.deadline).Milliseconds())
}

// declined handles the server's own word that it has not run the request.
func (g *Guard) declined(
	stream messenger.DRPCGuard_ForwardStream, work *task, exchange *deliverer.Exchange, judged interpreter.Judgement,
) error {
	reason := "ServerRefused"
	if judged.OtherRun {
		reason = "OtherRun"
	}
	g.mu.Lock()
	now := g.deps.Now()
	delete(g.running, work.id)
	g.withdraw(work)
	g.controller.Detector().Finish(now, work.id, true, true, work.origin)
	g.noteFailure(now, work, reason)
	g.mu.Unlock()
	if _, err := io.Copy(io.Discard, exchange); err != nil {
		g.deps.Log.Debug("RefusalNotRead", "Error", err)
	}
	return g.refuse(stream, work.head, refusal{outcome: answerer.OutcomeNotRun, reason: reason, arrived: true})
}

// promptShare is the part of its usual time within which an error answer comes
// from the server itself. A later one may come from a failed call.
const promptShare = 0.5

// weightOf is how surely a failure is the server's own.
func (g *Guard) weightOf(now clocker.Instant, work *task, reason string) float64 {
	usual := g.usual.Time(work.head.Route)
	if reason == reasonErrorAnswer && usual > 0 && now.Since(work.sent) > time.Duration(promptShare*float64(usual)) {
		return breaker.Doubtful
	}
	return breaker.Sure
}

// noteFailure tells the breaker of a failure of the server. The lock is held.
func (g *Guard) noteFailure(now clocker.Instant, work *task, reason string) {
	if g.breaker.Bad(now, g.weightOf(now, work, reason)) {
		g.deps.Log.Info("BreakerOpened", "Request", work.head.RequestId, "Service", work.head.Service,
			"Run", work.run, "Reason", reason)
	}
}

// failed handles a request without an answer's head.
func (g *Guard) failed(ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, cause error) error {
	g.mu.Lock()
	now := g.deps.Now()
	delete(g.running, work.id)
	censored := ctx.Err() != nil
	g.controller.Detector().Finish(now, work.id, true, censored, work.origin)
	if errors.Is(cause, deliverer.ErrNotSent) {
		g.withdraw(work)
		if !censored {
			g.controller.Detector().Fault(work.origin)
			g.noteFailure(now, work, "ServerUnreachable")
		}
		g.mu.Unlock()
		g.deps.Log.Info("Unreachable", "Request", work.head.RequestId, "Error", cause)
		return g.refuse(stream, work.head, refusal{outcome: answerer.OutcomeNotRun, reason: "ServerUnreachable"})
	}
	g.finish(now, work, dispatcher.StateBroken, 0, nil)
	if !censored {
		g.noteFailure(now, work, "NoAnswer")
		g.observe(now, false)
	}
	g.mu.Unlock()
	g.deps.Log.Info("Broken", "Request", work.head.RequestId, "Cancelled", censored, "Error", cause)
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
