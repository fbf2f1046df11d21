// Package breaker decides, beside one backend server, whether it is given work
// right after it has failed. It reacts to a single failure, within the moment,
// and needs no peers; ejection, which is slower and surer, is decided elsewhere.
package breaker

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// maxFactor bounds the growth of the pause over a series of failures.
	maxFactor = 1.8
	// trialTimeout lets another trial start when the first does not come back.
	trialTimeout = time.Second
	// trialsNeeded is how many good answers in a row close the breaker. A server
	// that fails most of its requests still answers some.
	trialsNeeded = 2
	// maxTrials bounds the trials at one time.
	maxTrials = 2
	// WeightCertain is the weight of a failure that opens the breaker alone.
	WeightCertain = 1.0
	// goodFactor is what a good answer leaves of the weight of earlier failures. It
	// keeps a server that fails every other request from passing for sound.
	goodFactor = 0.5
	// WeightUncertain is the weight of a failure that others may have caused, such as an
	// error after a long run that may have called other servers.
	WeightUncertain = 0.5
	// idempotentOnly is how long only idempotent requests are trials. Without
	// any, the server would never be tried again.
	idempotentOnly = 4 * time.Second
)

// State is that of a breaker.
type State uint8

// States of a breaker.
const (
	// Closed lets all requests pass.
	Closed State = iota
	// Open passes the server over.
	Open
	// HalfOpen lets one idempotent request pass as a trial.
	HalfOpen
)

// String gives the name of the state.
func (s State) String() string {
	names := [...]string{"Closed", "Open", "HalfOpen"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Unknown"
}

// Breaker is that of one backend server. It is not safe for concurrent use.
type Breaker struct {
	// first is how long the server is passed over after a failure; 0 is not at all.
	first time.Duration
	state State
	// until ends the state Open.
	until clocker.Instant
	// pause is that of the present series of failures.
	pause time.Duration
	// weight sums the failures of the state Closed; good answers reduce it.
	weight float64
	// trials counts the trials of the state HalfOpen, and trialSince is when the
	// latest began.
	trials     int
	trialSince clocker.Instant
	// halfOpenSince is when the state HalfOpen began.
	halfOpenSince clocker.Instant
	// good counts the good answers in a row of the state HalfOpen.
	good int
}

// New returns a closed breaker with the pause after a first failure. A pause of
// 0 keeps it closed for good.
func New(first time.Duration) *Breaker { return &Breaker{first: first} }

// SetPause takes the pause of a newer policy.
func (b *Breaker) SetPause(first time.Duration) { b.first = first }

// State returns the state at a time.
func (b *Breaker) State(now clocker.Instant) State {
	if b.state == Open && now.Since(b.until) >= 0 {
		b.state = HalfOpen
		b.halfOpenSince = now
		b.trials = 0
		b.good = 0
	}
	return b.state
}

// Allow tells whether a request may be given to the server. One that insists
// always may: its caller has found no better server.
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

// allowTrial lets few requests through; any kind once idempotent ones stay away.
func (b *Breaker) allowTrial(now clocker.Instant, idempotent bool) bool {
	if b.trials > 0 && now.Since(b.trialSince) >= trialTimeout {
		b.trials = 0
	}
	if b.trials >= maxTrials || !idempotent && now.Since(b.halfOpenSince) < idempotentOnly {
		return false
	}
	b.trials++
	b.trialSince = now
	return true
}

// RecordSuccess notes an answer that shows the server to work.
func (b *Breaker) RecordSuccess(now clocker.Instant) {
	switch b.State(now) {
	case Closed:
		b.weight *= goodFactor
	case HalfOpen:
		b.trials = max(0, b.trials-1)
		b.good++
		if b.good >= trialsNeeded {
			b.state = Closed
			b.weight = 0
			b.pause = 0
		}
	}
}

// RecordFailure notes a failure of the server, Sure or Doubtful, and returns true if the
// breaker opens by it.
func (b *Breaker) RecordFailure(now clocker.Instant, weight float64) bool {
	if b.first == 0 || b.State(now) == Open {
		return false
	}
	b.weight += weight
	if b.weight < WeightCertain {
		return false
	}
	b.weight = 0
	b.pause = min(max(2*b.pause, b.first), time.Duration(maxFactor*float64(b.first)))
	b.state = Open
	b.until = now.Add(b.pause)
	return true
}
