// Package breaker implements the circuit breaker of the guard of one backend
// server. It reacts at once to a single failure and needs no other process.
// Ejection, which is slower and more reliable, is decided elsewhere.
package breaker

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// maxPauseFactor bounds the pause in a series of failures, as a multiple of
	// the initial pause.
	maxPauseFactor = 1.8
	// trialTimeout is how long after the start of the latest trial the trials
	// without a result are written off, so that new ones can start.
	trialTimeout = time.Second
	// successesToClose is how many successes in the state HalfOpen close the
	// breaker. One is not enough: a server that fails most of its requests still
	// answers some.
	successesToClose = 2
	// maxTrials bounds the concurrent trials.
	maxTrials = 2
	// WeightCertain is the weight of a failure that is the server's own. One such
	// failure opens the breaker.
	WeightCertain = 1.0
	// successDecay is the factor by which a success reduces the weight of earlier
	// failures. A success does not clear them, or a server that fails every other
	// request would pass for healthy.
	successDecay = 0.5
	// WeightUncertain is the weight of a failure that other servers may have caused,
	// such as an error after a long run that may have made nested calls.
	WeightUncertain = 0.5
	// WeightRefused is the weight of a request that the server refused without running it.
	// A server that refuses a part of its requests still serves the others. If each refusal
	// opened the breaker while all servers of a service shed load, the failing ones among
	// them could no longer be told from the rest.
	WeightRefused = 0.25
	// idempotentTrialTime is how long only idempotent requests serve as trials.
	// After it any request does, because a server that gets no idempotent
	// requests would otherwise never be tried again.
	idempotentTrialTime = 4 * time.Second
)

// State is the state of a breaker.
type State uint8

// States of a breaker.
const (
	// Closed lets all requests pass.
	Closed State = iota
	// Open refuses all requests that do not insist.
	Open
	// HalfOpen lets a few requests pass as trials, at first only idempotent ones.
	HalfOpen
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"Closed", "Open", "HalfOpen"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Unknown"
}

// Breaker is the circuit breaker of one backend server. It is not safe for concurrent use.
type Breaker struct {
	// initialPause is how long the breaker stays open after a first failure. 0
	// disables the breaker.
	initialPause time.Duration
	state        State
	// openUntil is the end of the state Open.
	openUntil clocker.Instant
	// pause is the latest pause in the current series of failures.
	pause time.Duration
	// weight sums the weights of failures in the states Closed and HalfOpen. In
	// the state Closed, successes reduce it.
	weight float64
	// trials counts the running trials of the state HalfOpen, and trialSince is
	// when the latest one began.
	trials     int
	trialSince clocker.Instant
	// halfOpenSince is when the state HalfOpen began.
	halfOpenSince clocker.Instant
	// successes counts the successes in the state HalfOpen.
	successes int
}

// New returns a closed breaker with the given pause after a first failure. With
// a pause of 0 it never opens.
func New(initialPause time.Duration) *Breaker { return &Breaker{initialPause: initialPause} }

// SetPause changes the pause after a first failure. It applies from the next failure on.
func (b *Breaker) SetPause(initialPause time.Duration) { b.initialPause = initialPause }

// State returns the state at a time.
func (b *Breaker) State(now clocker.Instant) State {
	if b.state == Open && now.Since(b.openUntil) >= 0 {
		b.state = HalfOpen
		b.halfOpenSince = now
		b.trials = 0
		b.successes = 0
	}
	return b.state
}

// Allow reports whether a request may be given to the server. A request that
// insists is always allowed: its router has found no better server.
func (b *Breaker) Allow(now clocker.Instant, idempotent, insist bool) bool {
	switch b.State(now) {
	case Closed:
		return true
	case Open:
		return insist
	default:
		return b.allowTrial(now, idempotent) || insist
	}
}

// Avoidance returns how long requests should avoid the server: all requests, and those
// that must not run twice. The second time is at least the first.
func (b *Breaker) Avoidance(now clocker.Instant) (avoid, avoidNonIdempotent time.Duration) {
	switch b.State(now) {
	case Open:
		avoid = b.openUntil.Mono - now.Mono
		return avoid, avoid + renewalTime
	case HalfOpen:
		return 0, min(max(0, idempotentTrialTime-now.Since(b.halfOpenSince)), renewalTime)
	default:
		return 0, 0
	}
}

// renewalTime is how long non-idempotent requests avoid a server in the state HalfOpen
// if the state is not reported again.
const renewalTime = time.Second

// allowTrial reports whether a request may pass as a trial, and counts it if so.
func (b *Breaker) allowTrial(now clocker.Instant, idempotent bool) bool {
	if b.trials > 0 && now.Since(b.trialSince) >= trialTimeout {
		b.trials = 0
	}
	if b.trials >= maxTrials || !idempotent && now.Since(b.halfOpenSince) < idempotentTrialTime {
		return false
	}
	b.trials++
	b.trialSince = now
	return true
}

// RecordSuccess records a successful answer of the server.
func (b *Breaker) RecordSuccess(now clocker.Instant) {
	switch b.State(now) {
	case Closed:
		b.weight *= successDecay
	case HalfOpen:
		b.trials = max(0, b.trials-1)
		b.successes++
		if b.successes >= successesToClose {
			b.state = Closed
			b.weight = 0
			b.pause = 0
		}
	}
}

// RecordFailure records a failure of the server, with WeightCertain, WeightUncertain or
// WeightRefused, and reports whether it opens the breaker.
func (b *Breaker) RecordFailure(now clocker.Instant, weight float64) bool {
	if b.initialPause == 0 || b.State(now) == Open {
		return false
	}
	b.weight += weight
	if b.weight < WeightCertain {
		return false
	}
	b.weight = 0
	b.pause = min(max(2*b.pause, b.initialPause), time.Duration(maxPauseFactor*float64(b.initialPause)))
	b.state = Open
	b.openUntil = now.Add(b.pause)
	return true
}
