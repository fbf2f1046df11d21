package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
)

func at(d time.Duration) clocker.Instant {
	return clocker.Instant{Mono: d, Wall: d}
}

func requireDecision(t *testing.T, l *limiter.Limiter, id uint64, deadline time.Duration, want limiter.Decision) {
	t.Helper()
	require.Equal(t, want.String(), l.Admit(at(0), id, at(deadline)).String())
}

func TestLimiter(t *testing.T) {
	t.Run("SlotsThenQueueThenRefusal", func(t *testing.T) {
		l := limiter.New(1, 1)
		requireDecision(t, l, 1, time.Second, limiter.Started)
		requireDecision(t, l, 2, time.Second, limiter.Queued)
		requireDecision(t, l, 3, time.Second, limiter.RefusedFull)
	})
	t.Run("ReleaseStartsTheNext", func(t *testing.T) {
		l := limiter.New(1, 2)
		requireDecision(t, l, 1, time.Second, limiter.Started)
		requireDecision(t, l, 2, time.Second, limiter.Queued)
		started, refused := l.Release(at(0))
		require.Equal(t, []uint64{2}, started)
		require.Empty(t, refused)
	})
	t.Run("PastDeadlineIsRefusedAtRelease", func(t *testing.T) {
		l := limiter.New(1, 2)
		requireDecision(t, l, 1, time.Second, limiter.Started)
		requireDecision(t, l, 2, time.Second, limiter.Queued)
		started, refused := l.Release(at(2 * time.Second))
		require.Empty(t, started)
		require.Equal(t, []uint64{2}, refused)
		require.Zero(t, l.InFlight())
	})
	t.Run("DeadlineThatCannotBeMet", func(t *testing.T) {
		l := limiter.New(1, 8)
		l.Observe(300 * time.Millisecond)
		requireDecision(t, l, 1, time.Second, limiter.Started)
		requireDecision(t, l, 2, 500*time.Millisecond, limiter.RefusedLate)
		requireDecision(t, l, 3, time.Second, limiter.Queued)
	})
	t.Run("IdleServerTakesAnyRequest", func(t *testing.T) {
		l := limiter.New(1, 8)
		l.Observe(time.Hour)
		requireDecision(t, l, 1, time.Second, limiter.Started)
	})
	t.Run("RemovedRequestNeverStarts", func(t *testing.T) {
		l := limiter.New(1, 8)
		requireDecision(t, l, 1, time.Second, limiter.Started)
		requireDecision(t, l, 2, time.Second, limiter.Queued)
		require.True(t, l.Remove(2))
		started, _ := l.Release(at(0))
		require.Empty(t, started)
	})
}
