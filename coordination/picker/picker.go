// Package picker chooses the backend server for one attempt of one request.
package picker

import (
	"time"

	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

const (
	// MaxTried bounds the servers that one request may exclude.
	MaxTried = 12
	// requestsPerTrial is how many requests there are to one that may be sent to
	// a slow server or to one on probation.
	requestsPerTrial = 16
	// slowFactor is how many times the pool's average latency a server may have
	// before it is slow. Slow servers get requests only when no other server has
	// a free slot, and as trials.
	slowFactor = 2.0
	// defaultLatency is assumed for a server without answers, in microseconds.
	defaultLatency = 1000.0
)

// tieBreakBit is the bit of Query.Random that decides between servers of equal cost.
const tieBreakBit = 1 << 40

// Reason is why a server was chosen.
type Reason uint8

// Reasons for a choice.
const (
	// ReasonNone means that no server can be given the request.
	ReasonNone Reason = iota
	// ReasonLocal is the server on the router's own VM.
	ReasonLocal
	// ReasonZone is the better of two in the router's availability zone.
	ReasonZone
	// ReasonSpill is the better of two in any zone, as no server in the router's
	// own zone has a free slot.
	ReasonSpill
	// ReasonBusy is the better of two when no server has a free slot.
	ReasonBusy
	// ReasonAvoided is the better of two servers that are avoided for now, when
	// there is no other.
	ReasonAvoided
	// ReasonTrial is a server on probation.
	ReasonTrial
)

// String returns the name of the reason.
func (r Reason) String() string {
	names := [...]string{"None", "Own", "Zone", "Spill", "Busy", "Avoided", "Trial"}
	if int(r) < len(names) {
		return names[r]
	}
	return "Unknown"
}

// Query holds the inputs of a choice other than the pool.
type Query struct {
	// Self and Zone are the incarnation and the availability zone of the router's own process.
	Self uint64
	Zone string
	// Now is a monotonic time.
	Now time.Duration
	// Random is uniformly distributed.
	Random     uint64
	Idempotent bool
	// SameZoneOnly excludes the servers of other availability zones.
	SameZoneOnly bool
	// SkipAvoided excludes the servers that are avoided for now, because their path
	// fails, because they refused requests, or because of a warning.
	SkipAvoided bool
	// Tried holds the incarnations to exclude in its first TriedCount elements.
	Tried      [MaxTried]uint64
	TriedCount int
	// ByWork chooses by the expected completion time instead of the number of requests.
	ByWork bool
	// Cost is the expected service time of the request; only a choice by work uses it.
	Cost time.Duration
}

// WithTried returns the query with one more server to exclude. Above MaxTried
// servers it returns the query unchanged.
func (q Query) WithTried(incarnation uint64) Query {
	if q.TriedCount < MaxTried {
		q.Tried[q.TriedCount] = incarnation
		q.TriedCount++
	}
	return q
}

func (q Query) tried(incarnation uint64) bool {
	for _, tried := range q.Tried[:q.TriedCount] {
		if tried == incarnation {
			return true
		}
	}
	return false
}

// sample is a reservoir sample of up to two pool indexes.
type sample struct {
	first, second int
	seen          uint64
}

// add offers an index to the sample. All indexes offered so far are kept with
// equal probability.
func (s *sample) add(index int, random *uint64) {
	s.seen++
	switch s.seen {
	case 1:
		s.first = index
		return
	case 2:
		s.second = index
		return
	}
	switch nextRandom(random) % s.seen {
	case 0:
		s.first = index
	case 1:
		s.second = index
	}
}

// nextRandom advances a xorshift generator. The state must not be 0.
func nextRandom(state *uint64) uint64 {
	*state ^= *state << 13
	*state ^= *state >> 7
	*state ^= *state << 17
	return *state
}

// candidates holds the samples of each group of servers from one pass over the pool.
type candidates struct {
	random uint64
	// explore makes slow servers eligible, so that their recovery is noticed.
	explore                              bool
	zone, anywhere, busy, avoided, trial sample
	// local is the index of the server on the router's VM if it is preferred, else -1.
	local int
}

// Pick chooses a server. It does not allocate.
func Pick(pool *tracker.Pool, query Query) (tracker.Entry, Reason) {
	if query.ByWork {
		return pickByWork(pool, &query)
	}
	found := candidates{random: query.Random | 1, explore: query.Random%requestsPerTrial == 0, local: -1}
	for i := range pool.Entries {
		entry := &pool.Entries[i]
		if !entry.Member.State.Routable() || query.tried(entry.Member.Incarnation) ||
			query.SameZoneOnly && entry.Member.Zone != query.Zone {
			continue
		}
		found.classify(pool, &query, i)
		if found.local >= 0 {
			return *entry, ReasonLocal
		}
	}
	return found.choose(pool, &query)
}

// classify adds a routable server to the groups that it belongs to.
func (c *candidates) classify(pool *tracker.Pool, query *Query, i int) {
	entry := &pool.Entries[i]
	if entry.Member.State == registrar.StateProbation {
		c.trial.add(i, &c.random)
		return
	}
	if entry.Server.Avoided(query.Now) || entry.Server.Warned(query.Now, query.Idempotent) {
		if !query.SkipAvoided {
			c.avoided.add(i, &c.random)
		}
		return
	}
	c.busy.add(i, &c.random)
	if !hasFreeSlot(entry, query.Now) || slow(pool, entry) && !c.explore {
		return
	}
	if entry.Member.Incarnation == query.Self {
		c.local = i
		return
	}
	c.anywhere.add(i, &c.random)
	if entry.Member.Zone == query.Zone {
		c.zone.add(i, &c.random)
	}
}

// choose picks from the first non-empty group in order of preference.
func (c *candidates) choose(pool *tracker.Pool, query *Query) (tracker.Entry, Reason) {
	switch {
	case c.trial.seen > 0 && query.Idempotent && c.explore:
		return pool.Entries[c.trial.first], ReasonTrial
	case c.zone.seen > 0:
		return cheaper(pool, query, c.zone), ReasonZone
	case c.anywhere.seen > 0:
		return cheaper(pool, query, c.anywhere), ReasonSpill
	case c.busy.seen > 0:
		return cheaper(pool, query, c.busy), ReasonBusy
	case c.avoided.seen > 0:
		return cheaper(pool, query, c.avoided), ReasonAvoided
	case c.trial.seen > 0:
		return cheaper(pool, query, c.trial), ReasonTrial
	default:
		return tracker.Entry{}, ReasonNone
	}
}

// hasFreeSlot reports whether the server is estimated to have a free slot.
func hasFreeSlot(entry *tracker.Entry, now time.Duration) bool {
	return entry.Server.Load(now) < int64(entry.Member.Slots)
}

// slow reports whether the server's latency is above slowFactor times the pool's average latency.
func slow(pool *tracker.Pool, entry *tracker.Entry) bool {
	average := pool.Aggregate.Latency()
	return average > 0 && entry.Server.Latency() > slowFactor*average
}

// cheaper returns the sampled server of lower cost.
func cheaper(pool *tracker.Pool, query *Query, drawn sample) tracker.Entry {
	first := &pool.Entries[drawn.first]
	if drawn.seen == 1 {
		return *first
	}
	second := &pool.Entries[drawn.second]
	difference := cost(second, query.Now) - cost(first, query.Now)
	if difference < 0 || difference == 0 && query.Random&tieBreakBit != 0 {
		return *second
	}
	return *first
}

// cost estimates the time in microseconds that the server takes for its load and
// one more request, with the share of its slots that counts during the warm-up.
func cost(entry *tracker.Entry, now time.Duration) float64 {
	latency := entry.Server.Latency()
	if latency == 0 {
		latency = defaultLatency
	}
	slots := float64(max(entry.Member.Slots, 1)) * entry.Server.WarmupFactor(now)
	return float64(entry.Server.Load(now)+1) * latency / slots
}
