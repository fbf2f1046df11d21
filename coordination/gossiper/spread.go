package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// broadcast is the progress of spreading one change.
type broadcast struct {
	sends int
	// since is the number of regular pings that had been drawn when it began.
	since int
}

// message returns a message to a member. The zero Member stands for an unknown receiver.
func (g *Gossiper) message(now clocker.Instant, to registrar.Member, wantFull bool) Message {
	message := Message{
		Sender:        g.self,
		Changes:       g.takeChanges(to.Zone),
		Digest:        g.roster.Digest(),
		ConfigVersion: g.configVersion,
		Confirmed:     g.Confirmed(now),
		ZoneConfirmed: -1,
		Era:           g.era,
		EraAge:        g.EraAge(now),
		WantFull:      wantFull,
		Warnings:      g.warner.Current(now, g.warningsFor(to.Zone)),
	}
	if to.Zone == g.self.Zone {
		message.ZoneConfirmed = g.ZoneConfirmed(now)
	}
	if wantFull {
		message.Known = g.roster.Fingerprints()
	}
	return message
}

// warningsFor returns which warnings are sent to a zone: within the own zone all, to
// other zones those about servers of the own zone.
func (g *Gossiper) warningsFor(zone string) func(incarnation uint64) bool {
	return func(incarnation uint64) bool {
		if zone == g.self.Zone {
			return true
		}
		member, ok := g.roster.Member(incarnation)
		return ok && zone != "" && member.Zone == g.self.Zone
	}
}

// withDifference turns a message into the answer to a request for a full view:
// it holds all entries that the requester lacks.
func (g *Gossiper) withDifference(message, request Message) Message {
	message.Changes = g.roster.Missing(request.Known)
	message.Full = true
	return message
}

// takeChanges returns up to maxChanges changes to send to a zone, those with the
// fewest sends first, and counts the send.
func (g *Gossiper) takeChanges(zone string) []registrar.Member {
	pending, maxSends := g.pendingFor(zone)
	incarnations := make([]uint64, 0, len(pending))
	for incarnation, change := range pending {
		if maxSends == farSends && g.pingsDrawn-change.since > farSpreadPings {
			delete(pending, incarnation)
			continue
		}
		incarnations = append(incarnations, incarnation)
	}
	slices.SortFunc(incarnations, func(a, b uint64) int {
		if order := cmp.Compare(pending[a].sends, pending[b].sends); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	changes := make([]registrar.Member, 0, min(len(incarnations), maxChanges))
	for _, incarnation := range incarnations[:min(len(incarnations), maxChanges)] {
		if member, ok := g.roster.Member(incarnation); ok {
			changes = append(changes, member)
		}
		change := pending[incarnation]
		change.sends++
		pending[incarnation] = change
		if change.sends >= maxSends {
			delete(pending, incarnation)
		}
	}
	return changes
}

// pendingFor returns the changes still to be sent to a zone, and how often each
// is sent. Other zones are sent changes of the own zone's members only, because
// each zone spreads its own changes. What is lost on a failed path between zones
// arrives with the next full view.
func (g *Gossiper) pendingFor(zone string) (map[uint64]broadcast, int) {
	if zone == "" || zone == g.self.Zone || !g.hasNearPeers {
		return g.pendingNear, spreadFactor * bitLength(g.roster.Len())
	}
	return g.pendingFar, farSends
}

// spread starts to spread a change.
func (g *Gossiper) spread(member registrar.Member) {
	g.pendingNear[member.Incarnation] = broadcast{since: g.pingsDrawn}
	if member.Zone == g.self.Zone {
		g.pendingFar[member.Incarnation] = broadcast{since: g.pingsDrawn}
	}
}

func bitLength(n int) int {
	count := 1
	for ; n > 1; n /= 2 {
		count++
	}
	return count
}

// needsFull reports whether to request a full view: the views still differ after all
// changes have been spread, or there are too many for one message, and no full view was
// requested recently.
func (g *Gossiper) needsFull(now clocker.Instant, message Message) bool {
	pending := len(g.pendingNear) + len(g.pendingFar)
	if message.Full || message.Digest == g.roster.Digest() || pending > 0 && pending <= maxChanges {
		return false
	}
	last, period := &g.lastFull, fullPeriod
	if g.hasNearPeers && message.Sender.Zone != g.self.Zone {
		last, period = &g.lastFarFull, farFullPeriod*time.Duration(1+g.nearPeers/farFullMembers)
	}
	if now.Since(*last) < period {
		return false
	}
	*last = now
	return true
}
