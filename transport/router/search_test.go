package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// refused is the end of an attempt that a guard refused.
func refused(i int, verdict *messenger.Verdict) *result {
	member := registrar.Member{Incarnation: uint64(i + 1)}
	return &result{kind: resultRefused, entry: tracker.Entry{Member: member}, verdict: verdict}
}

func TestSearchForBudgetEnds(t *testing.T) {
	t.Run("ManyGuardsWithoutBudget", func(t *testing.T) {
		s := &search{}
		for i := range maxUnfunded {
			require.False(t, s.over(), "after %d", i)
			s.note(refused(i, &messenger.Verdict{Unfunded: true}), true)
		}
		require.True(t, s.over())
	})
	t.Run("OtherRefusalsDoNotCount", func(t *testing.T) {
		s := &search{}
		for i := range maxUnfunded {
			s.note(refused(i, &messenger.Verdict{Busy: true}), false)
		}
		require.False(t, s.over())
	})
}
