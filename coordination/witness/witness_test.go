package witness_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
)

const (
	address = "10.1.0.8:8301"
	epoch   = 1_700_000_000_000
	// first, second and third are the incarnations of processes beside one server, in order.
	first, second, third = uint64(11), uint64(12), uint64(13)
)

var left = enroller.Departure{ID: "a", StartedMs: epoch, LeftMs: epoch + 2000}

func at(after time.Duration) clocker.Instant {
	return clocker.Instant{Mono: after, Wall: epoch*time.Millisecond + after}
}

func requireTold(t *testing.T, m witness.Memory, incarnation uint64, want enroller.Departure) {
	t.Helper()
	require.Equal(t, want, m.UnknownTo(incarnation, at(3*time.Second)).Departure)
}

// TestSuccessorsAreToldOfDepartures guards against a process that succeeds a killed one and does
// not learn that its server left, though the process that passed the answer on knows it.
func TestSuccessorsAreToldOfDepartures(t *testing.T) {
	heard := witness.Memory{}.WithDeparture(left, first, at(2*time.Second))
	told := witness.Statement{Departure: left}
	none := enroller.Departure{}
	t.Run("NothingHeard", func(t *testing.T) {
		requireTold(t, witness.Memory{}, first, none)
		require.True(t, witness.Memory{}.Empty(at(0)))
	})
	t.Run("NotTheProcessThatSaidIt", func(t *testing.T) {
		requireTold(t, heard, first, none)
		requireTold(t, heard, second, left)
	})
	t.Run("UntilItIsTold", func(t *testing.T) {
		requireTold(t, heard.WithTold(told, second), second, none)
	})
	t.Run("EachOneAfterTheOther", func(t *testing.T) {
		requireTold(t, heard.WithTold(told, second), third, left)
	})
	t.Run("AnEarlierIncarnation", func(t *testing.T) {
		// The clock of the VM was set back between the two.
		requireTold(t, heard, first-1, left)
	})
	t.Run("ToldOfAnotherRun", func(t *testing.T) {
		other := witness.Statement{Departure: enroller.Departure{ID: "b", StartedMs: epoch}}
		requireTold(t, heard.WithTold(other, second), second, left)
		requireTold(t, heard.WithTold(witness.Statement{}, second), second, left)
	})
	t.Run("SaidAgainByTheSuccessor", func(t *testing.T) {
		again := left
		again.LeftMs += 500
		m := heard.WithDeparture(again, second, at(3*time.Second))
		requireTold(t, m, second, none)
		requireTold(t, m, third, left)
	})
	t.Run("ALaterRun", func(t *testing.T) {
		later := enroller.Departure{ID: "b", StartedMs: epoch + 3000, LeftMs: epoch + 4000}
		requireTold(t, heard.WithDeparture(later, first, at(5*time.Second)), second, later)
	})
	t.Run("AnEarlierRun", func(t *testing.T) {
		earlier := enroller.Departure{ID: "z", StartedMs: epoch - 3000, LeftMs: epoch + 4000}
		requireTold(t, heard.WithDeparture(earlier, second, at(5*time.Second)), second, left)
		requireTold(t, heard.WithDeparture(none, second, at(5*time.Second)), second, left)
	})
	t.Run("TheTimeOfDayJumps", func(t *testing.T) {
		now := clocker.Instant{Mono: 3 * time.Second, Wall: 2 * epoch * time.Millisecond}
		require.Equal(t, left, heard.UnknownTo(second, now).Departure)
	})
	t.Run("UntilItExpires", func(t *testing.T) {
		require.False(t, heard.Empty(at(time.Minute)))
		require.True(t, heard.Empty(at(time.Hour)))
		require.True(t, heard.UnknownTo(second, at(time.Hour)).Empty())
	})
}

