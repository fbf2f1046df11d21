// Package inquirer decides which peers a starting process asks about the backend server beside it,
// and when it has asked enough to take a run of the server for new. Peers know what the server
// said of itself to an earlier process at the same address.
package inquirer

import (
	"maps"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// MaxTime is how long after its start a process waits for peers that don't answer.
	MaxTime = time.Second
	// maxListed is how many of the listed addresses are asked. The replies name the near peers.
	maxListed = 3
	// maxNear is how many near peers are asked: more than are told of a departure, as some of
	// these may have ended since.
	maxNear = 5
)

// Inquiry is what a process has asked its peers since its start. It is immutable.
type Inquiry struct {
	startedAt clocker.Instant
	// known is set once addresses of peers were read, also if there are none.
	known bool
	// listed holds the addresses that were read, and are to be asked.
	listed []string
	// asked holds the addresses that were asked, and whether the reply has come or failed.
	asked map[string]outcome
}

type outcome uint8

const (
	outcomeOpen outcome = iota
	outcomeAnswered
	outcomeFailed
)

// New returns the inquiry of a process that started at the given time and knows no peer.
func New(startedAt clocker.Instant) Inquiry { return Inquiry{startedAt: startedAt} }

// WithListed returns the inquiry after addresses of peers were read.
func (i Inquiry) WithListed(addresses []string) Inquiry {
	i.known = true
	i.listed = slices.Clone(addresses[:min(maxListed, len(addresses))])
	return i
}

// Next returns the addresses of the peers to ask now, given the own entry and all that are known.
func (i Inquiry) Next(self registrar.Member, members []registrar.Member) []string {
	addresses := slices.Clone(i.listed)
	for _, peer := range enroller.Witnesses(self, members, maxNear) {
		addresses = append(addresses, peer.Address)
	}
	next := make([]string, 0, len(addresses))
	for _, address := range addresses {
		if _, ok := i.asked[address]; !ok && address != self.Address && !slices.Contains(next, address) {
			next = append(next, address)
		}
	}
	return next
}

// WithAsked returns the inquiry after peers were asked.
func (i Inquiry) WithAsked(addresses ...string) Inquiry {
	for _, address := range addresses {
		i = i.with(address, outcomeOpen)
	}
	return i
}

// WithReply returns the inquiry after a peer has told what it knows, or did not answer.
func (i Inquiry) WithReply(address string, answered bool) Inquiry {
	if answered {
		return i.with(address, outcomeAnswered)
	}
	return i.with(address, outcomeFailed)
}

func (i Inquiry) with(address string, result outcome) Inquiry {
	asked := maps.Clone(i.asked)
	if asked == nil {
		asked = map[string]outcome{}
	}
	asked[address] = result
	i.asked = asked
	return i
}

// Done reports whether no peer is left to ask or to wait for.
func (i Inquiry) Done(now clocker.Instant, self registrar.Member, members []registrar.Member) bool {
	if now.Since(i.startedAt) > MaxTime {
		return true
	}
	return i.known && i.count(outcomeOpen) == 0 && len(i.Next(self, members)) == 0
}

// Asked returns the number of peers that were asked, and Answered that of those that replied.
func (i Inquiry) Asked() int { return len(i.asked) }

// Answered returns the number of peers that have told what they know.
func (i Inquiry) Answered() int { return i.count(outcomeAnswered) }

func (i Inquiry) count(result outcome) int {
	count := 0
	for _, known := range i.asked {
		if known == result {
			count++
		}
	}
	return count
}
