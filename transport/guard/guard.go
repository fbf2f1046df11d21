// Package guard stands beside one backend server: it alone hands requests to
// it, counts its slots, measures it, and obeys orders to set it aside.
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/deliverer"
)

const (
	// TickPeriod is how often Tick is to be called.
	TickPeriod = 10 * time.Millisecond
	// announcementTTL is how long a backend server counts as present after its last announcement.
	announcementTTL = 6 * time.Second
	// drainPollPeriod is how often a drain looks whether requests are still in flight.
	drainPollPeriod = 5 * time.Millisecond
)

// Dependencies are what a guard needs of its process.
type Dependencies struct {
	Incarnation uint64
	Log         *slog.Logger
	Now         func() clocker.Instant
	// Catalog returns the configuration in force.
	Catalog func() cataloger.Catalog
	// OnChange is called, without locks held, after the state or the slots changed.
	OnChange func()
	Limits   deduplicator.Limits
	// Servers reads and writes the header fields of the backend server.
	Servers interpreter.Servers
	// RoundLifetime is that of an ejection round.
	RoundLifetime time.Duration
}

// Guard stands beside one backend server. It is safe for concurrent use.
type Guard struct {
	deps      Dependencies
	deliverer *deliverer.Deliverer

	mu           sync.Mutex
	limiter      *limiter.Limiter
	deduplicator *deduplicator.Deduplicator
	controller   *controller.Controller
	breaker      *breaker.Breaker
	// budget bounds the repeats that the backend server is given.
	budget *retrier.Budget
	// nesting tells the calls of the backend server from callers' requests.
	nesting *retrier.NestingEstimator
	// typical holds the typical service times by route.
	typical *limiter.TypicalTimes
	// running holds the requests that are at the backend server.
	running          map[uint64]*task
	lastAnnouncement Announcement
	lastHeard        clocker.Instant
	service          cataloger.Service
	server           cataloger.BackendServer
	policy           cataloger.Policy
	// waiters holds a channel for each queued request; true starts it.
	waiters map[uint64]chan bool
	nextID  uint64
	// active counts the requests between their start and their end.
	active int
}

// New returns a guard without a backend server.
func New(deps Dependencies) *Guard {
	return &Guard{
		deps:         deps,
		deliverer:    deliverer.New(maxIdleConnections),
		limiter:      limiter.New(0, 0),
		deduplicator: deduplicator.New(deps.Limits),
		controller:   controller.New(deps.Incarnation, deps.Now(), deps.RoundLifetime),
		breaker:      breaker.New(0),
		budget:       retrier.New(0),
		nesting:      retrier.NewNestingEstimator(),
		typical:      limiter.NewTypicalTimes(),
		running:      map[uint64]*task{},
		waiters:      map[uint64]chan bool{},
	}
}

// maxIdleConnections bounds the idle connections to the backend server.
const maxIdleConnections = 64

// Errors of announcements.
var (
	ErrUnknownBackendServer = eris.New("no BackendServer object of that name is in force")
	ErrLeaving              = eris.New("the process is leaving")
)

// SetAllowance takes what may be spent on repeats at the backend server.
func (g *Guard) SetAllowance(allowance func(service string) retrier.Allowance) {
	g.mu.Lock()
	service := g.service.Name
	g.mu.Unlock()
	g.budget.SetAllowance(allowance(service))
}

// NestedCall tells whether a request that begins on this VM may have been called by
// the backend server, and how likely the run that called it was a repeated one.
func (g *Guard) NestedCall(route uint64) (called bool, derived float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	repeats := 0
	for _, work := range g.running {
		if work.head.Earlier > 0 {
			repeats++
		}
	}
	derived = g.nesting.DerivedProbability(route, len(g.running), repeats)
	return g.nesting.MayBeNested(route, len(g.running)), derived
}

// MemberStatus returns what the fleet is told of the backend server.
func (g *Guard) MemberStatus() controller.MemberStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.MemberStatus()
}

// logTransitions logs the transitions since the last call and tells whether there were any.
func (g *Guard) logTransitions(reason string) bool {
	changes := g.controller.TakeTransitions()
	for _, change := range changes {
		g.deps.Log.Info("StateChanged", "Service", g.service.Name, "From", change.From.String(),
			"To", change.To.String(), "Trigger", string(change.Trigger), "Reason", reason)
	}
	return len(changes) > 0
}

// Tick applies what time alone changes. HealthySlots returns the healthy
// capacity of a service in this process's view.
func (g *Guard) Tick(healthySlots func(service string) uint32) {
	g.mu.Lock()
	if err := g.tick(healthySlots); err != nil {
		g.deps.Log.Error("TickFailed", "Error", err)
	}
	changed := g.logTransitions("Tick")
	g.mu.Unlock()
	if changed {
		g.deps.OnChange()
	}
}

