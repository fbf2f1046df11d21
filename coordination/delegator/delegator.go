// Package delegator decides which processes read the source of the configuration. A few
// in each availability zone follow it and the others learn of new versions by gossip, so
// that the calls to the source do not grow with the fleet.
package delegator

import (
	"time"

	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// followersPerZone is how many members of each zone follow the source.
	followersPerZone = 3
	// PollWait is how long a follower's read waits for a new version. Each read that
	// returns shows that the source can be reached, and a longer wait would hide for longer
	// that it can't.
	PollWait = time.Second
	// PollSlack is the time after PollWait from which on a read is overdue.
	PollSlack = 500 * time.Millisecond
	// confirmationTimeout is the age of the last successful read of any follower of the zone
	// from which on others follow the source themselves. With the delay of the last rank it
	// stays below the shortest time within which users require a version to be in force.
	confirmationTimeout = PollWait + PollSlack + 100*time.Millisecond
	// takeoverDelay is added to confirmationTimeout for each rank, up to maxDelayedRank,
	// so that not all members call a source that comes back at the same moment.
	takeoverDelay  = 2 * time.Millisecond
	maxDelayedRank = 60
)

// Rank returns the number of live members of a zone that started before the process with
// an incarnation. Leaving members don't count.
func Rank(members []registrar.Member, zone string, incarnation uint64) int {
	rank := 0
	for _, member := range members {
		if member.Zone == zone && member.Incarnation < incarnation &&
			member.State.Live() && member.State != registrar.StateLeaving {
			rank++
		}
	}
	return rank
}

// Follows reports whether the process of a rank follows the source. confirmed is the age
// of the last successful read by a process of its zone that it knows of, its own or another's.
func Follows(rank int, confirmed time.Duration) bool {
	return rank < followersPerZone || confirmed > confirmationTimeout+time.Duration(min(rank, maxDelayedRank))*takeoverDelay
}

// Follower is what a client of the source tells a process while it reads for it.
type Follower struct {
	// Apply is called with the text of a version, and reports whether that is in force then.
	Apply func(text []byte) bool
	// Reached is called after each read that succeeded, with the era of the source's data,
	// which rises when the source comes back from an older copy, or 0 if it is not known.
	Reached func(era uint64)
	// Wanted reports whether the process follows the source at the moment.
	Wanted func() bool
}
