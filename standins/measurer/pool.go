// Package measurer runs the program's decision code, and baselines for comparison, in a discrete-event
// simulation of a small pool.
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
	// medianServiceTime and serviceTimeSpread describe a healthy server's log-normal service time;
	// serviceTimeSpread is the standard deviation of its natural logarithm.
	medianServiceTime = 40 * time.Millisecond
	serviceTimeSpread = 0.3
	// tailShare is the fraction of requests that take tailFactor times as long.
	tailShare  = 0.005
	tailFactor = 8
	// interZoneDelay and intraZoneDelay are one-way network delays.
	interZoneDelay = 1500 * time.Microsecond
	intraZoneDelay = 50 * time.Microsecond
	zones          = 3
	// requestTimeout is the deadline of each request, counted from its arrival.
	requestTimeout = time.Second
	tickPeriod     = 10 * time.Millisecond
	// gossipDelay is how long a change of state takes to reach the routers.
	gossipDelay = 300 * time.Millisecond
	queueSlots  = 8
	// warmupTime is how long a pool runs before measurement.
	warmupTime  = 20 * time.Second
	coldTime    = 5 * time.Second
	coldFactor  = 3
	maxAttempts = 3
	// callers and routes are the numbers of distinct origins of requests.
	callers = 64
	routes  = 8
)

// Policy selects how routers pick servers and how servers are ejected.
type Policy struct {
	Name string
	// EvidenceThreshold is that of the ejector; 0 disables ejection.
	EvidenceThreshold float64
	// DistinctOrigins requires bad responses from several callers and routes.
	DistinctOrigins bool
	// RoundRobin picks servers in turn, regardless of load.
	RoundRobin bool
	// ConsecutiveErrors, if set, lets each router eject a server after that many bad responses in a row.
	ConsecutiveErrors int
	// Window lets each router eject a server by fixed thresholds over windowLength.
	Window bool
}

// Fault describes what is wrong with the pool.
type Fault struct {
	Name string
	// Factor multiplies the service times of the faulty server, 0 leaves them; ErrorShare is the
	// additional fraction of bad responses.
	Factor     float64
	ErrorShare float64
	Hang       bool
	FlapPeriod time.Duration
	// AllServers makes all servers faulty instead of the first. PathDelay delays only the path from one
	// router to one server and makes no server faulty.
	AllServers bool
	PathDelay  time.Duration
	// BadRoute and BadCaller fail the requests of one route or caller at every server.
	BadRoute  bool
	BadCaller bool
}

// Pool describes the simulated pool.
type Pool struct {
	Servers int
	Slots   int
	// Load is the arrival rate as a fraction of capacity.
	Load float64
	// FloorShare is the floor as a fraction of all slots.
	FloorShare float64
	// Restarts restarts servers at random. Bursts doubles the arrival rate for 2 s every minute.
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
	router, server    int
	generation        uint64
	arrivedAt, sentAt time.Duration
	reachedAt         time.Duration
	startedAt         time.Duration
	id                uint64
	attempts          int
	tried             [maxAttempts]uint64
	bad, refused      bool
	origin            detector.Origin
}

type router struct {
	pool       *tracker.Pool
	budget     *retrier.Budget
	lastServer int
	local      []localStats
}

// localStats is what a router of a baseline records about one server.
type localStats struct {
	errors       int
	ejectedUntil time.Duration
	samples      []sample
}

type sample struct {
	at   time.Duration
	took time.Duration
	bad  bool
}

// world is the simulation of one pool under one policy and fault.
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
	// requests holds all requests in progress; free holds its unused indices.
	requests []request
	free     []int
	nextID   uint64
	// onset is when the fault begins.
	onset time.Duration

	// dispatches are the times at which the first server received a request since the onset. The
	// fields from here on are results.
	dispatches []time.Duration
	ejections  int
	// falseEjections counts ejections of servers that were not faulty, under any policy.
	falseEjections int
	faultyEjected  bool
	answered       int
	good           int
	late           int
	arrivals       int
	extraRuns      int
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
		w.routers = append(w.routers, &router{budget: retrier.New(0.08), local: make([]localStats, pool.Servers)})
		w.startRun(i)
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

// startRun starts a new incarnation of a server and its guard.
func (w *world) startRun(i int) {
	s := w.servers[i]
	s.incarnation = (s.incarnation>>8+1)<<8 | uint64(i+1)
	s.started = w.now
	s.inFlight = 0
	s.limiter = limiter.New(w.pool.Slots, queueSlots)
	s.controller = controller.New(s.incarnation, w.instant(), ejector.RoundLifetime)
	_ = s.controller.Announce(w.instant(), controller.Config{
		Service: service, Slots: uint32(w.pool.Slots), FloorSlots: w.floor(), EvidenceThreshold: w.evidenceThreshold(),
		ColdStart: coldTime, EjectionTime: 10 * time.Second, MaxEjectionTime: 5 * time.Minute,
	})
	if w.policy.DistinctOrigins {
		s.controller.Detector().RequireDistinctOrigins()
	}
	s.ejector = ejector.New(s.incarnation, ejector.Params{
		Service: service, FloorSlots: w.floor(), EvidenceThreshold: w.evidenceThreshold(), RoundLifetime: ejector.RoundLifetime,
	})
	w.states[i] = s.controller.State()
}

func (w *world) evidenceThreshold() float64 {
	if w.policy.EvidenceThreshold == 0 {
		return math.Inf(1)
	}
	return w.policy.EvidenceThreshold
}

// refresh rebuilds the routers' pools from the current states.
func (w *world) refresh() {
	for index, r := range w.routers {
		next := &tracker.Pool{Aggregate: tracker.New(0, 0, 0)}
		if r.pool != nil {
			next.Aggregate = r.pool.Aggregate
		}
		for i, s := range w.servers {
			next.Entries = append(next.Entries, tracker.Entry{Member: w.member(i), Server: w.trackedServer(r, s)})
		}
		w.routers[index].pool = next
	}
}

func (w *world) trackedServer(r *router, s *server) *tracker.Server {
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
	delay := interZoneDelay
	if from%zones == to%zones {
		delay = intraZoneDelay
	}
	if w.fault.PathDelay > 0 && w.faultActive() && from == 1 && to == 0 {
		delay += w.fault.PathDelay
	}
	return delay
}

// faultActive reports whether the fault is on. A flapping fault is on in every other FlapPeriod.
func (w *world) faultActive() bool {
	if w.now < w.onset {
		return false
	}
	if w.fault.FlapPeriod == 0 {
		return true
	}
	return (w.now-w.onset)/w.fault.FlapPeriod%2 == 0
}

func (w *world) isFaulty(i int) bool {
	return w.faultActive() && (w.fault.AllServers || i == 0) && w.fault.PathDelay == 0 && !w.fault.BadRoute && !w.fault.BadCaller
}

// run processes events up to a point in virtual time.
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
		w.reachGuard(e.request)
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

func (w *world) schedule(after time.Duration, do func()) {
	w.push(event{kind: eventCall, call: do}, after)
}
