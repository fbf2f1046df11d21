// Package retrier decides whether a request may be tried again or hedged.
package retrier

import (
	"sync/atomic"
	"time"
)

const (
	// milli is the scale of the budget's tokens.
	milli = 1000
	// burstTokens is the budget of a service that has been idle.
	burstTokens = 10
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts = 3
	// hedgeQuantile is the quantile of answer times after which a hedge may start.
	hedgeQuantile = 0.95
	// quantileStep is the relative step of the quantile's estimate.
	quantileStep = 0.02
	// minHedgeDelay is the least time before a hedge starts.
	minHedgeDelay = 2 * time.Millisecond
)

// Budget bounds retries and hedges of one service at one router to a share of
// its first attempts. It is safe for concurrent use.
type Budget struct {
	// tokens is in thousandths, from 0 to burstTokens thousands.
	tokens atomic.Int64
	// share is in thousandths of a token for each first attempt.
	share atomic.Int64
}

// New returns a full budget with the given share, from 0 to 1.
func New(share float64) *Budget {
	budget := &Budget{}
	budget.SetShare(share)
	budget.tokens.Store(burstTokens * milli)
	return budget
}

// SetShare takes a newer policy.
func (b *Budget) SetShare(share float64) {
	b.share.Store(int64(share * milli))
}

// First counts a first attempt.
func (b *Budget) First() {
	share := b.share.Load()
	for {
		have := b.tokens.Load()
		if have >= burstTokens*milli {
			return
		}
		if b.tokens.CompareAndSwap(have, min(have+share, burstTokens*milli)) {
			return
		}
	}
}

// Take uses one token and tells whether there was one.
func (b *Budget) Take() bool {
	if b.share.Load() == 0 {
		return false
	}
	for {
		have := b.tokens.Load()
		if have < milli {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-milli) {
			return true
		}
	}
}

// Quantile estimates the answer time after which a request counts as late. It
// is safe for concurrent use; a lost update does no harm.
type Quantile struct {
	// micros is 0 before the first sample.
	micros atomic.Int64
}

// Observe takes an answer time.
func (q *Quantile) Observe(sample time.Duration) {
	have := q.micros.Load()
	value := sample.Microseconds()
	if have == 0 {
		q.micros.Store(2 * value)
		return
	}
	step := max(float64(have)*quantileStep, 1)
	if value > have {
		q.micros.Store(have + int64(step*hedgeQuantile/(1-hedgeQuantile)))
		return
	}
	q.micros.Store(max(1, have-int64(step)))
}

// Delay returns the time after which a hedge may start, 0 if there is no estimate yet.
func (q *Quantile) Delay() time.Duration {
	micros := q.micros.Load()
	if micros == 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(micros)*time.Microsecond)
}
