package guard

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/admitter"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// Reasons for refusals. Routers act on the flags that refuse derives from them.
const (
	reasonBusy     = string(admitter.ReasonBusy)
	reasonDoubtful = string(admitter.ReasonDoubtful)
	reasonNoBudget = string(admitter.ReasonNoBudget)
	reasonLimited  = string(admitter.ReasonLimited)
	// reasonLeaving means that the server is shutting down, gone or not announced.
	reasonLeaving = "Leaving"
	reasonEjected = "Ejected"
	// reasonQueueTimeout means that no slot became free in time.
	reasonQueueTimeout = "QueueTimeout"
	// reasonServerRefused means that the server declared that it did not run the request.
	reasonServerRefused = "ServerRefused"
	// reasonOverdue means that a response takes far longer than usual.
	reasonOverdue = "Overdue"
	// reasonStopping means that the attempt would not finish before a planned stop.
	reasonStopping = "StoppingBeforeItsEnd"
	// reasonDisplaced means that the attempt lost its place in the queue to one of a
	// customer with less work, or to a more urgent one.
	reasonDisplaced = "Displaced"
	// reasonErrorAnswer means that the server responded with an error status.
	reasonErrorAnswer = "ErrorAnswer"
)

// admit returns a task that holds a slot, or why the attempt was refused. It
// waits in the queue if no slot is free.
func (g *Guard) admit(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, head *messenger.RequestHead, budget time.Duration,
) (*task, *refusal) {
	g.mu.Lock()
	work, decision, refused := g.admitLocked(head, budget)
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
	return g.awaitSlot(ctx, work, started)
}

// admitLocked checks the attempt and asks for a slot, without waiting for one.
// The caller holds the lock.
func (g *Guard) admitLocked(head *messenger.RequestHead, budget time.Duration) (*task, limiter.Decision, *refusal) {
	now := g.deps.Now()
	if head.Incarnation != g.deps.Incarnation {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: "OtherIncarnation"}
	}
	if !g.controller.Present() || head.Service != g.service.Name {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: reasonLeaving}
	}
	g.nextID++
	work := &task{
		head:     head,
		id:       g.nextID,
		deadline: now.Add(budget),
		tracked:  !head.Idempotent,
		origin:   detector.Origin{Caller: head.Caller, Route: head.Route},
		service:  g.service,
		run:      g.lastAnnouncement.Run,

		runStartedMs: g.lastAnnouncement.StartedMs,
	}
	copy(work.attempt[:], head.Attempt)
	if refused := g.checkDuplicate(now, work); refused != nil {
		return nil, 0, refused
	}
	decision, reason := g.requestSlot(now, work)
	if reason == "" {
		return work, decision, nil
	}
	g.withdrawAttempt(work)
	return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: reason, retryAfter: g.retryAfter(now, work)}
}

// retryAfter returns the time after which a slot is expected for an attempt. The caller
// holds the lock.
func (g *Guard) retryAfter(now clocker.Instant, work *task) time.Duration {
	if g.unavailableReason() != "" {
		return 0
	}
	return g.admitter.ExpectedWait(now, work.admission())
}

// requestSlot returns the limiter's decision to start or queue the attempt, or
// the reason for a refusal.
func (g *Guard) requestSlot(now clocker.Instant, work *task) (limiter.Decision, string) {
	if reason := g.unavailableReason(); reason != "" {
		return 0, reason
	}
	if !g.deps.FinishesBeforeStop(g.expectedDuration(now, work)) {
		return 0, reasonStopping
	}
	work.cost = time.Duration(min(work.head.CostUs, estimator.MaxTime.Microseconds())) * time.Microsecond
	if work.cost <= 0 {
		work.cost = g.typical.Time(work.head.Route)
	}
	decision, reason := g.admitter.Admit(now, work.admission())
	g.refuseDisplaced()
	return decision, string(reason)
}

const (
	// slowRunFactor is the multiple of a route's typical service time that nearly all of
	// its requests stay below.
	slowRunFactor = 2
	// unknownRunShare is the share of the time left that a request of a route without a
	// typical service time is expected to run.
	unknownRunShare = 0.5
)

// expectedDuration returns a time within which the attempt very likely ends.
func (g *Guard) expectedDuration(now clocker.Instant, work *task) time.Duration {
	if typical := g.typical.Time(work.head.Route); typical > 0 {
		return slowRunFactor * typical
	}
	return time.Duration(unknownRunShare * float64(-now.Since(work.deadline)))
}

// refuseDisplaced refuses the queued attempts whose places others took. They have not run.
// The caller holds the lock.
func (g *Guard) refuseDisplaced() {
	for _, id := range g.admitter.Limiter.TakeDisplaced() {
		g.displaced[id] = struct{}{}
		g.notifyWaiter(id, false)
	}
}

// takeDisplaced reports whether an attempt was displaced. The caller holds the lock.
func (g *Guard) takeDisplaced(id uint64) bool {
	_, ok := g.displaced[id]
	delete(g.displaced, id)
	return ok
}

// fundRetry takes a token for the next attempt of a request whose attempt failed here,
// and reports whether there was one. Only an attempt that has not run can be followed by
// another one if the request is non-idempotent. The caller holds the lock.
func (g *Guard) fundRetry(work *task, ran bool) bool {
	mayRepeat := work.head.Idempotent || !ran
	return work.head.Retryable && mayRepeat && g.admitter.Fund(g.deps.Now())
}

