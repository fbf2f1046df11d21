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
	_ = s.controller.Announce(w.instant(), controller.Config{
		Service: service, Slots: uint32(w.pool.Slots), FloorSlots: w.floor(), EvidenceThreshold: w.caution(),
		ColdStart: coldTime, EjectionTime: 10 * time.Second, MaxEjectionTime: 5 * time.Minute,
	})
	if w.policy.Joint {
		s.controller.Detector().RequireDistinctOrigins()
	}
	s.ejector = ejector.New(s.incarnation, ejector.Params{
		Service: service, FloorSlots: w.floor(), EvidenceThreshold: w.caution(), RoundLifetime: ejector.RoundLifetime,
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
		next := &tracker.Pool{Aggregate: tracker.New(0, 0, 0)}
		if r.pool != nil {
			next.Aggregate = r.pool.Aggregate
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
