package gossiper

import "github.com/foxtailhall/foxtailhall/state/registrar"

// nextTarget returns the next member to ping. It goes through the members of the
// own zone in random order, shuffled again for each round. Every pingsPerFarPing
// calls on average it returns a member of another zone if the own zone has enough members.
func (g *Gossiper) nextTarget() (registrar.Member, bool) {
	g.pingsDrawn++
	if g.hasNearPeers && g.hasFarMembers && g.random()%uint64(max(minPingsPerFarPing, farPingsPerMember*g.nearPeers)) == 0 {
		if member, ok := g.popFrom(&g.far); ok {
			return member, true
		}
	}
	return g.popFrom(&g.near)
}

func (g *Gossiper) popFrom(queue *[]uint64) (registrar.Member, bool) {
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
	g.nearPeers = len(near)
	g.hasNearPeers = len(near) >= minNearPeers
	switch {
	case queue == &g.far:
		*queue = append(*queue, far...)
	case g.hasNearPeers:
		*queue = append(*queue, near...)
	default:
		*queue = append(append(*queue, near...), far...)
	}
	g.hasFarMembers = len(far) > 0
	if !g.hasFarMembers {
		clear(g.pendingFar)
	}
	for i := len(*queue) - 1; i > 0; i-- {
		j := int(g.random() % uint64(i+1))
		(*queue)[i], (*queue)[j] = (*queue)[j], (*queue)[i]
	}
}

// others returns the other members that are not gone, those of the own
// availability zone separately.
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

// unknownSeed returns the next seed address without a live member, round-robin.
// With hasNearPeers it returns one only every pingsPerSeedPing regular pings,
// otherwise at each call. These pings reunite parts of the fleet that have lost
// contact.
func (g *Gossiper) unknownSeed() (string, bool) {
	if g.hasNearPeers && g.pingsDrawn-g.lastSeedPing < pingsPerSeedPing {
		return "", false
	}
	g.lastSeedPing = g.pingsDrawn
	for range g.seeds {
		seed := g.seeds[g.nextSeed%len(g.seeds)]
		g.nextSeed++
		member, ok := g.roster.MemberAt(seed)
		if !ok || !member.State.Live() {
			return seed, true
		}
	}
	return "", false
}
