// Package repeater decides when a call is made once more while its earlier attempts are
// still waited for. An attempt that the other side accepted during a fault may never be
// answered, though a later one would be at once.
package repeater

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrUnanswered means that no attempt of a call was answered within its time limit.
var ErrUnanswered = eris.New("no answer within the time limit")

// Patience is how long a call waits for an answer.
type Patience struct {
	// Overdue is the time after which the first attempt should have been answered.
	Overdue time.Duration
	// Period is the time between further attempts. It is positive.
	Period time.Duration
	// Limit is the time after which the call fails. No attempt begins from then on.
	Limit time.Duration
}

// Call is the progress of one call. It is immutable.
type Call struct {
	patience Patience
	// made is the number of attempts, and failed that of those that ended without an answer.
	made, failed int
	// heard is how long after the begin of the call a part of an answer last arrived, 0 if
	// none has.
	heard time.Duration
}

// New returns a call without an attempt.
func New(patience Patience) Call { return Call{patience: patience} }

// Made returns the number of attempts.
func (c Call) Made() int { return c.made }

// WithAttempt returns the call after one more attempt was begun.
func (c Call) WithAttempt() Call {
	c.made++
	return c
}

// WithFailure returns the call after one of its attempts ended without an answer, and
// reports whether it has failed, since no other attempt is left that may be answered.
func (c Call) WithFailure() (next Call, failed bool) {
	c.failed++
	return c, c.failed >= c.made
}

// WithPart returns the call after a part of an answer has arrived at a time after its begin.
// Another attempt would only share the path with one that is being answered.
func (c Call) WithPart(at time.Duration) Call {
	c.heard = max(c.heard, at)
	return c
}

// NextAt returns how long after the begin of the call the next attempt is due, and reports
// whether there is one.
func (c Call) NextAt() (at time.Duration, ok bool) {
	if c.made > 0 {
		at = c.patience.Overdue + time.Duration(c.made-1)*c.patience.Period
	}
	if c.heard > 0 {
		at = max(at, c.heard+c.patience.Period)
	}
	return at, at < c.patience.Limit
}
