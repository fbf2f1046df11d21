package pacer_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/pacer"
)

func at(passed time.Duration) clocker.Instant { return clocker.Instant{Mono: passed, Wall: passed} }

// TestServersGetNoMoreThanTheirLimit guards against a server that gets far more requests
// than the limit it named, under any load and while the limit changes.
func TestServersGetNoMoreThanTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			step   = 10 * time.Millisecond
			steps  = 2000
			window = 4 * time.Second
			factor = 1.5
			slack  = 5
		)
		limits := rapid.SliceOfN(rapid.Float64Range(0, 50), 1, 5).Draw(t, "limits")
		pace := &pacer.Pacer{}
		var got, allowed [steps]float64
		for i := range steps {
			now := at(time.Duration(i) * step)
			limit := limits[i*len(limits)/steps]
			pace.SetLimit(now, limit)
			for range rapid.IntRange(0, 3).Draw(t, "offered") {
				if pace.Take(now) {
					got[i]++
				}
			}
			allowed[i] = limit * step.Seconds()
		}
		const width = int(window / step)
		for from := 0; from+width <= steps; from++ {
			var sum, most float64
			for i := from; i < from+width; i++ {
				sum += got[i]
				most += allowed[i]
			}
			require.LessOrEqual(t, sum, factor*most+slack, "window from step %d", from)
		}
	})
}

// TestRecalledLimits guards against a limit that a restart forgets, and against one of an earlier
// process that outlasts what the server has shown since.
func TestRecalledLimits(t *testing.T) {
	requireLimit := func(t *testing.T, pace *pacer.Pacer, want float64) {
		t.Helper()
		require.InDelta(t, want, pace.Limit(), 0)
	}
	t.Run("FromTheFirstRequestOn", func(t *testing.T) {
		pace := &pacer.Pacer{}
		require.True(t, pace.Recall(at(time.Hour), 2))
		require.False(t, pace.Take(at(time.Hour)))
		require.True(t, pace.Take(at(time.Hour+time.Second)))
	})
	t.Run("TheLowestOfSeveral", func(t *testing.T) {
		pace := &pacer.Pacer{}
		require.True(t, pace.Recall(at(0), 3))
		require.True(t, pace.Recall(at(0), 2))
		require.False(t, pace.Recall(at(0), 4))
		requireLimit(t, pace, 2)
	})
	t.Run("NotAfterAnAnswer", func(t *testing.T) {
		pace := &pacer.Pacer{}
		pace.Recall(at(0), 2)
		require.True(t, pace.SetLimit(at(time.Second), 5))
		require.False(t, pace.Recall(at(time.Second), 1))
		requireLimit(t, pace, 5)
		require.True(t, pace.Lift())
		require.False(t, pace.Recall(at(time.Second), 1))
		requireLimit(t, pace, 0)
	})
	t.Run("NotAfterAnAnswerThatNamesTheSame", func(t *testing.T) {
		pace := &pacer.Pacer{}
		pace.Recall(at(0), 2)
		require.False(t, pace.SetLimit(at(time.Second), 2))
		require.False(t, pace.Recall(at(time.Second), 1))
	})
	t.Run("NoRate", func(t *testing.T) {
		pace := &pacer.Pacer{}
		for _, odd := range []float64{math.NaN(), math.Inf(1), -1} {
			require.False(t, pace.Recall(at(0), odd))
		}
		requireLimit(t, pace, 0)
	})
}

func TestPacer(t *testing.T) {
	t.Run("NoLimit", func(t *testing.T) {
		pace := &pacer.Pacer{}
		for range 1000 {
			require.True(t, pace.Take(at(0)))
		}
		require.Zero(t, pace.Wait(at(0)))
	})
	t.Run("TheWholeLimitIsUsed", func(t *testing.T) {
		pace, taken := &pacer.Pacer{}, 0
		pace.SetLimit(at(0), 4.8)
		for i := range 1000 {
			if pace.Take(at(time.Duration(i) * 10 * time.Millisecond)) {
				taken++
			}
		}
		require.InDelta(t, 48, taken, 1)
	})
	t.Run("ReturnedRequestsAreNotCounted", func(t *testing.T) {
		pace := &pacer.Pacer{}
		pace.SetLimit(at(0), 1)
		require.True(t, pace.Take(at(time.Second)))
		require.False(t, pace.Take(at(time.Second)))
		require.Positive(t, pace.Wait(at(time.Second)))
		pace.Return()
		require.True(t, pace.Take(at(time.Second)))
	})
	t.Run("ZeroStillLetsTheLimitBeLifted", func(t *testing.T) {
		pace := &pacer.Pacer{}
		require.True(t, pace.SetLimit(at(0), 0))
		require.False(t, pace.Take(at(0)))
		require.True(t, pace.Take(at(5*time.Second)))
		require.True(t, pace.Lift())
		require.False(t, pace.Lift())
		require.True(t, pace.Take(at(5*time.Second)))
		require.True(t, pace.Take(at(5*time.Second)))
	})
	t.Run("NumbersThatAreNoRate", func(t *testing.T) {
		pace := &pacer.Pacer{}
		pace.SetLimit(at(0), 2)
		for _, odd := range []float64{math.NaN(), math.Inf(1), -1} {
			require.False(t, pace.SetLimit(at(0), odd))
			require.InDelta(t, 2, pace.Limit(), 0)
		}
	})
}
