// Package guard is the only path to the backend server on the same VM. It admits
// requests to the server's slots, deduplicates attempts, measures the server's
// health and carries out ejection orders.
package guard

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/admitter"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/forwarder"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

const (
	// TickPeriod is the interval at which the caller must call Tick. It is short
	// compared with the time in which a failing server must be detected.
	TickPeriod = 50 * time.Millisecond
	// announcementTTL is how long a backend server counts as present after its
	// last announcement or successful response.
	announcementTTL = 6 * time.Second
	// serverSilence is how long a connection to the backend server may be silent before the
	// exchange on it fails. A server that is busy still acknowledges.
	serverSilence = 4 * time.Second
	// drainPollPeriod is how often Leave checks for requests still in flight.
	drainPollPeriod = 5 * time.Millisecond
)

// Dependencies holds the settings and callbacks that a guard needs from its process.
type Dependencies struct {
	Incarnation uint64
	Log         *slog.Logger
	Now         func() clocker.Instant
	// Catalog returns the current configuration.
	Catalog func() cataloger.Catalog
	// OnChange is called after the server's state or slots change. The guard's
	// lock is not held during the call.
	OnChange func()
	// OnLeaving is called with the run of the backend server whose answer says that it is
	// shutting down, and the Unix time of its start. It returns the run's departure. The
	// guard's lock is not held during the call.
	OnLeaving func(run string, startedMs int64) enroller.Departure
	// OnStatement is called with what a router knows that the backend server said of itself
	// to an earlier process. The guard's lock is not held during the call.
	OnStatement func(said witness.Statement)
	// FinishesBeforeStop reports whether a request of an expected duration would finish
	// before a planned stop cuts it off; always true if no stop is planned.
	FinishesBeforeStop func(expected time.Duration) bool
	// OnDisplaced is called with the service of a queued attempt whose place another took.
	// The guard's lock is held during the call.
	OnDisplaced func(service string)
	// Limits bounds the memory for attempts and idempotency keys.
	Limits deduplicator.Limits
	// MaxInFlightBytes bounds the bodies of the requests at the backend server, in bytes, since
	// it must hold them; 0 means no bound. One long body counts for a part of the bound.
	MaxInFlightBytes int64
	// Memory is the account of the process; nil has no limit.
	Memory *reserver.Reserver
	// Servers reads and writes the header fields exchanged with the backend server.
	Servers interpreter.Servers
	// EjectionRoundLifetime is the lifetime of an ejection round.
	EjectionRoundLifetime time.Duration
}

// Guard controls access to one backend server. It is safe for concurrent use.
type Guard struct {
	deps      Dependencies
	forwarder *forwarder.Forwarder

	mu           sync.Mutex
	admitter     *admitter.Admitter
	deduplicator *deduplicator.Deduplicator
	controller   *controller.Controller
	// nesting estimates which requests from this VM are calls made by the
	// backend server while it serves another request.
	nesting *retrier.NestingEstimator
	// typical holds the typical service time of each route.
	typical *limiter.TypicalTimes
	// running holds the attempts sent to the backend server and not finished, by task ID.
	running map[uint64]*task
	// lastGoodSent is when the latest-sent attempt with a good answer was sent.
	lastGoodSent clocker.Instant
	// lastEnded is when the latest of them ended, and startedAt when the guard was built.
	lastEnded        clocker.Instant
	startedAt        clocker.Instant
	lastAnnouncement Announcement
	// recalledLimit is what another process last told that a run had named to an earlier
	// process here.
	recalledLimit witness.Limit
	// lastHeard is the time of the last announcement or successful response.
	lastHeard clocker.Instant
	service   cataloger.Service
	server    cataloger.BackendServer
	policy    cataloger.Policy
	// waiters holds a channel for each queued attempt, by task ID. It receives
	// true when the attempt gets a slot and false when it is refused.
	waiters map[uint64]chan bool
	// displaced holds the IDs of queued attempts that lost their places and have not
	// returned yet.
	displaced map[uint64]struct{}
	// costs estimates service times, and held contains the attempts that wait for a slot
	// or hold one.
	costs  *estimator.Estimator
	held   map[*messenger.RequestHead]*holding
	nextID uint64
	// active is the number of attempts that hold a slot.
	active int
	// inFlightBytes is what the bodies of the attempts that hold a slot count together.
	inFlightBytes int64
}

