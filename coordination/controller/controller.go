// Package controller combines, for one backend server, what its guard knows and
// decides: the failure evidence, the lifecycle state, and the ejection round
// whose orders the guard accepts.
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

// minStartingRounds is the minimum time in state Starting, in round lifetimes. It
// covers the cold phase, in which a newly started guard refuses all locks.
const minStartingRounds = 2

// Config holds the configured values of a backend server, its service and its policy.
type Config struct {
	Service    string
	Slots      uint32
	FloorSlots uint32
	// EvidenceThreshold is the evidence, in nats, from which the server is suspected. It
	// is the policy's Caution.
	EvidenceThreshold float64
	ColdStart         time.Duration
	EjectionTime      time.Duration
	MaxEjectionTime   time.Duration
}

// MemberStatus is the part of the process's roster entry that describes the backend server.
type MemberStatus struct {
	Service string
	Slots   uint32
	State   registrar.State
}

// Ejection describes an ejection that has just begun and the evidence for it.
type Ejection struct {
	Duration time.Duration
	Evidence detector.Evidence
}

// Controller holds the state of one backend server. It is not safe for concurrent use.
type Controller struct {
	roundLifetime time.Duration
	locker        locker.Locker
	detector      *detector.Detector
	// supervisor is nil until the first announcement of the server.
	supervisor *supervisor.Supervisor
	config     Config
	// present is set while the server keeps announcing itself.
	present bool
	// leaving is set once a planned stop has begun; from then on all locks are refused.
	leaving bool
	// ejectionEvidence is the evidence at the start of the current ejection.
	ejectionEvidence detector.Evidence
	// withoutColdPhase drops the minimum of minStartingRounds, for tests only.
	withoutColdPhase bool
}

// New returns the controller of a guard that starts now.
func New(incarnation uint64, now clocker.Instant, roundLifetime time.Duration) *Controller {
	return &Controller{
		roundLifetime: roundLifetime,
		locker:        locker.New(incarnation, now, roundLifetime),
		detector:      detector.New(0),
	}
}

// WithoutColdPhase removes the cold phase, in which a newly started guard refuses
// locks and its server does not count as healthy. Tests use it to show that the
// capacity floor is violated without it.
func (c *Controller) WithoutColdPhase() *Controller {
	c.locker = c.locker.WithoutColdPhase()
	c.withoutColdPhase = true
	return c
}

// Detector returns the failure detector of the server.
func (c *Controller) Detector() *detector.Detector { return c.detector }

// Present reports whether the server is announcing itself.
func (c *Controller) Present() bool { return c.present }

// Leaving reports whether a planned stop has begun.
func (c *Controller) Leaving() bool { return c.leaving }

// Service returns the name of the server's service.
func (c *Controller) Service() string { return c.config.Service }

// Announce registers a new run of the server and discards the evidence on the last one.
func (c *Controller) Announce(now clocker.Instant, config Config) error {
	c.present = true
	c.SetConfig(config)
	c.detector.Reset(now)
	if c.supervisor == nil {
		c.supervisor = supervisor.New(now, c.durations())
		return nil
	}
	return c.fire(now, supervisor.TriggerLost)
}

// SetConfig applies newer configured values.
func (c *Controller) SetConfig(config Config) {
	c.config = config
	c.detector.SetThreshold(config.EvidenceThreshold)
	if c.supervisor != nil {
		c.supervisor.SetDurations(c.durations())
	}
}

func (c *Controller) durations() supervisor.Durations {
	starting := max(c.config.ColdStart, minStartingRounds*c.roundLifetime)
	if c.withoutColdPhase {
		starting = c.config.ColdStart
	}
	return supervisor.Durations{
		Starting:    starting,
		Ejection:    c.config.EjectionTime,
		MaxEjection: c.config.MaxEjectionTime,
	}
}

// MarkLost records that the server no longer announces itself.
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

// State returns the lifecycle state of the server.
func (c *Controller) State() registrar.State {
	if c.supervisor != nil {
		return c.supervisor.State()
	}
	if c.leaving {
		return registrar.StateLeaving
	}
	return registrar.StateStarting
}

// MemberStatus returns the description of the server for the roster. It names no
// service unless the server is present, so that peers and later processes of the VM can
// tell a server that left from one whose process stops.
func (c *Controller) MemberStatus() MemberStatus {
	if !c.present {
		state := registrar.StateStarting
		if c.leaving {
			state = c.State()
		}
		return MemberStatus{State: state}
	}
	return MemberStatus{Service: c.config.Service, Slots: c.config.Slots, State: c.State()}
}

// TakeTransitions returns the state transitions since the last call.
func (c *Controller) TakeTransitions() []supervisor.Transition {
	if c.supervisor == nil {
		return nil
	}
	return c.supervisor.TakeTransitions()
}

// EjectionRemaining returns the time left of the current ejection, 0 if there is none.
func (c *Controller) EjectionRemaining(now clocker.Instant) time.Duration {
	if c.supervisor == nil {
		return 0
	}
	return c.supervisor.EjectionRemaining(now)
}

