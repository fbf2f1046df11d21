// Package measurer steps the real decision code of foxtailhall, and baselines
// beside it, over a small fake pool in virtual time.
package measurer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

const (
	service = "pool"
	// medianTime and spread describe a healthy server's service time.
	medianTime = 40 * time.Millisecond
	spread     = 0.3
	// tailShare of the requests take tailFactor times as long.
	tailShare  = 0.005
	tailFactor = 8
	// betweenZones and withinZone are one-way delays.
	betweenZones = 1500 * time.Microsecond
	withinZone   = 50 * time.Microsecond
	zones        = 3
	patience     = time.Second
	tickPeriod   = 10 * time.Millisecond
	// gossipDelay is how long a change of state takes to reach the routers.
	gossipDelay = 300 * time.Millisecond
	queueSlots  = 8
	// settleTime is how long a pool runs before anything is measured.
	settleTime = 20 * time.Second
	coldTime   = 5 * time.Second
	coldFactor = 3
	maxTries   = 3
	callers    = 64
	routes     = 8
)

// Policy is a way to choose and to set aside servers.
type Policy struct {
	Name string
	// Caution is that of foxtailhall's policy; 0 means that it ejects nobody.
	Caution float64
	// Joint demands bad answers from several callers and routes.
	Joint bool
	// RoundRobin takes the servers in turn, without regard to load.
	RoundRobin bool
	// ConsecutiveErrors lets each router set a server aside after so many bad answers in a row.
	ConsecutiveErrors int
	// Window lets each router set a server aside by a fixed threshold over 10 s.
	Window bool
}

// Fault is what is wrong with the pool.
type Fault struct {
	Name string
	// Factor multiplies service times of the sick server, Share its bad answers.
	Factor float64
	Share  float64
	Hang   bool
	Period time.Duration
	// Whole makes all servers sick, Path only the path of one router to one server.
	Whole bool
	Path  time.Duration
	// BadRoute and BadCaller fail everywhere, whatever the server.
	BadRoute  bool
	BadCaller bool
}

// Pool describes a pool.
type Pool struct {
	Servers int
	Slots   int
	// Load is the arrival rate as a share of capacity.
	Load float64
	// FloorShare is the floor as a share of all slots.
	FloorShare float64
	// Restarts and Bursts disturb a healthy pool.
	Restarts bool
	Bursts   bool
}

type server struct {
	index       int
	incarnation uint64
	started     time.Duration
	controller  *controller.Controller
	ejector     *ejector.Ejector
	limiter     *limiter.Limiter
	inFlight    int
}

type request struct {
	router, server int
	generation     uint64
	born, sent     time.Duration
	reached        time.Duration
	began          time.Duration
	id             uint64
	tries          int
	tried          [maxTries]uint64
	bad, refused   bool
	origin         detector.Origin
}

type router struct {
	pool   *tracker.Pool
	budget *retrier.Budget
	turn   int
	local  []local
}

// local is what a baseline's router keeps of one server.
type local struct {
	errors  int
	until   time.Duration
	samples []sample
}

type sample struct {
	at   time.Duration
	took time.Duration
	bad  bool
}

// world is one pool under one policy.
type world struct {
	pool    Pool
	policy  Policy
	fault   Fault
	random  *rand.Rand
	now     time.Duration
	queue   queue
	servers []*server
	routers []*router
	states  []registrar.State
	// requests holds all requests in progress, free the unused slots of it.
	requests []request
	free     []int
	nextID   uint64
	onset    time.Duration

	// results
	dispatches []time.Duration
	ejections  int
	// falseEjections counts servers set aside that were not sick, by whichever policy.
	falseEjections int
	sickEjected    bool
	answered       int
	good           int
	late           int
	first          int
	extra          int
}

func newWorld(pool Pool, policy Policy, fault Fault, seed uint64) *world {
	w := &world{
		pool: pool, policy: policy, fault: fault,
		random: rand.New(rand.NewPCG(seed, 3)),
		onset:  math.MaxInt64,
	}
	w.states = make([]registrar.State, pool.Servers)
	for i := range pool.Servers {
		w.servers = append(w.servers, &server{index: i})
		w.routers = append(w.routers, &router{budget: retrier.New(0.08), local: make([]local, pool.Servers)})
		w.start(i)
	}
	w.refresh()
	for i := range pool.Servers {
		w.push(event{kind: eventTick, index: i}, time.Duration(i)*time.Millisecond)
	}
	w.push(event{kind: eventArrive}, 0)
	return w
}

