package stopper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/stopper"
)

func TestStop(t *testing.T) {
	const limit, grace = 6 * time.Second, 2 * time.Second
	requested := time.Minute
	stop := stopper.New(requested, limit, grace)
	t.Run("RefusesBeforeItEnds", func(t *testing.T) {
		require.False(t, stop.Refuses(requested+2*time.Second))
		require.True(t, stop.Refuses(requested+3*time.Second))
		require.False(t, stop.MustCancel(requested+5*time.Second))
		require.True(t, stop.MustCancel(requested+5500*time.Millisecond))
	})
	// Guards against requests that are accepted late in a long limit and cancelled at its end.
	t.Run("RefusesInTimeWithALongLimit", func(t *testing.T) {
		long := stopper.New(requested, 10*time.Second, grace)
		require.False(t, long.Refuses(requested+2500*time.Millisecond))
		require.True(t, long.Refuses(requested+3*time.Second))
		require.False(t, long.MustCancel(requested+9*time.Second))
	})
	t.Run("AskedAgain", func(t *testing.T) {
		again := stop.WithRequest(requested + 1900*time.Millisecond)
		require.False(t, again.MustCancel(requested+5500*time.Millisecond), "the time until the kill starts anew")
		require.True(t, again.MustCancel(requested+7500*time.Millisecond))
		require.True(t, again.Refuses(requested+3*time.Second), "a further stop request does not postpone the refusal")
	})
	t.Run("FitsWhatEndsInTime", func(t *testing.T) {
		require.True(t, stop.CanFinish(requested+time.Second, 4*time.Second))
		require.False(t, stop.CanFinish(requested+time.Second, 5*time.Second))
		require.True(t, stopper.New(requested, 0, grace).CanFinish(requested, time.Hour))
	})
	t.Run("WithoutAKill", func(t *testing.T) {
		unlimited := stopper.New(requested, 0, grace)
		require.False(t, unlimited.Refuses(requested+time.Hour))
		require.False(t, unlimited.MustCancel(requested+time.Hour))
	})
}
