package quoter

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// startTime is how long a process may not know all members after its start. Until
	// then it assumes a fleet of at least minAssumedMembers.
	startTime         = 3 * time.Second
	minAssumedMembers = 10
	// reportLifetime is how long the size of the fleet in the view of others counts.
	reportLifetime = 10 * time.Second
	// maxKeptHomes bounds the customers whose homes are kept.
	maxKeptHomes = 10000
)

// Census counts the members of the fleet and chooses homes. It is not safe for concurrent use.
type Census struct {
	self    uint64
	started clocker.Instant
	// addresses holds the latest incarnation at each address that is not known to have
	// left. A process that was killed stays until another one runs at its address.
	addresses map[string]uint64
	live      int
	// liveSince holds since when each live member has been live in this view.
	liveSince map[uint64]clocker.Instant
	// recent holds the members that had been live for less than viewTime at the last update.
	recent []uint64
	// candidates may be homes.
	candidates []candidate
	changedAt  clocker.Instant
	// generation counts the changes of candidates.
	generation uint64
	homes      map[string]home
	// reported is the size of the fleet in the view of an older process. A process that
	// starts in a part of the fleet that is cut off doesn't know the other part itself.
	reported   int
	reportedAt clocker.Instant
}

// home is the home of a customer in one generation, and since when.
type home struct {
	member     registrar.Member
	since      clocker.Instant
	generation uint64
}

type candidate struct {
	member registrar.Member
	hash   uint64
}

// NewCensus returns the census of a process that knows only itself.
func NewCensus(now clocker.Instant, self registrar.Member) *Census {
	c := &Census{
		self: self.Incarnation, started: now,
		addresses: map[string]uint64{}, liveSince: map[uint64]clocker.Instant{}, homes: map[string]home{},
	}
	c.Update(now, []registrar.Member{self})
	return c
}

// Update replaces the known members. A member that announced its end is gone and has no
// HTTPAddress.
func (c *Census) Update(now clocker.Instant, members []registrar.Member) {
	before := c.liveSince
	c.live, c.liveSince, c.recent = 0, make(map[uint64]clocker.Instant, len(members)), nil
	candidates := make([]candidate, 0, len(members))
	for _, member := range members {
		known := c.addresses[member.Address]
		left := member.State == registrar.StateGone && member.HTTPAddress == ""
		switch {
		case left && known == member.Incarnation:
			delete(c.addresses, member.Address)
		case !left && known < member.Incarnation:
			c.addresses[member.Address] = member.Incarnation
		}
		if !member.State.Live() {
			continue
		}
		c.live++
		since, ok := before[member.Incarnation]
		if !ok {
			since = now
		}
		c.liveSince[member.Incarnation] = since
		if now.Since(since) < viewTime && member.Incarnation != c.self {
			c.recent = append(c.recent, member.Incarnation)
		}
		candidates = append(candidates, candidate{member: member, hash: hashOf(member.Address)})
	}
	staying := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool {
		return c.member.State == registrar.StateLeaving
	})
	if len(staying) > 0 {
		candidates = staying
	}
	same := func(a, b candidate) bool { return a.member.Incarnation == b.member.Incarnation }
	if !slices.EqualFunc(c.candidates, candidates, same) {
		c.candidates, c.changedAt = candidates, now
		c.generation++
	}
}

// Hear takes in the size of the fleet in the view of another process, if that is the older.
func (c *Census) Hear(now clocker.Instant, incarnation uint64, members int) {
	if incarnation >= c.self {
		return
	}
	if now.Since(c.reportedAt) > reportLifetime || members >= c.reported {
		c.reported, c.reportedAt = members, now
	}
}

// View returns the size of the fleet, how much of it can be reached, and whether this
// process is the home of a customer.
func (c *Census) View(now clocker.Instant, customer string) View {
	known := max(len(c.addresses), c.live, 1)
	if now.Since(c.reportedAt) <= reportLifetime {
		known = max(known, c.reported)
	}
	members := known
	if now.Since(c.started) < startTime {
		members = max(members, minAssumedMembers)
	}
	home := c.home(now, customer)
	return View{
		Holder:    home.member.Incarnation == c.self,
		HeldSince: home.since,
		Fresh:     c.fresh(now),
		Live:      max(c.live, 1),
		Members:   members,
		Known:     known,
	}
}

// fresh returns the members that became live not long ago, this process excepted.
func (c *Census) fresh(now clocker.Instant) []uint64 {
	var fresh []uint64
	for _, incarnation := range c.recent {
		if now.Since(c.liveSince[incarnation]) < viewTime {
			fresh = append(fresh, incarnation)
		}
	}
	return fresh
}

// Home returns the process that is home of a customer, by rendezvous hashing.
func (c *Census) Home(now clocker.Instant, customer string) registrar.Member {
	return c.home(now, customer).member
}

// Relay returns another process that may pass an ask on to a home, chosen by a random
// number. It is zero if there is none.
func (c *Census) Relay(home registrar.Member, random float64) registrar.Member {
	count := len(c.candidates)
	start := int(random * float64(count))
	for i := range min(count, maxRelayDraws) {
		member := c.candidates[(start+i)%count].member
		if member.Incarnation != c.self && member.Incarnation != home.Incarnation {
			return member
		}
	}
	return registrar.Member{}
}

// maxRelayDraws is enough to skip this process and the home.
const maxRelayDraws = 3

func (c *Census) home(now clocker.Instant, customer string) home {
	known, ok := c.homes[customer]
	if ok && known.generation == c.generation {
		return known
	}
	name := hashOf(customer)
	var best registrar.Member
	var highest uint64
	for _, candidate := range c.candidates {
		if weight := mix(candidate.hash ^ name); best.Incarnation == 0 || weight > highest {
			best, highest = candidate.member, weight
		}
	}
	if len(c.homes) >= maxKeptHomes {
		clear(c.homes)
	}
	found := home{member: best, since: c.changedAt, generation: c.generation}
	switch {
	case ok && known.member.Incarnation == best.Incarnation:
		found.since = known.since
	case ok:
		found.since = now
	}
	c.homes[customer] = found
	return found
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

// mix spreads the bits of a hash, by the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
