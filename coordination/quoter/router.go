package quoter

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// maxFailures is the number of asks without an answer after which a router decides
	// on its own, and suspectTime the time until it asks the same process again.
	maxFailures = 2
	suspectTime = time.Second
	// shareLifetime is how long a router remembers a customer after its last request.
	shareLifetime = time.Minute
	// returnDelay is how long returned quota waits for the next ask to go along with it.
	returnDelay = 250 * time.Millisecond
	// ownSaving is the time over which a router that is on its own saves up its share.
	ownSaving = 250 * time.Millisecond
)

// Router is the side of a router. It is not safe for concurrent use.
type Router struct {
	self      uint64
	tolerance Tolerance
	// random returns a random number in [0, 1).
	random   func() float64
	shares   map[string]*share
	suspects map[uint64]*suspect
}

// share is a router's share of one customer's limit.
type share struct {
	// lentTo is the home that the share was last lent to, at lentAt. It answered such an
	// ask last at answeredAt, with its patience.
	lentTo     registrar.Member
	lentAt     clocker.Instant
	answeredAt clocker.Instant
	patience   time.Duration
	usedAt     clocker.Instant
	// home is the incarnation of the last process that was planned for.
	home uint64
	// reserve is the level of the router's part of the tolerance, in requests.
	reserve   float64
	reserveAt clocker.Instant
	// own is the level of the share while it is not lent, in requests.
	own   float64
	ownAt clocker.Instant
	// returns is the quota to be returned to returnTo; firstAt is when the first of
	// it was taken, and returnedAt when it was returned.
	returnTo   registrar.Member
	returns    int
	firstAt    clocker.Instant
	returnedAt clocker.Instant
}

// suspect is a process that did not answer.
type suspect struct {
	failures int
	// directAt is when it is asked directly again, and relayedAt when through another process.
	directAt  clocker.Instant
	relayedAt clocker.Instant
	// relays is set while the process answers through another one.
	relays bool
}

// Plan says which process to ask.
type Plan struct {
	// Home is zero if there is none to ask, so that Fallback decides.
	Home registrar.Member
	Ask  Ask
	// Via is the process that passes the ask on. It is zero if Home is asked directly.
	Via registrar.Member
	// at is when the plan was made.
	at clocker.Instant
	// Release is the process that the share is to be taken back from first. It is zero
	// if there is none. TakeBack then returns the ask that lends to Home.
	Release registrar.Member
}

// NewRouter returns the side of a router in the process of an incarnation.
func NewRouter(self uint64, tolerance Tolerance, random func() float64) *Router {
	return &Router{
		self: self, tolerance: tolerance, random: random,
		shares: map[string]*share{}, suspects: map[uint64]*suspect{},
	}
}

// SetTolerance replaces the tolerance.
func (r *Router) SetTolerance(tolerance Tolerance) { r.tolerance = tolerance }

// Plan returns what to ask a customer's home for one request. A home that does not answer
// is asked through via, another process, in case only the path to it is cut.
func (r *Router) Plan(now clocker.Instant, customer string, home, via registrar.Member, view View) Plan {
	s := r.share(now, customer)
	s.home = home.Incarnation
	plan := Plan{Home: home, at: now, Ask: Ask{Sender: r.self, Customer: customer, Count: 1, Members: view.Known}}
	doubt := r.suspects[home.Incarnation]
	doubted := doubt != nil && doubt.failures >= maxFailures
	switch {
	case !doubted:
	case now.Mono >= doubt.directAt.Mono:
		doubt.directAt = now.Add(suspectTime)
	case via.Incarnation != 0 && now.Mono >= doubt.relayedAt.Mono:
		plan.Via = via
	default:
		return Plan{}
	}
	if s.returns > 0 && s.returnTo.Incarnation == home.Incarnation {
		plan.Ask.Returned, plan.Ask.ReturnedAge = s.returns, now.Since(s.firstAt)
		s.returns = 0
	}
	switch {
	case doubted && (plan.Via.Incarnation == 0 || !doubt.relays):
		// The process is tried without lending to it.
	case s.lentTo.Incarnation == home.Incarnation || now.Mono > s.freeAt().Mono:
		plan.Ask.Lends = true
		s.lend(now, home)
	case r.suspects[s.lentTo.Incarnation] == nil:
		plan.Release = s.lentTo
	}
	return plan
}

// ReleaseAsk returns the ask that takes a share back.
func (p Plan) ReleaseAsk() Ask {
	return Ask{Sender: p.Ask.Sender, Customer: p.Ask.Customer, Members: p.Ask.Members}
}

// TakeBack handles the answer to ReleaseAsk, after which the share can be lent to the
// plan's home.
func (r *Router) TakeBack(now clocker.Instant, plan Plan) Plan {
	s := r.share(now, plan.Ask.Customer)
	lent := s.lentTo.Incarnation
	if lent == plan.Release.Incarnation || lent == plan.Home.Incarnation {
		plan.Ask.Lends, plan.at = true, now
		s.lend(now, plan.Home)
	}
	return plan
}

// Answered handles an answer to a plan.
func (r *Router) Answered(plan Plan, answer Answer) {
	s := r.shares[plan.Ask.Customer]
	// A home that can't decide gives no patience, though it may count the router.
	if s != nil && !answer.Undecided && plan.Ask.Lends && s.lentTo.Incarnation == plan.Home.Incarnation {
		s.answeredAt, s.patience = plan.at, answer.Patience
	}
	if plan.Via.Incarnation == 0 {
		delete(r.suspects, plan.Home.Incarnation)
		return
	}
	if doubt := r.suspects[plan.Home.Incarnation]; doubt != nil {
		doubt.relays = true
	}
}