// TestSuccessorsAreToldOfLimits guards against a process that succeeds a killed one and gives its
// server far more requests than the limit that it named.
func TestSuccessorsAreToldOfLimits(t *testing.T) {
	limit := witness.Limit{ID: "a", StartedMs: epoch, PerSecond: 2}
	heard := witness.Memory{}.WithLimit(limit, first, at(2*time.Second))
	requireTold := func(t *testing.T, m witness.Memory, incarnation uint64, want witness.Limit) {
		t.Helper()
		require.Equal(t, want, m.UnknownTo(incarnation, at(3*time.Second)).Limit)
	}
	t.Run("EachOneUntilItIsTold", func(t *testing.T) {
		told := heard.WithTold(witness.Statement{Limit: limit}, second)
		requireTold(t, heard, first, witness.Limit{})
		requireTold(t, heard, second, limit)
		requireTold(t, told, second, witness.Limit{})
		requireTold(t, told, third, limit)
	})
	t.Run("ChangedMeanwhile", func(t *testing.T) {
		changed := limit
		changed.PerSecond = 1
		m := heard.WithLimit(changed, first, at(3*time.Second)).WithTold(witness.Statement{Limit: limit}, second)
		requireTold(t, m, second, changed)
	})
	t.Run("Lifted", func(t *testing.T) {
		m := heard.WithLimit(witness.Limit{}, second, at(3*time.Second))
		requireTold(t, m, third, witness.Limit{})
		require.True(t, m.Empty(at(3*time.Second)))
	})
	t.Run("BesideADeparture", func(t *testing.T) {
		m := heard.WithDeparture(left, second, at(3*time.Second))
		require.Equal(t, witness.Statement{Limit: limit}, m.UnknownTo(second, at(3*time.Second)))
		require.Equal(t, witness.Statement{Departure: left}, m.UnknownTo(first, at(3*time.Second)))
		require.Equal(t, witness.Statement{Departure: left, Limit: limit}, m.UnknownTo(third, at(3*time.Second)))
		require.Equal(t, left, m.WithLimit(witness.Limit{}, second, at(3*time.Second)).UnknownTo(third, at(3*time.Second)).Departure)
	})
	t.Run("UntilItExpires", func(t *testing.T) {
		require.Equal(t, limit, heard.UnknownTo(second, at(20*time.Second)).Limit)
		require.True(t, heard.Empty(at(time.Minute)))
	})
}

// TestWitnessesOutliveTheStore plays kills of the process beside a server, late announcements
// and the server's next run in any order while the store keeps nothing. Once an answer has
// said that a run leaves, a request that carries what its sender knows finds the run in service
// at none of the successors.
func TestWitnessesOutliveTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		incarnation, memory := first, witness.Memory{}
		process := settled()
		said := map[string]bool{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := at(time.Duration(step) * 100 * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				incarnation++
				process = settled()
			case 1:
				run := rapid.IntRange(0, 1).Draw(t, "run")
				process, _ = process.WithAnnouncement(announcement(run, uint64(step), now))
			case 2: // The request of a witness arrives first with what the process is to know.
				told := memory.UnknownTo(incarnation, now)
				process, _ = process.WithLeft(told.Departure, now)
				memory = memory.WithTold(told, incarnation)
				if run := process.Latest(); run.ID != "" && !run.Leaving {
					require.False(t, said[run.ID], "a request reaches run %s, which said that it leaves", run.ID)
				}
			default: // An answer of the run in service says that it leaves.
				if run := process.Latest(); run.ID != "" && !run.Leaving {
					process, _ = process.WithLeavingAnswer(run.ID, run.StartedMs, now)
					memory = memory.WithDeparture(process.Departure(), incarnation, now)
					said[run.ID] = true
				}
			}
		}
	})
}

// settled returns the enroller of a process that starts beside a store without departures.
func settled() enroller.Enroller {
	e, _ := enroller.New(address, at(0)).WithDeparture(enroller.Departure{}, at(0))
	return e
}

// announcement returns one of the server's first or second run.
func announcement(run int, sequence uint64, now clocker.Instant) enroller.Announcement {
	return enroller.Announcement{
		ID: string(rune('a' + run)), Address: address, Service: "billing", Slots: 4,
		StartedMs: epoch + int64(run), Sequence: sequence, ReceivedAt: now,
	}
}
