// Package gossiper maintains the roster of the fleet with a SWIM-like protocol:
// it spreads changes, detects processes that no longer respond, and counts a path
// as working only after a message and its reply have passed over it.
package gossiper

import (
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// PingPeriod is the time between two calls of Tick.
	PingPeriod = 200 * time.Millisecond
	// relayCount is how many other members are asked to ping a member that did not reply.
	relayCount = 2
	// goneTimeout is how long a member stays unreachable before it counts as gone.
	goneTimeout = 2 * time.Second
	// forgetTimeout is how long a gone member is remembered, so that outdated
	// entries of others do not revive it.
	forgetTimeout = 60 * time.Second
	// maxChanges bounds the changes in one message.
	maxChanges = 40
	// spreadFactor is multiplied by the binary logarithm of the fleet's size to give the
	// number of sends of one change.
	spreadFactor = 3
	// pingsPerSeedPing is how many regular pings there are to one of a seed address
	// without a live member, once the own zone has enough members.
	pingsPerSeedPing = 25
	// farSends is how often each member of a zone sends one change there to other
	// zones. It can be low because all members of the zone send it.
	farSends = 2
	// fullPeriod is the least time between two requests for a full view, and
	// farFullPeriod between two of them to other availability zones by a zone of
	// farFullMembers. In larger zones each member requests them less often.
	fullPeriod     = time.Second
	farFullPeriod  = 4 * time.Second
	farFullMembers = 8
	// minPingsPerFarPing is how many regular pings there are at least to one of another
	// availability zone, and farPingsPerMember is that number per other member of the
	// own zone. Traffic between zones is expensive, each zone detects the failures of
	// its own members, and together its members ping others often enough.
	minPingsPerFarPing = 5
	farPingsPerMember  = 2
	// farSpreadPings is how many regular pings long a change is sent to other zones.
	farSpreadPings = 25
	// minNearPeers is the number of other members of the own zone from which on
	// other zones are pinged less often than the own zone.
	minNearPeers = 3
	// urgentPings is how many members are pinged in the tick after the own entry changed,
	// and in versionTicks ticks after a new version of the configuration.
	urgentPings  = 3
	versionTicks = 5
)

// Gossiper is the membership view of one process. It is not safe for concurrent use.
type Gossiper struct {
	self   registrar.Member
	roster registrar.Roster
	seeds  []string
	random func() uint64
	// pendingNear holds the incarnations whose entries are still to be sent
	// within the own zone, pendingFar those still to be sent to other zones.
	pendingNear map[uint64]broadcast
	pendingFar  map[uint64]broadcast
	// near and far hold the members of the own and of other zones to ping next, in
	// random order. Gone members are skipped when drawn.
	near []uint64
	far  []uint64
	// downSince holds when a member became unreachable or gone.
	downSince map[uint64]clocker.Instant
	// lastAcked holds when each member last replied to a ping.
	lastAcked map[uint64]clocker.Instant
	// lastFull and lastFarFull are when a full view was last requested from the
	// own zone and from others.
	lastFull      clocker.Instant
	lastFarFull   clocker.Instant
	nextSeed      int
	configVersion uint64
	// urgentTicks is how many of the next ticks ping several members.
	urgentTicks int
	// confirmed is when the source of the configuration was last known to be read by any
	// member, and zoneConfirmed by one of the own availability zone.
	confirmed, zoneConfirmed confirmation
	// era is the latest known era of the source's data, 0 for none. eraRoseAt is when a
	// process saw it rise, once eraRose is set.
	era       uint64
	eraRoseAt clocker.Instant
	eraRose   bool
	// selfChanged is set until the next tick after a change of the own entry, or
	// after a new warning about the own server.
	selfChanged bool
	warner      *warner.Warner
	// warned is the duration of the last warning about the own server.
	warned time.Duration
	// adopted holds the warnings received since the last call of TakeWarnings.
	adopted []warner.Warning
	// pingsDrawn counts the regular pings, and lastSeedPing is its value at the last
	// ping of a seed.
	pingsDrawn   int
	lastSeedPing int
	// nearPeers is the number of others in the own zone at the last refill of near.
	nearPeers int
	// hasNearPeers is set while the own zone has at least minNearPeers others.
	// Otherwise near holds the members of all zones.
	hasNearPeers bool
	// hasFarMembers is set while members of other zones are known.
	hasFarMembers bool
}

