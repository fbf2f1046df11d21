package stopper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/stopper"
)

func TestStop(t *testing.T) {
	const limit = 6 * time.Second
	asked := time.Minute
	stop := stopper.New(asked, limit)
	t.Run("RefusesBeforeItEnds", func(t *testing.T) {
		require.False(t, stop.Refuses(asked+2*time.Second))
		require.True(t, stop.Refuses(asked+3*time.Second))
		require.False(t, stop.MustCancel(asked+5*time.Second))
		require.True(t, stop.MustCancel(asked+5500*time.Millisecond))
	})
	t.Run("AskedAgain", func(t *testing.T) {
		again := stop.WithRequest(asked + 1900*time.Millisecond)
		require.False(t, again.MustCancel(asked+5500*time.Millisecond), "the time until the kill starts anew")
		require.True(t, again.MustCancel(asked+7500*time.Millisecond))
		require.True(t, again.Refuses(asked+3*time.Second), "new requests still go elsewhere")
	})
	t.Run("FitsWhatEndsInTime", func(t *testing.T) {
		require.True(t, stop.CanFinish(asked+time.Second, 4*time.Second))
		require.False(t, stop.CanFinish(asked+time.Second, 5*time.Second))
		require.True(t, stopper.New(asked, 0).CanFinish(asked, time.Hour))
	})
	t.Run("WithoutAKill", func(t *testing.T) {
		free := stopper.New(asked, 0)
		require.False(t, free.Refuses(asked+time.Hour))
		require.False(t, free.MustCancel(asked+time.Hour))
	})
}