// Evidence returns the evidence on the server. During an ejection it is that from
// the start of the ejection.
func (c *Controller) Evidence() detector.Evidence {
	if c.State() == registrar.StateEjected {
		return c.ejectionEvidence
	}
	return c.detector.Evidence()
}

// ReportDue reports whether evidence is due to be sent to the ejector, and records it as sent.
func (c *Controller) ReportDue(now clocker.Instant) bool {
	return c.present && !c.leaving && c.State().Healthy() && c.detector.ReportDue(now)
}

// RecordResponse records whether a response was successful, which may end a probation.
func (c *Controller) RecordResponse(now clocker.Instant, success bool) error {
	if c.supervisor == nil {
		return nil
	}
	if err := c.supervisor.RecordResponse(now, success); err != nil {
		return fmt.Errorf("recording a response: %w", err)
	}
	return nil
}

// Tick applies transitions that depend on time. healthySlots is the healthy
// capacity of the service in this process's view.
func (c *Controller) Tick(now clocker.Instant, healthySlots uint32) error {
	if c.supervisor == nil {
		return nil
	}
	c.detector.Tick(now)
	before := c.State()
	if err := c.supervisor.Tick(now); err != nil {
		return fmt.Errorf("advancing the state machine: %w", err)
	}
	if before == registrar.StateEjected && c.State() == registrar.StateProbation {
		c.detector.Reset(now)
	}
	if err := c.applyEvidence(now); err != nil {
		return fmt.Errorf("applying the evidence: %w", err)
	}
	return c.liftBelowFloor(now, healthySlots)
}

// applyEvidence moves the server between Serving and Suspected, and from Probation
// back to Ejected. None of these transitions lowers the healthy capacity, so they
// need no ejection round.
func (c *Controller) applyEvidence(now clocker.Instant) error {
	thresholdReached := c.detector.ThresholdReached()
	switch c.State() {
	case registrar.StateServing:
		if thresholdReached {
			return c.fire(now, supervisor.TriggerSuspect)
		}
	case registrar.StateSuspected:
		if !c.detector.Degraded() {
			return c.fire(now, supervisor.TriggerClear)
		}
	case registrar.StateProbation:
		if thresholdReached {
			return c.ejectAgain(now)
		}
	}
	return nil
}

func (c *Controller) ejectAgain(now clocker.Instant) error {
	c.ejectionEvidence = c.detector.Evidence()
	if _, err := c.supervisor.Eject(now); err != nil {
		return fmt.Errorf("ejecting again: %w", err)
	}
	return nil
}

// liftBelowFloor ends the ejection or probation of the server when crashes or drains
// of others have taken the healthy capacity of the service below its floor.
func (c *Controller) liftBelowFloor(now clocker.Instant, healthySlots uint32) error {
	state := c.State()
	if state != registrar.StateEjected && state != registrar.StateProbation {
		return nil
	}
	if healthySlots >= c.config.FloorSlots {
		return nil
	}
	c.detector.Reset(now)
	return c.fire(now, supervisor.TriggerLift)
}

// Lock handles the lock request of an ejection round.
func (c *Controller) Lock(now clocker.Instant, term locker.Term, service string) ejector.LockReply {
	reply := ejector.LockReply{
		Highest:  c.locker.Highest(),
		Slots:    c.config.Slots,
		State:    c.State(),
		Evidence: c.Evidence(),
	}
	if c.leaving || !c.present || service != c.config.Service {
		return reply
	}
	next, err := c.locker.WithLock(now, term)
	if err != nil {
		return reply
	}
	c.locker = next
	reply.Locked = true
	reply.Highest = term
	return reply
}

// HighestTerm returns the highest term locked so far.
func (c *Controller) HighestTerm() locker.Term { return c.locker.Highest() }

// Order executes an ejector's order or returns why it is refused. The ejection is
// nil unless this order started one.
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
	c.ejectionEvidence = c.detector.Evidence()
	duration, err := c.supervisor.Eject(now)
	if err != nil {
		return nil, fmt.Errorf("ejecting: %w", err)
	}
	return &Ejection{Duration: duration, Evidence: c.ejectionEvidence}, nil
}

func (c *Controller) lift(now clocker.Instant) error {
	if c.State() != registrar.StateEjected {
		return locker.ErrNotEjected
	}
	c.detector.Reset(now)
	return c.fire(now, supervisor.TriggerLift)
}

// BeginLeave begins a planned stop and returns how long the server must stay in
// service until every round that counted it as healthy is over.
func (c *Controller) BeginLeave(now clocker.Instant) time.Duration {
	c.leaving = true
	return c.locker.LeaveDelay(now)
}

// Leave takes the server out of service. The caller first waits for the time that
// BeginLeave returned.
func (c *Controller) Leave(now clocker.Instant) error {
	if c.supervisor == nil {
		return nil
	}
	return c.fire(now, supervisor.TriggerLeave)
}

// MarkDrained records that the last request in flight of a leaving server has ended.
func (c *Controller) MarkDrained(now clocker.Instant) error {
	if c.State() != registrar.StateLeaving || c.supervisor == nil {
		return nil
	}
	return c.fire(now, supervisor.TriggerDrained)
}
