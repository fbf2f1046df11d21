// Package controller holds the standing of one backend server at its guard: the
// evidence on it, its state, and which ejection round it obeys.
package controller

import (
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/coordination/supervisor"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// warmRounds is the least time in state Starting, in round lifetimes. It covers
// the time in which a started guard locks nothing.
const warmRounds = 2

// Config is what the configuration says of a backend server and its service.
type Config struct {
	Service    string
	Slots      uint32
	FloorSlots uint32
	// EvidenceThreshold is the evidence in nats that condemns.
	EvidenceThreshold float64
	ColdStart         time.Duration
	EjectionTime      time.Duration
	MaxEjectionTime   time.Duration
}

// MemberStatus is what the fleet is told of the backend server.
type MemberStatus struct {
	Service string
	Slots   uint32
	State   registrar.State
}

// Ejection describes an ejection that has just begun.
type Ejection struct {
	Duration time.Duration
	Evidence detector.Evidence
}

// Controller decides for one backend server. It is not safe for concurrent use.
type Controller struct {
	lifetime time.Duration
	locker   locker.Locker
	detector *detector.Detector
	// supervisor is nil before the server first announced itself.
	supervisor *supervisor.Supervisor
	profile    Config
	// present is set while the server announces itself.
	present bool
	// leaving is set once a stop was asked for; no lock is taken from then on.
	leaving bool
	// severity is the evidence at the beginning of the present ejection.
	severity detector.Evidence
	// withoutColdPhase counts a started server as healthy at once.
	withoutColdPhase bool
}

// New returns the controller of a guard that started now. The lifetime is that of a round.
func New(incarnation uint64, now clocker.Instant, lifetime time.Duration) *Controller {
	return &Controller{
		lifetime: lifetime,
		locker:   locker.New(incarnation, now, lifetime),
		detector: detector.New(0),
	}
}

// WithoutColdPhase drops the time in which a started guard locks nothing and
// does not count as healthy. It exists to show that the floor breaks then.
func (c *Controller) WithoutColdPhase() *Controller {
	c.locker = c.locker.WithoutColdPhase()
	c.withoutColdPhase = true
	return c
}

// Detector returns the server's evidence.
func (c *Controller) Detector() *detector.Detector { return c.detector }

// Present tells whether the server announces itself.
func (c *Controller) Present() bool { return c.present }

// Leaving tells whether a stop was asked for.
func (c *Controller) Leaving() bool { return c.leaving }

// Service returns the service of the server.
func (c *Controller) Service() string { return c.profile.Service }

// Announce takes a new run of the server.
func (c *Controller) Announce(now clocker.Instant, profile Config) error {
	c.present = true
	c.SetConfig(profile)
	c.detector.Reset(now)
	if c.supervisor == nil {
		c.supervisor = supervisor.New(now, c.times())
		return nil
	}
	return c.fire(now, supervisor.TriggerLost)
}

// SetConfig takes the profile of a newer configuration.
func (c *Controller) SetConfig(profile Config) {
	c.profile = profile
	c.detector.WithCaution(profile.EvidenceThreshold)
	if c.supervisor != nil {
		c.supervisor.WithTimes(c.times())
	}
}

func (c *Controller) times() supervisor.Times {
	warm := max(c.profile.ColdStart, warmRounds*c.lifetime)
	if c.withoutColdPhase {
		warm = c.profile.ColdStart
	}
	return supervisor.Times{
		Warm:        warm,
		Ejection:    c.profile.EjectionTime,
		MaxEjection: c.profile.MaxEjectionTime,
	}
}

// MarkLost notes that the server no longer announces itself.
func (c *Controller) MarkLost(now clocker.Instant) error {
	c.present = false
	return c.fire(now, supervisor.TriggerLost)
}

func (c *Controller) fire(now clocker.Instant, trigger supervisor.Trigger) error {
	if err := c.supervisor.Fire(now, trigger); err != nil {
		return fmt.Errorf("changing the state: %w", err)
	}
	return nil
}

// State returns the server's state.
func (c *Controller) State() registrar.State {
	if c.supervisor != nil {
		return c.supervisor.State()
	}
	if c.leaving {
		return registrar.StateLeaving
	}
	return registrar.StateStarting
}

// MemberStatus returns what the fleet is told.
func (c *Controller) MemberStatus() MemberStatus {
	if !c.present && !c.leaving {
		return MemberStatus{State: registrar.StateStarting}
	}
	return MemberStatus{Service: c.profile.Service, Slots: c.profile.Slots, State: c.State()}
}

// TakeTransitions returns the transitions since the last call.
func (c *Controller) TakeTransitions() []supervisor.Transition {
	if c.supervisor == nil {
		return nil
	}
	return c.supervisor.TakeTransitions()
}

// EjectionRemaining returns how long the present ejection still lasts.
func (c *Controller) EjectionRemaining(now clocker.Instant) time.Duration {
	if c.supervisor == nil {
		return 0
	}
	return c.supervisor.EjectedLeft(now)
}

// Evidence returns the server's digest, that of its beginning during an ejection.
func (c *Controller) Evidence() detector.Evidence {
	if c.State() == registrar.StateEjected {
		return c.severity
	}
	return c.detector.Evidence()
}

// ReportDue tells whether a report to the ejector is due, and notes it as sent.
func (c *Controller) ReportDue(now clocker.Instant) bool {
	return c.present && !c.leaving && c.State().Healthy() && c.detector.Due(now)
}

// RecordResponse takes the quality of an answer, which may end a probation.
func (c *Controller) RecordResponse(now clocker.Instant, good bool) error {
	if c.supervisor == nil {
		return nil
	}
	if err := c.supervisor.Observe(now, good); err != nil {
		return fmt.Errorf("observing an answer: %w", err)
	}
	return nil
}

// Tick applies what time alone changes. The healthy capacity is that of the
// service in slots, in this process's view.
func (c *Controller) Tick(now clocker.Instant, healthySlots uint32) error {
	if c.supervisor == nil {
		return nil
	}
	c.detector.Tick(now)
	before := c.State()
	if err := c.supervisor.Tick(now); err != nil {
		return fmt.Errorf("passing time: %w", err)
	}
	if before == registrar.StateEjected && c.State() == registrar.StateProbation {
		c.detector.Reset(now)
	}
	if err := c.judge(now); err != nil {
		return fmt.Errorf("judging the server: %w", err)
	}
	return c.liftBelowFloor(now, healthySlots)
}

// judge moves between Serving and Suspected, and from Probation back to Ejected.
// None of these lowers the healthy capacity.
func (c *Controller) judge(now clocker.Instant) error {
	condemned := c.detector.Condemned()
	switch c.State() {
	case registrar.StateServing:
		if condemned {
			return c.fire(now, supervisor.TriggerSuspect)
		}
	case registrar.StateSuspected:
		if !c.detector.Watched() {
			return c.fire(now, supervisor.TriggerClear)
		}
	case registrar.StateProbation:
		if condemned {
			return c.relapse(now)
		}
	}
	return nil
}

func (c *Controller) relapse(now clocker.Instant) error {
	c.severity = c.detector.Evidence()
	if _, err := c.supervisor.Eject(now); err != nil {
		return fmt.Errorf("ejecting again: %w", err)
	}
	return nil
}

// liftBelowFloor ends the own ejection when deaths or drains took the healthy
// capacity of the service below its floor.
func (c *Controller) liftBelowFloor(now clocker.Instant, healthySlots uint32) error {
	state := c.State()
	if state != registrar.StateEjected && state != registrar.StateProbation {
		return nil
	}
	if healthySlots >= c.profile.FloorSlots {
		return nil
	}
	c.detector.Reset(now)
	return c.fire(now, supervisor.TriggerLift)
}

// Lock answers a lock request for a round of a service's ejector.
func (c *Controller) Lock(now clocker.Instant, term locker.Term, service string) ejector.LockReply {
	answer := ejector.LockReply{
		Highest:  c.locker.Highest(),
		Slots:    c.profile.Slots,
		State:    c.State(),
		Evidence: c.Evidence(),
	}
	if c.leaving || !c.present || service != c.profile.Service {
		return answer
	}
	next, err := c.locker.WithLock(now, term)
	if err != nil {
		return answer
	}
	c.locker = next
	answer.Locked = true
	answer.Highest = term
	return answer
}

// Locked returns the highest term that the guard has locked.
func (c *Controller) Locked() locker.Term { return c.locker.Highest() }

// Order obeys an order of an ejector or tells why not. The ejection is nil
// unless one has begun.
func (c *Controller) Order(
	now clocker.Instant, term locker.Term, incarnation uint64, kind ejector.OrderKind,
) (*Ejection, error) {
	if err := c.locker.CheckOrder(now, term, incarnation); err != nil {
		return nil, fmt.Errorf("checking the lock: %w", err)
	}
	if c.supervisor == nil || c.leaving {
		return nil, locker.ErrLeaving
	}
	if kind == ejector.OrderLift {
		return nil, c.lift(now)
	}
	if !c.State().Healthy() {
		return nil, locker.ErrNotEligible
	}
	c.severity = c.detector.Evidence()
	lasting, err := c.supervisor.Eject(now)
	if err != nil {
		return nil, fmt.Errorf("ejecting: %w", err)
	}
	return &Ejection{Duration: lasting, Evidence: c.severity}, nil
}

func (c *Controller) lift(now clocker.Instant) error {
	if c.State() != registrar.StateEjected {
		return locker.ErrNotEjected
	}
	c.detector.Reset(now)
	return c.fire(now, supervisor.TriggerLift)
}

// BeginLeave begins a planned stop and returns how long the server must stay in
// service, so that no round that counted on it is still open.
func (c *Controller) BeginLeave(now clocker.Instant) time.Duration {
	c.leaving = true
	return c.locker.LeaveDelay(now)
}

// Leave takes the server out of service, once the time that AskLeave told has passed.
func (c *Controller) Leave(now clocker.Instant) error {
	if c.supervisor == nil {
		return nil
	}
	return c.fire(now, supervisor.TriggerLeave)
}

// MarkDrained notes that the last request in flight of a leaving server has ended.
func (c *Controller) MarkDrained(now clocker.Instant) error {
	if c.State() != registrar.StateLeaving || c.supervisor == nil {
		return nil
	}
	return c.fire(now, supervisor.TriggerDrained)
}