func (w *world) push(e event, after time.Duration) {
	e.at = w.now + after
	w.queue.push(e)
}

func (w *world) instant() clocker.Instant {
	return clocker.Instant{Mono: w.now, Wall: time.Hour + w.now}
}

func (w *world) floor() uint32 {
	return uint32(w.pool.FloorShare * float64(w.pool.Servers*w.pool.Slots))
}

// start begins a new run of a server and its guard.
func (w *world) start(i int) {
	s := w.servers[i]
	s.incarnation = (s.incarnation>>8+1)<<8 | uint64(i+1)
	s.started = w.now
	s.inFlight = 0
	s.limiter = limiter.New(w.pool.Slots, queueSlots)
	s.controller = controller.New(s.incarnation, w.instant(), ejector.RoundLifetime)
	_ = s.controller.Announce(w.instant(), controller.Profile{
		Service: service, Slots: uint32(w.pool.Slots), FloorSlots: w.floor(), Caution: w.caution(),
		ColdStart: coldTime, EjectionTime: 10 * time.Second, MaxEjectionTime: 5 * time.Minute,
	})
	if w.policy.Joint {
		s.controller.Detector().WithJointRule()
	}
	s.ejector = ejector.New(s.incarnation, ejector.Params{
		Service: service, FloorSlots: w.floor(), Caution: w.caution(), Lifetime: ejector.RoundLifetime,
	})
	w.states[i] = s.controller.State()
}

func (w *world) caution() float64 {
	if w.policy.Caution == 0 {
		return math.Inf(1)
	}
	return w.policy.Caution
}

// refresh gives all routers a pool with the present states.
func (w *world) refresh() {
	for index, r := range w.routers {
		next := &tracker.Pool{Typical: tracker.New(0, 0, 0)}
		if r.pool != nil {
			next.Typical = r.pool.Typical
		}
		for i, s := range w.servers {
			next.Entries = append(next.Entries, tracker.Entry{Member: w.member(i), Server: w.view(r, s)})
		}
		w.routers[index].pool = next
	}
}

func (w *world) view(r *router, s *server) *tracker.Server {
	if r.pool != nil {
		if entry, ok := r.pool.Find(s.incarnation); ok {
			return entry.Server
		}
	}
	return tracker.New(s.incarnation, w.now, coldTime)
}

func (w *world) member(i int) registrar.Member {
	return registrar.Member{
		Incarnation: w.servers[i].incarnation,
		Zone:        string(rune('a' + i%zones)),
		Service:     service,
		Slots:       uint32(w.pool.Slots),
		State:       w.states[i],
	}
}

func (w *world) members() []registrar.Member {
	members := make([]registrar.Member, 0, len(w.servers))
	for i := range w.servers {
		members = append(members, w.member(i))
	}
	return members
}

func (w *world) delay(from, to int) time.Duration {
	delay := betweenZones
	if from%zones == to%zones {
		delay = withinZone
	}
	if w.fault.Path > 0 && w.sickNow() && from == 1 && to == 0 {
		delay += w.fault.Path
	}
	return delay
}

// sickNow tells whether the fault is on.
func (w *world) sickNow() bool {
	if w.now < w.onset {
		return false
	}
	if w.fault.Period == 0 {
		return true
	}
	return (w.now-w.onset)/w.fault.Period%2 == 0
}

func (w *world) sick(i int) bool {
	return w.sickNow() && (w.fault.Whole || i == 0) && w.fault.Path == 0 && !w.fault.BadRoute && !w.fault.BadCaller
}

// run steps until a moment of virtual time.
func (w *world) run(until time.Duration) {
	for len(w.queue.events) > 0 && w.queue.events[0].at <= until {
		e := w.queue.pop()
		w.now = e.at
		w.step(e)
	}
	w.now = until
}