// New returns the membership view of a process that knows only itself and seed addresses.
func New(self registrar.Member, seeds []string, random func() uint64) *Gossiper {
	g := &Gossiper{
		self:        self,
		roster:      registrar.New().WithMember(self),
		seeds:       slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == self.Address }),
		random:      random,
		pendingNear: map[uint64]broadcast{},
		pendingFar:  map[uint64]broadcast{},
		downSince:   map[uint64]clocker.Instant{},
		lastAcked:   map[uint64]clocker.Instant{},
		warner:      warner.New(self.Incarnation),
	}
	g.spread(self)
	return g
}

// Roster returns the current view.
func (g *Gossiper) Roster() registrar.Roster { return g.roster }

// Self returns the process's own entry.
func (g *Gossiper) Self() registrar.Member { return g.self }

// AddSeeds adds seed addresses.
func (g *Gossiper) AddSeeds(seeds ...string) {
	for _, seed := range seeds {
		if seed != g.self.Address && !slices.Contains(g.seeds, seed) {
			g.seeds = append(g.seeds, seed)
		}
	}
}

// SetSelf replaces the process's own entry and increments its version. The
// incarnation stays.
func (g *Gossiper) SetSelf(member registrar.Member) {
	member.Incarnation = g.self.Incarnation
	member.Version = g.self.Version + 1
	g.self = member
	g.roster = g.roster.WithMember(member)
	g.spread(member)
	g.selfChanged = true
}

// Tick returns the pings that are due. It is called every PingPeriod.
func (g *Gossiper) Tick(now clocker.Instant) []Ping {
	g.expireMembers(now)
	var pings []Ping
	count := 1
	if g.selfChanged || g.urgentTicks > 0 {
		count = urgentPings
		g.selfChanged = false
		g.urgentTicks = max(0, g.urgentTicks-1)
	}
	for range count {
		if target, ok := g.nextTarget(); ok {
			pings = append(pings, g.ping(now, target))
		}
	}
	if seed, ok := g.unknownSeed(); ok {
		pings = append(pings, g.PingToSeed(now, seed, true))
	}
	return pings
}

// PingToSeed returns a ping to an address without a known member. If full is set it asks for all
// entries.
func (g *Gossiper) PingToSeed(now clocker.Instant, address string, full bool) Ping {
	return Ping{Address: address, Message: g.message(now, registrar.Member{}, full)}
}

// PingTo returns a ping to a member outside the regular order.
func (g *Gossiper) PingTo(now clocker.Instant, member registrar.Member) Ping {
	return g.ping(now, member)
}

// FullPingTo returns a ping to a member that asks for all entries that this one lacks.
func (g *Gossiper) FullPingTo(now clocker.Instant, member registrar.Member) Ping {
	return pingWith(member, g.message(now, member, true))
}

func (g *Gossiper) ping(now clocker.Instant, target registrar.Member) Ping {
	return pingWith(target, g.message(now, target, false))
}

func pingWith(target registrar.Member, message Message) Ping {
	return Ping{Address: target.Address, Incarnation: target.Incarnation, Message: message}
}

// expireMembers marks members that have been unreachable for goneTimeout as gone
// and removes those gone for forgetTimeout.
func (g *Gossiper) expireMembers(now clocker.Instant) {
	incarnations := make([]uint64, 0, len(g.downSince))
	for incarnation := range g.downSince {
		incarnations = append(incarnations, incarnation)
	}
	slices.Sort(incarnations)
	for _, incarnation := range incarnations {
		member, ok := g.roster.Member(incarnation)
		if !ok {
			delete(g.downSince, incarnation)
			continue
		}
		g.expireMember(now, member)
	}
}

func (g *Gossiper) expireMember(now clocker.Instant, member registrar.Member) {
	passed := now.Since(g.downSince[member.Incarnation])
	switch {
	case member.State == registrar.StateUnreachable && passed >= goneTimeout:
		g.change(now, member.WithState(registrar.StateGone))
	case member.State == registrar.StateGone && passed >= forgetTimeout:
		g.roster = g.roster.WithoutMember(member.Incarnation)
		delete(g.downSince, member.Incarnation)
		delete(g.lastAcked, member.Incarnation)
	case member.State.Live():
		delete(g.downSince, member.Incarnation)
	}
}

// Receive handles a message and returns the reply.
func (g *Gossiper) Receive(now clocker.Instant, message Message) Message {
	g.merge(now, message)
	reply := g.message(now, message.Sender, g.needsFull(now, message))
	if message.WantFull {
		return g.withDifference(reply, message)
	}
	return reply
}

