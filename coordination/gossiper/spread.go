package gossiper

import (
	"cmp"
	"slices"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

type spreading struct {
	sends int
}

// message returns what to tell a member; an empty one stands for an unknown receiver.
func (g *Gossiper) message(to registrar.Member, wantFull bool) Message {
	message := Message{
		Sender:        g.self,
		Changes:       g.takeChanges(to.Zone),
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

// takeChanges returns the changes for a zone that were sent least often.
func (g *Gossiper) takeChanges(zone string) []registrar.Member {
	untold, enough := g.audience(zone)
	incarnations := make([]uint64, 0, len(untold))
	for incarnation := range untold {
		incarnations = append(incarnations, incarnation)
	}
	slices.SortFunc(incarnations, func(a, b uint64) int {
		if order := cmp.Compare(untold[a].sends, untold[b].sends); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	changes := make([]registrar.Member, 0, min(len(incarnations), maxChanges))
	for _, incarnation := range incarnations[:min(len(incarnations), maxChanges)] {
		if member, ok := g.roster.Member(incarnation); ok {
			changes = append(changes, member)
		}
		change := untold[incarnation]
		change.sends++
		untold[incarnation] = change
		if change.sends >= enough {
			delete(untold, incarnation)
		}
	}
	return changes
}

// audience returns the changes that are still to be told to a zone, and how
// often each is sent. Other zones hear of the own zone's members only: each zone
// tells of its own, and what a cut path keeps back comes with the next full view.
func (g *Gossiper) audience(zone string) (map[uint64]spreading, int) {
	if zone == "" || zone == g.self.Zone || !g.company {
		return g.pending, spreadFactor * bits(g.roster.Len())
	}
	return g.outward, outwardSends
}

// spread starts to tell of a change.
func (g *Gossiper) spread(member registrar.Member) {
	g.pending[member.Incarnation] = spreading{}
	if member.Zone == g.self.Zone {
		g.outward[member.Incarnation] = spreading{}
	}
}

func bits(n int) int {
	count := 1
	for ; n > 1; n /= 2 {
		count++
	}
	return count
}

// needsFull tells whether the views still differ once changes have been exchanged.
func (g *Gossiper) needsFull(now clocker.Instant, message Message) bool {
	if message.Full || message.Digest == g.roster.Digest() || len(g.pending)+len(g.outward) > 0 {
		return false
	}
	last, period := &g.lastFull, fullPeriod
	if g.company && message.Sender.Zone != g.self.Zone {
		last, period = &g.lastFarFull, farFullPeriod
	}
	if now.Since(*last) < period {
		return false
	}
	*last = now
	return true
}