func (w *world) step(e event) {
	switch e.kind {
	case eventArrive:
		w.arrive()
	case eventReach:
		w.reach(e.request)
	case eventFinish:
		w.finish(e.request)
	case eventReply:
		w.reply(e.request)
	case eventTick:
		w.tick(e.index)
	case eventCall:
		e.call()
	}
}

func (w *world) call(after time.Duration, do func()) {
	w.push(event{kind: eventCall, call: do}, after)
}

// arrive begins a request at a random router and plans the next.
func (w *world) arrive() {
	capacity := float64(w.pool.Servers*w.pool.Slots) / (medianTime.Seconds() * math.Exp(spread*spread/2) *
		(1 + tailShare*(tailFactor-1)))
	rate := capacity * w.pool.Load
	if w.pool.Bursts && w.now%time.Minute < 2*time.Second {
		rate *= 2
	}
	w.push(event{kind: eventArrive}, time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)))
	slot := w.take()
	w.nextID++
	w.requests[slot] = request{
		router: w.random.IntN(len(w.routers)), born: w.now, id: w.nextID,
		origin: detector.Origin{Caller: w.random.Uint64N(callers), Route: w.random.Uint64N(routes)},
	}
	w.first++
	w.routers[w.requests[slot].router].budget.First()
	w.send(slot)
}

func (w *world) take() int {
	if len(w.free) == 0 {
		w.requests = append(w.requests, request{})
		return len(w.requests) - 1
	}
	slot := w.free[len(w.free)-1]
	w.free = w.free[:len(w.free)-1]
	return slot
}

// send makes one attempt.
func (w *world) send(slot int) {
	r := &w.requests[slot]
	target, ok := w.choose(r)
	if !ok {
		w.done(slot, false)
		return
	}
	r.server = target
	r.generation = w.servers[target].incarnation
	r.sent = w.now
	r.refused = false
	r.bad = false
	r.tried[r.tries] = r.generation
	r.tries++
	if entry, found := w.routers[r.router].pool.Find(r.generation); found {
		entry.Server.Begin(w.now)
	}
	w.push(event{kind: eventReach, request: slot}, w.delay(r.router, target))
}

func (w *world) choose(r *request) (int, bool) {
	if w.policy.RoundRobin {
		return w.nextInTurn(r)
	}
	query := picker.Query{
		Self:       w.servers[r.router].incarnation,
		Zone:       string(rune('a' + r.router%zones)),
		Now:        w.now,
		Random:     w.random.Uint64(),
		Idempotent: true,
	}
	for _, tried := range r.tried[:r.tries] {
		query = query.WithTried(tried)
	}
	entry, _ := picker.Pick(w.routers[r.router].pool, query)
	if entry.Server == nil {
		return 0, false
	}
	return int(entry.Member.Incarnation&0xFF) - 1, true
}

// nextInTurn is the baselines' choice.
func (w *world) nextInTurn(r *request) (int, bool) {
	at := w.routers[r.router]
	for range len(w.servers) {
		at.turn = (at.turn + 1) % len(w.servers)
		if w.now >= at.local[at.turn].until && w.states[at.turn].Working() {
			return at.turn, true
		}
	}
	return 0, false
}

// reach is the arrival of an attempt at its guard.
func (w *world) reach(slot int) {
	r := &w.requests[slot]
	s := w.servers[r.server]
	deadline := clocker.Instant{Mono: r.born + patience, Wall: time.Hour + r.born + patience}
	if s.incarnation != r.generation || s.controller.State() == registrar.StateEjected {
		w.refuse(slot)
		return
	}
	r.reached = w.now
	switch s.limiter.Admit(w.instant(), uint64(slot), deadline) {
	case limiter.Started:
		w.dispatch(slot)
	case limiter.Queued:
	default:
		w.refuse(slot)
	}
}

func (w *world) refuse(slot int) {
	r := &w.requests[slot]
	r.refused = true
	w.push(event{kind: eventReply, request: slot}, w.delay(r.server, r.router))
}

// dispatch hands a request to the server.
func (w *world) dispatch(slot int) {
	r := &w.requests[slot]
	s := w.servers[r.server]
	r.began = w.now
	if r.server == 0 && w.now >= w.onset {
		w.dispatches = append(w.dispatches, w.now)
	}
	s.inFlight++
	s.controller.Detector().Start(w.instant(), uint64(slot))
	took, bad := w.serviceTime(r)
	r.bad = bad
	left := r.born + patience - w.now
	w.push(event{kind: eventFinish, request: slot}, min(took, max(left, time.Millisecond)))
}

