// Package locker implements the guard's side of the ejection protocol. A guard
// locks the round with the highest term that it was asked for, as an acceptor in
// Paxos does, and accepts only orders of that round while the lock is fresh.
package locker

import (
	"cmp"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// Reasons why a lock or an order is refused.
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

// Term identifies a round and orders it among all others. Terms of two ejectors
// differ in Owner.
type Term struct {
	Counter uint64
	// Owner is the incarnation of the ejector's process.
	Owner uint64
}

// Compare orders terms by counter, then by owner.
func (t Term) Compare(other Term) int {
	if order := cmp.Compare(t.Counter, other.Counter); order != 0 {
		return order
	}
	return cmp.Compare(t.Owner, other.Owner)
}

// coldRounds is the length of the cold phase, in round lifetimes. A newly started
// guard does not know what its earlier incarnation had locked, so it refuses all
// locks until every such round is over.
const coldRounds = 2

// leaveRounds is how long a guard stays in service after its last lock, in round
// lifetimes. No order of that round takes effect anywhere after that.
const leaveRounds = 2

// Locker decides which locks and orders one guard accepts. It is immutable.
type Locker struct {
	incarnation   uint64
	started       clocker.Instant
	roundLifetime time.Duration
	// highest is the highest term locked so far; it never falls.
	highest Term
	// lockedAt is when highest was locked.
	lockedAt clocker.Instant
	// withoutColdPhase removes the cold phase, for tests only.
	withoutColdPhase bool
}

// New returns the locker of a guard that starts now.
func New(incarnation uint64, now clocker.Instant, roundLifetime time.Duration) Locker {
	return Locker{incarnation: incarnation, started: now, roundLifetime: roundLifetime}
}

// WithoutColdPhase returns a locker that accepts locks right after its start. Tests
// use it to show that the capacity floor is violated without the cold phase.
func (l Locker) WithoutColdPhase() Locker {
	l.withoutColdPhase = true
	return l
}

// Highest returns the highest term locked so far.
func (l Locker) Highest() Term { return l.highest }

// InColdPhase reports whether the guard started too recently to accept locks.
func (l Locker) InColdPhase(now clocker.Instant) bool {
	return !l.withoutColdPhase && now.Since(l.started) < coldRounds*l.roundLifetime
}

// WithLock returns the locker with the term locked, or the reason why it is refused.
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

// CheckOrder returns nil if an order with this term to this incarnation is to be
// executed now, or the reason why it is refused.
func (l Locker) CheckOrder(now clocker.Instant, term Term, incarnation uint64) error {
	if incarnation != l.incarnation {
		return ErrIncarnationMismatch
	}
	if term != l.highest || term == (Term{}) {
		return ErrTermMismatch
	}
	if now.Since(l.lockedAt) >= l.roundLifetime {
		return ErrExpired
	}
	return nil
}

// LeaveDelay returns how long a guard that wants to leave must stay in service
// until every round that counted its server as healthy is over.
func (l Locker) LeaveDelay(now clocker.Instant) time.Duration {
	if l.highest == (Term{}) {
		return 0
	}
	return max(0, leaveRounds*l.roundLifetime-now.Since(l.lockedAt))
}