// New returns a guard that has no backend server yet; Announce adds it.
func New(deps Dependencies) *Guard {
	return &Guard{
		startedAt:    deps.Now(),
		lastEnded:    deps.Now(),
		deps:         deps,
		forwarder:    forwarder.New(maxIdleConnections, serverSilence),
		admitter:     admitter.New(),
		deduplicator: deduplicator.New(deps.Limits),
		controller:   controller.New(deps.Incarnation, deps.Now(), deps.EjectionRoundLifetime),
		nesting:      retrier.NewNestingEstimator(),
		typical:      limiter.NewTypicalTimes(),
		running:      map[uint64]*task{},
		waiters:      map[uint64]chan bool{},
		displaced:    map[uint64]struct{}{},
		costs:        estimator.New(estimator.DefaultKinds),
		held:         map[*messenger.RequestHead]*holding{},
	}
}

// maxIdleConnections is the maximum number of idle connections to the backend server.
const maxIdleConnections = 64

// Errors returned by Announce.
var (
	ErrUnknownBackendServer = eris.New("no BackendServer object of that name is in force")
	ErrLeaving              = eris.New("the process is leaving")
)

// SetAllowance updates the retry budget from the allowance of the server's service.
func (g *Guard) SetAllowance(allowance func(service string) retrier.Allowance) {
	g.mu.Lock()
	service := g.service.Name
	g.mu.Unlock()
	g.admitter.Budget.SetAllowance(allowance(service))
}

// NestedCall reports whether a request of a route, sent from this VM, may be a
// call that the backend server makes while it serves another request. derived is
// the probability, from 0 to 1, that the request being served was a retry.
func (g *Guard) NestedCall(route uint64) (called bool, derived float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	derived = g.nesting.DerivedProbability(route, g.runningRequests())
	return g.nesting.MayBeNested(route, len(g.running)), derived
}

// callGrace is how long after the end of its latest attempt the backend server may still
// make calls, such as for an attempt that was canceled. startGrace is how long after the
// start of the process it may make them for attempts of the process before.
const (
	callGrace  = 2 * time.Second
	startGrace = 30 * time.Second
)

// KeylessCall reports whether a request of a route that lacks the key that callers need
// can be a call of the backend server. derived is the same as for NestedCall.
func (g *Guard) KeylessCall(route uint64) (possible bool, derived float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	// Attempts that hold a slot count from before they are sent: a call may arrive before
	// its parent is recorded as running.
	idle := g.active == 0 && len(g.running) == 0 && now.Since(g.lastEnded) > callGrace && now.Since(g.startedAt) > startGrace
	if idle {
		return false, 0
	}
	return true, g.nesting.CallDerivedProbability(route, g.runningRequests())
}

// runningRequests returns the requests that the backend server runs. The caller holds
// the lock.
func (g *Guard) runningRequests() []retrier.RunningRequest {
	running := make([]retrier.RunningRequest, 0, len(g.running))
	for _, work := range g.running {
		running = append(running, retrier.RunningRequest{Route: work.head.Route, Retry: work.head.Earlier > 0})
	}
	return running
}

// endRun removes an attempt from those that the backend server runs. The caller holds
// the lock.
func (g *Guard) endRun(work *task) {
	delete(g.running, work.id)
	g.lastEnded = g.deps.Now()
}

// MemberStatus returns the state of the backend server that gossip distributes.
func (g *Guard) MemberStatus() controller.MemberStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.MemberStatus()
}

// Avoidance returns how long requests should avoid the server: all requests, and those
// that must not run twice.
func (g *Guard) Avoidance() (avoid, avoidNonIdempotent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Breaker.Avoidance(g.deps.Now())
}

