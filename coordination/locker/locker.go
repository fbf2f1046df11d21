// Package locker holds the guard's side of an ejection: which round of which
// ejector the guard obeys, and until when.
package locker

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// Reasons for which a lock or an order is refused.
var (
	ErrColdPhase           = eris.New("guard started less than two round lifetimes ago")
	ErrStaleTerm           = eris.New("term is not above the highest locked")
	ErrLeaving             = eris.New("backend server is leaving")
	ErrTermMismatch        = eris.New("order names another term than the one locked")
	ErrIncarnationMismatch = eris.New("order names another incarnation")
	ErrExpired             = eris.New("lock is older than a round lifetime")
	ErrNotEjected          = eris.New("backend server is not ejected")
	ErrNotEligible         = eris.New("backend server is not in a state to be ejected")
)

// Term orders rounds. Terms of two ejectors differ in Owner.
type Term struct {
	Counter uint64
	// Owner is the incarnation of the ejector.
	Owner uint64
}

// Compare orders terms by counter, then by owner.
func (t Term) Compare(other Term) int {
	if order := cmp.Compare(t.Counter, other.Counter); order != 0 {
		return order
	}
	return cmp.Compare(t.Owner, other.Owner)
}

// coldRounds is the number of round lifetimes in which a started guard locks
// nothing: all rounds that an earlier incarnation had locked are over by then.
const coldRounds = 2

// leaveRounds is the number of round lifetimes for which a locked guard stays
// in service: no order of that round takes effect anywhere later.
const leaveRounds = 2

// Locker decides on locks and orders of one guard.
type Locker struct {
	incarnation uint64
	started     clocker.Instant
	lifetime    time.Duration
	// highest is the highest term ever locked; it only rises.
	highest Term
	// lockedAt is when highest was locked.
	lockedAt clocker.Instant
	// withoutColdPhase drops the cold phase, for the test that shows its need.
	withoutColdPhase bool
}

// New returns the locker of a guard that started now. The lifetime is that of a round.
func New(incarnation uint64, now clocker.Instant, lifetime time.Duration) Locker {
	return Locker{incarnation: incarnation, started: now, lifetime: lifetime}
}

// WithoutColdPhase returns a locker that locks at once after its start. It
// exists to show that the floor breaks without the cold phase.
func (l Locker) WithoutColdPhase() Locker {
	l.withoutColdPhase = true
	return l
}

// Highest returns the highest term locked.
func (l Locker) Highest() Term { return l.highest }

// InColdPhase tells whether the guard is still too young to lock.
func (l Locker) InColdPhase(now clocker.Instant) bool {
	return !l.withoutColdPhase && now.Since(l.started) < coldRounds*l.lifetime
}

// WithLock returns the locker with the term locked, or why it is refused.
func (l Locker) WithLock(now clocker.Instant, term Term) (Locker, error) {
	if l.InColdPhase(now) {
		return l, ErrColdPhase
	}
	if term.Compare(l.highest) <= 0 {
		return l, ErrStaleTerm
	}
	l.highest = term
	l.lockedAt = now
	return l, nil
}

// CheckOrder tells whether an order of a term to an incarnation is to be obeyed now.
func (l Locker) CheckOrder(now clocker.Instant, term Term, incarnation uint64) error {
	if incarnation != l.incarnation {
		return ErrIncarnationMismatch
	}
	if term != l.highest || term == (Term{}) {
		return ErrTermMismatch
	}
	if now.Since(l.lockedAt) >= l.lifetime {
		return ErrExpired
	}
	return nil
}

// LeaveDelay returns how long a guard that wants to leave stays in service, so
// that no round that counted on it is still open.
func (l Locker) LeaveDelay(now clocker.Instant) time.Duration {
	if l.highest == (Term{}) {
		return 0
	}
	return max(0, leaveRounds*l.lifetime-now.Since(l.lockedAt))
}
