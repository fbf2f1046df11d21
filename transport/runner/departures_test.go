package runner

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
)

var errStore = errors.New("store is away")

// fakeSource keeps one departure. Its first calls fail or hang.
type fakeSource struct {
	era                    atomic.Uint64
	failures, hangs, calls atomic.Int64
	kept                   atomic.Pointer[enroller.Departure]
}

func (f *fakeSource) fail(ctx context.Context) error {
	f.calls.Add(1)
	switch {
	case f.hangs.Add(-1) >= 0:
		<-ctx.Done()
		return ctx.Err()
	case f.failures.Add(-1) >= 0:
		return errStore
	}
	return nil
}

func (f *fakeSource) record(ctx context.Context, departure enroller.Departure) (uint64, error) {
	if err := f.fail(ctx); err != nil {
		return 0, err
	}
	f.kept.Store(&departure)
	return f.era.Load(), nil
}

func (f *fakeSource) recall(ctx context.Context) (enroller.Departure, uint64, error) {
	if err := f.fail(ctx); err != nil {
		return enroller.Departure{}, 0, err
	}
	if kept := f.kept.Load(); kept != nil {
		return *kept, f.era.Load(), nil
	}
	return enroller.Departure{}, f.era.Load(), nil
}

// startDepartures runs departures and returns them with a channel of what was recalled.
func startDepartures(t *testing.T, source *fakeSource, needless func() bool) (*departures, <-chan enroller.Departure) {
	t.Helper()
	d := newDepartures(source.record, source.recall, slog.New(slog.DiscardHandler))
	recalled := make(chan enroller.Departure, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.run(ctx, func(departure enroller.Departure, _ uint64) enroller.Departure {
			recalled <- departure
			return departure
		}, needless)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return d, recalled
}

// keep makes the source keep a departure and waits for that.
func keep(d *departures, departure enroller.Departure) error {
	d.keep(departure)
	return d.await(departure)
}

func never() bool { return false }

func TestDepartures(t *testing.T) {
	first := enroller.Departure{ID: "a", StartedMs: 1, LeftMs: 2}
	second := enroller.Departure{ID: "b", StartedMs: 3, LeftMs: 4}
	t.Run("KeptBeforeAwaitReturns", func(t *testing.T) {
		source := &fakeSource{}
		d, recalled := startDepartures(t, source, never)
		require.Empty(t, <-recalled)
		require.NoError(t, keep(d, first))
		require.Equal(t, first, *source.kept.Load())
		require.NoError(t, keep(d, second))
		require.Equal(t, second, *source.kept.Load())
	})
	t.Run("WrittenOnce", func(t *testing.T) {
		source := &fakeSource{}
		source.kept.Store(&first)
		d, recalled := startDepartures(t, source, never)
		require.Equal(t, first, <-recalled)
		for range 3 {
			require.NoError(t, keep(d, first))
		}
		require.EqualValues(t, 1, source.calls.Load())
	})
	t.Run("NotAcknowledgedWhileTheStoreIsAway", func(t *testing.T) {
		source := &fakeSource{}
		d, recalled := startDepartures(t, source, never)
		<-recalled
		source.failures.Store(1 << 30)
		require.ErrorIs(t, keep(d, first), errDepartureNotKept)
		source.failures.Store(0)
		require.Eventually(t, func() bool { return keep(d, first) == nil }, 5*time.Second, time.Millisecond)
	})
	t.Run("AnEarlierOneDoesNotReplaceTheRecalledOne", func(t *testing.T) {
		source := &fakeSource{}
		source.failures.Store(2)
		source.kept.Store(&second)
		d, recalled := startDepartures(t, source, never)
		d.keep(first)
		require.Equal(t, second, <-recalled)
		require.NoError(t, keep(d, second))
		require.Equal(t, second, *source.kept.Load())
		require.EqualValues(t, 3, source.calls.Load(), "two failed reads and one that succeeds")
	})
	t.Run("WrittenAgainInALaterEra", func(t *testing.T) {
		source := &fakeSource{}
		source.era.Store(1)
		d, recalled := startDepartures(t, source, never)
		<-recalled
		require.NoError(t, keep(d, first))
		source.kept.Store(nil)
		source.era.Store(2)
		d.setEra(1)
		d.setEra(2)
		require.NoError(t, d.await(first))
		require.Equal(t, first, *source.kept.Load())
		require.EqualValues(t, 3, source.calls.Load(), "a read and two writes")
	})
	t.Run("NothingIsWrittenWithoutADeparture", func(t *testing.T) {
		source := &fakeSource{}
		source.era.Store(1)
		d, recalled := startDepartures(t, source, never)
		<-recalled
		source.era.Store(2)
		d.setEra(2)
		require.NoError(t, keep(d, first))
		require.EqualValues(t, 2, source.calls.Load(), "a read and a write")
	})
	t.Run("NoDepartureIsNotWritten", func(t *testing.T) {
		source := &fakeSource{}
		source.kept.Store(&first)
		d, recalled := startDepartures(t, source, never)
		d.keep(enroller.Departure{})
		require.Equal(t, first, <-recalled)
		require.NoError(t, keep(d, first))
		require.Equal(t, first, *source.kept.Load())
	})
	t.Run("WrittenOnceTheRecallIsNeedless", func(t *testing.T) {
		source := &fakeSource{}
		source.failures.Store(1)
		d, _ := startDepartures(t, source, func() bool { return true })
		require.Eventually(t, func() bool { return keep(d, first) == nil }, 5*time.Second, time.Millisecond)
	})
	t.Run("SilentStore", func(t *testing.T) {
		source := &fakeSource{}
		d, recalled := startDepartures(t, source, never)
		<-recalled
		source.hangs.Store(1)
		began := time.Now()
		require.Eventually(t, func() bool { return keep(d, first) == nil }, 10*time.Second, time.Millisecond)
		require.Less(t, time.Since(began), 4*time.Second, "the shortest bound on an acknowledgement")
	})
}
