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
	// trialShare is how many requests there are to one trial of a slow server or of one on probation.
	trialShare = 16
	// slowFactor is how much slower than the pool a server may be and still be
	// preferred. Slower ones are left for when all others are busy, and for trials.
	slowFactor = 2.0
	// defaultLatency stands in for a server without answers, in microseconds.
	defaultLatency = 1000.0
)

// tieBit is the bit of a query's random number that decides between equal servers.
const tieBit = 1 << 40

// Reason tells why a server was chosen.
type Reason uint8

// Reasons for a choice.
const (
	// ReasonNone means that no server can be given the request.
	ReasonNone Reason = iota
	// ReasonLocal is the server beside the router.
	ReasonLocal
	// ReasonZone is the better of two in the router's availability zone.
	ReasonZone
	// ReasonSpill is the better of two anywhere, as the own zone has no free slot.
	ReasonSpill
	// ReasonBusy is the better of two when no server has a free slot.
	ReasonBusy
	// ReasonAvoided is a server behind a failing path, when there is no other.
	ReasonAvoided
	// ReasonTrial is a server on probation.
	ReasonTrial
)

// String gives the name of the reason.
func (r Reason) String() string {
	names := [...]string{"None", "Own", "Zone", "Spill", "Busy", "Avoided", "Trial"}
	if int(r) < len(names) {
		return names[r]
	}
	return "Unknown"
}

// Query is what a choice depends on beside the pool.
type Query struct {
	// Self and Zone are those of the router's own process.
	Self uint64
	Zone string
	// Now is a monotonic time.
	Now time.Duration
	// Random is uniformly distributed.
	Random     uint64
	Idempotent bool
	// SameZoneOnly leaves out the servers of other availability zones.
	SameZoneOnly bool
	// SkipAvoided leaves out the servers that are passed over for now.
	SkipAvoided bool
	// Tried holds the incarnations to leave out, up to TriedCount.
	Tried      [MaxTried]uint64
	TriedCount int
}

// WithTried returns the query with one more server to leave out.
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

// pair holds two entries drawn at random from a stream of them.
type pair struct {
	first, second int
	seen          uint64
}

// draw keeps each of the entries seen so far with equal probability.
func (p *pair) draw(index int, random *uint64) {
	p.seen++
	switch p.seen {
	case 1:
		p.first = index
		return
	case 2:
		p.second = index
		return
	}
	switch next(random) % p.seen {
	case 0:
		p.first = index
	case 1:
		p.second = index
	}
}

func next(random *uint64) uint64 {
	*random ^= *random << 13
	*random ^= *random >> 7
	*random ^= *random << 17
	return *random
}

// draws holds what one pass over the pool has drawn from each group of servers.
type draws struct {
	random uint64
	// explore lets a slow server be preferred, so that its recovery shows.
	explore                              bool
	zone, anywhere, busy, avoided, trial pair
	// own is the index of the own server if it comes first, else -1.
	own int
}

// Pick chooses a server. It does not allocate.
func Pick(pool *tracker.Pool, query Query) (tracker.Entry, Reason) {
	drawn := draws{random: query.Random | 1, explore: query.Random%trialShare == 0, own: -1}
	for i := range pool.Entries {
		entry := &pool.Entries[i]
		if !entry.Member.State.Routable() || query.tried(entry.Member.Incarnation) ||
			query.SameZoneOnly && entry.Member.Zone != query.Zone {
			continue
		}
		drawn.take(pool, &query, i)
		if drawn.own >= 0 {
			return *entry, ReasonLocal
		}
	}
	return drawn.choose(pool, &query)
}

// take puts one server that may be given work into its groups.
func (d *draws) take(pool *tracker.Pool, query *Query, i int) {
	entry := &pool.Entries[i]
	if entry.Member.State == registrar.StateProbation {
		d.trial.draw(i, &d.random)
		return
	}
	if entry.Server.Avoided(query.Now) {
		if !query.SkipAvoided {
			d.avoided.draw(i, &d.random)
		}
		return
	}
	d.busy.draw(i, &d.random)
	if !free(entry, query.Now) || slow(pool, entry) && !d.explore {
		return
	}
	if entry.Member.Incarnation == query.Self {
		d.own = i
		return
	}
	d.anywhere.draw(i, &d.random)
	if entry.Member.Zone == query.Zone {
		d.zone.draw(i, &d.random)
	}
}

// choose takes the first group in order of preference that is not empty.
func (d *draws) choose(pool *tracker.Pool, query *Query) (tracker.Entry, Reason) {
	switch {
	case d.trial.seen > 0 && query.Idempotent && d.explore:
		return pool.Entries[d.trial.first], ReasonTrial
	case d.zone.seen > 0:
		return better(pool, query, d.zone), ReasonZone
	case d.anywhere.seen > 0:
		return better(pool, query, d.anywhere), ReasonSpill
	case d.busy.seen > 0:
		return better(pool, query, d.busy), ReasonBusy
	case d.avoided.seen > 0:
		return better(pool, query, d.avoided), ReasonAvoided
	case d.trial.seen > 0:
		return better(pool, query, d.trial), ReasonTrial
	default:
		return tracker.Entry{}, ReasonNone
	}
}

// free tells whether the server seems to have a slot left.
func free(entry *tracker.Entry, now time.Duration) bool {
	return entry.Server.Load(now) < int64(entry.Member.Slots)
}

// slow tells whether the server answers much later than the pool.
func slow(pool *tracker.Pool, entry *tracker.Entry) bool {
	typical := pool.Aggregate.Latency()
	return typical > 0 && entry.Server.Latency() > slowFactor*typical
}

func better(pool *tracker.Pool, query *Query, drawn pair) tracker.Entry {
	first := &pool.Entries[drawn.first]
	if drawn.seen == 1 {
		return *first
	}
	second := &pool.Entries[drawn.second]
	difference := cost(second, query.Now) - cost(first, query.Now)
	if difference < 0 || difference == 0 && query.Random&tieBit != 0 {
		return *second
	}
	return *first
}

// cost is the expected work before a new request, by answer time and slots.
func cost(entry *tracker.Entry, now time.Duration) float64 {
	latency := entry.Server.Latency()
	if latency == 0 {
		latency = defaultLatency
	}
	slots := float64(max(entry.Member.Slots, 1)) * entry.Server.WarmupFactor(now)
	return float64(entry.Server.Load(now)+1) * latency / slots
}
