package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/limiter"
)

func ask(id uint64, rank uint32, hold time.Duration) limiter.Request {
	return limiter.Request{ID: id, Deadline: at(time.Minute), Rank: rank, MaxWait: hold}
}

func TestRanks(t *testing.T) {
	t.Run("MoreUrgentStartsFirst", func(t *testing.T) {
		l := limiter.New(1, 8)
		require.Equal(t, limiter.Started, l.AdmitRanked(at(0), ask(1, 1, 0)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), ask(2, 2, 0)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), ask(3, 0, 0)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), ask(4, 2, 0)))
		order := make([]uint64, 0, 3)
		for range 3 {
			started, _ := l.Release(at(0))
			order = append(order, started...)
		}
		require.Equal(t, []uint64{3, 2, 4}, order)
	})
	t.Run("WaitLongerThanTheHoldIsRefusedAtOnce", func(t *testing.T) {
		l := limiter.New(1, 8)
		l.Observe(time.Second)
		require.Equal(t, limiter.Started, l.AdmitRanked(at(0), ask(1, 1, 0)))
		require.Equal(t, limiter.RefusedLate, l.AdmitRanked(at(0), ask(2, 1, 500*time.Millisecond)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), ask(3, 1, 2*time.Second)))
	})
	t.Run("MoreUrgentWorkThatKeepsComingCounts", func(t *testing.T) {
		l := limiter.New(1, 8)
		l.Observe(100 * time.Millisecond)
		now := time.Duration(0)
		for id := range uint64(100) {
			now += 105 * time.Millisecond
			require.Equal(t, limiter.Started, l.AdmitRanked(at(now), ask(id, 0, 0)))
			if id == 99 {
				break
			}
			l.Release(at(now + 100*time.Millisecond))
		}
		require.Equal(t, limiter.RefusedLate, l.AdmitRanked(at(now), ask(500, 2, 500*time.Millisecond)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(now), ask(501, 0, 500*time.Millisecond)))
	})
	t.Run("FreeMeansNoWait", func(t *testing.T) {
		l := limiter.New(1, 8)
		require.True(t, l.HasFreeSlot())
		l.AdmitRanked(at(0), ask(1, 0, 0))
		require.False(t, l.HasFreeSlot())
	})
}

// TestSlotsAreNeverExceeded draws admissions, releases and departures.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		l := limiter.New(slots, rapid.IntRange(0, 6).Draw(t, "queue"))
		running, queued := 0, map[uint64]bool{}
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				switch l.AdmitRanked(at(0), ask(id, rapid.Uint32Range(0, 9).Draw(t, "rank"), 0)) {
				case limiter.Started:
					running++
				case limiter.Queued:
					queued[id] = true
				default:
				}
			case 1:
				if running > 0 {
					started, refused := l.Release(at(0))
					running += len(started) - 1
					for _, ended := range append(started, refused...) {
						require.True(t, queued[ended])
						delete(queued, ended)
					}
				}
			default:
				for waiting := range queued {
					require.True(t, l.Remove(waiting))
					delete(queued, waiting)
					break
				}
			}
			require.Equal(t, running, l.InFlight())
			require.LessOrEqual(t, running, slots)
			require.Equal(t, len(queued), l.Waiting())
		}
	})
}

func TestUsual(t *testing.T) {
	u := limiter.NewTypicalTimes()
	for range 2 {
		u.Observe(1, 100*time.Millisecond)
	}
	require.Zero(t, u.Time(1), "two times are not usual yet")
	u.Observe(1, 400*time.Millisecond)
	require.Equal(t, 200*time.Millisecond, u.Time(1))
	require.Zero(t, u.Time(2))
}
