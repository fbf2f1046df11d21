// Package supervisor holds the life of one backend server as a state machine:
// from its start over ejection and probation to its planned stop.
package supervisor

import (
	"context"
	"fmt"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// Trigger is an event that may change the state.
type Trigger string

// Triggers of the machine.
const (
	TriggerWarm    Trigger = "Warm"
	TriggerSuspect Trigger = "Suspect"
	TriggerClear   Trigger = "Clear"
	TriggerEject   Trigger = "Eject"
	TriggerLapse   Trigger = "Lapse"
	TriggerLift    Trigger = "Lift"
	TriggerRecover Trigger = "Recover"
	TriggerRelapse Trigger = "Relapse"
	TriggerLeave   Trigger = "Leave"
	TriggerDrained Trigger = "Drained"
	TriggerLost    Trigger = "Lost"
)

const (
	// probationSamples is the number of good answers that end a probation.
	probationSamples = 8
	// probationTime ends a probation that sees no bad answer.
	probationTime = 5 * time.Second
	// relapseMemory is how long a server serves well before its ejection time starts low again.
	relapseMemory = 5 * time.Minute
	// maxDoublings bounds the doubling of the ejection time.
	maxDoublings = 16
)

// Durations are the spans of one service's policy.
type Durations struct {
	Starting    time.Duration
	Ejection    time.Duration
	MaxEjection time.Duration
}

// Transition is one transition.
type Transition struct {
	From    registrar.State
	To      registrar.State
	Trigger Trigger
}

// Supervisor drives the state of one backend server. It is not safe for concurrent use.
type Supervisor struct {
	machine *stateless.StateMachine
	times   Durations
	// started is when the backend server announced itself.
	started clocker.Instant
	// ejectedUntil is meaningful in state Ejected only.
	ejectedUntil clocker.Instant
	// probationSince is meaningful in state Probation only.
	probationSince clocker.Instant
	// servingSince is when the state became Serving last.
	servingSince clocker.Instant
	// good counts the good answers of the present probation.
	good int
	// relapses counts ejections in close succession; the first is 1.
	relapses int
	changes  []Transition
}

// New returns the supervisor of a server that announced itself now.
func New(now clocker.Instant, times Durations) *Supervisor {
	s := &Supervisor{
		machine: stateless.NewStateMachine(registrar.StateStarting),
		times:   times,
		started: now,
	}
	s.configure()
	return s
}

func (s *Supervisor) configure() {
	s.machine.Configure(registrar.StateStarting).
		Permit(TriggerWarm, registrar.StateServing).
		Permit(TriggerLeave, registrar.StateLeaving).
		Ignore(TriggerLost)
	s.machine.Configure(registrar.StateServing).
		Permit(TriggerSuspect, registrar.StateSuspected).
		Permit(TriggerEject, registrar.StateEjected).
		Permit(TriggerLeave, registrar.StateLeaving).
		Permit(TriggerLost, registrar.StateStarting)
	s.machine.Configure(registrar.StateSuspected).
		Permit(TriggerClear, registrar.StateServing).
		Permit(TriggerEject, registrar.StateEjected).
		Permit(TriggerLeave, registrar.StateLeaving).
		Permit(TriggerLost, registrar.StateStarting)
	s.machine.Configure(registrar.StateEjected).
		Permit(TriggerLapse, registrar.StateProbation).
		Permit(TriggerLift, registrar.StateServing).
		Permit(TriggerLeave, registrar.StateLeaving).
		Permit(TriggerLost, registrar.StateStarting)
	s.machine.Configure(registrar.StateProbation).
		Permit(TriggerRecover, registrar.StateServing).
		Permit(TriggerRelapse, registrar.StateEjected).
		Permit(TriggerLift, registrar.StateServing).
		Permit(TriggerLeave, registrar.StateLeaving).
		Permit(TriggerLost, registrar.StateStarting)
	s.machine.Configure(registrar.StateLeaving).
		Permit(TriggerDrained, registrar.StateGone)
	s.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		s.changes = append(s.changes, Transition{
			From:    t.Source.(registrar.State),
			To:      t.Destination.(registrar.State),
			Trigger: t.Trigger.(Trigger),
		})
	})
}

// State returns the present state.
func (s *Supervisor) State() registrar.State {
	return s.machine.MustState().(registrar.State)
}

// TakeTransitions returns the transitions since the last call.
func (s *Supervisor) TakeTransitions() []Transition {
	changes := s.changes
	s.changes = nil
	return changes
}

// SetDurations sets the spans of a newer policy.
func (s *Supervisor) SetDurations(times Durations) *Supervisor {
	s.times = times
	return s
}

// EjectionRemaining returns how long the present ejection still lasts.
func (s *Supervisor) EjectionRemaining(now clocker.Instant) time.Duration {
	if s.State() != registrar.StateEjected {
		return 0
	}
	return max(0, -now.Since(s.ejectedUntil))
}

// Fire applies a trigger that has no data of its own.
func (s *Supervisor) Fire(now clocker.Instant, trigger Trigger) error {
	if err := s.machine.Fire(trigger); err != nil {
		return fmt.Errorf("applying %s in state %s: %w", trigger, s.State(), err)
	}
	switch trigger {
	case TriggerLost:
		s.started = now
		s.relapses = 0
	case TriggerWarm, TriggerRecover, TriggerLift:
		s.servingSince = now
	case TriggerLapse:
		s.probationSince = now
		s.good = 0
	}
	return nil
}

// Eject sets the server aside for the ejection time, doubled with each relapse.
func (s *Supervisor) Eject(now clocker.Instant) (time.Duration, error) {
	trigger := TriggerEject
	if s.State() == registrar.StateProbation {
		trigger = TriggerRelapse
	}
	if err := s.Fire(now, trigger); err != nil {
		return 0, err
	}
	if now.Since(s.servingSince) > relapseMemory && trigger == TriggerEject {
		s.relapses = 0
	}
	s.relapses = min(s.relapses+1, maxDoublings)
	lasting := min(s.times.Ejection<<(s.relapses-1), s.times.MaxEjection)
	if lasting <= 0 {
		lasting = s.times.MaxEjection
	}
	s.ejectedUntil = now.Add(lasting)
	return lasting, nil
}

// RecordResponse counts an answer during probation and tells whether it ended it.
func (s *Supervisor) RecordResponse(now clocker.Instant, good bool) error {
	if s.State() != registrar.StateProbation {
		return nil
	}
	if !good {
		s.good = 0
		return nil
	}
	s.good++
	if s.good < probationSamples {
		return nil
	}
	return s.Fire(now, TriggerRecover)
}

// Tick applies what time alone changes.
func (s *Supervisor) Tick(now clocker.Instant) error {
	switch s.State() {
	case registrar.StateStarting:
		if now.Since(s.started) >= s.times.Starting {
			return s.Fire(now, TriggerWarm)
		}
	case registrar.StateEjected:
		if now.Since(s.ejectedUntil) >= 0 {
			return s.Fire(now, TriggerLapse)
		}
	case registrar.StateProbation:
		if now.Since(s.probationSince) >= probationTime {
			return s.Fire(now, TriggerRecover)
		}
	}
	return nil
}
