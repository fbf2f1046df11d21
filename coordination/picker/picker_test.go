package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// pool returns the servers with incarnations 1 to size, spread over three zones.
func pool(size int) *tracker.Pool {
	p := &tracker.Pool{Aggregate: tracker.New(0, 0, 0)}
	for i := range size {
		p.Entries = append(p.Entries, tracker.Entry{
			Member: registrar.Member{
				Incarnation: uint64(i + 1), Zone: fmt.Sprint(i % 3), Slots: 2, State: registrar.StateServing,
			},
			Server: tracker.New(uint64(i+1), 0, 0),
		})
	}
	p.Aggregate.RecordLatency(20 * time.Millisecond)
	return p
}

func query(random uint64) picker.Query {
	return picker.Query{Self: 1, Zone: "0", Now: time.Minute, Random: random, Idempotent: true}
}

// requireChoices asserts that all picks without exploration give one reason, and
// counts the picks of each server.
func requireChoices(t *testing.T, p *tracker.Pool, want picker.Reason, change func(picker.Query) picker.Query) map[uint64]int {
	t.Helper()
	chosen := map[uint64]int{}
	for random := range uint64(300) {
		if random%16 == 0 {
			continue
		}
		entry, reason := picker.Pick(p, change(query(random*0x9E3779B97F4A7C15|1)))
		require.Equal(t, want.String(), reason.String())
		chosen[entry.Member.Incarnation]++
	}
	return chosen
}

func unchanged(q picker.Query) picker.Query { return q }

// fill takes all slots of the given servers.
func fill(p *tracker.Pool, servers ...uint64) {
	for _, entry := range p.Entries {
		for _, server := range servers {
			if entry.Member.Incarnation == server {
				entry.Server.Begin(1)
				entry.Server.Begin(1)
			}
		}
	}
}

func TestPick(t *testing.T) {
	t.Run("OwnServerFirst", func(t *testing.T) {
		requireChoices(t, pool(6), picker.ReasonLocal, unchanged)
	})
	t.Run("OwnZoneNext", func(t *testing.T) {
		p := pool(9)
		fill(p, 1)
		chosen := requireChoices(t, p, picker.ReasonZone, unchanged)
		require.Len(t, chosen, 2)
	})
	t.Run("SpillsWhenOwnZoneIsFull", func(t *testing.T) {
		p := pool(6)
		fill(p, 1, 4)
		chosen := requireChoices(t, p, picker.ReasonSpill, unchanged)
		require.Len(t, chosen, 4)
	})
	t.Run("BusyWhenAllAreFull", func(t *testing.T) {
		p := pool(3)
		fill(p, 1, 2, 3)
		requireChoices(t, p, picker.ReasonBusy, unchanged)
	})
	t.Run("SlowServerIsLeft", func(t *testing.T) {
		p := pool(3)
		p.Entries[0].Server.RecordLatency(time.Second)
		chosen := requireChoices(t, p, picker.ReasonSpill, unchanged)
		require.NotContains(t, chosen, uint64(1))
	})
	t.Run("TriedServerIsLeft", func(t *testing.T) {
		requireChoices(t, pool(2), picker.ReasonSpill, func(q picker.Query) picker.Query { return q.WithTried(1) })
	})
	t.Run("FailingPathIsLast", func(t *testing.T) {
		p := pool(1)
		p.Entries[0].Server.RecordFailure(time.Minute)
		p.Entries[0].Server.RecordFailure(time.Minute)
		requireChoices(t, p, picker.ReasonAvoided, unchanged)
	})
	t.Run("EjectedServerIsNeverChosen", func(t *testing.T) {
		p := pool(1)
		p.Entries[0].Member.State = registrar.StateEjected
		requireChoices(t, p, picker.ReasonNone, unchanged)
	})
}

func TestPickDoesNotAllocate(t *testing.T) {
	p := pool(37)
	fill(p, 1)
	random := uint64(1)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		random++
		picker.Pick(p, query(random))
	}))
}

// BenchmarkPick measures one choice at several pool sizes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{6, 37, 370} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			p := pool(size)
			fill(p, 1)
			b.ReportAllocs()
			for i := range b.N {
				picker.Pick(p, query(uint64(i)*0x9E3779B97F4A7C15))
			}
		})
	}
}

func TestWarnings(t *testing.T) {
	const at = time.Minute
	// Servers 1, 4 and 7 are in the zone of the query.
	warned := pool(9)
	warned.Entries[3].Server.RecordWarning(at, time.Second, 2*time.Second)
	chosen := func(now time.Duration, idempotent bool) map[uint64]int {
		return requireChoices(t, warned, picker.ReasonZone, func(q picker.Query) picker.Query {
			q.Now, q.Idempotent = now, idempotent
			return q.WithTried(1)
		})
	}
	t.Run("AllRequestsAvoidTheServer", func(t *testing.T) {
		require.Zero(t, chosen(at, true)[4])
		require.Zero(t, chosen(at, false)[4])
	})
	t.Run("NonIdempotentOnesAvoidItForLonger", func(t *testing.T) {
		now := at + 1500*time.Millisecond
		require.Positive(t, chosen(now, true)[4])
		require.Zero(t, chosen(now, false)[4])
	})
	t.Run("RecoveryEndsIt", func(t *testing.T) {
		warned.Entries[3].Server.RecordWarning(at, 0, 0)
		require.Positive(t, chosen(at, false)[4])
	})
}
