// Package retrier decides whether a request may be retried or hedged, and bounds
// the load that retries and hedges add.
package retrier

import (
	"sync/atomic"
	"time"
)

const (
	// milliPerToken is the scale in which a Budget counts tokens.
	milliPerToken = 1000
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts = 3
	// hedgeQuantile is the quantile of response times after which a hedge may start.
	hedgeQuantile = 0.95
	// quantileStep is the relative step by which the quantile estimate moves.
	quantileStep = 0.02
	// minHedgeDelay is the shortest delay before a hedge starts.
	minHedgeDelay = 2 * time.Millisecond
)

// Allowance configures the retry budget of one backend server.
type Allowance struct {
	// Share is how many retries each first attempt allows, from 0 to 1.
	Share float64
	// PerSecond is the refill rate that does not depend on first attempts, in tokens per second.
	PerSecond float64
	// Burst is the most that can be saved up, in tokens.
	Burst float64
	// Debt is how far derived calls may overdraw the budget, in tokens.
	Debt float64
}

// DefaultBurst is the budget of an idle server, and how far derived calls may overdraw
// it, in tokens.
const DefaultBurst = 10

// FleetLimit bounds the retries of one service over all of its servers together.
type FleetLimit struct {
	// Share is the limit on retries as a share of all requests, from 0 to 1.
	Share float64
	// Slack is how many retries within one window are allowed on top of Share.
	Slack  float64
	Window time.Duration
}

const (
	// grantedShare is the part of the fleet's share that is granted to servers.
	// The rest covers what a server does not see, such as retries that are lost
	// on the way to it.
	grantedShare = 0.95
	// slackRefillShare, slackBurstShare and slackDebtShare are the parts of the fleet's
	// slack that are granted as a steady refill, as a burst and as debt.
	slackRefillShare = 0.4
	slackBurstShare  = 0.4
	slackDebtShare   = 0.1
)

// Allowance returns the allowance of one server if the service has the given number of
// servers. rank is the server's place among them, from 0, in an order that all processes
// share. A retry takes a whole token, so if there are more servers than tokens to be saved
// up, only the first servers save one, and the others none.
func (f FleetLimit) Allowance(servers, rank int) Allowance {
	each := f.Slack / float64(max(servers, 1))
	allowance := Allowance{
		Share:     grantedShare * f.Share,
		PerSecond: slackRefillShare * each / f.Window.Seconds(),
		Burst:     slackBurstShare * each,
		Debt:      slackDebtShare * each,
	}
	if allowance.Burst >= 1 {
		return allowance
	}
	holders := int(slackBurstShare * f.Slack)
	if rank >= holders {
		allowance.PerSecond, allowance.Burst = 0, 0
		return allowance
	}
	allowance.PerSecond, allowance.Burst = slackRefillShare*f.Slack/float64(holders)/f.Window.Seconds(), 1
	return allowance
}

// Budget is a token bucket that bounds retries and hedges at one backend server.
// It is safe for concurrent use.
type Budget struct {
	// tokens is in thousandths of a token and at most burst. Charges can make it negative.
	tokens atomic.Int64
	// share is what each first attempt deposits, in thousandths of a token.
	share atomic.Int64
	// burst is in thousandths of a token.
	burst atomic.Int64
	// perSecond is in thousandths of a token per second.
	perSecond atomic.Int64
	// debt is in thousandths of a token.
	debt atomic.Int64
	// refilledAt is the monotonic time of the last refill.
	refilledAt atomic.Int64
}

// New returns an empty budget with the given share, from 0 to 1, and DefaultBurst.
// It starts empty because the process may have used its share just before a restart.
func New(share float64) *Budget {
	budget := &Budget{}
	budget.SetAllowance(Allowance{Share: share, Burst: DefaultBurst, Debt: DefaultBurst})
	return budget
}

// SetAllowance replaces the allowance, such as after a change of the policy or
// of the number of servers.
func (b *Budget) SetAllowance(allowance Allowance) {
	b.share.Store(int64(allowance.Share * milliPerToken))
	b.burst.Store(int64(allowance.Burst * milliPerToken))
	b.perSecond.Store(int64(allowance.PerSecond * milliPerToken))
	b.debt.Store(int64(allowance.Debt * milliPerToken))
	b.add(0)
}

// Refill adds the steady refill up to a monotonic time.
func (b *Budget) Refill(now time.Duration) {
	last := b.refilledAt.Load()
	gained := int64(float64(b.perSecond.Load()) * (now - time.Duration(last)).Seconds())
	if gained <= 0 || !b.refilledAt.CompareAndSwap(last, int64(now)) {
		return
	}
	b.add(gained)
}

// Deposit adds the share that one first attempt earns.
func (b *Budget) Deposit() {
	b.add(b.share.Load())
}

// RevertDeposit undoes the deposit of a first attempt that never reaches its server.
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

// Charge takes tokens for a nested call, weighted by the probability that a retry made
// it. The balance may become negative; retries are then denied until it has recovered.
func (b *Budget) Charge(tokens float64) { b.add(-int64(tokens * milliPerToken)) }

// Overdrawn reports whether a charge would take the balance below the debt that is
// allowed.
func (b *Budget) Overdrawn(tokens float64) bool {
	return b.tokens.Load()-int64(tokens*milliPerToken) < -b.debt.Load()
}

// Refund returns the token of a retry that has not reached the backend server.
func (b *Budget) Refund() { b.add(milliPerToken) }

// Take uses one token and reports whether one was available.
func (b *Budget) Take() bool {
	if b.share.Load() == 0 {
		return false
	}
	for {
		have := b.tokens.Load()
		if have < milliPerToken {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-milliPerToken) {
			return true
		}
	}
}

// Quantile estimates hedgeQuantile of the observed response times. It is safe
// for concurrent use; a concurrent update may be lost, which does no harm.
type Quantile struct {
	// micros is the estimate in microseconds, 0 before the first sample.
	micros atomic.Int64
}

// Observe adds a response time.
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
