package positioner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/positioner"
)

func requireOffset(t *testing.T, want int64, position positioner.Position) {
	t.Helper()
	offset, ok := position.Offset()
	require.True(t, ok)
	require.Equal(t, want, offset)
}

func requireNone(t *testing.T, position positioner.Position) {
	t.Helper()
	_, ok := position.Offset()
	require.False(t, ok)
}

// TestPositionsEndWithTheirEra guards against a reader that goes on from an offset of a log
// that has come back from an older copy, and never sees what replaced the lost records.
func TestPositionsEndWithTheirEra(t *testing.T) {
	t.Run("NoneAtFirst", func(t *testing.T) {
		requireNone(t, positioner.Position{})
		requireNone(t, positioner.Position{}.WithRead(7, 0))
	})
	t.Run("SameEra", func(t *testing.T) {
		requireOffset(t, 9, positioner.New(7, 2).WithRead(9, 2))
		requireOffset(t, 9, positioner.New(7, 0).WithRead(9, 0))
	})
	t.Run("LaterEra", func(t *testing.T) {
		older := positioner.New(7, 2).WithRead(7, 3)
		requireNone(t, older)
		requireOffset(t, 4, positioner.New(4, 3).WithRead(4, 3))
	})
	t.Run("EarlierEra", func(t *testing.T) { requireNone(t, positioner.New(7, 2).WithRead(7, 1)) })
	t.Run("TwiceInARow", func(t *testing.T) {
		requireNone(t, positioner.New(7, 2).WithRead(9, 3).WithRead(9, 4))
		requireNone(t, positioner.New(5, 3).WithRead(6, 4))
	})
}
