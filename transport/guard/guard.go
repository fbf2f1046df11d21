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

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/dispatcher"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/coordination/supervisor"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/deliverer"
)

const (
	// TickPeriod is how often Tick is to be called.
	TickPeriod = 10 * time.Millisecond
	// announceLifetime is how long a backend server counts as present after its last announcement.
	announceLifetime = 6 * time.Second
	// drainPoll is how often a drain looks whether requests are still in flight.
	drainPoll = 5 * time.Millisecond
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	// BackendServer names the BackendServer object that describes the server.
	BackendServer string `json:"BackendServer" yaml:"BackendServer" validate:"required,max=100"`
	// Address is the IP:port where the server takes HTTP requests.
	Address string `json:"Address" yaml:"Address" validate:"required,hostname_port"`
	// Run is unique to one run of the server.
	Run string `json:"Run" yaml:"Run" validate:"required,max=100"`
}

// Dependencies are what a guard needs of its process.
type Dependencies struct {
	Incarnation uint64
	Log         *slog.Logger
	Now         func() clocker.Instant
	// Catalog returns the configuration in force.
	Catalog func() cataloger.Catalog
	// Changed is called, without locks held, after the state or the slots changed.
	Changed func()
	Limits  dispatcher.Limits
	// Lifetime is that of an ejection round.
	Lifetime time.Duration
}

// Guard stands beside one backend server. It is safe for concurrent use.
type Guard struct {
	deps      Dependencies
	deliverer *deliverer.Deliverer

	mu         sync.Mutex
	limiter    *limiter.Limiter
	dispatcher *dispatcher.Dispatcher
	detector   *detector.Detector
	locker     locker.Locker
	// supervisor is nil before the first announcement.
	supervisor *supervisor.Supervisor
	announced  Announcement
	heard      clocker.Instant
	present    bool
	service    cataloger.Service
	server     cataloger.BackendServer
	policy     cataloger.Policy
	// waiters holds a channel for each queued request; true starts it.
	waiters map[uint64]chan bool
	nextID  uint64
	// active counts the requests between their start and their end.
	active int
	// leaving is set once a stop was asked for; no lock is taken from then on.
	leaving bool
	// severity is the evidence at the time of the present ejection.
	severity detector.Evidence
}

// New returns a guard without a backend server.
func New(deps Dependencies) *Guard {
	return &Guard{
		deps:       deps,
		deliverer:  deliverer.New(maxIdleConnections),
		limiter:    limiter.New(0, 0),
		dispatcher: dispatcher.New(deps.Limits),
		detector:   detector.New(defaultCaution),
		locker:     locker.New(deps.Incarnation, deps.Now(), deps.Lifetime),
		waiters:    map[uint64]chan bool{},
	}
}

const (
	maxIdleConnections = 64
	defaultCaution     = 24
)

// Errors of announcements.
var (
	ErrNoObject = eris.New("no BackendServer object of that name is in force")
	ErrLeaving  = eris.New("the process is leaving")
)

// Announce takes the word of the backend server beside that it is there.
func (g *Guard) Announce(announcement Announcement) error {
	g.mu.Lock()
	changed, err := g.announce(announcement)
	g.mu.Unlock()
	if err != nil {
		return fmt.Errorf("taking the announcement of %q: %w", announcement.BackendServer, err)
	}
	if changed {
		g.deps.Changed()
	}
	return nil
}

func (g *Guard) announce(announcement Announcement) (bool, error) {
	if g.leaving {
		return false, ErrLeaving
	}
	catalog := g.deps.Catalog()
	server, ok := catalog.Server(announcement.BackendServer)
	if !ok {
		return false, ErrNoObject
	}
	now := g.deps.Now()
	g.heard = now
	renewed := g.present && announcement == g.announced
	g.announced = announcement
	if renewed {
		return g.adopt(catalog, server), nil
	}
	g.present = true
	g.adopt(catalog, server)
	g.deliverer.SetAddress(announcement.Address)
	if g.supervisor == nil {
		g.supervisor = supervisor.New(now, g.times())
	} else {
		g.fire(now, supervisor.TriggerLost, "NewRun")
	}
	g.detector.Reset(now)
	g.deps.Log.Info("Announced", "BackendServer", server.Name, "Service", server.Service,
		"Address", announcement.Address, "Slots", server.Slots)
	return true, nil
}

// adopt takes the objects of the version in force and tells whether they differ.
func (g *Guard) adopt(catalog cataloger.Catalog, server cataloger.BackendServer) bool {
	service, _ := catalog.Service(server.Service)
	policy, _ := catalog.PolicyOf(server.Service)
	if server == g.server && service == g.service && policy == g.policy {
		return false
	}
	g.server, g.service, g.policy = server, service, policy
	g.limiter.Resize(int(server.Slots), int(server.QueueSlots))
	g.detector.WithCaution(policy.Caution)
	if g.supervisor != nil {
		g.supervisor.WithTimes(g.times())
	}
	return true
}

