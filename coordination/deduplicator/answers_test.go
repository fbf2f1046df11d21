package deduplicator

import (
	"encoding/binary"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// TestExpiredAnswersLeaveNoRecord checks that answers which expire long before their
// total size reaches the limit are not kept.
func TestExpiredAnswersLeaveNoRecord(t *testing.T) {
	d := New(Limits{Attempts: 1000, Keys: 1000, AnswerBytes: 1 << 30, KeyLifetime: time.Second})
	now := clocker.Instant{Wall: time.Hour}
	for i := range 10_000 {
		now = now.Add(100 * time.Millisecond)
		var id AttemptID
		binary.BigEndian.PutUint64(id[:], uint64(i))
		key := strconv.Itoa(i % 5)
		if decision, _ := d.Begin(now, id, key, now.UnixMilli()); decision == DecisionRun {
			d.Finish(now, id, key, StateDone, 200, &Answer{Status: 200, Body: []byte("x")})
		}
	}
	require.LessOrEqual(t, d.answered.Len(), 5)
	require.Equal(t, d.answered.Len(), d.storedBytes)
}

func TestOnlyTheOwnerFreesItsKey(t *testing.T) {
	d := New(Limits{Attempts: 10, Keys: 10, AnswerBytes: 10, KeyLifetime: time.Hour})
	now := clocker.Instant{Wall: time.Hour}
	begin := func(id byte) Decision {
		decision, _ := d.Begin(now, AttemptID{id}, "k", now.UnixMilli())
		return decision
	}
	require.Equal(t, DecisionRun, begin(1))
	require.Equal(t, DecisionKeyRunning, begin(2))
	d.Withdraw(AttemptID{2}, "k")
	require.Equal(t, DecisionKeyRunning, begin(3))
	d.Withdraw(AttemptID{1}, "k")
	require.Equal(t, DecisionRun, begin(4))
}
