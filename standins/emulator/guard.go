package emulator

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/admitter"
	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
)

// guard is a guard with its backend server.
type guard struct {
	world    *world
	index    int
	admitter *admitter.Admitter
	// failureRate is the part of the requests that the server fails at once.
	failureRate float64
	// slowness multiplies the service time.
	slowness float64
	// typical holds the typical service time of each kind.
	typical *limiter.TypicalTimes
	running int
	queued  map[uint64]*attempt
	costs   *estimator.Estimator
	// started holds the start of each attempt that runs.
	started map[*attempt]time.Duration
}

// attempt is one attempt of a request at a guard.
type attempt struct {
	admitter.Attempt
	request *request
	insist  bool
	// expected is the service time that the router expects.
	expected time.Duration
}

// answer is the end of an attempt as the router sees it.
type answer struct {
	// refused is set if the attempt did not run, with the reason of the refusal.
	refused bool
	refusal searcher.Refusal
	// wait is the time until a slot is expected, if the attempt was refused.
	wait time.Duration
	good bool
	// funded is set if the guard has paid for the next attempt.
	funded bool
	// load is that of the guard, avoid and avoidNonIdempotent what it says of its server.
	load int
	work time.Duration
	// service is the service time of an attempt that ran.
	service                   time.Duration
	avoid, avoidNonIdempotent time.Duration
}

func newGuard(w *world, index int) *guard {
	g := &guard{
		world: w, index: index, admitter: admitter.New(), slowness: 1, queued: map[uint64]*attempt{},
		typical: limiter.NewTypicalTimes(),
		costs:   estimator.New(estimator.DefaultKinds), started: map[*attempt]time.Duration{},
	}
	if float64(index) < w.Pattern.SlowShare*float64(w.Servers) {
		g.slowness = w.Pattern.SlowFactor
	}
	g.admitter.Limiter.Resize(w.Pattern.Slots, queuePerSlot*w.Pattern.Slots)
	g.admitter.Breaker.SetPause(failurePause)
	g.admitter.Budget.SetAllowance(retryLimit(w.Servers).Allowance(w.Servers, index))
	return g
}

// handle admits an attempt or refuses it.
func (g *guard) handle(a *attempt) {
	if a.Cost == 0 {
		a.Cost = g.typical.Time(a.request.kind.route())
	}
	decision, reason := g.admitter.Admit(g.world.instant(), a.Attempt)
	for _, id := range g.admitter.Limiter.TakeDisplaced() {
		g.world.result.Displaced++
		g.refuseQueued(id)
	}
	switch {
	case reason != "":
		g.refuse(a, reason)
	case decision == limiter.Queued:
		g.queued[a.ID] = a
		g.world.After(min(admitter.MaxQueueWait, a.MaxWait), func() { g.leaveQueue(a) })
	default:
		g.run(a)
	}
}

func (g *guard) leaveQueue(a *attempt) {
	if _, waiting := g.queued[a.ID]; !waiting {
		return
	}
	delete(g.queued, a.ID)
	g.admitter.Limiter.Remove(a.ID)
	g.admitter.Return(a.Attempt)
	g.refuse(a, admitter.ReasonBusy)
}

func (g *guard) refuseQueued(id uint64) {
	if waiting, ok := g.queued[id]; ok {
		delete(g.queued, id)
		g.admitter.Return(waiting.Attempt)
		g.refuse(waiting, admitter.ReasonBusy)
	}
}

func (g *guard) refuse(a *attempt, reason admitter.Reason) {
	wait := g.admitter.ExpectedWait(g.world.instant(), a.Attempt)
	g.reply(a, answer{refused: true, wait: wait, refusal: searcher.Refusal{
		Busy: reason == admitter.ReasonBusy, Doubtful: reason == admitter.ReasonDoubtful,
		Unfunded: reason == admitter.ReasonNoBudget,
	}})
}

func (g *guard) reply(a *attempt, end answer) {
	end.load = g.admitter.Limiter.InFlight() + g.admitter.Limiter.Waiting()
	end.work = g.workLeft()
	end.avoid, end.avoidNonIdempotent = g.admitter.Breaker.Avoidance(g.world.instant())
	g.world.After(g.world.delay(g.index, a.request.router.index), func() { a.request.router.finish(a, g, end) })
}

// run gives the attempt to the server.
func (g *guard) run(a *attempt) {
	w := g.world
	g.running++
	if g.running > w.Pattern.Slots {
		w.result.SlotBreaches++
	}
	if a.Retry {
		w.retries = append(w.retries, w.Now())
	} else {
		w.arrivals = append(w.arrivals, w.Now())
	}
	good := w.random.Float64() >= g.failureRate
	work := failureTime
	if good {
		work = time.Duration(w.drawWork(a.request) * g.slowness)
	}
	g.started[a] = w.Now()
	w.After(work, func() { g.complete(a, good, work) })
}

func (g *guard) complete(a *attempt, good bool, work time.Duration) {
	now := g.world.instant()
	g.running--
	delete(g.started, a)
	if good {
		g.costs.Observe(now.Mono, a.request.kind.cost(), work)
		g.admitter.Limiter.Observe(work)
		g.typical.Observe(a.request.kind.route(), work)
		g.admitter.Breaker.RecordSuccess(now)
	} else {
		g.admitter.Breaker.RecordFailure(now, breaker.WeightCertain)
	}
	started, refused := g.admitter.Limiter.Finish(now, a.ID)
	for _, id := range refused {
		g.refuseQueued(id)
	}
	for _, id := range started {
		waiting := g.queued[id]
		delete(g.queued, id)
		g.run(waiting)
	}
	funded := !good && a.request.kind.Idempotent && a.request.arrivals+1 < maxArrivals && g.admitter.Fund(now)
	g.reply(a, answer{good: good, funded: funded, service: work})
}