func (w *world) serviceTime(r *request) (time.Duration, bool) {
	factor := math.Exp(spread * w.random.NormFloat64())
	if w.random.Float64() < tailShare {
		factor *= tailFactor
	}
	if w.now-w.servers[r.server].started < coldTime {
		factor *= coldFactor
	}
	bad := w.random.Float64() < 0.001
	if w.sickNow() && (w.fault.BadRoute && r.origin.Route == 0 || w.fault.BadCaller && r.origin.Caller == 0) {
		bad = true
	}
	if w.sick(r.server) {
		if w.fault.Factor > 0 {
			factor *= w.fault.Factor
		}
		bad = bad || w.random.Float64() < w.fault.Share
		if w.fault.Hang {
			factor = 1e6
		}
	}
	return time.Duration(factor * float64(medianTime)), bad
}

// finish is the end of a request at the server, or its deadline there.
func (w *world) finish(slot int) {
	r := &w.requests[slot]
	s := w.servers[r.server]
	if s.incarnation != r.generation {
		w.refuse(slot)
		return
	}
	censored := w.now-r.born >= patience
	s.inFlight--
	s.controller.Detector().Finish(w.instant(), uint64(slot), r.bad, censored, r.origin)
	_ = s.controller.Observe(w.instant(), !r.bad && !censored)
	if !censored {
		s.limiter.Observe(w.now - r.began)
	}
	started, refused := s.limiter.Release(w.instant())
	for _, next := range started {
		w.dispatch(int(next))
	}
	for _, next := range refused {
		w.refuse(int(next))
	}
	w.push(event{kind: eventReply, request: slot}, w.delay(r.server, r.router))
}

// reply is the end of an attempt at the router.
func (w *world) reply(slot int) {
	r := &w.requests[slot]
	at := w.routers[r.router]
	took := w.now - r.sent
	if entry, found := at.pool.Find(r.generation); found {
		entry.Server.End()
		if !r.refused {
			penalty := time.Duration(0)
			if r.bad {
				penalty = 500 * time.Millisecond
			}
			entry.Server.Answered(w.now, took+penalty, int64(w.servers[r.server].inFlight))
			at.pool.Typical.Observe(took)
		}
	}
	w.learn(at, r, took)
	expired := w.now-r.born >= patience
	if !expired && (r.refused || r.bad) && r.tries < maxTries && at.budget.Take() {
		if !r.refused {
			w.extra++
		}
		w.send(slot)
		return
	}
	w.done(slot, !r.refused && !r.bad && !expired)
}

func (w *world) done(slot int, good bool) {
	r := &w.requests[slot]
	if w.now >= w.onset || w.onset == math.MaxInt64 {
		w.answered++
		if good {
			w.good++
		}
		if w.now-r.born >= patience {
			w.late++
		}
	}
	w.free = append(w.free, slot)
}

// learn is the baselines' ejection, by each router for itself.
func (w *world) learn(at *router, r *request, took time.Duration) {
	if w.policy.ConsecutiveErrors == 0 && !w.policy.Window || r.refused {
		return
	}
	kept := &at.local[r.server]
	bad := r.bad || w.now-r.born >= patience
	if w.policy.ConsecutiveErrors > 0 {
		kept.errors++
		if !bad {
			kept.errors = 0
		}
		if kept.errors >= w.policy.ConsecutiveErrors {
			kept.errors = 0
			w.setAside(at, r.server)
		}
		return
	}
	kept.samples = append(kept.samples, sample{at: w.now, took: took, bad: bad})
}

const (
	localEjection = 10 * time.Second
	window        = 10 * time.Second
	windowSamples = 20
	windowFactor  = 2.0
	windowErrors  = 0.10
	maxAside      = 0.34
)

func (w *world) setAside(at *router, index int) {
	aside := 0
	for i := range at.local {
		if w.now < at.local[i].until {
			aside++
		}
	}
	if float64(aside+1) > maxAside*float64(len(at.local)) {
		return
	}
	at.local[index].until = w.now + localEjection
	w.noteEjection(index)
}

