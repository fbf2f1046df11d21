// Package gossiper keeps the roster: it spreads changes, finds processes that
// no longer answer, and counts a path as alive only with proof in both directions.
package gossiper

import (
	"cmp"
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
	// fullPeriod is the least time between two questions for a full view.
	fullPeriod = time.Second
	// farRounds is how many rounds of pings there are to one that includes the
	// members of other availability zones. Their own zones ping them in each.
	farRounds = 12
	// nearMembers is how many members of the own zone make far ones wait.
	nearMembers = 3
	// urgentTargets is how many members hear of an own change at once.
	urgentTargets = 3
)

type spreading struct {
	sends int
}

// Gossiper is the membership of one process. It is not safe for concurrent use.
type Gossiper struct {
	self   registrar.Member
	roster registrar.Roster
	seeds  []string
	random func() uint64
	// pending holds the incarnations whose entries are still being spread.
	pending map[uint64]spreading
	// queue holds the members to ping next, in random order; gone ones are left out when drawn.
	queue []uint64
	// since tells when a member became unreachable or gone.
	since map[uint64]clocker.Instant
	// heard tells when each member last proved the path in both directions.
	heard    map[uint64]clocker.Instant
	lastFull clocker.Instant
	seedNext int
	version  uint64
	urgent   bool
	// rounds counts the refills of queue.
	rounds int
}

// New returns the membership of a process that knows only itself and seed addresses.
func New(self registrar.Member, seeds []string, random func() uint64) *Gossiper {
	g := &Gossiper{
		self:    self,
		roster:  registrar.New().WithMember(self),
		seeds:   slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == self.Address }),
		random:  random,
		pending: map[uint64]spreading{},
		since:   map[uint64]clocker.Instant{},
		heard:   map[uint64]clocker.Instant{},
	}
	g.pending[self.Incarnation] = spreading{}
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
	g.pending[member.Incarnation] = spreading{}
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
	if seed, ok := g.lonelySeed(); ok {
		pings = append(pings, Ping{Address: seed, Message: g.message(true)})
	}
	return pings
}

// PingTo returns a ping to a member out of turn.
func (g *Gossiper) PingTo(member registrar.Member) Ping {
	return g.ping(member)
}

func (g *Gossiper) ping(target registrar.Member) Ping {
	return Ping{Address: target.Address, Incarnation: target.Incarnation, Message: g.message(false)}
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

// draw returns the next member to ping: every member once, then in a new order.
func (g *Gossiper) draw() (registrar.Member, bool) {
	for pass := 0; pass < 2; pass++ {
		for len(g.queue) > 0 {
			incarnation := g.queue[len(g.queue)-1]
			g.queue = g.queue[:len(g.queue)-1]
			member, ok := g.roster.Member(incarnation)
			if ok && member.State != registrar.StateGone {
				return member, true
			}
		}
		g.refill()
	}
	return registrar.Member{}, false
}

func (g *Gossiper) refill() {
	near, far := g.others()
	g.queue = append(g.queue, near...)
	if g.rounds%farRounds == 0 || len(near) < nearMembers {
		g.queue = append(g.queue, far...)
	}
	g.rounds++
	for i := len(g.queue) - 1; i > 0; i-- {
		j := int(g.random() % uint64(i+1))
		g.queue[i], g.queue[j] = g.queue[j], g.queue[i]
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

// lonelySeed returns a seed whose process is not known to be alive, in turn.
func (g *Gossiper) lonelySeed() (string, bool) {
	for range g.seeds {
		seed := g.seeds[g.seedNext%len(g.seeds)]
		g.seedNext++
		holder, ok := g.roster.Holder(seed)
		if !ok || !holder.State.Live() {
			return seed, true
		}
	}
	return "", false
}

func (g *Gossiper) message(wantFull bool) Message {
	message := Message{
		Sender:        g.self,
		Changes:       g.takeChanges(),
		Digest:        g.roster.Digest(),
		ConfigVersion: g.version,
		WantFull:      wantFull,
	}
	if wantFull {
		message.Known = g.roster.Fingerprints()
	}
	return message
}

// withDifference turns a message into the answer to one that asks for a full view.
func (g *Gossiper) withDifference(message, asked Message) Message {
	message.Changes = g.roster.Missing(asked.Known)
	message.Full = true
	return message
}

// takeChanges returns the changes that were sent least often.
func (g *Gossiper) takeChanges() []registrar.Member {
	incarnations := make([]uint64, 0, len(g.pending))
	for incarnation := range g.pending {
		incarnations = append(incarnations, incarnation)
	}
	slices.SortFunc(incarnations, func(a, b uint64) int {
		if order := cmp.Compare(g.pending[a].sends, g.pending[b].sends); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	changes := make([]registrar.Member, 0, min(len(incarnations), maxChanges))
	for _, incarnation := range incarnations[:min(len(incarnations), maxChanges)] {
		if member, ok := g.roster.Member(incarnation); ok {
			changes = append(changes, member)
		}
		g.sent(incarnation)
	}
	return changes
}

func (g *Gossiper) sent(incarnation uint64) {
	change := g.pending[incarnation]
	change.sends++
	if change.sends >= spreadFactor*bits(g.roster.Len()) {
		delete(g.pending, incarnation)
		return
	}
	g.pending[incarnation] = change
}

func bits(n int) int {
	count := 1
	for ; n > 1; n /= 2 {
		count++
	}
	return count
}

// Receive takes a message and returns the reply.
func (g *Gossiper) Receive(now clocker.Instant, message Message) Message {
	g.merge(now, message)
	reply := g.message(g.needsFull(now, message))
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
		message := g.withDifference(g.message(false), reply)
		return []Ping{{Address: reply.Sender.Address, Incarnation: reply.Sender.Incarnation, Message: message}}
	}
	if g.needsFull(now, reply) {
		return []Ping{{Address: reply.Sender.Address, Incarnation: reply.Sender.Incarnation, Message: g.message(true)}}
	}
	return nil
}

// needsFull tells whether the views still differ once changes have been exchanged.
func (g *Gossiper) needsFull(now clocker.Instant, message Message) bool {
	if message.Full || message.Digest == g.roster.Digest() || len(g.pending) > 0 {
		return false
	}
	if now.Since(g.lastFull) < fullPeriod {
		return false
	}
	g.lastFull = now
	return true
}

// Heard returns when a member last proved the path in both directions.
func (g *Gossiper) Heard(incarnation uint64) (clocker.Instant, bool) {
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
	g.pending[member.Incarnation] = spreading{}
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
	g.pending[g.self.Incarnation] = spreading{}
	g.urgent = true
}