// Failed handles a plan without an answer. It reports whether the router asks the process
// directly no more.
func (r *Router) Failed(now clocker.Instant, plan Plan) bool {
	doubt := r.suspects[plan.Home.Incarnation]
	if doubt == nil {
		doubt = &suspect{}
		r.suspects[plan.Home.Incarnation] = doubt
	}
	if plan.Via.Incarnation != 0 {
		doubt.relays, doubt.relayedAt = false, now.Add(suspectTime)
		return false
	}
	doubt.failures++
	doubt.directAt = now.Add(suspectTime)
	return doubt.failures == maxFailures
}

// Fallback decides about one request without a home: by the router's own share of the
// limit if it is not lent, and by its part of the tolerance.
func (r *Router) Fallback(now clocker.Instant, customer string, limit Limit, view View) (time.Duration, bool) {
	s := r.share(now, customer)
	members := float64(view.Members)
	each := reserveShare * r.tolerance.Requests(limit) / members
	s.reserve = min(each, s.reserve+each*now.Since(s.reserveAt).Seconds()/r.tolerance.Window.Seconds())
	s.reserveAt = now
	from := later(s.ownAt, s.freeAt())
	rate := limit.Rate / members
	switch {
	case !s.mayUse(now):
		s.own, s.ownAt = 0, now
	case now.Mono > from.Mono:
		saved := limit.Burst/members + rate*ownSaving.Seconds()
		s.own = min(saved, s.own+rate*now.Since(from).Seconds())
		s.ownAt = now
	}
	if r.draw(&s.own) || r.draw(&s.reserve) {
		return 0, true
	}
	wait := (1 - min(1, s.own)) / max(rate, 1e-6)
	return time.Duration(min(wait, r.tolerance.Window.Seconds()) * float64(time.Second)), false
}

// draw takes one request from a level. A level below 1 is the probability of it and is used
// up either way, since most shares are smaller than one request.
func (r *Router) draw(level *float64) bool {
	if *level >= 1 {
		*level--
		return true
	}
	probability := *level
	*level = 0
	return probability > 0 && r.random() < probability
}

// Return keeps the quota of a request that a home granted some time ago and that did not
// run, until it is sent along.
func (r *Router) Return(now clocker.Instant, customer string, home registrar.Member, granted clocker.Instant) {
	s := r.share(now, customer)
	if s.returns == 0 || s.returnTo.Incarnation != home.Incarnation {
		s.returns, s.returnTo, s.firstAt, s.returnedAt = 0, home, granted, now
	}
	s.returns++
	if granted.Mono < s.firstAt.Mono {
		s.firstAt = granted
	}
}

// ReturnOwn gives the quota of a request back that Fallback granted.
func (r *Router) ReturnOwn(now clocker.Instant, customer string, limit Limit, view View) {
	s := r.share(now, customer)
	each := reserveShare * r.tolerance.Requests(limit) / float64(view.Members)
	s.reserve = min(each, s.reserve+1)
}

// Tick returns the asks that return quota for which no ask went along, with the processes
// they go to, and forgets idle customers.
func (r *Router) Tick(now clocker.Instant) []Plan {
	var due []Plan
	for _, name := range slices.Sorted(maps.Keys(r.shares)) {
		s := r.shares[name]
		if s.returns > 0 && now.Since(s.returnedAt) >= returnDelay {
			due = append(due, Plan{Home: s.returnTo, Ask: Ask{
				Sender: r.self, Customer: name, Returned: s.returns, ReturnedAge: now.Since(s.firstAt),
			}})
			s.returns = 0
		}
		if now.Since(s.usedAt) > shareLifetime {
			delete(r.shares, name)
		}
	}
	for incarnation, doubt := range r.suspects {
		if now.Since(doubt.directAt) > shareLifetime {
			delete(r.suspects, incarnation)
		}
	}
	return due
}

func (r *Router) share(now clocker.Instant, customer string) *share {
	s := r.shares[customer]
	if s == nil {
		s = &share{reserveAt: now, ownAt: now.Add(viewTime)}
		r.shares[customer] = s
	}
	s.usedAt = now
	return s
}

// lend records that the share goes to a home. A router then has none of its own.
func (s *share) lend(now clocker.Instant, home registrar.Member) {
	if s.lentTo.Incarnation != home.Incarnation {
		s.answeredAt, s.patience = now, viewTime
	}
	s.lentTo, s.lentAt = home, now
	s.own, s.ownAt = 0, now
}

// mayUse reports whether the router may use its share itself. It may not for long while its
// home is live in its view, nor at a home that it has never lent to, since the home counts
// a router that it does not hear from as one that is idle.
func (s *share) mayUse(now clocker.Instant) bool {
	lent := s.lentTo.Incarnation != 0 && s.lentTo.Incarnation == s.home
	return lent && s.patience < viewTime && now.Since(s.answeredAt) < askerLifetime-lendTime
}

// freeAt returns when the process that the share was lent to no longer counts it.
func (s *share) freeAt() clocker.Instant {
	if s.lentTo.Incarnation == 0 {
		return clocker.Instant{}
	}
	return s.lentAt.Add(min(s.patience, viewTime) + lendMargin)
}
