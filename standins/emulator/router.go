package emulator

import (
	"math"
	"strconv"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/admitter"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/coordination/shedder"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// refusalSmoothing is the weight of a new sample in a router's refusal rate.
const refusalSmoothing = 0.05

// router is the router of one process.
type router struct {
	world  *world
	index  int
	pool   *tracker.Pool
	costs  *estimator.Estimator
	warner *warner.Warner
	// shedder holds what guards said of the wait for slots.
	shedder *shedder.Shedder
	// refusalRate is how often servers refused this router for lack of a free slot.
	refusalRate float64
}

// request is one request of a caller.
type request struct {
	kind Kind
	// customer is the index of the customer, -1 if there is none.
	customer int
	router   *router
	// work is the service time at a server of usual speed; 0 if each attempt draws its own.
	work     float64
	received time.Duration
	search   searcher.Search
	// arrivals counts the attempts that reached a server.
	arrivals int
	// funded is set while a guard has paid for the next attempt that reaches a server.
	funded bool
	// wait is the longest wait for a slot that a guard named, 0 if none did.
	wait time.Duration
}

func newRouter(w *world, index int, members []registrar.Member) *router {
	r := &router{
		world: w, index: index, warner: warner.New(uint64(index + 1)), shedder: shedder.New(),
		costs: estimator.New(estimator.DefaultKinds),
		pool:  &tracker.Pool{Aggregate: tracker.New(0, 0, 0)},
	}
	for _, member := range members {
		r.pool.Entries = append(r.pool.Entries, tracker.Entry{
			Member: member, Server: tracker.New(member.Incarnation, 0, 0),
		})
	}
	return r
}

func (r *router) server(incarnation uint64) *tracker.Server {
	return r.pool.Entries[incarnation-1].Server
}

// warn tells the router what the guard of its own VM says of its server.
func (r *router) warn(g *guard) {
	now := r.world.instant()
	avoid, avoidNonIdempotent := g.admitter.Breaker.Avoidance(now)
	r.warner.SetOwn(now, avoid, avoidNonIdempotent)
	r.server(uint64(r.index+1)).RecordWarning(now.Mono, avoid, avoidNonIdempotent)
}

// message returns the warnings for another router.
func (r *router) message(to *router) []warner.Warning {
	own := r.world.zone(r.index)
	return r.warner.Current(r.world.instant(), func(incarnation uint64) bool {
		return r.world.zone(to.index) == own || r.world.zone(int(incarnation-1)) == own
	})
}

func (r *router) receive(message []warner.Warning) {
	now := r.world.instant()
	for _, warning := range r.warner.Merge(now, message) {
		r.server(warning.Incarnation).RecordWarning(now.Mono, warning.Avoid, warning.AvoidNonIdempotent)
	}
}

func (r *router) start(kind Kind, customer int) {
	w := r.world
	one := &request{kind: kind, customer: customer, router: r, received: w.Now()}
	// The work is drawn before the request may be rejected: equal seeds give equal requests.
	if w.Pattern.Paired {
		one.work = w.drawFactor(kind)
	}
	for _, figures := range w.result.figures(one) {
		figures.Requests++
	}
	if w.ShedEarly {
		if _, rejected := r.shedder.Reject(w.instant(), r.class(one), w.random.Float64()); rejected {
			w.result.Shed++
			r.countGivenUp(one)
			return
		}
	}
	r.next(one)
}

// rank returns the place of a request in a guard's queue.
func (r *router) rank(one *request) uint32 {
	if r.world.Pattern.Priorities == 0 {
		return one.kind.Rank
	}
	return uint32(one.customer%r.world.Pattern.Priorities)*(cataloger.MaxPriority+1) + one.kind.Rank
}

// class returns the requests that a request is judged by.
func (r *router) class(one *request) shedder.Class {
	return shedder.Class{Service: "s", Customer: r.customerName(one), Rank: r.rank(one)}
}

// customerName returns the customer that guards get to know.
func (r *router) customerName(one *request) string {
	if one.customer < 0 || r.world.WithoutCustomers {
		return ""
	}
	return strconv.Itoa(one.customer)
}

// next makes the next attempt of a request, or gives it up.
func (r *router) next(one *request) {
	w := r.world
	waited := w.Now() - one.received
	maxWait := searcher.MaxQueueWait(one.kind.Objective, one.kind.Timeout, false)
	if waited >= one.kind.Timeout || one.search.Attempts() > 0 && one.arrivals == 0 && waited >= maxWait {
		r.giveUp(one)
		return
	}
	choice := one.search.Next(func(want searcher.Constraints) (tracker.Entry, picker.Reason) {
		return r.pick(one, want)
	}, r.refusalRate)
	if choice.Entry.Server == nil {
		r.giveUp(one)
		return
	}
	w.nextID++
	w.result.Attempts++
	a := &attempt{request: one, insist: choice.Insist, expected: r.expect(one, choice.Entry.Server), Attempt: admitter.Attempt{
		ID: w.nextID, Deadline: r.deadline(one), Rank: r.rank(one), MaxWait: max(0, maxWait-waited),
		Idempotent: one.kind.Idempotent, Insist: choice.Insist, Retry: one.arrivals > 0, Funded: one.funded,
		Customer: r.customerName(one),
	}}
	if w.Balance == BalanceWork {
		a.Cost = a.expected
	}
	to := int(choice.Entry.Member.Incarnation - 1)
	if w.zone(to) != w.zone(r.index) {
		w.result.CrossZone++
	}
	choice.Entry.Server.Begin(w.Now())
	choice.Entry.Server.BeginWork(a.expected)
	w.After(w.delay(r.index, to), func() { w.guards[to].handle(a) })
}

func (r *router) deadline(one *request) clocker.Instant {
	end := one.received + one.kind.Timeout
	return clocker.Instant{Mono: end, Wall: end}
}

func (r *router) query(one *request, want searcher.Constraints) picker.Query {
	query := picker.Query{
		Self: uint64(r.index + 1), Zone: r.pool.Entries[r.index].Member.Zone, Now: r.world.Now(),
		Random: r.world.random.Uint64(), Idempotent: one.kind.Idempotent,
		SkipAvoided: want.SkipAvoided, SameZoneOnly: want.SameZone,
	}
	for _, incarnation := range want.Exclude {
		query = query.WithTried(incarnation)
	}
	return query
}

// failurePenalty is added to the latency of an error answer.
const failurePenalty = 500 * time.Millisecond

// finish handles the end of an attempt.
func (r *router) finish(a *attempt, g *guard, end answer) {
	w, one := r.world, a.request
	server := r.server(uint64(g.index + 1))
	server.End()
	server.EndWork(a.expected)
	server.RecordWork(w.Now(), end.work, int64(end.load))
	r.pool.Aggregate.RecordReport(uint32(w.Pattern.Slots), int64(end.load), end.work)
	server.RecordWarning(w.Now(), end.avoid, end.avoidNonIdempotent)
	if !a.insist {
		r.refusalRate += refusalSmoothing * (boolean(end.refused && end.refusal.Busy) - r.refusalRate)
	}
	one.search.Record(uint64(g.index+1), end.refusal, a.insist)
	if end.refused {
		w.result.Refusals[reasonOf(end.refusal)]++
		one.wait = max(one.wait, end.wait)
		server.RecordLoad(w.Now(), int64(end.load))
		r.next(one)
		return
	}
	if one.arrivals++; one.arrivals == 1 {
		r.shedder.RecordServed(w.instant(), r.class(one))
	}
	if w.zone(g.index) != w.zone(r.index) {
		w.result.CrossServed++
	}
	one.funded = end.funded
	r.learn(one, server, end)
	took := w.Now() - one.received
	switch {
	case end.good:
		server.RecordAnswer(w.Now(), took, int64(end.load))
		r.pool.Aggregate.RecordLatency(took)
		for _, figures := range w.result.figures(one) {
			figures.served(took, one.kind)
		}
	case one.kind.Idempotent && one.arrivals < maxArrivals:
		server.RecordAnswer(w.Now(), took+failurePenalty, int64(end.load))
		r.next(one)
	default:
		server.RecordAnswer(w.Now(), took+failurePenalty, int64(end.load))
		for _, figures := range w.result.figures(one) {
			figures.Failed++
		}
	}
}

func boolean(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// giveUp ends a request that no server takes.
func (r *router) giveUp(one *request) {
	if one.arrivals == 0 && one.wait > 0 {
		r.shedder.RecordRefused(r.world.instant(), r.class(one), one.wait)
	}
	r.countGivenUp(one)
}

// countGivenUp counts a request that no server takes.
func (r *router) countGivenUp(one *request) {
	held := r.world.Now() - one.received
	for _, figures := range r.world.result.figures(one) {
		if one.arrivals > 0 {
			figures.Failed++
			continue
		}
		figures.Refused++
		figures.LongestHold = max(figures.LongestHold, held)
		if math.MaxInt64-int64(figures.Held) > int64(held) {
			figures.Held += held
		}
	}
}