// Acked handles the reply to a ping, which proves that the path works in both
// directions. It returns a further ping if the views differ.
func (g *Gossiper) Acked(now clocker.Instant, reply Message) []Ping {
	g.lastAcked[reply.Sender.Incarnation] = now
	g.merge(now, reply)
	if reply.WantFull {
		return []Ping{pingWith(reply.Sender, g.withDifference(g.message(now, reply.Sender, false), reply))}
	}
	if g.needsFull(now, reply) {
		return []Ping{pingWith(reply.Sender, g.message(now, reply.Sender, true))}
	}
	return nil
}

// LastAcked returns when a member last replied to a ping.
func (g *Gossiper) LastAcked(incarnation uint64) (clocker.Instant, bool) {
	at, ok := g.lastAcked[incarnation]
	return at, ok
}

// Failed handles a ping without a reply. It returns up to relayCount relays
// through live members, none if the member is not live.
func (g *Gossiper) Failed(incarnation uint64) []Relay {
	target, ok := g.roster.Member(incarnation)
	if !ok || !target.State.Live() {
		return nil
	}
	members := g.roster.Members()
	var chosen []Relay
	if len(members) == 0 {
		return nil
	}
	start := int(g.random() % uint64(len(members)))
	for i := range members {
		via := members[(start+i)%len(members)]
		if via.Incarnation == g.self.Incarnation || via.Incarnation == incarnation || !via.State.Live() {
			continue
		}
		chosen = append(chosen, Relay{Via: via, Target: target})
		if len(chosen) == relayCount {
			break
		}
	}
	return chosen
}

// Unreached handles the failure of a ping and of all its relays: it marks the
// member as unreachable.
func (g *Gossiper) Unreached(now clocker.Instant, incarnation uint64) {
	member, ok := g.roster.Member(incarnation)
	if !ok || !member.State.Live() {
		return
	}
	g.change(now, member.WithState(registrar.StateUnreachable))
}

// change adopts and spreads an entry that this process itself has changed.
func (g *Gossiper) change(now clocker.Instant, member registrar.Member) {
	if g.apply(now, member) {
		g.spread(member)
	}
}

func (g *Gossiper) merge(now clocker.Instant, message Message) {
	if g.apply(now, message.Sender) {
		g.spread(message.Sender)
	}
	// What the own zone knows already reaches its other members by full views as well.
	known := message.Full && message.Sender.Zone == g.self.Zone
	for _, change := range message.Changes {
		if g.apply(now, change) && !known {
			g.spread(change)
		}
	}
	g.mergeEra(now, message)
	if message.Confirmed >= 0 {
		g.confirmed = g.confirmed.withRead(now.Add(-message.Confirmed))
	}
	if message.ZoneConfirmed >= 0 && message.Sender.Zone == g.self.Zone {
		g.zoneConfirmed = g.zoneConfirmed.withRead(now.Add(-message.ZoneConfirmed))
	}
	g.adopted = append(g.adopted, g.warner.Merge(now, message.Warnings)...)
}

// apply adopts an entry if it is newer than the known one, and reports whether it did.
// An entry about this process itself is refuted instead, and another incarnation at
// this process's address is marked as gone.
func (g *Gossiper) apply(now clocker.Instant, member registrar.Member) bool {
	if member.Incarnation == 0 || !member.State.Known() {
		return false
	}
	if member.Incarnation == g.self.Incarnation {
		g.refute(member)
		return false
	}
	known, ok := g.roster.Member(member.Incarnation)
	if ok && !member.Supersedes(known) {
		return false
	}
	// An earlier process at the own address shows whether its server had left.
	predecessor := member.Address == g.self.Address
	if !ok && member.State == registrar.StateGone && !predecessor {
		return false
	}
	if predecessor {
		member = member.WithState(registrar.StateGone)
	}
	g.roster = g.roster.WithMember(member)
	if !member.State.Live() {
		g.downSince[member.Incarnation] = now
	}
	return true
}

// refute raises the version of the own entry above that of an entry of others
// about this process.
func (g *Gossiper) refute(member registrar.Member) {
	if !member.Supersedes(g.self) {
		return
	}
	g.self = g.self.WithVersion(member.Version + 1)
	g.roster = g.roster.WithMember(g.self)
	g.spread(g.self)
	g.selfChanged = true
}
