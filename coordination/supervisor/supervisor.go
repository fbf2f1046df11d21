// Package supervisor implements the lifecycle of one backend server as a state
// machine, from its start through ejection and probation to its planned stop.
package supervisor

import (
	"context"
	"fmt"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// Trigger is an event that may cause a state transition.
type Trigger string

// Triggers of the state machine.
const (
	// TriggerWarm ends state Starting after its minimum time.
	TriggerWarm Trigger = "Warm"
	// TriggerSuspect means that the evidence has reached the threshold.
	TriggerSuspect Trigger = "Suspect"
	// TriggerClear means that a suspected server looks like its peers again.
	TriggerClear Trigger = "Clear"
	// TriggerEject starts an ejection.
	TriggerEject Trigger = "Eject"
	// TriggerLapse starts the probation when the ejection time is over.
	TriggerLapse Trigger = "Lapse"
	// TriggerLift ends an ejection or a probation early, to raise the healthy capacity.
	TriggerLift Trigger = "Lift"
	// TriggerRecover ends a probation successfully.
	TriggerRecover Trigger = "Recover"
	// TriggerRelapse ejects a server on probation again.
	TriggerRelapse Trigger = "Relapse"
	// TriggerLeave starts the drain of a planned stop.
	TriggerLeave Trigger = "Leave"
	// TriggerDrained means that the last request in flight has ended.
	TriggerDrained Trigger = "Drained"
	// TriggerLost means that the server has restarted or no longer announces itself.
	TriggerLost Trigger = "Lost"
)

const (
	// probationSuccesses is the number of consecutive good responses that end a probation.
	probationSuccesses = 8
	// maxProbationTime ends a probation in which the server was not ejected again.
	maxProbationTime = 5 * time.Second
	// backoffResetTime is how long a server must have been in service for its next
	// ejection to start at the base ejection time again.
	backoffResetTime = 5 * time.Minute
	// maxEjectionDoublings bounds the exponential backoff of the ejection time.
	maxEjectionDoublings = 16
)

// Durations holds the configured durations of states.
type Durations struct {
	// Starting is the minimum time in state Starting.
	Starting time.Duration
	// Ejection is the time of the first ejection. Each further one in close succession
	// takes twice as long, up to MaxEjection.
	Ejection    time.Duration
	MaxEjection time.Duration
}

// Transition is a change of state and the trigger that caused it.
type Transition struct {
	From    registrar.State
	To      registrar.State
	Trigger Trigger
}

// Supervisor drives the state of one backend server. It is not safe for concurrent use.
type Supervisor struct {
	machine   *stateless.StateMachine
	durations Durations
	// started is when the current run of the backend server was announced, or when the
	// last one was lost.
	started clocker.Instant
	// ejectedUntil is the end of the ejection. It is valid in state Ejected only.
	ejectedUntil clocker.Instant
	// probationSince is the start of the probation. It is valid in state Probation only.
	probationSince clocker.Instant
	// servingSince is when the server last came into service. A transition from
	// Suspected back to Serving does not count.
	servingSince clocker.Instant
	// successes counts the consecutive good responses of the current probation.
	successes int
	// consecutiveEjections counts ejections in close succession, including the last one.
	consecutiveEjections int
	transitions          []Transition
}

// New returns the supervisor of a server that is announced now.
func New(now clocker.Instant, durations Durations) *Supervisor {
	s := &Supervisor{
		machine:   stateless.NewStateMachine(registrar.StateStarting),
		durations: durations,
		started:   now,
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
		Permit(TriggerDrained, registrar.StateGone).
		Ignore(TriggerLost)
	s.machine.Configure(registrar.StateGone).
		Ignore(TriggerLost)
	s.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		s.transitions = append(s.transitions, Transition{
			From:    t.Source.(registrar.State),
			To:      t.Destination.(registrar.State),
			Trigger: t.Trigger.(Trigger),
		})
	})
}

// State returns the current state.
func (s *Supervisor) State() registrar.State {
	return s.machine.MustState().(registrar.State)
}

// TakeTransitions returns the transitions since the last call.
func (s *Supervisor) TakeTransitions() []Transition {
	transitions := s.transitions
	s.transitions = nil
	return transitions
}

// SetDurations applies newer durations. An ejection in progress keeps its end.
func (s *Supervisor) SetDurations(durations Durations) *Supervisor {
	s.durations = durations
	return s
}

// EjectionRemaining returns the time left of the current ejection, 0 if there is none.
func (s *Supervisor) EjectionRemaining(now clocker.Instant) time.Duration {
	if s.State() != registrar.StateEjected {
		return 0
	}
	return max(0, -now.Since(s.ejectedUntil))
}

// Fire applies a trigger other than TriggerEject and TriggerRelapse, which Eject applies.
func (s *Supervisor) Fire(now clocker.Instant, trigger Trigger) error {
	if err := s.machine.Fire(trigger); err != nil {
		return fmt.Errorf("applying %s in state %s: %w", trigger, s.State(), err)
	}
	switch trigger {
	case TriggerLost:
		s.started = now
		s.consecutiveEjections = 0
	case TriggerWarm, TriggerRecover, TriggerLift:
		s.servingSince = now
	case TriggerLapse:
		s.probationSince = now
		s.successes = 0
	}
	return nil
}

// Eject ejects the server and returns for how long. The ejection time doubles with
// each ejection in close succession.
func (s *Supervisor) Eject(now clocker.Instant) (time.Duration, error) {
	trigger := TriggerEject
	if s.State() == registrar.StateProbation {
		trigger = TriggerRelapse
	}
	if err := s.Fire(now, trigger); err != nil {
		return 0, err
	}
	if now.Since(s.servingSince) > backoffResetTime && trigger == TriggerEject {
		s.consecutiveEjections = 0
	}
	s.consecutiveEjections = min(s.consecutiveEjections+1, maxEjectionDoublings)
	duration := min(s.durations.Ejection<<(s.consecutiveEjections-1), s.durations.MaxEjection)
	if duration <= 0 {
		duration = s.durations.MaxEjection
	}
	s.ejectedUntil = now.Add(duration)
	return duration, nil
}

// RecordResponse counts a response during probation. Enough good ones in a row end it.
func (s *Supervisor) RecordResponse(now clocker.Instant, success bool) error {
	if s.State() != registrar.StateProbation {
		return nil
	}
	if !success {
		s.successes = 0
		return nil
	}
	s.successes++
	if s.successes < probationSuccesses {
		return nil
	}
	return s.Fire(now, TriggerRecover)
}

// Tick applies transitions that depend on time.
func (s *Supervisor) Tick(now clocker.Instant) error {
	switch s.State() {
	case registrar.StateStarting:
		if now.Since(s.started) >= s.durations.Starting {
			return s.Fire(now, TriggerWarm)
		}
	case registrar.StateEjected:
		if now.Since(s.ejectedUntil) >= 0 {
			return s.Fire(now, TriggerLapse)
		}
	case registrar.StateProbation:
		if now.Since(s.probationSince) >= maxProbationTime {
			return s.Fire(now, TriggerRecover)
		}
	}
	return nil
}
