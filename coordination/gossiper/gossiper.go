// Package gossiper keeps the roster: it spreads changes, finds processes that
// no longer answer, and counts a path as alive only with proof in both directions.
package gossiper

import (
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// PingPeriod is the time between two pings.
	PingPeriod = 200 * time.Millisecond
	// relays is how many others are asked to try a member that did not answer.
	relays = 2
	// goneTime is how long a member stays unreachable before it counts as gone.
	goneTime = 2 * time.Second
	// forgetTime is how long a gone member is remembered, so that old news does not revive it.
	forgetTime = 60 * time.Second
	// maxChanges bounds the changes in one message.
	maxChanges = 40
	// spreadFactor multiplies the logarithm of the fleet's size into the sends of one change.
	spreadFactor = 3
	// seedTurns is how many pings there are to one that goes to a seed address
	// whose process is not known, once there is company.
	seedTurns = 25
	// outwardSends is how often each member of a zone tells other zones of one
	// change there: all members of a zone together reach the others often enough.
	outwardSends = 2
	// fullPeriod is the least time between two questions for a full view, and
	// farFullPeriod that between two to other availability zones.
	fullPeriod    = time.Second
	farFullPeriod = 4 * time.Second
	// farTurns is how many pings there are to one that goes to another availability
	// zone: bytes between zones are dear, and each zone finds its own members' ends.
	farTurns = 5
	// nearMembers is how many members of the own zone make far ones wait.
	nearMembers = 3
	// urgentTargets is how many members hear of an own change at once.
	urgentTargets = 3
)

// Gossiper is the membership of one process. It is not safe for concurrent use.
type Gossiper struct {
	self   registrar.Member
	roster registrar.Roster
	seeds  []string
	random func() uint64
	// pending holds the incarnations whose entries are still being spread in the
	// own zone, outward those still to be told to other zones.
	pending map[uint64]spreading
	outward map[uint64]spreading
	// queue and far hold the members of the own and of other zones to ping next,
	// in random order; gone ones are left out when drawn.
	queue []uint64
	far   []uint64
	// since tells when a member became unreachable or gone.
	since map[uint64]clocker.Instant
	// heard tells when each member last proved the path in both directions.
	heard map[uint64]clocker.Instant
	// lastFull and lastFarFull tell when a full view was last asked for in the
	// own zone and in others.
	lastFull    clocker.Instant
	lastFarFull clocker.Instant
	seedNext    int
	version     uint64
	urgent      bool
	// turns counts the pings drawn.
	turns int
	// company is set while the own zone has enough members to spread changes
	// there; without them, queue holds the members of all zones.
	company bool
	// abroad is set while members of other zones are known.
	abroad bool
}

// New returns the membership of a process that knows only itself and seed addresses.
func New(self registrar.Member, seeds []string, random func() uint64) *Gossiper {
	g := &Gossiper{
		self:    self,
		roster:  registrar.New().WithMember(self),
		seeds:   slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == self.Address }),
		random:  random,
		pending: map[uint64]spreading{},
		outward: map[uint64]spreading{},
		since:   map[uint64]clocker.Instant{},
		heard:   map[uint64]clocker.Instant{},
	}
	g.spread(self)
	return g
}

// Roster returns the present view.
func (g *Gossiper) Roster() registrar.Roster { return g.roster }

// Self returns the process's own entry.
func (g *Gossiper) Self() registrar.Member { return g.self }

// SetConfigVersion notes the version in force, told with every message.
func (g *Gossiper) SetConfigVersion(version uint64) { g.version = version }

// AddSeeds adds addresses to try while few members are known.
func (g *Gossiper) AddSeeds(seeds ...string) {
	for _, seed := range seeds {
		if seed != g.self.Address && !slices.Contains(g.seeds, seed) {
			g.seeds = append(g.seeds, seed)
		}
	}
}

