package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/limiter"
)

func request(id uint64, rank uint32, maxWait time.Duration) limiter.Request {
	return limiter.Request{ID: id, Deadline: at(time.Minute), Rank: rank, MaxWait: maxWait}
}

func TestRanks(t *testing.T) {
	t.Run("MoreUrgentStartsFirst", func(t *testing.T) {
		l := limiter.New(1, 8)
		require.Equal(t, limiter.Started, l.AdmitRanked(at(0), request(1, 1, 0)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), request(2, 2, 0)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), request(3, 0, 0)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), request(4, 2, 0)))
		order := make([]uint64, 0, 3)
		for range 3 {
			started, _ := l.Release(at(0))
			order = append(order, started...)
		}
		require.Equal(t, []uint64{3, 2, 4}, order)
	})
	t.Run("WaitLongerThanMaxWaitIsRefusedAtOnce", func(t *testing.T) {
		l := limiter.New(1, 8)
		l.Observe(time.Second)
		require.Equal(t, limiter.Started, l.AdmitRanked(at(0), request(1, 1, 0)))
		require.Equal(t, limiter.RefusedLate, l.AdmitRanked(at(0), request(2, 1, 500*time.Millisecond)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(0), request(3, 1, 2*time.Second)))
	})
	t.Run("MoreUrgentWorkThatKeepsComingCounts", func(t *testing.T) {
		l := limiter.New(1, 8)
		l.Observe(100 * time.Millisecond)
		now := time.Duration(0)
		for id := range uint64(100) {
			now += 105 * time.Millisecond
			require.Equal(t, limiter.Started, l.AdmitRanked(at(now), request(id, 0, 0)))
			if id == 99 {
				break
			}
			l.Release(at(now + 100*time.Millisecond))
		}
		require.Equal(t, limiter.RefusedLate, l.AdmitRanked(at(now), request(500, 2, 500*time.Millisecond)))
		require.Equal(t, limiter.Queued, l.AdmitRanked(at(now), request(501, 0, 500*time.Millisecond)))
	})
	t.Run("FreeMeansNoWait", func(t *testing.T) {
		l := limiter.New(1, 8)
		require.True(t, l.HasFreeSlot())
		l.AdmitRanked(at(0), request(1, 0, 0))
		require.False(t, l.HasFreeSlot())
	})
}

// TestSlotsAreNeverExceeded generates admissions, releases and removals, and
// checks that no more requests run than there are slots.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		l := limiter.New(slots, rapid.IntRange(0, 6).Draw(t, "queue"))
		running, queued := 0, map[uint64]bool{}
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				switch l.AdmitRanked(at(0), request(id, rapid.Uint32Range(0, 9).Draw(t, "rank"), 0)) {
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

func TestTypicalTimes(t *testing.T) {
	times := limiter.NewTypicalTimes()
	for range 2 {
		times.Observe(1, 100*time.Millisecond)
	}
	require.Zero(t, times.Time(1), "two samples are too few")
	times.Observe(1, 400*time.Millisecond)
	require.Equal(t, 200*time.Millisecond, times.Time(1))
	require.Zero(t, times.Time(2))
}
