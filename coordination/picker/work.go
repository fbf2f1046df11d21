package picker

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

const (
	// zoneCost and zoneShare are what another availability zone counts for: the round trip
	// of 3 to 6 ms, and a share of the service time for the price of its bytes. Without the
	// share, 23 % instead of 6 % of the requests run in other zones at a load of 0.8.
	zoneCost  = 5 * time.Millisecond
	zoneShare = 0.3
	// hopCost is what another server of the zone counts for. The router's own server is
	// the one whose load it knows best.
	hopCost = 2 * time.Millisecond
	// fillExponent shapes the probability that the slots of a server that has some free
	// are taken before the request arrives. At 4 there are 7 % more attempts at loads of 0.8 and 0.95.
	fillExponent = 12
)

// workCandidates holds the samples of each group of servers for a choice by work.
type workCandidates struct {
	random uint64
	// explore ignores the slowness of servers, so that their recovery is noticed.
	explore                     bool
	zone, other, avoided, trial sample
	// local is the index of the server on the router's VM, -1 if it does not qualify.
	local int
}

// pickByWork chooses the server with the earliest expected completion of the request
// among the router's own, two of its zone and two of other zones. Routers that know the same
// reports compare different servers, so that they do not all choose the same one.
func pickByWork(pool *tracker.Pool, query *Query) (tracker.Entry, Reason) {
	found := workCandidates{random: query.Random | 1, explore: query.Random%requestsPerTrial == 0, local: -1}
	for i := range pool.Entries {
		entry := &pool.Entries[i]
		if !entry.Member.State.Routable() || query.tried(entry.Member.Incarnation) ||
			query.SameZoneOnly && entry.Member.Zone != query.Zone {
			continue
		}
		found.classify(entry, query, i)
	}
	return found.choose(pool, query)
}

// classify adds a routable server to the groups that it belongs to.
func (c *workCandidates) classify(entry *tracker.Entry, query *Query, i int) {
	switch {
	case entry.Member.State == registrar.StateProbation:
		c.trial.add(i, &c.random)
	case entry.Server.Avoided(query.Now) || entry.Server.Warned(query.Now, query.Idempotent):
		if !query.SkipAvoided {
			c.avoided.add(i, &c.random)
		}
	case entry.Member.Incarnation == query.Self:
		c.local = i
	case entry.Member.Zone == query.Zone:
		c.zone.add(i, &c.random)
	default:
		c.other.add(i, &c.random)
	}
}

// choose picks from the first non-empty group in order of preference.
func (c *workCandidates) choose(pool *tracker.Pool, query *Query) (tracker.Entry, Reason) {
	if c.trial.seen > 0 && query.Idempotent && c.explore {
		return pool.Entries[c.trial.first], ReasonTrial
	}
	best := fastest{pool: pool, query: query, explore: c.explore, index: -1}
	if c.local >= 0 {
		best.compare(c.local)
	}
	best.compareSample(c.zone)
	best.compareSample(c.other)
	if best.index >= 0 {
		entry := pool.Entries[best.index]
		return entry, workReason(&entry, query)
	}
	best.compareSample(c.avoided)
	if best.index >= 0 {
		return pool.Entries[best.index], ReasonAvoided
	}
	best.compareSample(c.trial)
	if best.index >= 0 {
		return pool.Entries[best.index], ReasonTrial
	}
	return tracker.Entry{}, ReasonNone
}

func workReason(entry *tracker.Entry, query *Query) Reason {
	switch {
	case !hasFreeSlot(entry, query.Now):
		return ReasonBusy
	case entry.Member.Incarnation == query.Self:
		return ReasonLocal
	case entry.Member.Zone == query.Zone:
		return ReasonZone
	default:
		return ReasonSpill
	}
}

// fastest keeps the server of earliest expected completion, -1 as index before the first.
type fastest struct {
	pool    *tracker.Pool
	query   *Query
	explore bool
	index   int
	// time is the expected completion time in seconds.
	time float64
}

func (f *fastest) compareSample(drawn sample) {
	if drawn.seen > 0 {
		f.compare(drawn.first)
	}
	if drawn.seen > 1 {
		f.compare(drawn.second)
	}
}

func (f *fastest) compare(i int) {
	expected := completion(f.pool, &f.pool.Entries[i], f.query, f.explore)
	if f.index < 0 || expected < f.time || expected == f.time && f.query.Random&tieBreakBit != 0 {
		f.index, f.time = i, expected
	}
}

// completion estimates the time in seconds until the server completes the request: the
// wait for a slot, its own service time there and the cost of the way. A slow server
// takes longer for the request, and its work left is reported as more; one that warms
// up has fewer slots.
func completion(pool *tracker.Pool, entry *tracker.Entry, query *Query, explore bool) float64 {
	cost := query.Cost.Seconds()
	slowness := 1.0
	if !explore {
		slowness = pool.Slowness(query.Now, entry.Server)
	}
	sum := wait(pool, entry, query) + cost*slowness
	switch {
	case entry.Member.Zone != query.Zone:
		sum += zoneCost.Seconds() + zoneShare*cost
	case entry.Member.Incarnation != query.Self:
		sum += hopCost.Seconds()
	}
	return sum
}

// wait estimates the time in seconds until the server has a free slot. Its requests, of
// equal expected work each, end evenly spread over the time that all slots need for them.
// While slots are free, the wait counts with the probability that others take them first.
func wait(pool *tracker.Pool, entry *tracker.Entry, query *Query) float64 {
	slots := float64(max(entry.Member.Slots, 1))
	load := float64(entry.Server.Load(query.Now))
	work := entry.Server.Work(query.Now, query.Cost).Seconds()
	if unknown := entry.Server.UnknownShare(query.Now); unknown > 0 {
		meanLoad, meanWork := pool.Aggregate.MeanReport()
		load += unknown * meanLoad * slots
		work += unknown * meanWork.Seconds() * slots
	}
	if load <= 0 {
		return 0
	}
	slots *= entry.Server.WarmupFactor(query.Now)
	ends := math.Pow(load/slots, fillExponent)
	if load >= slots {
		ends = load - slots + 1
	}
	return work / slots * ends / load
}
