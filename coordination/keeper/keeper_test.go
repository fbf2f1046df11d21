package keeper_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/keeper"
)

// TestValuesAreWrittenAgainInALaterEra guards against values that only an acknowledgement of
// before vouches for, once the store came back from a copy that may lack them.
func TestValuesAreWrittenAgainInALaterEra(t *testing.T) {
	none := keeper.Keeper{}
	kept := none.WithValue().WithKept(1, 2)
	t.Run("NothingToKeep", func(t *testing.T) {
		require.False(t, none.Due())
		require.False(t, none.WithEra(3).Due())
	})
	t.Run("ANewValue", func(t *testing.T) {
		require.True(t, none.WithValue().Due())
		require.False(t, kept.Due())
		require.True(t, kept.WithValue().Due())
	})
	t.Run("ALaterEra", func(t *testing.T) {
		require.True(t, kept.WithEra(3).Due())
		require.False(t, kept.WithEra(3).WithKept(1, 3).Due())
		require.True(t, kept.WithEra(3).WithKept(1, 3).WithEra(4).Due())
	})
	t.Run("TheSameOrAnEarlierEra", func(t *testing.T) {
		require.False(t, kept.WithEra(2).Due())
		require.False(t, kept.WithEra(1).Due())
	})
	t.Run("AcknowledgedInAnEarlierEra", func(t *testing.T) {
		require.True(t, none.WithValue().WithEra(3).WithKept(1, 2).Due())
		require.False(t, kept.WithKept(1, 3).WithKept(1, 2).Due(), "a late acknowledgement")
	})
	t.Run("AnEarlierValue", func(t *testing.T) {
		next := kept.WithValue()
		require.True(t, next.WithKept(1, 2).Due())
		require.False(t, next.WithKept(2, 2).WithKept(1, 2).Due())
	})
	t.Run("NoEraNamed", func(t *testing.T) {
		require.False(t, none.WithValue().WithKept(1, 0).Due())
		require.False(t, none.WithEra(2).WithValue().WithKept(1, 0).Due())
	})
}
