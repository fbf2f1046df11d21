package quoter

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// lostGaps is how many times its mean gap between asks a router must be silent to
	// count as cut off. With random gaps a reachable router is silent for so long in 2 of
	// 100 cases.
	lostGaps = 4.0
	// rateTime is the time over which the rate of a router's asks is taken.
	rateTime = 2 * time.Second
	// askerLifetime is how long a router's asks are remembered.
	askerLifetime = 10 * time.Second
	// countPeriod is the time between two counts of the routers.
	countPeriod = 20 * time.Millisecond
)

// pace is how often a router asks.
type pace struct {
	at clocker.Instant
	// rate is in asks a second.
	rate float64
}

func (p pace) with(now clocker.Instant) pace {
	if p.rate > 0 {
		p.rate *= math.Exp(-now.Since(p.at).Seconds() / rateTime.Seconds())
	}
	p.rate += 1 / rateTime.Seconds()
	p.at = now
	return p
}

// patience returns the silence after which the router counts as cut off.
func (p pace) patience() time.Duration {
	if p.rate <= 0 {
		return askerLifetime
	}
	return max(lendTime, time.Duration(lostGaps/p.rate*float64(time.Second)))
}

// asker is one router that has asked for a customer.
type asker struct {
	pace  pace
	lends bool
}

// reach knows which routers lend their shares of one customer's limit.
type reach struct {
	askers    map[uint64]asker
	countedAt clocker.Instant
	// lenders lend now, and away have a share that must not be counted: they lend it
	// elsewhere, may use it themselves, or are silent and probably cut off.
	lenders int
	away    int
}

func newReach() reach { return reach{askers: map[uint64]asker{}} }

// hear records an ask.
func (r *reach) hear(now clocker.Instant, sender uint64, lends bool) {
	known, ok := r.askers[sender]
	if !ok || known.lends != lends {
		r.countedAt = clocker.Instant{}
	}
	r.askers[sender] = asker{pace: known.pace.with(now), lends: lends}
}

// count counts the routers again if that is due.
func (r *reach) count(now clocker.Instant) {
	if r.countedAt != (clocker.Instant{}) && now.Since(r.countedAt) < countPeriod {
		return
	}
	r.countedAt = now
	r.lenders, r.away = 0, 0
	for sender, asker := range r.askers {
		silence := now.Since(asker.pace.at)
		switch {
		case silence > askerLifetime:
			delete(r.askers, sender)
		case !asker.lends || silence > asker.pace.patience():
			r.away++
		default:
			r.lenders++
		}
	}
}

// unheard returns how many of some members have not asked.
func (r *reach) unheard(members []uint64) int {
	count := 0
	for _, member := range members {
		if _, ok := r.askers[member]; !ok {
			count++
		}
	}
	return count
}

// fraction returns the part of the limit that belongs to the members that the home can
// reach. Gossip takes seconds to tell that members are cut off, so that the silence of
// routers counts as well. Until a home knows who lends elsewhere (settled is unset), it
// counts only the routers that have asked it.
func (r *reach) fraction(now clocker.Instant, view View, settled bool) float64 {
	r.count(now)
	reached := r.lenders
	if settled {
		reached = max(reached, view.Live-r.away-r.unheard(view.Fresh))
	}
	return min(1, float64(reached)/float64(view.Members))
}
