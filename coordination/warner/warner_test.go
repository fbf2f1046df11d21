package warner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
)

func at(d time.Duration) clocker.Instant { return clocker.Instant{Mono: d, Wall: d} }

func everyone(uint64) bool { return true }

func requireOne(t *testing.T, w *warner.Warner, now time.Duration, avoid, nonIdempotent time.Duration) {
	t.Helper()
	got := w.Current(at(now), everyone)
	require.Len(t, got, 1)
	require.Equal(t, avoid, got[0].Avoid)
	require.Equal(t, nonIdempotent, got[0].AvoidNonIdempotent)
}

func TestWarnings(t *testing.T) {
	t.Run("RunOut", func(t *testing.T) {
		failing, router := warner.New(1), warner.New(2)
		failing.SetOwn(at(0), time.Second, 2*time.Second)
		require.Len(t, router.Merge(at(0), failing.Current(at(0), everyone)), 1)
		requireOne(t, router, 1500*time.Millisecond, 0, 500*time.Millisecond)
		require.Empty(t, router.Current(at(2*time.Second), everyone))
	})
	t.Run("NothingWithoutReason", func(t *testing.T) {
		sound := warner.New(1)
		sound.SetOwn(at(0), 0, 0)
		require.Empty(t, sound.Current(at(0), everyone))
	})
	t.Run("RecoveryReplaces", func(t *testing.T) {
		failing, router := warner.New(1), warner.New(2)
		failing.SetOwn(at(0), time.Second, 2*time.Second)
		router.Merge(at(0), failing.Current(at(0), everyone))
		failing.SetOwn(at(100*time.Millisecond), 0, 0)
		adopted := router.Merge(at(100*time.Millisecond), failing.Current(at(100*time.Millisecond), everyone))
		require.Len(t, adopted, 1)
		requireOne(t, router, 100*time.Millisecond, 0, 0)
	})
	t.Run("OlderOnesAreIgnored", func(t *testing.T) {
		failing, router := warner.New(1), warner.New(2)
		failing.SetOwn(at(0), time.Second, 2*time.Second)
		late := failing.Current(at(0), everyone)
		failing.SetOwn(at(0), 0, 0)
		router.Merge(at(0), failing.Current(at(0), everyone))
		require.Empty(t, router.Merge(at(0), late))
	})
	t.Run("OwnServerIsNotWarnedAboutByOthers", func(t *testing.T) {
		sound := warner.New(1)
		require.Empty(t, sound.Merge(at(0), []warner.Warning{{Incarnation: 1, Sequence: 9, Avoid: time.Second}}))
	})
	t.Run("DamagedOnesAreBounded", func(t *testing.T) {
		router := warner.New(2)
		damaged := []warner.Warning{{Incarnation: 1, Avoid: time.Hour, AvoidNonIdempotent: -time.Hour}, {}}
		require.Len(t, router.Merge(at(0), damaged), 1)
		requireOne(t, router, 0, warner.MaxAvoidance, warner.MaxAvoidance)
	})
	t.Run("OnlyIncludedOnesAreSent", func(t *testing.T) {
		router := warner.New(9)
		router.Merge(at(0), []warner.Warning{{Incarnation: 1, Avoid: time.Second}, {Incarnation: 2, Avoid: time.Second}})
		got := router.Current(at(0), func(incarnation uint64) bool { return incarnation == 2 })
		require.Len(t, got, 1)
		require.EqualValues(t, 2, got[0].Incarnation)
	})
}

// TestWarningsEnd passes one warning around between processes over slow paths and
// checks that it is gone everywhere once its time is up.
func TestWarningsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lasting = time.Second
		count := rapid.IntRange(2, 20).Draw(t, "processes")
		delay := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(lasting/2)).Draw(t, "delay"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		processes := make([]*warner.Warner, count)
		for i := range processes {
			processes[i] = warner.New(uint64(i + 1))
		}
		processes[0].SetOwn(at(0), lasting, lasting)
		// Clocks are not compared, so each process may add the delay of one message.
		for now := time.Duration(0); now < lasting+time.Duration(count)*delay; now += delay {
			messages := make([][]warner.Warning, count)
			for i, process := range processes {
				messages[i] = process.Current(at(now), everyone)
			}
			for _, message := range messages {
				processes[random.IntN(count)].Merge(at(now+delay), message)
			}
		}
		now := lasting + time.Duration(count+1)*delay
		for _, process := range processes {
			require.Empty(t, process.Current(at(now), everyone))
		}
	})
}