func (g *Guard) times() supervisor.Times {
	return supervisor.Times{
		Warm:        max(g.server.ColdStart, 2*g.deps.Lifetime),
		Ejection:    g.policy.EjectionTime,
		MaxEjection: g.policy.MaxEjectionTime,
	}
}

// Configure takes a newer version of the configuration.
func (g *Guard) Configure() {
	g.mu.Lock()
	catalog := g.deps.Catalog()
	server, ok := catalog.Server(g.announced.BackendServer)
	changed := g.present && ok && g.adopt(catalog, server)
	g.mu.Unlock()
	if changed {
		g.deps.Changed()
	}
}

// Standing is what the fleet is told of the backend server.
type Standing struct {
	Service string
	Slots   uint32
	State   registrar.State
}

// Standing returns the present standing.
func (g *Guard) Standing() Standing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.standing()
}

func (g *Guard) standing() Standing {
	if !g.present && !g.leaving {
		return Standing{State: registrar.StateStarting}
	}
	return Standing{Service: g.service.Name, Slots: g.server.Slots, State: g.state()}
}

func (g *Guard) state() registrar.State {
	if g.supervisor == nil {
		if g.leaving {
			return registrar.StateLeaving
		}
		return registrar.StateStarting
	}
	return g.supervisor.State()
}

// fire applies a trigger and logs the transition.
func (g *Guard) fire(now clocker.Instant, trigger supervisor.Trigger, reason string) {
	if err := g.supervisor.Fire(now, trigger); err != nil {
		g.deps.Log.Debug("TriggerIgnored", "Trigger", string(trigger), "Error", err)
	}
	g.logChanges(reason)
}

func (g *Guard) logChanges(reason string) bool {
	changes := g.supervisor.TakeChanges()
	for _, change := range changes {
		g.deps.Log.Info("StateChanged", "Service", g.service.Name, "From", change.From.String(),
			"To", change.To.String(), "Trigger", string(change.Trigger), "Reason", reason)
	}
	return len(changes) > 0
}

// Tick applies what time alone changes. HealthySlots returns the healthy
// capacity of the service in this process's view.
func (g *Guard) Tick(healthySlots func(service string) uint32) {
	g.mu.Lock()
	changed := g.tick(healthySlots)
	g.mu.Unlock()
	if changed {
		g.deps.Changed()
	}
}

func (g *Guard) tick(healthySlots func(service string) uint32) bool {
	if g.supervisor == nil {
		return false
	}
	now := g.deps.Now()
	if g.present && !g.leaving && now.Since(g.heard) > announceLifetime {
		g.present = false
		g.fire(now, supervisor.TriggerLost, "NoAnnouncement")
		return true
	}
	g.detector.Tick(now)
	before := g.state()
	if err := g.supervisor.Tick(now); err != nil {
		g.deps.Log.Error("TickFailed", "Error", err)
	}
	if before == registrar.StateEjected && g.state() == registrar.StateProbation {
		g.detector.Reset(now)
	}
	g.judge(now)
	g.liftBelowFloor(now, healthySlots)
	return g.logChanges("Tick")
}

// judge moves between Serving and Suspected, and back to Ejected from Probation.
// None of these lowers the healthy capacity.
func (g *Guard) judge(now clocker.Instant) {
	condemned := g.detector.Evidence().Suspicion >= g.policy.Caution
	switch g.state() {
	case registrar.StateServing:
		if condemned {
			g.fire(now, supervisor.TriggerSuspect, g.detector.Evidence().Cause.String())
		}
	case registrar.StateSuspected:
		if !g.detector.Watched() {
			g.fire(now, supervisor.TriggerClear, "Evidence")
		}
	case registrar.StateProbation:
		if condemned {
			g.severity = g.detector.Evidence()
			if _, err := g.supervisor.Eject(now); err != nil {
				g.deps.Log.Error("RelapseFailed", "Error", err)
			}
		}
	}
}

// liftBelowFloor ends the own ejection when deaths or drains took the healthy
// capacity of the service below its floor.
func (g *Guard) liftBelowFloor(now clocker.Instant, healthySlots func(service string) uint32) {
	state := g.state()
	if state != registrar.StateEjected && state != registrar.StateProbation {
		return
	}
	if healthySlots(g.service.Name) >= g.service.FloorSlots {
		return
	}
	g.detector.Reset(now)
	g.fire(now, supervisor.TriggerLift, "BelowFloor")
}