// logTransitions logs the state transitions since the last call and reports
// whether there were any. The caller holds the lock.
func (g *Guard) logTransitions(reason string) bool {
	changes := g.controller.TakeTransitions()
	for _, change := range changes {
		g.deps.Log.Info("StateChanged", "Service", g.service.Name, "From", change.From.String(),
			"To", change.To.String(), "Trigger", string(change.Trigger), "Reason", reason)
	}
	return len(changes) > 0
}

// Tick applies time-based transitions: lost announcements, overdue responses and
// the end of ejections. healthySlots returns the healthy capacity of a service,
// in slots, as this process sees it.
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
	// overdueFactor is the multiple of a route's typical service time after
	// which a response counts as overdue.
	overdueFactor = 4
	// minOverdueTime is the shortest time after which a response counts as overdue.
	minOverdueTime = time.Second
)

// recordOverdue reports each overdue attempt to the breaker once.
func (g *Guard) recordOverdue(now clocker.Instant) {
	for _, work := range g.running {
		typical := g.typical.Time(work.head.Route)
		if work.overdue || typical == 0 || now.Since(work.sent) < max(minOverdueTime, overdueFactor*typical) {
			continue
		}
		work.overdue = true
		g.recordFailure(now, work, reasonOverdue)
	}
}

// Lock handles an ejector's lock request for an ejection round.
func (g *Guard) Lock(term locker.Term, service string) ejector.LockReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Lock(g.deps.Now(), term, service)
}

// Order carries out an ejector's order, or returns why it was refused.
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

// Report returns the server's service and evidence if a report to the ejector is
// due, and marks it as sent.
func (g *Guard) Report() (string, detector.Evidence, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.controller.ReportDue(g.deps.Now()) {
		return "", detector.Evidence{}, false
	}
	return g.controller.Service(), g.controller.Evidence(), true
}

// SetBaseline sets the pool's baseline, received from the ejector.
func (g *Guard) SetBaseline(baseline detector.Baseline) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Detector().SetBaseline(baseline)
}

// Resolve returns the state of an attempt whose response did not reach its
// router, and the response's HTTP status if it is known.
func (g *Guard) Resolve(id deduplicator.AttemptID, key string, issuedMs int64) (deduplicator.State, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deduplicator.Resolve(g.deps.Now(), id, key, issuedMs)
}

// Leave takes the backend server out of service. It waits until no open ejection
// round counts the server as capacity, then refuses new attempts, and returns
// when the last attempt in flight has ended.
func (g *Guard) Leave(ctx context.Context) error {
	g.mu.Lock()
	delay := g.controller.BeginLeave(g.deps.Now())
	g.mu.Unlock()
	if err := pause(ctx, delay); err != nil {
		return fmt.Errorf("waiting for open ejection rounds: %w", err)
	}
	if err := g.refuseNewWork(); err != nil {
		return fmt.Errorf("refusing new attempts: %w", err)
	}
	g.deps.OnChange()
	for !g.drained() {
		if err := pause(ctx, drainPollPeriod); err != nil {
			return fmt.Errorf("draining attempts in flight: %w", err)
		}
	}
	g.mu.Lock()
	err := g.controller.MarkDrained(g.deps.Now())
	g.logTransitions("Drained")
	g.mu.Unlock()
	g.deps.OnChange()
	if err != nil {
		return fmt.Errorf("marking the server as drained: %w", err)
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

// refuseQueued refuses the queued attempts, so that their routers can try other
// servers. The caller holds the lock.
func (g *Guard) refuseQueued() {
	for _, id := range g.admitter.Limiter.Clear() {
		g.notifyWaiter(id, false)
	}
}

func (g *Guard) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.active == 0 && len(g.waiters) == 0
}

// RanKeys returns the idempotency keys whose requests were sent to the backend server.
func (g *Guard) RanKeys() []deduplicator.RanKey {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deduplicator.RanKeys()
}

// Load returns the numbers of attempts in flight and in the queue.
func (g *Guard) Load() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Limiter.InFlight(), g.admitter.Limiter.Waiting()
}

// QueuedWork returns the service time that the queued attempts are expected to need.
func (g *Guard) QueuedWork() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Limiter.QueuedWork()
}

// Evidence returns the current evidence and the remaining time of an ejection.
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
