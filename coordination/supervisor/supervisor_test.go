package supervisor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/supervisor"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

var durations = supervisor.Durations{Starting: 2 * time.Second, Ejection: 10 * time.Second, MaxEjection: 30 * time.Second}

func at(d time.Duration) clocker.Instant {
	return clocker.Instant{Mono: d, Wall: d}
}

func requireState(t *testing.T, s *supervisor.Supervisor, now time.Duration, want registrar.State) {
	t.Helper()
	require.NoError(t, s.Tick(at(now)))
	require.Equal(t, want.String(), s.State().String())
}

func TestLife(t *testing.T) {
	s := supervisor.New(at(0), durations)
	requireState(t, s, time.Second, registrar.StateStarting)
	requireState(t, s, 2*time.Second, registrar.StateServing)
	duration, err := s.Eject(at(3 * time.Second))
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, duration)
	requireState(t, s, 12*time.Second, registrar.StateEjected)
	requireState(t, s, 13*time.Second, registrar.StateProbation)
	t.Run("RelapseDoublesTheTime", func(t *testing.T) {
		duration, err := s.Eject(at(14 * time.Second))
		require.NoError(t, err)
		require.Equal(t, 20*time.Second, duration)
	})
	t.Run("TheTimeIsBounded", func(t *testing.T) {
		requireState(t, s, 34*time.Second, registrar.StateProbation)
		duration, err := s.Eject(at(35 * time.Second))
		require.NoError(t, err)
		require.Equal(t, 30*time.Second, duration)
	})
	t.Run("GoodAnswersEndProbation", func(t *testing.T) {
		requireState(t, s, 65*time.Second, registrar.StateProbation)
		for range 8 {
			require.NoError(t, s.RecordResponse(at(65*time.Second), true))
		}
		requireState(t, s, 65*time.Second, registrar.StateServing)
	})
	t.Run("LeavingIsForGood", func(t *testing.T) {
		require.NoError(t, s.Fire(at(66*time.Second), supervisor.TriggerLeave))
		_, err := s.Eject(at(66 * time.Second))
		require.Error(t, err)
		require.NoError(t, s.Fire(at(66*time.Second), supervisor.TriggerLost), "its server may end first")
		requireState(t, s, 66*time.Second, registrar.StateLeaving)
		require.NoError(t, s.Fire(at(67*time.Second), supervisor.TriggerDrained))
		requireState(t, s, 67*time.Second, registrar.StateGone)
		require.NoError(t, s.Fire(at(67*time.Second), supervisor.TriggerLost))
	})
}