func (w *world) noteEjection(index int) {
	w.ejections++
	if w.sick(index) {
		w.sickEjected = true
		return
	}
	w.falseEjections++
}

// judgeWindow is the baseline with a fixed threshold on a window.
func (w *world) judgeWindow(at *router) {
	var total time.Duration
	var count int
	means := make([]time.Duration, len(at.local))
	shares := make([]float64, len(at.local))
	for i := range at.local {
		kept := &at.local[i]
		for len(kept.samples) > 0 && w.now-kept.samples[0].at > window {
			kept.samples = kept.samples[1:]
		}
		for _, s := range kept.samples {
			means[i] += s.took
			if s.bad {
				shares[i]++
			}
		}
		total += means[i]
		count += len(kept.samples)
		means[i] /= time.Duration(max(len(kept.samples), 1))
		shares[i] /= float64(max(len(kept.samples), 1))
	}
	overall := total / time.Duration(max(count, 1))
	for i := range at.local {
		enough := len(at.local[i].samples) >= windowSamples && w.now >= at.local[i].until
		if enough && (float64(means[i]) > windowFactor*float64(overall) || shares[i] > windowErrors) {
			at.local[i].samples = nil
			w.setAside(at, i)
		}
	}
}

// tick drives one guard, and the ejector beside it.
func (w *world) tick(i int) {
	w.push(event{kind: eventTick, index: i}, tickPeriod)
	s := w.servers[i]
	if w.pool.Restarts && w.now > settleTime && w.random.IntN(60000) == 0 {
		w.start(i)
		w.refresh()
		return
	}
	if w.policy.Window && w.now%time.Second < tickPeriod {
		w.judgeWindow(w.routers[i])
	}
	_ = s.controller.Tick(w.instant(), w.healthy())
	s.controller.TakeChanges()
	w.spread(i)
	if s.controller.Due(w.instant()) {
		w.report(s)
	}
	w.perform(s, s.ejector.Tick(w.instant()))
}

func (w *world) healthy() uint32 {
	var slots uint32
	for _, s := range w.servers {
		if s.controller.State().Healthy() {
			slots += uint32(w.pool.Slots)
		}
	}
	return slots
}

// spread tells the routers of a change of state after a while.
func (w *world) spread(i int) {
	state := w.servers[i].controller.State()
	if w.states[i] == state {
		return
	}
	w.states[i] = state
	w.call(gossipDelay, w.refresh)
}

func (w *world) report(s *server) {
	elected, ok := ejector.Elected(service, w.members())
	if !ok || w.policy.RoundRobin {
		return
	}
	to := w.servers[int(elected.Incarnation&0xFF)-1]
	evidence := s.controller.Evidence()
	from := s.incarnation
	w.call(w.delay(s.index, to.index), func() {
		baseline, actions := to.ejector.Report(w.instant(), w.members(), from, evidence)
		w.call(w.delay(to.index, s.index), func() { s.controller.Detector().SetBaseline(baseline) })
		w.perform(to, actions)
	})
}

func (w *world) perform(from *server, actions []ejector.Action) {
	for _, action := range actions {
		to := w.servers[int(action.Member.Incarnation&0xFF)-1]
		switch action.Kind {
		case ejector.ActionLock:
			w.call(w.delay(from.index, to.index), func() {
				answer := to.controller.Lock(w.instant(), action.Term, service)
				w.call(w.delay(to.index, from.index), func() {
					w.perform(from, from.ejector.Locked(w.instant(), action.Term, action.Member.Incarnation, answer))
				})
			})
		case ejector.ActionOrder:
			w.call(w.delay(from.index, to.index), func() { w.order(from, to, action) })
		case ejector.ActionDecline:
		}
	}
}

func (w *world) order(from, to *server, action ejector.Action) {
	ejection, err := to.controller.Order(w.instant(), action.Term, action.Member.Incarnation, action.Order)
	if ejection != nil {
		w.noteEjection(to.index)
		for _, waiting := range to.limiter.Clear() {
			w.refuse(int(waiting))
		}
	}
	w.call(w.delay(to.index, from.index), func() {
		w.perform(from, from.ejector.Ordered(w.instant(), action.Term, action.Member.Incarnation, action.Order, err == nil))
	})
}
