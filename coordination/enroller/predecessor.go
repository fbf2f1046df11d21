package enroller

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// FirstVersion is the version of a roster entry that its process has never changed.
const FirstVersion = 1

// Witnesses returns up to count live members that are told of a departure, or asked about
// one: those of the own availability zone first, and the longest running ones of these.
func Witnesses(self registrar.Member, members []registrar.Member, count int) []registrar.Member {
	live := slices.DeleteFunc(slices.Clone(members), func(member registrar.Member) bool {
		return !member.State.Live() || member.Incarnation == self.Incarnation
	})
	far := func(member registrar.Member) int {
		if member.Zone == self.Zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(live, func(a, b registrar.Member) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return live[:min(count, len(live))]
}

// Vouches reports whether what a member knows of a store's era, which rises when the store
// comes back from an older copy, shows that the store has lost no departure that matters to
// a process which recalled one in an era: the run of a lost one had left before the era rose,
// and its announcements are at most MaxDelay late. longRunning tells whether the member has
// run for longer than that.
func Vouches(longRunning bool, recalledEra, era uint64, eraAge time.Duration) bool {
	return longRunning && era >= recalledEra && (eraAge < 0 || eraAge > MaxDelay)
}

// RuledOut reports whether the entries that other members know show that no announcement
// can be late that a run of the service's server at the address of self sent before it
// left. They do if the last process there with a server had one of the service when it
// ended, since a process whose server has left has none, or if there was no such process.
// It returns the entry of that process.
func RuledOut(self registrar.Member, service string, members []registrar.Member) (registrar.Member, bool) {
	var last registrar.Member
	for _, member := range members {
		earlier := member.Address == self.Address && member.Incarnation < self.Incarnation
		if earlier && member.Version > FirstVersion && member.Incarnation > last.Incarnation {
			last = member
		}
	}
	if last.Incarnation == 0 {
		return last, true
	}
	return last, service != "" && last.Service == service
}