// admission returns what the admission of the attempt depends on.
func (w *task) admission() admitter.Attempt {
	return admitter.Attempt{
		ID: w.id, Deadline: w.deadline, Rank: w.head.Rank, MaxWait: time.Duration(w.head.HoldUs) * time.Microsecond,
		Idempotent: w.head.Idempotent, Insist: w.head.Insist, Retry: w.head.Earlier > 0, Funded: w.head.Funded,
		DerivedProbability: float64(w.head.Derived), Customer: w.head.Customer, Cost: w.cost,
	}
}

// checkDuplicate asks the deduplicator whether the attempt may run. It returns nil
// if so, otherwise a refusal with the answer stored for the key, if there is one.
func (g *Guard) checkDuplicate(now clocker.Instant, work *task) *refusal {
	if !work.tracked {
		return nil
	}
	decision, answer := g.deduplicator.Begin(now, work.attempt, work.head.Key, work.head.IssuedMs)
	switch decision {
	case deduplicator.DecisionRun:
		return nil
	case deduplicator.DecisionReplay:
		return &refusal{outcome: answerer.OutcomeAnswered, reason: decision.String(), answer: answer}
	case deduplicator.DecisionKeyRan:
		return &refusal{outcome: answerer.OutcomeRan, reason: decision.String()}
	case deduplicator.DecisionKeyRunning, deduplicator.DecisionDuplicate:
		return &refusal{outcome: answerer.OutcomeUnknown, reason: decision.String()}
	default:
		return &refusal{outcome: answerer.OutcomeNotRun, reason: decision.String()}
	}
}

// unavailableReason returns why the server takes no attempts, or "" if it does.
func (g *Guard) unavailableReason() string {
	switch g.controller.State() {
	case registrar.StateEjected:
		return reasonEjected
	case registrar.StateLeaving, registrar.StateGone:
		return reasonLeaving
	default:
		return ""
	}
}

// withdrawAttempt records that the attempt was not sent to the server and never
// will be. The caller holds the lock.
func (g *Guard) withdrawAttempt(work *task) {
	if work.tracked {
		g.deduplicator.Withdraw(work.attempt, work.head.Key)
	}
}

// awaitSlot waits until a queued attempt holds a slot, is refused or has waited
// too long.
func (g *Guard) awaitSlot(ctx context.Context, work *task, started chan bool) (*task, *refusal) {
	if hold := work.head.HoldUs; hold > 0 {
		waitCtx, cancel := context.WithTimeout(ctx, min(admitter.MaxQueueWait, time.Duration(hold)*time.Microsecond))
		defer cancel()
		ctx = waitCtx
	}
	select {
	case ok := <-started:
		if ok {
			return work, nil
		}
	case <-ctx.Done():
		if g.leaveQueue(work, started) {
			break
		}
		g.releaseSlot(work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.withdrawAttempt(work)
	g.admitter.Return(work.admission())
	displaced := g.takeDisplaced(work.id)
	reason := g.unavailableReason()
	switch {
	case reason != "":
	case displaced:
		reason = reasonDisplaced
		g.deps.OnDisplaced(work.head.Service)
	default:
		reason = reasonQueueTimeout
	}
	wait := g.retryAfter(g.deps.Now(), work)
	return nil, &refusal{outcome: answerer.OutcomeNotRun, reason: reason, retryAfter: wait}
}

// leaveQueue removes an attempt from the queue and reports whether it holds no
// slot: an attempt that was started in the meantime holds one.
func (g *Guard) leaveQueue(work *task, started chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waiting := g.waiters[work.id]; waiting {
		delete(g.waiters, work.id)
		g.admitter.Limiter.Remove(work.id)
		return true
	}
	return !<-started
}

// notifyWaiter tells a queued attempt whether it starts or is refused. The caller
// holds the lock.
func (g *Guard) notifyWaiter(id uint64, start bool) {
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

// releaseSlot frees the slot of an attempt and starts queued ones.
func (g *Guard) releaseSlot(work *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	started, refused := g.admitter.Limiter.Finish(g.deps.Now(), work.id)
	for _, id := range refused {
		g.notifyWaiter(id, false)
	}
	for _, id := range started {
		g.notifyWaiter(id, true)
	}
}

// releaseTimeout is how long an admitted attempt may hold its slot while it waits
// for its router to release it for execution. It covers a TCP retransmission
// between availability zones.
const releaseTimeout = time.Second

// awaitRelease tells the router that the attempt is admitted. An offered attempt
// runs only after the router's next frame, which releases it, so that an attempt
// whose router is gone never runs.
func (g *Guard) awaitRelease(stream messenger.DRPCGuard_ForwardStream, work *task, body *upload) error {
	admitted := &messenger.Verdict{Admitted: true}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: admitted}}); err != nil {
		g.withdrawOffer(work, err)
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
		head, err := body.readRelease()
		released <- release{head: head, err: err}
	}()
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case got := <-released:
		if got.err != nil {
			g.withdrawOffer(work, got.err)
			return got.err
		}
		work.head.Method, work.head.Uri, work.head.Headers = got.head.Method, got.head.Uri, got.head.Headers
		work.head.Body, work.head.BodyFollows = got.head.Body, got.head.BodyFollows
		return nil
	case <-timer.C:
		body.abandon()
		g.withdrawOffer(work, errNotReleased)
		return errNotReleased
	}
}

// withdrawOffer gives up an admitted attempt whose router did not release it.
func (g *Guard) withdrawOffer(work *task, cause error) {
	g.mu.Lock()
	g.withdrawAttempt(work)
	g.admitter.Return(work.admission())
	g.mu.Unlock()
	g.deps.Log.Info("OfferAbandoned", "Request", work.head.RequestId, "Error", cause)
}
