package searcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// maxBudgetRefusals is how many guards without retry budget end a search.
const maxBudgetRefusals = 6

// TestSearchEndsWithoutRetryBudget checks that a search ends after maxBudgetRefusals
// guards without retry budget. Refusals for other reasons must not end it.
func TestSearchEndsWithoutRetryBudget(t *testing.T) {
	t.Run("ManyGuardsWithoutBudget", func(t *testing.T) {
		var search searcher.Search
		for i := range maxBudgetRefusals {
			require.False(t, search.Exhausted(), "after %d", i)
			search.Record(uint64(i+1), searcher.Refusal{Unfunded: true}, true)
		}
		require.True(t, search.Exhausted())
	})
	t.Run("OtherRefusalsDoNotCount", func(t *testing.T) {
		var search searcher.Search
		for i := range maxBudgetRefusals {
			search.Record(uint64(i+1), searcher.Refusal{Busy: true}, false)
		}
		require.False(t, search.Exhausted())
	})
}

// fleet answers picks from a fixed set of servers, the first that qualifies.
type fleet struct {
	// near and far are the incarnations in the own and in another availability zone.
	near, far []uint64
	avoided   map[uint64]bool
}

func (f fleet) pick(want searcher.Constraints) (tracker.Entry, picker.Reason) {
	candidates := f.near
	if !want.SameZone {
		candidates = append(append([]uint64{}, f.near...), f.far...)
	}
next:
	for _, candidate := range candidates {
		if want.SkipAvoided && f.avoided[candidate] {
			continue
		}
		for _, excluded := range want.Exclude {
			if excluded == candidate {
				continue next
			}
		}
		entry := tracker.Entry{Member: registrar.Member{Incarnation: candidate}, Server: tracker.New(candidate, 0, 0)}
		return entry, picker.ReasonZone
	}
	return tracker.Entry{}, picker.ReasonNone
}

// requireNext asserts the server of the next attempt and whether it insists there.
func requireNext(t *testing.T, search *searcher.Search, f fleet, server uint64, insist bool) {
	t.Helper()
	choice := search.Next(f.pick, 0)
	require.NotNil(t, choice.Entry.Server)
	require.Equal(t, server, choice.Entry.Member.Incarnation)
	require.Equal(t, insist, choice.Insist)
}

func TestSearch(t *testing.T) {
	busy, doubtful := searcher.Refusal{Busy: true}, searcher.Refusal{Doubtful: true}
	t.Run("OwnZoneThenOthersThenQueue", func(t *testing.T) {
		f := fleet{near: []uint64{1}, far: []uint64{2}}
		var search searcher.Search
		requireNext(t, &search, f, 1, false)
		search.Record(1, busy, false)
		requireNext(t, &search, f, 2, false)
		search.Record(2, busy, false)
		requireNext(t, &search, f, 1, true)
	})
	t.Run("LargeBodiesQueueInTheOwnZone", func(t *testing.T) {
		f := fleet{near: []uint64{1}, far: []uint64{2}}
		search := searcher.Search{LargeBody: true}
		requireNext(t, &search, f, 1, false)
		search.Record(1, busy, false)
		requireNext(t, &search, f, 1, true)
	})
	t.Run("WarnedServersComeLast", func(t *testing.T) {
		f := fleet{near: []uint64{1}, far: []uint64{2}, avoided: map[uint64]bool{1: true}}
		var search searcher.Search
		requireNext(t, &search, f, 2, false)
		search.Record(2, busy, false)
		requireNext(t, &search, f, 2, true)
		search.Record(2, searcher.Refusal{}, true)
		requireNext(t, &search, f, 1, true)
	})
	t.Run("DoubtfulServersAreInsistedOnWhenNothingIsLeft", func(t *testing.T) {
		f := fleet{near: []uint64{1, 2}}
		var search searcher.Search
		requireNext(t, &search, f, 1, false)
		search.Record(1, doubtful, false)
		requireNext(t, &search, f, 2, false)
		search.Record(2, doubtful, false)
		requireNext(t, &search, f, 1, true)
		search.Record(1, searcher.Refusal{}, true)
		requireNext(t, &search, f, 2, true)
		search.Record(2, searcher.Refusal{}, true)
		require.Nil(t, search.Next(f.pick, 0).Entry.Server)
	})
	t.Run("FewOtherZonesAreTried", func(t *testing.T) {
		f := fleet{near: []uint64{1}, far: []uint64{2, 3, 4, 5, 6}}
		var search searcher.Search
		for server := uint64(1); server <= 4; server++ {
			requireNext(t, &search, f, server, false)
			search.Record(server, busy, false)
		}
		requireNext(t, &search, f, 1, true)
	})
}
