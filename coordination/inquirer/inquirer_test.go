package inquirer_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/inquirer"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

var self = member(0)

func at(after time.Duration) clocker.Instant {
	return clocker.Instant{Mono: time.Hour + after, Wall: time.Hour + after}
}

// member returns the entry of a process; those with lower numbers have run longer.
func member(number int) registrar.Member {
	return registrar.Member{
		Incarnation: 100 + uint64(number), Address: address(number), Zone: "near", State: registrar.StateServing, Version: 2,
	}
}

func address(number int) string { return fmt.Sprintf("10.0.0.%d:1", number) }

func members(numbers ...int) []registrar.Member {
	list := make([]registrar.Member, 0, 1+len(numbers))
	list = append(list, self)
	for _, number := range numbers {
		list = append(list, member(number))
	}
	return list
}

func requireDone(t *testing.T, want bool, i inquirer.Inquiry, known []registrar.Member) {
	t.Helper()
	require.Equal(t, want, i.Done(at(20*time.Millisecond), self, known))
}

// TestInquiries guards against a run that a starting process takes for new before near peers have
// told that it left, and against one that waits for peers that can't tell.
func TestInquiries(t *testing.T) {
	began := inquirer.New(at(0))
	t.Run("PeersAreNotKnownYet", func(t *testing.T) {
		requireDone(t, false, began, members())
		require.Empty(t, began.Next(self, members()))
	})
	t.Run("NoPeers", func(t *testing.T) {
		requireDone(t, true, began.WithListed(nil), members())
		requireDone(t, true, began.WithListed([]string{self.Address}), members())
	})
	t.Run("ListedPeersNameNearOnes", func(t *testing.T) {
		i := began.WithListed([]string{address(1)})
		require.Equal(t, []string{address(1)}, i.Next(self, members()))
		requireDone(t, false, i, members())
		i = i.WithAsked(address(1))
		require.Empty(t, i.Next(self, members()))
		requireDone(t, false, i, members())
		i = i.WithReply(address(1), true)
		require.Equal(t, []string{address(2), address(3)}, i.Next(self, members(1, 2, 3)))
		requireDone(t, false, i, members(1, 2, 3))
		i = i.WithAsked(address(2), address(3)).WithReply(address(3), true)
		requireDone(t, false, i, members(1, 2, 3))
		i = i.WithReply(address(2), true)
		requireDone(t, true, i, members(1, 2, 3))
		require.Equal(t, 3, i.Asked())
		require.Equal(t, 3, i.Answered())
	})
	t.Run("PeersThatEnded", func(t *testing.T) {
		i := began.WithListed([]string{address(1)}).WithAsked(address(1)).WithReply(address(1), false)
		requireDone(t, true, i, members())
		require.Zero(t, i.Answered())
	})
	t.Run("SilentPeers", func(t *testing.T) {
		i := began.WithListed([]string{address(1)}).WithAsked(address(1))
		requireDone(t, false, i, members())
		require.True(t, i.Done(at(inquirer.MaxTime+time.Millisecond), self, members()))
	})
	t.Run("NoListAndNoPeers", func(t *testing.T) {
		require.True(t, began.Done(at(inquirer.MaxTime+time.Millisecond), self, members()))
	})
	t.Run("PeersThatFoundThisProcess", func(t *testing.T) {
		// The list can't be read; gossip of others has arrived.
		require.Equal(t, []string{address(4)}, began.Next(self, members(4)))
		i := began.WithAsked(address(4)).WithReply(address(4), true)
		requireDone(t, false, i, members(4))
		requireDone(t, true, i.WithListed([]string{address(4)}), members(4))
	})
	t.Run("FewOfMany", func(t *testing.T) {
		listed := []string{address(9), address(8), address(7), address(6), address(5)}
		i := began.WithListed(listed)
		require.Equal(t, listed[:3], i.Next(self, members()))
		near := i.WithAsked(listed[:3]...).Next(self, members(1, 2, 3, 4, 5, 6, 7, 8, 9))
		require.Equal(t, []string{address(1), address(2), address(3), address(4), address(5)}, near)
	})
	t.Run("LateReplies", func(t *testing.T) {
		i := began.WithListed([]string{address(1)}).WithAsked(address(1)).WithReply(address(1), false)
		requireDone(t, true, i.WithReply(address(1), true), members())
	})
}

// TestInquiriesEnd plays lists, replies and news of members in any order: no peer is asked twice, an inquiry
// ends in time, and before that only once each peer that it would ask was heard or has failed.
func TestInquiriesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i, known := inquirer.New(at(0)), members()
		open, asked := map[string]bool{}, map[string]bool{}
		listed := false
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(time.Duration(step) * 50 * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				i, listed = i.WithListed([]string{address(rapid.IntRange(0, 9).Draw(t, "listed"))}), true
			case 1:
				known = append(known, member(rapid.IntRange(1, 9).Draw(t, "member")))
			default:
				if waiting := slices.Sorted(maps.Keys(open)); len(waiting) > 0 {
					peer := rapid.SampledFrom(waiting).Draw(t, "peer")
					i = i.WithReply(peer, rapid.Bool().Draw(t, "answered"))
					delete(open, peer)
				}
			}
			next := i.Next(self, known)
			for _, peer := range next {
				require.False(t, asked[peer], "asked twice")
				require.NotEqual(t, self.Address, peer)
				asked[peer], open[peer] = true, true
			}
			i = i.WithAsked(next...)
			late := now.Since(at(0)) > inquirer.MaxTime
			require.Equal(t, late || listed && len(open) == 0, i.Done(now, self, known))
		}
	})
}