// Lock answers a lock request of an ejector.
func (g *Guard) Lock(term locker.Term, service string) (bool, locker.Term, Standing, detector.Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	standing := g.standing()
	evidence := g.evidence()
	if g.leaving || !g.present || service != g.service.Name {
		return false, g.locker.Highest(), standing, evidence
	}
	next, err := g.locker.WithLock(g.deps.Now(), term)
	if err != nil {
		g.deps.Log.Debug("LockRefused", "Term", term.Counter, "Owner", term.Owner, "Reason", err)
		return false, g.locker.Highest(), standing, evidence
	}
	g.locker = next
	return true, term, standing, evidence
}

func (g *Guard) evidence() detector.Evidence {
	if g.state() == registrar.StateEjected {
		return g.severity
	}
	return g.detector.Evidence()
}

// Order obeys or refuses an order of an ejector.
func (g *Guard) Order(term locker.Term, incarnation uint64, kind ejector.OrderKind) error {
	g.mu.Lock()
	err := g.order(term, incarnation, kind)
	g.mu.Unlock()
	if err != nil {
		g.deps.Log.Info("OrderRefused", "Order", kind.String(), "Term", term.Counter, "Reason", err)
		return fmt.Errorf("obeying the order %s: %w", kind, err)
	}
	g.deps.Changed()
	return nil
}

func (g *Guard) order(term locker.Term, incarnation uint64, kind ejector.OrderKind) error {
	now := g.deps.Now()
	if err := g.locker.CheckOrder(now, term, incarnation); err != nil {
		return fmt.Errorf("checking the lock: %w", err)
	}
	if g.supervisor == nil || g.leaving {
		return locker.ErrLeaving
	}
	if kind == ejector.OrderLift {
		if g.state() != registrar.StateEjected {
			return locker.ErrNotEjected
		}
		g.detector.Reset(now)
		g.fire(now, supervisor.TriggerLift, "Ordered")
		return nil
	}
	if !g.state().Healthy() {
		return locker.ErrNotEligible
	}
	g.severity = g.detector.Evidence()
	lasting, err := g.supervisor.Eject(now)
	if err != nil {
		return fmt.Errorf("ejecting: %w", err)
	}
	g.logChanges("Ordered")
	g.deps.Log.Info("Ejected", "Service", g.service.Name, "Lasting", lasting, "Term", term.Counter,
		"Cause", g.severity.Cause.String(), "Suspicion", g.severity.Suspicion,
		"MeanLog", g.severity.MeanLog, "BadShare", g.severity.BadShare)
	return nil
}

// Report returns the digest to send to the ejector if one is due.
func (g *Guard) Report() (string, detector.Evidence, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.present || g.leaving || !g.state().Healthy() {
		return "", detector.Evidence{}, false
	}
	if !g.detector.Due(g.deps.Now()) {
		return "", detector.Evidence{}, false
	}
	return g.service.Name, g.detector.Evidence(), true
}

// SetBaseline takes the pool's measure from the ejector.
func (g *Guard) SetBaseline(baseline detector.Baseline) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.SetBaseline(baseline)
}

// Resolve settles an attempt whose answer a router has lost.
func (g *Guard) Resolve(id dispatcher.AttemptID, issuedMs int64) (dispatcher.State, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Resolve(g.deps.Now(), id, issuedMs)
}

// Leave takes the backend server out of service: it stays until no ejection
// round counts on it, then refuses new work, and returns when the last request
// in flight has ended.
func (g *Guard) Leave(ctx context.Context) error {
	g.mu.Lock()
	g.leaving = true
	delay := g.locker.LeaveDelay(g.deps.Now())
	g.mu.Unlock()
	if err := pause(ctx, delay); err != nil {
		return fmt.Errorf("waiting for ejection rounds: %w", err)
	}
	g.refuseNewWork()
	g.deps.Changed()
	for !g.drained() {
		if err := pause(ctx, drainPoll); err != nil {
			return fmt.Errorf("draining: %w", err)
		}
	}
	g.mu.Lock()
	if g.supervisor != nil && g.state() == registrar.StateLeaving {
		g.fire(g.deps.Now(), supervisor.TriggerDrained, "Drained")
	}
	g.mu.Unlock()
	g.deps.Changed()
	return nil
}

func (g *Guard) refuseNewWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.supervisor != nil {
		g.fire(g.deps.Now(), supervisor.TriggerLeave, "Stop")
	}
	for _, id := range g.limiter.Clear() {
		g.wake(id, false)
	}
}

func (g *Guard) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active == 0 && len(g.waiters) == 0
}

// RanKeys returns the keys that were handed to the backend server.
func (g *Guard) RanKeys() []dispatcher.RanKey {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.RanKeys()
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
	if g.supervisor == nil {
		return detector.Evidence{}, 0
	}
	return g.evidence(), g.supervisor.EjectedLeft(g.deps.Now())
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