// SetSelf changes the process's own entry; its version rises.
func (g *Gossiper) SetSelf(member registrar.Member) {
	member.Incarnation = g.self.Incarnation
	member.Version = g.self.Version + 1
	g.self = member
	g.roster = g.roster.WithMember(member)
	g.spread(member)
	g.urgent = true
}

// Tick returns the pings that are due. It is called every PingPeriod.
func (g *Gossiper) Tick(now clocker.Instant) []Ping {
	g.age(now)
	var pings []Ping
	count := 1
	if g.urgent {
		count = urgentTargets
		g.urgent = false
	}
	for range count {
		if target, ok := g.draw(); ok {
			pings = append(pings, g.ping(target))
		}
	}
	if seed, ok := g.strangeSeed(); ok {
		pings = append(pings, Ping{Address: seed, Message: g.message(registrar.Member{}, true)})
	}
	return pings
}

// PingTo returns a ping to a member out of turn.
func (g *Gossiper) PingTo(member registrar.Member) Ping {
	return g.ping(member)
}

func (g *Gossiper) ping(target registrar.Member) Ping {
	return Ping{Address: target.Address, Incarnation: target.Incarnation, Message: g.message(target, false)}
}

// age turns unreachable members into gone ones and forgets those gone for long.
func (g *Gossiper) age(now clocker.Instant) {
	incarnations := make([]uint64, 0, len(g.since))
	for incarnation := range g.since {
		incarnations = append(incarnations, incarnation)
	}
	slices.Sort(incarnations)
	for _, incarnation := range incarnations {
		member, ok := g.roster.Member(incarnation)
		if !ok {
			delete(g.since, incarnation)
			continue
		}
		g.ageOne(now, member)
	}
}

func (g *Gossiper) ageOne(now clocker.Instant, member registrar.Member) {
	passed := now.Since(g.since[member.Incarnation])
	switch {
	case member.State == registrar.StateUnreachable && passed >= goneTime:
		g.apply(now, member.WithState(registrar.StateGone))
	case member.State == registrar.StateGone && passed >= forgetTime:
		g.roster = g.roster.WithoutMember(member.Incarnation)
		delete(g.since, member.Incarnation)
		delete(g.heard, member.Incarnation)
	case member.State.Live():
		delete(g.since, member.Incarnation)
	}
}

// draw returns the next member to ping: every member of the own availability
// zone once, then in a new order, and in some turns one of another zone.
func (g *Gossiper) draw() (registrar.Member, bool) {
	g.turns++
	if g.turns%farTurns == 0 && g.company && g.abroad {
		if member, ok := g.drawFrom(&g.far); ok {
			return member, true
		}
	}
	return g.drawFrom(&g.queue)
}

func (g *Gossiper) drawFrom(queue *[]uint64) (registrar.Member, bool) {
	for pass := 0; pass < 2; pass++ {
		for len(*queue) > 0 {
			incarnation := (*queue)[len(*queue)-1]
			*queue = (*queue)[:len(*queue)-1]
			member, ok := g.roster.Member(incarnation)
			if ok && member.State != registrar.StateGone {
				return member, true
			}
		}
		g.refill(queue)
	}
	return registrar.Member{}, false
}

func (g *Gossiper) refill(queue *[]uint64) {
	near, far := g.others()
	g.company = len(near) >= nearMembers
	switch {
	case queue == &g.far:
		*queue = append(*queue, far...)
	case g.company:
		*queue = append(*queue, near...)
	default:
		*queue = append(append(*queue, near...), far...)
	}
	g.abroad = len(far) > 0
	if !g.abroad {
		clear(g.outward)
	}
	for i := len(*queue) - 1; i > 0; i-- {
		j := int(g.random() % uint64(i+1))
		(*queue)[i], (*queue)[j] = (*queue)[j], (*queue)[i]
	}
}

