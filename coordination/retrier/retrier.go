// Package retrier decides whether a request may be tried again or hedged.
package retrier

import (
	"sync/atomic"
	"time"
)

const (
	// milli is the scale of the budget's tokens.
	milli = 1000
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts = 3
	// hedgeQuantile is the quantile of answer times after which a hedge may start.
	hedgeQuantile = 0.95
	// quantileStep is the relative step of the quantile's estimate.
	quantileStep = 0.02
	// minHedgeDelay is the least time before a hedge starts.
	minHedgeDelay = 2 * time.Millisecond
)

// Allowance is what may be spent on repeats at one backend server.
type Allowance struct {
	// Share is the part of first attempts that repeats may add, from 0 to 1.
	Share float64
	// PerSecond is what is added without any first attempt, in tokens.
	PerSecond float64
	// Burst bounds what is saved up, in tokens.
	Burst float64
}

// DefaultBurst is the budget of a server that has been idle, in tokens.
const DefaultBurst = 10

// FleetLimit is a bound on the repeats of one service that all its servers share.
type FleetLimit struct {
	// Share is the part of all requests that repeats may add, from 0 to 1.
	Share float64
	// Slack is what may come on top within one window.
	Slack  float64
	Window time.Duration
}

const (
	// ownShare is the part of the fleet's share that is given out. The rest
	// covers what a server does not see, such as repeats that were lost on the way.
	ownShare = 0.95
	// steadySlack and savedSlack are the parts of the fleet's slack that are
	// given out steadily and that may be saved up.
	steadySlack = 0.4
	savedSlack  = 0.45
)

// Allowance returns the part of one server among so many of its service.
func (f FleetLimit) Allowance(servers int) Allowance {
	each := f.Slack / float64(max(servers, 1))
	return Allowance{
		Share:     ownShare * f.Share,
		PerSecond: steadySlack * each / f.Window.Seconds(),
		Burst:     savedSlack * each,
	}
}

// Budget bounds retries and hedges at one backend server. It is safe for
// concurrent use.
type Budget struct {
	// tokens is in thousandths, up to burst. Charges take it below 0.
	tokens atomic.Int64
	// share is in thousandths of a token for each first attempt.
	share atomic.Int64
	// burst is in thousandths of a token.
	burst atomic.Int64
	// perSecond is in thousandths of a token.
	perSecond atomic.Int64
	// refilled is the monotonic time of the last refill.
	refilled atomic.Int64
}

// New returns a full budget with the given share, from 0 to 1.
func New(share float64) *Budget {
	budget := &Budget{}
	budget.SetAllowance(Allowance{Share: share, Burst: DefaultBurst})
	budget.tokens.Store(budget.burst.Load())
	return budget
}

// SetAllowance takes a newer policy or another number of processes.
func (b *Budget) SetAllowance(allowance Allowance) {
	b.share.Store(int64(allowance.Share * milli))
	b.burst.Store(int64(allowance.Burst * milli))
	b.perSecond.Store(int64(allowance.PerSecond * milli))
	b.add(0)
}

// Refill adds what is given without first attempts up to a monotonic time.
func (b *Budget) Refill(now time.Duration) {
	last := b.refilled.Load()
	gained := int64(float64(b.perSecond.Load()) * (now - time.Duration(last)).Seconds())
	if gained <= 0 || !b.refilled.CompareAndSwap(last, int64(now)) {
		return
	}
	b.add(gained)
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() {
	b.add(b.share.Load())
}

// RevertDeposit takes back a first attempt that its server never gets.
func (b *Budget) RevertDeposit() { b.add(-b.share.Load()) }

func (b *Budget) add(gained int64) {
	for {
		have := b.tokens.Load()
		want := min(have+gained, b.burst.Load())
		if want == have || b.tokens.CompareAndSwap(have, want) {
			return
		}
	}
}

// Charge counts what can't be refused: the call of a repeated request, as far as
// it is likely to be one. Later repeats wait until it is made up for.
func (b *Budget) Charge(share float64) { b.add(-int64(share * milli)) }

// Refund gives back a token of a repeat that has not reached the backend server.
func (b *Budget) Refund() { b.add(milli) }

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
