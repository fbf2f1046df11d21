package claimer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
)

func TestBoundKeys(t *testing.T) {
	key := claimer.BoundKey{Guard: 1<<63 + 7, IssuedMs: 1796374603123, Random: 42}
	t.Run("RoundTrip", func(t *testing.T) {
		require.True(t, claimer.IsBound(key.String()))
		parsed, err := claimer.ParseBound(key.String())
		require.NoError(t, err)
		require.Equal(t, key, parsed)
	})
	for _, malformed := range []string{"", "fh1.", "fh1.1.2", "fh1.x.2.3", "fh1.1.2.3.4", "fh2.1.2.3"} {
		t.Run("Malformed"+malformed, func(t *testing.T) {
			_, err := claimer.ParseBound(malformed)
			require.ErrorIs(t, err, claimer.ErrKeyMalformed)
		})
	}
}

func TestKeyTime(t *testing.T) {
	t.Run("UUIDv7", func(t *testing.T) {
		at, err := claimer.KeyTime("01a24046-623c-743b-9ded-e4781f43d335", "")
		require.NoError(t, err)
		require.Equal(t, int64(0x01a24046623c), at)
	})
	t.Run("Given", func(t *testing.T) {
		at, err := claimer.KeyTime("any", "1796374603123")
		require.NoError(t, err)
		require.Equal(t, int64(1796374603123), at)
	})
	t.Run("None", func(t *testing.T) {
		_, err := claimer.KeyTime("any", "")
		require.ErrorIs(t, err, claimer.ErrKeyTimeMissing)
	})
	t.Run("Malformed", func(t *testing.T) {
		for _, value := range []string{"yesterday", "-5", "0", "1e400"} {
			_, err := claimer.KeyTime("any", value)
			require.ErrorIs(t, err, claimer.ErrKeyTimeInvalid)
		}
	})
	t.Run("TooOld", func(t *testing.T) {
		require.ErrorIs(t, claimer.CheckAge(100000, 1, time.Minute), claimer.ErrKeyExpired)
	})
	t.Run("FromTheFuture", func(t *testing.T) {
		require.ErrorIs(t, claimer.CheckAge(1, 100000, time.Minute), claimer.ErrKeyInFuture)
	})
}

func TestLedger(t *testing.T) {
	bind := func(guard uint64) claimer.Record {
		return claimer.Record{Claims: []claimer.Claim{{Key: "k", Guard: guard}}}
	}
	closing := func(guard uint64, ran ...claimer.RanKey) claimer.Record {
		return claimer.Record{Closure: &claimer.Closure{Guard: guard, Ran: ran}}
	}
	requireBinding := func(t *testing.T, want claimer.Binding, records ...claimer.Record) {
		t.Helper()
		ledger := claimer.New()
		for offset, record := range records {
			ledger.Apply(int64(offset), 10, record)
		}
		require.Equal(t, want, ledger.Binding("k"))
	}
	t.Run("FirstClaimWins", func(t *testing.T) {
		requireBinding(t, claimer.Binding{State: claimer.StateBound, Guard: 1}, bind(1), bind(2))
	})
	t.Run("RanBeforeStop", func(t *testing.T) {
		requireBinding(t, claimer.Binding{State: claimer.StateRan, Guard: 1, Status: 200, Known: true},
			bind(1), closing(1, claimer.RanKey{Key: "k", Status: 200, Known: true}), bind(2))
	})
	t.Run("NeverRanIsBoundAgain", func(t *testing.T) {
		requireBinding(t, claimer.Binding{State: claimer.StateBound, Guard: 2}, bind(1), closing(1), bind(2))
	})
	t.Run("ClaimForAGuardThatLeftIsVoid", func(t *testing.T) {
		requireBinding(t, claimer.Binding{State: claimer.StateUnclaimed}, closing(1), bind(1))
	})
}