// others lists the members to ping, those of the own availability zone apart.
func (g *Gossiper) others() (near, far []uint64) {
	for _, member := range g.roster.Members() {
		switch {
		case member.Incarnation == g.self.Incarnation || member.State == registrar.StateGone:
		case member.Zone == g.self.Zone:
			near = append(near, member.Incarnation)
		default:
			far = append(far, member.Incarnation)
		}
	}
	return near, far
}

// strangeSeed returns a seed whose process is not known to be alive, in turn. It
// is asked for in each turn by a process with little company, and else in some:
// parts of the fleet that lost sight of each other meet again by it.
func (g *Gossiper) strangeSeed() (string, bool) {
	if g.company && g.turns%seedTurns != 0 {
		return "", false
	}
	for range g.seeds {
		seed := g.seeds[g.seedNext%len(g.seeds)]
		g.seedNext++
		holder, ok := g.roster.MemberAt(seed)
		if !ok || !holder.State.Live() {
			return seed, true
		}
	}
	return "", false
}

// Receive takes a message and returns the reply.
func (g *Gossiper) Receive(now clocker.Instant, message Message) Message {
	g.merge(now, message)
	reply := g.message(message.Sender, g.needsFull(now, message))
	if message.WantFull {
		return g.withDifference(reply, message)
	}
	return reply
}

// Acked takes the reply to a ping: proof that the path works in both
// directions. It returns a further ping if views differ.
func (g *Gossiper) Acked(now clocker.Instant, reply Message) []Ping {
	g.heard[reply.Sender.Incarnation] = now
	g.merge(now, reply)
	if reply.WantFull {
		message := g.withDifference(g.message(reply.Sender, false), reply)
		return []Ping{{Address: reply.Sender.Address, Incarnation: reply.Sender.Incarnation, Message: message}}
	}
	if g.needsFull(now, reply) {
		return []Ping{{Address: reply.Sender.Address, Incarnation: reply.Sender.Incarnation, Message: g.message(reply.Sender, true)}}
	}
	return nil
}

// LastAcked returns when a member last proved the path in both directions.
func (g *Gossiper) LastAcked(incarnation uint64) (clocker.Instant, bool) {
	at, ok := g.heard[incarnation]
	return at, ok
}

// Failed takes the failure of a ping and returns whom to ask to try as well.
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
		if len(chosen) == relays {
			break
		}
	}
	return chosen
}

// Unreached takes the failure of a ping and of all relays.
func (g *Gossiper) Unreached(now clocker.Instant, incarnation uint64) {
	member, ok := g.roster.Member(incarnation)
	if !ok || !member.State.Live() {
		return
	}
	g.apply(now, member.WithState(registrar.StateUnreachable))
}

func (g *Gossiper) merge(now clocker.Instant, message Message) {
	g.apply(now, message.Sender)
	for _, change := range message.Changes {
		g.apply(now, change)
	}
}

// apply takes one entry if it is newer, and defends the process's own entry.
func (g *Gossiper) apply(now clocker.Instant, member registrar.Member) {
	if member.Incarnation == 0 || !member.State.Known() {
		return
	}
	if member.Incarnation == g.self.Incarnation {
		g.defend(member)
		return
	}
	known, ok := g.roster.Member(member.Incarnation)
	if ok && !member.Supersedes(known) {
		return
	}
	if !ok && member.State == registrar.StateGone {
		return
	}
	if member.Address == g.self.Address {
		member = member.WithState(registrar.StateGone)
	}
	g.roster = g.roster.WithMember(member)
	g.spread(member)
	if !member.State.Live() {
		g.since[member.Incarnation] = now
	}
}

// defend raises the own version above a judgement of others.
func (g *Gossiper) defend(member registrar.Member) {
	if !member.Supersedes(g.self) {
		return
	}
	g.self = g.self.WithVersion(member.Version + 1)
	g.roster = g.roster.WithMember(g.self)
	g.spread(g.self)
	g.urgent = true
}