func (g *Guard) tick(healthySlots func(service string) uint32) error {
	now := g.deps.Now()
	g.recordOverdue(now)
	if g.controller.Present() && !g.controller.Leaving() && now.Since(g.lastHeard) > announcementTTL {
		return g.controller.MarkLost(now)
	}
	return g.controller.Tick(now, healthySlots(g.controller.Service()))
}

const (
	// overdueFactor is how many times its usual time an answer may take before
	// the server counts as failing.
	overdueFactor = 4
	// minOverdueTime is the least time of an overdue answer.
	minOverdueTime = time.Second
)

// recordOverdue tells the breaker of requests that take much longer than is usual.
func (g *Guard) recordOverdue(now clocker.Instant) {
	for _, work := range g.running {
		typical := g.typical.Time(work.head.Route)
		if work.overdue || typical == 0 || now.Since(work.sent) < max(minOverdueTime, overdueFactor*typical) {
			continue
		}
		work.overdue = true
		g.recordFailure(now, work, "Overdue")
	}
}

// Lock answers a lock request of an ejector.
func (g *Guard) Lock(term locker.Term, service string) ejector.LockReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Lock(g.deps.Now(), term, service)
}

// Order obeys or refuses an order of an ejector.
func (g *Guard) Order(term locker.Term, incarnation uint64, kind ejector.OrderKind) error {
	g.mu.Lock()
	ejection, err := g.controller.Order(g.deps.Now(), term, incarnation, kind)
	g.logTransitions("Ordered")
	if ejection != nil {
		g.refuseQueued()
	}
	g.mu.Unlock()
	if err != nil {
		g.deps.Log.Info("OrderRefused", "Order", kind.String(), "Term", term.Counter, "Reason", err)
		return fmt.Errorf("obeying the order %s: %w", kind, err)
	}
	if ejection != nil {
		g.logEjection(term, *ejection)
	}
	g.deps.OnChange()
	return nil
}

func (g *Guard) logEjection(term locker.Term, ejection controller.Ejection) {
	g.deps.Log.Info("Ejected", "Term", term.Counter, "Lasting", ejection.Duration,
		"Cause", ejection.Evidence.Cause.String(), "Suspicion", ejection.Evidence.Suspicion,
		"MeanLog", ejection.Evidence.MeanLog, "BadShare", ejection.Evidence.BadShare)
}

// Report returns the digest to send to the ejector if one is due.
func (g *Guard) Report() (string, detector.Evidence, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.controller.ReportDue(g.deps.Now()) {
		return "", detector.Evidence{}, false
	}
	return g.controller.Service(), g.controller.Evidence(), true
}

// SetBaseline takes the pool's measure from the ejector.
func (g *Guard) SetBaseline(baseline detector.Baseline) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Detector().SetBaseline(baseline)
}

// Resolve settles an attempt whose answer a router has lost.
func (g *Guard) Resolve(id deduplicator.AttemptID, key string, issuedMs int64) (deduplicator.State, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deduplicator.Resolve(g.deps.Now(), id, key, issuedMs)
}

// Leave takes the backend server out of service: it stays until no ejection
// round counts on it, then refuses new work, and returns when the last request
// in flight has ended.
func (g *Guard) Leave(ctx context.Context) error {
	g.mu.Lock()
	delay := g.controller.BeginLeave(g.deps.Now())
	g.mu.Unlock()
	if err := pause(ctx, delay); err != nil {
		return fmt.Errorf("waiting for ejection rounds: %w", err)
	}
	if err := g.refuseNewWork(); err != nil {
		return fmt.Errorf("refusing new work: %w", err)
	}
	g.deps.OnChange()
	for !g.drained() {
		if err := pause(ctx, drainPollPeriod); err != nil {
			return fmt.Errorf("draining: %w", err)
		}
	}
	g.mu.Lock()
	err := g.controller.MarkDrained(g.deps.Now())
	g.logTransitions("Drained")
	g.mu.Unlock()
	g.deps.OnChange()
	if err != nil {
		return fmt.Errorf("ending the drain: %w", err)
	}
	return nil
}

func (g *Guard) refuseNewWork() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.controller.Leave(g.deps.Now())
	g.logTransitions("Stop")
	g.refuseQueued()
	return err
}

// refuseQueued refuses the queued requests, which can still run elsewhere. The lock is held.
func (g *Guard) refuseQueued() {
	for _, id := range g.limiter.Clear() {
		g.notifyWaiter(id, false)
	}
}

func (g *Guard) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active == 0 && len(g.waiters) == 0
}

// RanKeys returns the keys that were handed to the backend server.
func (g *Guard) RanKeys() []deduplicator.RanKey {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deduplicator.RanKeys()
}

// Load returns the requests in flight and waiting.
func (g *Guard) Load() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.InFlight(), g.limiter.Waiting()
}

// Evidence returns the present digest and how long an ejection still lasts.
func (g *Guard) Evidence() (detector.Evidence, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Evidence(), g.controller.EjectionRemaining(g.deps.Now())
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("pausing: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
