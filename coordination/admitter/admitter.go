// Package admitter decides which attempts a guard gives to its backend server, which
// wait for a slot and which are refused.
package admitter

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/pacer"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

// MaxQueueWait bounds the time that an attempt with a MaxWait queues here before its
// router looks for a free slot elsewhere. Otherwise a server whose slots are taken by
// long requests would keep it while other servers become free.
const MaxQueueWait = 200 * time.Millisecond

// Reason is why an attempt is refused, "" if it is not.
type Reason string

// Reasons of refusals by an Admitter. Those of the limiter are its decisions' names.
const (
	// ReasonBusy means that no slot is free and the router does not insist.
	ReasonBusy Reason = "Busy"
	// ReasonDoubtful means that the breaker is open.
	ReasonDoubtful Reason = "Doubtful"
	// ReasonLimited means that the server takes no more requests at the moment.
	ReasonLimited Reason = "Limited"
	// ReasonNoBudget means that the retry budget is used up.
	ReasonNoBudget Reason = "NoBudget"
)

// Attempt is what the decision needs to know of an attempt.
type Attempt struct {
	ID       uint64
	Deadline clocker.Instant
	// Rank is the urgency; 0 is the most urgent.
	Rank uint32
	// MaxWait is how long the attempt may wait for a slot, 0 for as long as its
	// deadline allows.
	MaxWait    time.Duration
	Idempotent bool
	// Insist is set if the attempt rather waits than is refused for lack of a free slot.
	Insist bool
	// Retry is set if an earlier attempt of the request may have run.
	Retry bool
	// Funded is set for a retry that the guard of an earlier attempt has paid for.
	Funded bool
	// Customer names the customer that sent the request, empty if none.
	Customer string
	// Cost is the expected service time, 0 if it is not known.
	Cost time.Duration
	// DerivedProbability is the probability that a retry made this request, from 0 to 1.
	DerivedProbability float64
}

// Admitter combines the limits of one backend server. It is not safe for concurrent use.
type Admitter struct {
	Limiter *limiter.Limiter
	Breaker *breaker.Breaker
	// Pacer holds the limit that the server itself has named.
	Pacer *pacer.Pacer
	// Budget bounds the retries that reach the backend server.
	Budget *retrier.Budget
}

// New returns an admitter without slots, whose breaker never opens and whose budget is empty.
func New() *Admitter {
	return &Admitter{Limiter: limiter.New(0, 0), Breaker: breaker.New(0), Pacer: &pacer.Pacer{}, Budget: retrier.New(0)}
}

// Admit starts or queues an attempt, or returns why it is refused.
func (a *Admitter) Admit(now clocker.Instant, attempt Attempt) (limiter.Decision, Reason) {
	if !attempt.Insist && !a.Limiter.HasFreeSlot() {
		return 0, ReasonBusy
	}
	if !a.Pacer.Take(now) {
		return 0, ReasonLimited
	}
	if !a.Breaker.Allow(now, attempt.Idempotent, attempt.Insist) {
		a.Pacer.Return()
		return 0, ReasonDoubtful
	}
	if !a.takeRetryBudget(now, attempt) {
		a.Pacer.Return()
		return 0, ReasonNoBudget
	}
	decision := a.Limiter.AdmitRanked(now, attempt.request())
	if decision == limiter.Started || decision == limiter.Queued {
		return decision, ""
	}
	a.Return(attempt)
	return 0, Reason(decision.String())
}

func (a Attempt) request() limiter.Request {
	return limiter.Request{
		ID: a.ID, Deadline: a.Deadline, Rank: a.Rank, MaxWait: a.MaxWait, Customer: a.Customer, Cost: a.Cost,
	}
}

// ExpectedWait returns the time after which a slot is expected for an attempt.
func (a *Admitter) ExpectedWait(now clocker.Instant, attempt Attempt) time.Duration {
	return a.Limiter.ExpectedWait(now, attempt.request())
}

// takeRetryBudget credits the budget for a first attempt, or takes a token for a
// retry of a request that may already have reached a server. A call that a retry made
// is itself load that the budget bounds. It reports whether the attempt may run.
func (a *Admitter) takeRetryBudget(now clocker.Instant, attempt Attempt) bool {
	a.Budget.Refill(now.Mono)
	if attempt.Retry {
		return attempt.Funded || a.Budget.Take()
	}
	if attempt.DerivedProbability >= likelyDerived && a.Budget.Overdrawn(attempt.DerivedProbability) {
		return false
	}
	a.Budget.Deposit()
	a.Budget.Charge(attempt.DerivedProbability)
	return true
}

// likelyDerived is the probability from which on a request counts as the call of a
// retry, which is refused when the budget is overdrawn.
const likelyDerived = 0.5

// Return reverts what an attempt took from the server's limit and the retry budget, or
// added to it. It is called for an admitted attempt that is not sent to the server.
func (a *Admitter) Return(attempt Attempt) {
	a.Pacer.Return()
	if attempt.Retry {
		if !attempt.Funded {
			a.Budget.Refund()
		}
		return
	}
	a.Budget.RevertDeposit()
	a.Budget.Charge(-attempt.DerivedProbability)
}

// Fund takes a token for the retry of an attempt that failed here, so that another
// guard need not pay for it. A failing server gets few requests and can spare its
// budget, while the others have to take the retries.
func (a *Admitter) Fund(now clocker.Instant) bool {
	a.Budget.Refill(now.Mono)
	return a.Budget.Take()
}
