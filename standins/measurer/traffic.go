package measurer

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// arrive starts a request at a random router and schedules the next arrival.
func (w *world) arrive() {
	capacity := float64(w.pool.Servers*w.pool.Slots) / (medianServiceTime.Seconds() *
		math.Exp(serviceTimeSpread*serviceTimeSpread/2) * (1 + tailShare*(tailFactor-1)))
	rate := capacity * w.pool.Load
	if w.pool.Bursts && w.now%time.Minute < 2*time.Second {
		rate *= 2
	}
	w.push(event{kind: eventArrive}, time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)))
	requestIndex := w.allocateRequest()
	w.nextID++
	w.requests[requestIndex] = request{
		router: w.random.IntN(len(w.routers)), arrivedAt: w.now, id: w.nextID,
		origin: detector.Origin{Caller: w.random.Uint64N(callers), Route: w.random.Uint64N(routes)},
	}
	w.arrivals++
	w.routers[w.requests[requestIndex].router].budget.Deposit()
	w.send(requestIndex)
}

func (w *world) allocateRequest() int {
	if len(w.free) == 0 {
		w.requests = append(w.requests, request{})
		return len(w.requests) - 1
	}
	requestIndex := w.free[len(w.free)-1]
	w.free = w.free[:len(w.free)-1]
	return requestIndex
}

// send starts one attempt.
func (w *world) send(requestIndex int) {
	r := &w.requests[requestIndex]
	target, ok := w.pickServer(r)
	if !ok {
		w.complete(requestIndex, false)
		return
	}
	r.server = target
	r.generation = w.servers[target].incarnation
	r.sentAt = w.now
	r.refused = false
	r.bad = false
	r.tried[r.attempts] = r.generation
	r.attempts++
	if entry, found := w.routers[r.router].pool.Find(r.generation); found {
		entry.Server.Begin(w.now)
	}
	w.push(event{kind: eventReach, request: requestIndex}, w.delay(r.router, target))
}

func (w *world) pickServer(r *request) (int, bool) {
	if w.policy.RoundRobin {
		return w.pickRoundRobin(r)
	}
	query := picker.Query{
		Self:       w.servers[r.router].incarnation,
		Zone:       string(rune('a' + r.router%zones)),
		Now:        w.now,
		Random:     w.random.Uint64(),
		Idempotent: true,
	}
	for _, tried := range r.tried[:r.attempts] {
		query = query.WithTried(tried)
	}
	entry, _ := picker.Pick(w.routers[r.router].pool, query)
	if entry.Server == nil {
		return 0, false
	}
	return int(entry.Member.Incarnation&0xFF) - 1, true
}

// pickRoundRobin picks the next server in turn that is routable and not ejected by the router.
func (w *world) pickRoundRobin(r *request) (int, bool) {
	router := w.routers[r.router]
	for range len(w.servers) {
		router.lastServer = (router.lastServer + 1) % len(w.servers)
		if w.now >= router.local[router.lastServer].ejectedUntil && w.states[router.lastServer].Routable() {
			return router.lastServer, true
		}
	}
	return 0, false
}

// reachGuard handles the arrival of an attempt at the server's guard.
func (w *world) reachGuard(requestIndex int) {
	r := &w.requests[requestIndex]
	s := w.servers[r.server]
	deadline := clocker.Instant{Mono: r.arrivedAt + requestTimeout, Wall: time.Hour + r.arrivedAt + requestTimeout}
	if s.incarnation != r.generation || s.controller.State() == registrar.StateEjected {
		w.refuse(requestIndex)
		return
	}
	r.reachedAt = w.now
	switch s.limiter.Admit(w.instant(), uint64(requestIndex), deadline) {
	case limiter.Started:
		w.dispatch(requestIndex)
	case limiter.Queued:
	default:
		w.refuse(requestIndex)
	}
}

