package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// refused returns the result of an attempt that a guard refused.
func refused(i int, verdict *messenger.Verdict) *result {
	member := registrar.Member{Incarnation: uint64(i + 1)}
	return &result{kind: resultRefused, entry: tracker.Entry{Member: member}, verdict: verdict}
}

// TestSearchEndsWithoutRetryBudget checks that a search ends after maxBudgetRefusals
// guards without retry budget. Refusals for other reasons must not end it.
func TestSearchEndsWithoutRetryBudget(t *testing.T) {
	t.Run("ManyGuardsWithoutBudget", func(t *testing.T) {
		s := &serverSearch{}
		for i := range maxBudgetRefusals {
			require.False(t, s.exhausted(), "after %d", i)
			s.record(refused(i, &messenger.Verdict{Unfunded: true}), true)
		}
		require.True(t, s.exhausted())
	})
	t.Run("OtherRefusalsDoNotCount", func(t *testing.T) {
		s := &serverSearch{}
		for i := range maxBudgetRefusals {
			s.record(refused(i, &messenger.Verdict{Busy: true}), false)
		}
		require.False(t, s.exhausted())
	})
}
