package quoter

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// accountLifetime is how long a customer's bucket is kept after the last ask.
const accountLifetime = time.Minute

// Home holds the token buckets of the customers whose home the process is. It is not safe
// for concurrent use.
type Home struct {
	tolerance Tolerance
	// random returns a random number in [0, 1).
	random   func() float64
	accounts map[string]*account
	tickedAt clocker.Instant
	// emptyAt is the last time at which all buckets were empty, and settledAt when the
	// home begins to decide.
	emptyAt   clocker.Instant
	settledAt clocker.Instant
}

// account is one customer's bucket.
type account struct {
	bucket *bucket
	reach  reach
	limit  Limit
	// fraction is the part of the limit at the last ask.
	fraction float64
	askedAt  clocker.Instant
	// backlog is how many refused requests are expected to come back before a request
	// that is refused now.
	backlog float64
}

// NewHome returns a home with empty buckets.
func NewHome(now clocker.Instant, tolerance Tolerance, random func() float64) *Home {
	return &Home{
		tolerance: tolerance, random: random, accounts: map[string]*account{},
		tickedAt: now, emptyAt: now, settledAt: now,
	}
}

// Tick forgets idle customers and finds pauses. It is called every TickPeriod. It reports
// whether the process was paused, which empties the buckets: during a pause another home
// may have granted the limit.
func (h *Home) Tick(now clocker.Instant) bool {
	paused := now.Since(h.tickedAt) > pauseLimit
	h.tickedAt = now
	if paused {
		for _, account := range h.accounts {
			account.bucket, account.backlog = nil, 0
		}
		h.emptyAt, h.settledAt = now, now.Add(settleTime)
		return true
	}
	for name, account := range h.accounts {
		if now.Since(account.askedAt) > accountLifetime {
			delete(h.accounts, name)
		}
	}
	return false
}

// SetTolerance replaces the tolerance.
func (h *Home) SetTolerance(tolerance Tolerance) { h.tolerance = tolerance }

// Acquire handles a router's ask under the limit in force.
func (h *Home) Acquire(now clocker.Instant, ask Ask, limit Limit, view View) Answer {
	if now.Since(h.tickedAt) > pauseLimit {
		h.Tick(now)
	}
	if now.Mono < h.settledAt.Mono {
		return Answer{Undecided: true, Members: view.Known}
	}
	a := h.accounts[ask.Customer]
	if a == nil {
		a = &account{reach: newReach(), askedAt: now}
		h.accounts[ask.Customer] = a
	}
	if ask.Lends || ask.Returned == 0 || ask.Count > 0 {
		a.reach.hear(now, ask.Sender, ask.Lends)
	}
	elapsed := now.Since(a.askedAt)
	began := later(view.HeldSince, h.emptyAt)
	young := now.Since(began) < youngTime
	a.limit, a.askedAt, a.fraction = limit, now, a.reach.fraction(now, view, view.Holder && !young)
	size := a.size(view)
	if a.bucket == nil {
		a.bucket = newBucket(now, h.startLevel(a, size, view, now.Since(began)))
	}
	a.bucket.update(now, a.fraction*limit.Rate, size)
	a.backlog = max(0, a.backlog-a.fraction*limit.Rate*elapsed.Seconds())
	if ask.Returned > 0 {
		a.bucket.giveBack(now, float64(ask.Returned), ask.ReturnedAge)
	}
	answer := a.answer(ask.Count, h.random)
	answer.Members, answer.Young = view.Known, young
	answer.Patience = a.reach.askers[ask.Sender].pace.patience()
	return answer
}

// Refuse returns the answer to an ask for a part without quota. It reports the longest
// patience, since the home does not record who asks.
func (h *Home) Refuse(view View) Answer {
	return Answer{Members: view.Known, Patience: askerLifetime}
}

// size returns how many tokens the bucket holds. Only the home saves up tokens: if several
// processes did, all of them could be spent at once. All parts of a limit together hold at
// least one token: with one each, a fleet cut into single processes exceeds the rule.
func (a *account) size(view View) float64 {
	least := 1 / float64(max(1, a.limit.Parts))
	if !view.Holder {
		return least
	}
	return max(least, float64(view.Live)/float64(view.Members)*a.limit.Burst)
}

// startLevel returns the level of a new bucket: what has come in since the process became
// the home, or a part of the tolerance.
func (h *Home) startLevel(a *account, size float64, view View, held time.Duration) float64 {
	if !view.Holder {
		return 0
	}
	part := float64(view.Live) / float64(view.Members)
	accrued := part * a.limit.Rate * max(0, held-youngTime).Seconds()
	return min(size, max(accrued, startShare*part*h.tolerance.Requests(a.limit)))
}

func (a *account) answer(count int, random func() float64) Answer {
	answer := Answer{Granted: a.bucket.take(count, random)}
	if answer.Granted == count {
		return answer
	}
	const maxRetryAfter = 5.0
	rate := max(a.fraction*a.limit.Rate, 1e-6)
	wait := min(maxRetryAfter, (1+a.backlog-a.bucket.level)/rate)
	a.backlog = min(a.backlog+1, maxRetryAfter*rate)
	answer.RetryAfter = max(time.Millisecond, time.Duration(wait*float64(time.Second)))
	return answer
}

// Use is the state of one customer's bucket.
type Use struct {
	Customer string
	Limit    Limit
	// Level is the number of tokens in the bucket.
	Level float64
	// Fraction is the part of the limit that the home may grant.
	Fraction float64
}

// Uses returns the state of all buckets.
func (h *Home) Uses() []Use {
	uses := make([]Use, 0, len(h.accounts))
	for name, a := range h.accounts {
		use := Use{Customer: name, Limit: a.limit, Fraction: a.fraction}
		if a.bucket != nil {
			use.Level = a.bucket.level
		}
		uses = append(uses, use)
	}
	return uses
}