func (w *world) refuse(requestIndex int) {
	r := &w.requests[requestIndex]
	r.refused = true
	w.push(event{kind: eventReply, request: requestIndex}, w.delay(r.server, r.router))
}

// dispatch passes a request from the guard to the server.
func (w *world) dispatch(requestIndex int) {
	r := &w.requests[requestIndex]
	s := w.servers[r.server]
	r.startedAt = w.now
	if r.server == 0 && w.now >= w.onset {
		w.dispatches = append(w.dispatches, w.now)
	}
	s.inFlight++
	s.controller.Detector().Start(w.instant(), uint64(requestIndex))
	took, bad := w.serviceTime(r)
	r.bad = bad
	left := r.arrivedAt + requestTimeout - w.now
	w.push(event{kind: eventFinish, request: requestIndex}, min(took, max(left, time.Millisecond)))
}

func (w *world) serviceTime(r *request) (time.Duration, bool) {
	factor := math.Exp(serviceTimeSpread * w.random.NormFloat64())
	if w.random.Float64() < tailShare {
		factor *= tailFactor
	}
	if w.now-w.servers[r.server].started < coldTime {
		factor *= coldFactor
	}
	bad := w.random.Float64() < 0.001
	if w.faultActive() && (w.fault.BadRoute && r.origin.Route == 0 || w.fault.BadCaller && r.origin.Caller == 0) {
		bad = true
	}
	if w.isFaulty(r.server) {
		if w.fault.Factor > 0 {
			factor *= w.fault.Factor
		}
		bad = bad || w.random.Float64() < w.fault.ErrorShare
		if w.fault.Hang {
			factor = 1e6
		}
	}
	return time.Duration(factor * float64(medianServiceTime)), bad
}

// finish handles the end of a request at the server, or its deadline there.
func (w *world) finish(requestIndex int) {
	r := &w.requests[requestIndex]
	s := w.servers[r.server]
	if s.incarnation != r.generation {
		w.refuse(requestIndex)
		return
	}
	censored := w.now-r.arrivedAt >= requestTimeout
	s.inFlight--
	s.controller.Detector().Finish(w.instant(), uint64(requestIndex), r.bad, censored, r.origin)
	_ = s.controller.RecordResponse(w.instant(), !r.bad && !censored)
	if !censored {
		s.limiter.Observe(w.now - r.startedAt)
	}
	started, refused := s.limiter.Finish(w.instant(), uint64(requestIndex))
	for _, next := range started {
		w.dispatch(int(next))
	}
	for _, next := range refused {
		w.refuse(int(next))
	}
	w.push(event{kind: eventReply, request: requestIndex}, w.delay(r.server, r.router))
}

// reply handles the end of an attempt at the router.
func (w *world) reply(requestIndex int) {
	r := &w.requests[requestIndex]
	router := w.routers[r.router]
	took := w.now - r.sentAt
	if entry, found := router.pool.Find(r.generation); found {
		entry.Server.End()
		if !r.refused {
			penalty := time.Duration(0)
			if r.bad {
				penalty = 500 * time.Millisecond
			}
			entry.Server.RecordAnswer(w.now, took+penalty, int64(w.servers[r.server].inFlight))
			router.pool.Aggregate.RecordLatency(took)
		}
	}
	w.recordForBaseline(router, r, took)
	expired := w.now-r.arrivedAt >= requestTimeout
	if !expired && (r.refused || r.bad) && r.attempts < maxAttempts && router.budget.Take() {
		if !r.refused {
			w.extraRuns++
		}
		w.send(requestIndex)
		return
	}
	w.complete(requestIndex, !r.refused && !r.bad && !expired)
}

func (w *world) complete(requestIndex int, good bool) {
	r := &w.requests[requestIndex]
	if w.now >= w.onset || w.onset == math.MaxInt64 {
		w.answered++
		if good {
			w.good++
		}
		if w.now-r.arrivedAt >= requestTimeout {
			w.late++
		}
	}
	w.free = append(w.free, requestIndex)
}
