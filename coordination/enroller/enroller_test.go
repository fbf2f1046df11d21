package enroller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
)

const (
	address = "10.1.0.8:8301"
	epoch   = 1_700_000_000_000
)

func at(after time.Duration) clocker.Instant {
	return clocker.Instant{Mono: after, Wall: epoch*time.Millisecond + after}
}

func ready(id string, started int64, sequence uint64) enroller.Announcement {
	return enroller.Announcement{
		ID: id, Address: address, Service: "billing", Slots: 4, StartedMs: epoch + started, Sequence: sequence,
		ReceivedAt: at(time.Second),
	}
}

func leaving(announcement enroller.Announcement) enroller.Announcement {
	announcement.Leaving = true
	return announcement
}

// settled returns the enroller of a process that knows that no run left before it.
func settled() enroller.Enroller {
	e, _ := enroller.New(address, at(0)).WithDeparture(enroller.Departure{}, at(0))
	return e
}

// leaveNotice returns the leave notice of server a, received two seconds after
// the epoch, without the start time of its run.
func leaveNotice() enroller.Announcement {
	return enroller.Announcement{ID: "a", Leaving: true, ReceivedAt: at(2 * time.Second)}
}

// requireVerdicts passes announcements to an enroller in order.
func requireVerdicts(t *testing.T, announcements []enroller.Announcement, want ...enroller.Verdict) {
	t.Helper()
	requireVerdictsFrom(t, settled(), announcements, want...)
}

func requireVerdictsFrom(t *testing.T, e enroller.Enroller, announcements []enroller.Announcement, want ...enroller.Verdict) {
	t.Helper()
	for i, announcement := range announcements {
		var verdict enroller.Verdict
		e, verdict = e.WithAnnouncement(announcement)
		require.Equal(t, want[i].String(), verdict.String(), "announcement %d", i)
	}
}

func TestEnroller(t *testing.T) {
	const (
		announced = enroller.VerdictAnnounced
		retired   = enroller.VerdictRetired
		foreign   = enroller.VerdictForeign
		stale     = enroller.VerdictStale
	)
	t.Run("ImplausibleOnesAreForeign", func(t *testing.T) {
		const hour = 3_600_000
		requireVerdicts(t, []enroller.Announcement{
			ready("a", 0, 1), ready("x", 2*hour, 1), ready("x", -2*epoch, 1), ready("a", 0, 1<<60), ready("a", 0, 2),
		}, announced, foreign, foreign, foreign, announced)
	})
	t.Run("RenewalRisesInSequence", func(t *testing.T) {
		requireVerdicts(t, []enroller.Announcement{ready("a", 0, 1), ready("a", 0, 2), ready("a", 0, 2)}, announced, announced, stale)
	})
	t.Run("LateAnnouncementAfterDrainingIsStale", func(t *testing.T) {
		requireVerdicts(t, []enroller.Announcement{
			ready("a", 0, 1), leaving(ready("a", 0, 5)), ready("a", 0, 4),
		}, announced, retired, stale)
	})
	t.Run("LaterSequenceDoesNotReviveADrainingRun", func(t *testing.T) {
		requireVerdicts(t, []enroller.Announcement{leaving(ready("a", 0, 5)), ready("a", 0, 6)}, retired, stale)
	})
	t.Run("NewRunUnderTheSameID", func(t *testing.T) {
		requireVerdicts(t, []enroller.Announcement{ready("a", 0, 9), ready("a", 10, 1), ready("a", 0, 10)}, announced, announced, stale)
	})
	t.Run("EarlierRunUnderAnotherIDIsStale", func(t *testing.T) {
		requireVerdicts(t, []enroller.Announcement{ready("b", 10, 1), ready("a", 0, 50)}, announced, stale)
	})
	t.Run("LeaveNoticeOfAnEarlierRunIsStale", func(t *testing.T) {
		requireVerdicts(t, []enroller.Announcement{ready("b", 10, 1), leaveNotice()}, announced, stale)
	})
	t.Run("OtherAddressIsForeign", func(t *testing.T) {
		other := ready("a", 0, 1)
		other.Address = "10.1.0.9:8301"
		requireVerdicts(t, []enroller.Announcement{other}, foreign)
	})
	t.Run("LateAnnouncementAfterALeaveNoticeToANewProcessIsStale", func(t *testing.T) {
		late := ready("a", 0, 7)
		late.ReceivedAt = at(4 * time.Second)
		requireVerdicts(t, []enroller.Announcement{leaveNotice(), late}, retired, stale)
	})
	t.Run("RunThatStartedAfterTheLeaveNoticeIsAnnounced", func(t *testing.T) {
		fresh := ready("a", 3000, 1)
		fresh.ReceivedAt = at(4 * time.Second)
		requireVerdicts(t, []enroller.Announcement{leaveNotice(), fresh}, retired, announced)
	})
	t.Run("FastClockDelaysARunOnlyUntilMaxDelay", func(t *testing.T) {
		fresh := ready("a", 1000, 1)
		fresh.ReceivedAt = at(11 * time.Second)
		requireVerdicts(t, []enroller.Announcement{leaveNotice(), fresh}, retired, announced)
	})
}

// TestLeavingAnswersRetireTheirRun guards against new work for a server that says in its
// answers that it leaves, but whose announcement of that is late or never comes.
func TestLeavingAnswersRetireTheirRun(t *testing.T) {
	announce := func(t *testing.T, e enroller.Enroller, next enroller.Announcement, want enroller.Verdict) enroller.Enroller {
		t.Helper()
		e, verdict := e.WithAnnouncement(next)
		require.Equal(t, want.String(), verdict.String())
		return e
	}
	t.Run("LaterReadyOnesAreStale", func(t *testing.T) {
		e := announce(t, settled(), ready("a", 0, 1), enroller.VerdictAnnounced)
		e, verdict := e.WithLeavingAnswer("a", epoch, at(2*time.Second))
		require.Equal(t, enroller.VerdictRetired, verdict)
		_, verdict = e.WithLeavingAnswer("a", epoch, at(2*time.Second))
		require.Equal(t, enroller.VerdictStale, verdict)
		e = announce(t, e, ready("a", 0, 2), enroller.VerdictStale)
		e = announce(t, e, leaving(ready("a", 0, 3)), enroller.VerdictRetired)
		announce(t, e, leaveNotice(), enroller.VerdictRetired)
	})
	t.Run("TheNextRunIsAnnounced", func(t *testing.T) {
		e := announce(t, settled(), ready("a", 0, 1), enroller.VerdictAnnounced)
		e, _ = e.WithLeavingAnswer("a", epoch, at(2*time.Second))
		e = announce(t, e, ready("a", 500, 1), enroller.VerdictAnnounced)
		_, verdict := e.WithLeavingAnswer("a", epoch, at(2*time.Second))
		require.Equal(t, enroller.VerdictStale, verdict, "an answer of the run before, which had the same ID")
	})
}

// TestLeavesOfUnknownRunsAreKept guards against a leave that is dropped since the process that
// learns it does not know the run, as after a restart, or knows a later one.
func TestLeavesOfUnknownRunsAreKept(t *testing.T) {
	left := enroller.Departure{ID: "a", StartedMs: epoch, LeftMs: epoch + 2000}
	requireLeft := func(t *testing.T, e enroller.Enroller, want enroller.Verdict) enroller.Enroller {
		t.Helper()
		e, verdict := e.WithLeft(left, at(3*time.Second))
		require.Equal(t, want.String(), verdict.String())
		require.Equal(t, left, e.Departure())
		return e
	}
	unsettled := enroller.New(address, at(2*time.Second))
	late, next := ready("a", 0, 7), ready("b", 2500, 1)
	late.ReceivedAt, next.ReceivedAt = at(4*time.Second), at(4*time.Second)
	t.Run("BeforeTheRecall", func(t *testing.T) {
		e := requireLeft(t, unsettled, enroller.VerdictRetired)
		requireVerdictsFrom(t, e, []enroller.Announcement{late, next}, enroller.VerdictStale, enroller.VerdictHeld)
		e, _ = e.WithDeparture(enroller.Departure{}, at(4*time.Second))
		require.Equal(t, left, e.Departure())
		requireVerdictsFrom(t, e, []enroller.Announcement{late, next, late},
			enroller.VerdictStale, enroller.VerdictAnnounced, enroller.VerdictStale)
	})
	t.Run("BeforeTheRecallOfAnEarlierOne", func(t *testing.T) {
		e := requireLeft(t, unsettled, enroller.VerdictRetired)
		e, _ = e.WithDeparture(enroller.Departure{ID: "z", StartedMs: epoch - 9000, LeftMs: epoch - 1000}, at(4*time.Second))
		require.Equal(t, left, e.Departure())
		requireVerdictsFrom(t, e, []enroller.Announcement{late, next}, enroller.VerdictStale, enroller.VerdictAnnounced)
	})
	t.Run("AfterTheRecall", func(t *testing.T) {
		e := requireLeft(t, settled(), enroller.VerdictRetired)
		requireVerdictsFrom(t, e, []enroller.Announcement{late, next}, enroller.VerdictStale, enroller.VerdictAnnounced)
	})
	t.Run("AfterTheLateAnnouncement", func(t *testing.T) {
		e, verdict := settled().WithAnnouncement(late)
		require.Equal(t, enroller.VerdictAnnounced, verdict)
		e = requireLeft(t, e, enroller.VerdictRetired)
		requireVerdictsFrom(t, e, []enroller.Announcement{ready("a", 0, 8), next}, enroller.VerdictStale, enroller.VerdictAnnounced)
	})
	t.Run("AfterTheNextRun", func(t *testing.T) {
		e, _ := settled().WithAnnouncement(next)
		e = requireLeft(t, e, enroller.VerdictStale)
		require.Equal(t, "b", e.Latest().ID)
		e = restarted(e, at(5*time.Second))
		requireVerdictsFrom(t, e, []enroller.Announcement{late, next, late},
			enroller.VerdictStale, enroller.VerdictAnnounced, enroller.VerdictStale)
	})
	t.Run("AnnouncedAfterTheNextRun", func(t *testing.T) {
		for _, leave := range []enroller.Announcement{
			leaving(ready("a", 0, 8)), {ID: "a", StartedMs: epoch, Leaving: true, ReceivedAt: at(3 * time.Second)},
		} {
			e, _ := settled().WithAnnouncement(next)
			e, verdict := e.WithAnnouncement(leave)
			require.Equal(t, enroller.VerdictStale, verdict)
			require.Equal(t, "a", e.Departure().ID, "it is acknowledged once it is kept")
			require.Equal(t, "b", e.Latest().ID)
			requireVerdictsFrom(t, restarted(e, at(5*time.Second)), []enroller.Announcement{late, next},
				enroller.VerdictStale, enroller.VerdictAnnounced)
		}
	})
	t.Run("Again", func(t *testing.T) {
		e := requireLeft(t, settled(), enroller.VerdictRetired)
		requireLeft(t, e, enroller.VerdictStale)
		e, verdict := e.WithLeft(enroller.Departure{ID: "a", StartedMs: epoch, LeftMs: epoch + 2500}, at(3*time.Second))
		require.Equal(t, enroller.VerdictStale, verdict)
		require.Equal(t, left, e.Departure(), "when it was first known")
	})
	t.Run("OfAnEarlierRunThanTheKnownDeparture", func(t *testing.T) {
		e := requireLeft(t, settled(), enroller.VerdictRetired)
		e, verdict := e.WithLeft(enroller.Departure{ID: "z", StartedMs: epoch - 9000, LeftMs: epoch + 2800}, at(3*time.Second))
		require.Equal(t, enroller.VerdictStale, verdict)
		require.Equal(t, left, e.Departure())
	})
	t.Run("WithoutAStart", func(t *testing.T) {
		withoutStart := enroller.Departure{ID: "a", LeftMs: epoch + 2000}
		requireRetired := func(ready enroller.Announcement, after time.Duration, want enroller.Verdict) {
			t.Helper()
			ready.ReceivedAt = at(after)
			e, verdict := settled().WithAnnouncement(ready)
			require.Equal(t, enroller.VerdictAnnounced, verdict)
			_, verdict = e.WithLeft(withoutStart, at(after+time.Second))
			require.Equal(t, want.String(), verdict.String())
		}
		requireRetired(ready("a", 0, 7), 4*time.Second, enroller.VerdictRetired)
		requireRetired(ready("a", 2500, 1), 4*time.Second, enroller.VerdictStale)
		unknown := ready("a", -epoch, 1)
		requireRetired(unknown, 4*time.Second, enroller.VerdictRetired)
		requireRetired(unknown, 11*time.Second, enroller.VerdictStale)
	})
	t.Run("OfOneRunAfterTheOtherWithoutStarts", func(t *testing.T) {
		unknown := ready("a", -epoch, 1)
		e, _ := settled().WithAnnouncement(unknown)
		e, verdict := e.WithLeavingAnswer("a", 0, at(2*time.Second))
		require.Equal(t, enroller.VerdictRetired, verdict)
		unknown.ReceivedAt = at(11 * time.Second)
		e, verdict = e.WithAnnouncement(unknown)
		require.Equal(t, enroller.VerdictAnnounced, verdict)
		_, verdict = e.WithLeavingAnswer("a", 0, at(12*time.Second))
		require.Equal(t, enroller.VerdictRetired, verdict)
	})
	t.Run("ImplausibleOrNone", func(t *testing.T) {
		for _, odd := range []enroller.Departure{{}, {ID: "x", StartedMs: -1}, {ID: "x", StartedMs: 9 * epoch, LeftMs: epoch}} {
			e, verdict := settled().WithLeft(odd, at(3*time.Second))
			require.NotEqual(t, enroller.VerdictRetired, verdict)
			require.Empty(t, e.Departure())
		}
	})
}

// TestNoRunIsRevived generates announcements of several runs in any order, and restarts
// of the process, and checks that a run that has left is never announced again and that
// an earlier run never replaces a later one.
func TestNoRunIsRevived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := settled()
		left := map[int64]bool{}
		latest := int64(-1)
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			run := rapid.Int64Range(0, 3).Draw(t, "run")
			announcement := ready("a", run, rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			announcement.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				e = restarted(e, at(time.Second))
				if !left[latest] {
					latest = -1 // A restart forgets the runs that did not leave.
				}
			}
			if rapid.IntRange(0, 4).Draw(t, "answer") == 0 {
				answered := rapid.Int64Range(0, 3).Draw(t, "answered")
				next, verdict := e.WithLeavingAnswer("a", epoch+answered, at(time.Second))
				e = next
				if verdict == enroller.VerdictRetired {
					latest = max(latest, answered)
				}
				left[answered] = true
			}
			next, verdict := e.WithAnnouncement(announcement)
			e = next
			switch verdict {
			case enroller.VerdictAnnounced:
				require.False(t, left[run], "a run that left was announced again")
				require.GreaterOrEqual(t, run, latest, "an earlier run replaced a later one")
				latest = run
			case enroller.VerdictRetired:
				left[run] = true
				latest = max(latest, run)
			default:
			}
		}
	})
}

// restarted returns the enroller of a process that starts after one that knew known.
func restarted(known enroller.Enroller, now clocker.Instant) enroller.Enroller {
	e, _ := enroller.New(address, now).WithDeparture(known.Departure(), now)
	return e
}

// TestRestartKnowsWhichRunLeft guards against new work for a server that left, after the
// process that acknowledged that was killed and a late announcement reached its successor.
func TestRestartKnowsWhichRunLeft(t *testing.T) {
	const (
		announced = enroller.VerdictAnnounced
		retired   = enroller.VerdictRetired
		stale     = enroller.VerdictStale
		held      = enroller.VerdictHeld
	)
	late := func(announcement enroller.Announcement, after time.Duration) enroller.Announcement {
		announcement.ReceivedAt = at(after)
		return announcement
	}
	ready7 := late(ready("a", 0, 7), 4*time.Second)
	for _, way := range []struct {
		name  string
		leave enroller.Announcement
	}{
		{"Draining", late(leaving(ready("a", 0, 8)), 2*time.Second)},
		{"LeaveNotice", leaveNotice()},
		{"LeaveNoticeWithStart", enroller.Announcement{ID: "a", StartedMs: epoch, Leaving: true, ReceivedAt: at(2 * time.Second)}},
	} {
		t.Run(way.name, func(t *testing.T) {
			for _, first := range [][]enroller.Announcement{{ready("a", 0, 1)}, nil} {
				e := settled()
				for _, announcement := range append(first, way.leave) {
					e, _ = e.WithAnnouncement(announcement)
				}
				for restarts := range 3 {
					e = restarted(e, at(3*time.Second))
					require.Equal(t, "a", e.Departure().ID, "restart %d", restarts)
					require.Equal(t, int64(epoch+2000), e.Departure().LeftMs, "restart %d", restarts)
				}
				requireVerdictsFrom(t, e, []enroller.Announcement{
					ready7, late(ready("a", 0, 9), 5*time.Second), late(ready("b", 3500, 1), 5*time.Second), ready7,
				}, stale, stale, announced, stale)
			}
		})
	}
	t.Run("LeavingAnswer", func(t *testing.T) {
		e, _ := settled().WithAnnouncement(ready("a", 0, 1))
		e, _ = e.WithLeavingAnswer("a", epoch, at(2*time.Second))
		requireVerdictsFrom(t, restarted(e, at(3*time.Second)), []enroller.Announcement{ready7}, stale)
	})
	t.Run("HeldUntilTheDepartureIsKnown", func(t *testing.T) {
		e := enroller.New(address, at(3*time.Second))
		requireVerdictsFrom(t, e, []enroller.Announcement{ready7, late(ready("a", 0, 8), 5*time.Second)}, held, held)
		e, verdict := e.WithDeparture(enroller.Departure{ID: "a", StartedMs: epoch, LeftMs: epoch + 2000}, at(5*time.Second))
		require.Equal(t, retired, verdict)
		requireVerdictsFrom(t, e, []enroller.Announcement{late(ready("a", 0, 8), 5*time.Second)}, stale)
	})
	t.Run("HeldWhileTheDepartureIsDoubted", func(t *testing.T) {
		b := late(ready("b", 3000, 1), 5*time.Second)
		e, verdict := enroller.New(address, at(3*time.Second)).WithDoubtedDeparture(
			enroller.Departure{ID: "a", StartedMs: epoch, LeftMs: epoch + 2000}, at(3*time.Second))
		require.Equal(t, retired, verdict)
		require.True(t, e.Doubted())
		requireVerdictsFrom(t, e, []enroller.Announcement{ready7, b}, stale, held)
		e, _ = e.WithDeparture(enroller.Departure{}, at(5*time.Second))
		require.False(t, e.Doubted())
		require.Equal(t, "a", e.Departure().ID)
		requireVerdictsFrom(t, e, []enroller.Announcement{ready7, b}, stale, announced)
	})
	t.Run("HeldNoLongerThanAnnouncementsAreLate", func(t *testing.T) {
		e := enroller.New(address, at(3*time.Second))
		requireVerdictsFrom(t, e, []enroller.Announcement{
			late(ready("a", 0, 8), 10*time.Second), late(ready("a", 0, 9), 12*time.Second),
		}, held, announced)
	})
	t.Run("LeavingIsNeverHeld", func(t *testing.T) {
		requireVerdictsFrom(t, enroller.New(address, at(0)), []enroller.Announcement{leaveNotice()}, retired)
	})
	t.Run("DepartureOfAnEarlierRunChangesNothing", func(t *testing.T) {
		e, _ := settled().WithAnnouncement(late(ready("b", 3000, 1), 4*time.Second))
		e, verdict := e.WithDeparture(enroller.Departure{ID: "a", StartedMs: epoch, LeftMs: epoch + 2000}, at(5*time.Second))
		require.Equal(t, stale, verdict)
		require.Empty(t, e.Departure())
	})
	t.Run("LeaveNoticeBeforeTheDepartureIsKnown", func(t *testing.T) {
		e, _ := enroller.New(address, at(0)).WithAnnouncement(leaveNotice())
		e, _ = e.WithDeparture(enroller.Departure{ID: "z", StartedMs: epoch - 5000, LeftMs: epoch}, at(2*time.Second))
		require.Equal(t, "a", e.Departure().ID)
		requireVerdictsFrom(t, e, []enroller.Announcement{ready7}, stale)
	})
	t.Run("DepartureOutlastsTheNextRun", func(t *testing.T) {
		e, _ := settled().WithAnnouncement(leaving(ready("a", 0, 8)))
		e, _ = e.WithAnnouncement(late(ready("b", 3000, 1), 4*time.Second))
		requireVerdictsFrom(t, restarted(e, at(5*time.Second)), []enroller.Announcement{
			late(ready("a", 0, 7), 6*time.Second), late(ready("b", 3000, 2), 6*time.Second),
		}, stale, announced)
	})
}

func TestLaterDepartures(t *testing.T) {
	first := enroller.Departure{ID: "a", StartedMs: 10, LeftMs: 30}
	second := enroller.Departure{ID: "b", StartedMs: 20, LeftMs: 25}
	unknown := enroller.Departure{ID: "c", LeftMs: 27}
	require.True(t, second.Later(first), "the clock was set back between the two")
	require.False(t, first.Later(second))
	require.True(t, unknown.Later(second))
	require.False(t, unknown.Later(first))
	require.False(t, first.Later(first))
}

// TestInquiriesHoldAnnouncements guards against a late announcement that a starting process believes since the Source
// knows of no departure, while near peers that were told of one are still being asked.
func TestInquiriesHoldAnnouncements(t *testing.T) {
	now := func(after time.Duration) clocker.Instant {
		return clocker.Instant{Mono: after, Wall: 1_700_000_000*time.Second + after}
	}
	late := enroller.Announcement{
		ID: "a", Address: "10.1.0.8:8301", Service: "billing", Slots: 4, StartedMs: 1_699_999_000_000, Sequence: 7,
		ReceivedAt: now(20 * time.Millisecond),
	}
	requireVerdict := func(t *testing.T, e enroller.Enroller, want enroller.Verdict) enroller.Enroller {
		t.Helper()
		next, verdict := e.WithAnnouncement(late)
		require.Equal(t, want, verdict)
		return next
	}
	started := enroller.New(late.Address, now(0)).WithInquiry()
	recalled, _ := started.WithDeparture(enroller.Departure{}, now(5*time.Millisecond))
	t.Run("BeforeTheSourceAnswers", func(t *testing.T) {
		requireVerdict(t, started, enroller.VerdictHeld)
		requireVerdict(t, started.WithoutInquiry(), enroller.VerdictHeld)
	})
	t.Run("PeersAreAsked", func(t *testing.T) {
		requireVerdict(t, recalled, enroller.VerdictHeld)
		require.False(t, recalled.Settled(now(20*time.Millisecond)))
	})
	t.Run("PeersKnowNothing", func(t *testing.T) {
		settled := recalled.WithoutInquiry()
		require.Equal(t, enroller.GroundRecalled, settled.Ground(late.ReceivedAt))
		requireVerdict(t, settled, enroller.VerdictAnnounced)
	})
	t.Run("APeerTellsMeanwhile", func(t *testing.T) {
		left := enroller.Departure{ID: late.ID, StartedMs: late.StartedMs, LeftMs: late.StartedMs + 500}
		held := requireVerdict(t, recalled, enroller.VerdictHeld)
		told, verdict := held.WithLeft(left, now(30*time.Millisecond))
		require.Equal(t, enroller.VerdictRetired, verdict)
		requireVerdict(t, told.WithoutInquiry(), enroller.VerdictStale)
	})
	t.Run("ALaterRunThanTheOneThatLeft", func(t *testing.T) {
		left := enroller.Departure{ID: "z", StartedMs: late.StartedMs - 500, LeftMs: late.StartedMs - 100}
		told, _ := recalled.WithLeft(left, now(10*time.Millisecond))
		settled := told.WithoutInquiry()
		require.Equal(t, enroller.GroundLaterRun, settled.Ground(late.ReceivedAt))
		requireVerdict(t, settled, enroller.VerdictAnnounced)
	})
	t.Run("NothingIsKnownInTime", func(t *testing.T) {
		announced := late
		announced.ReceivedAt = now(enroller.MaxDelay + time.Millisecond)
		require.Equal(t, enroller.GroundDelay, started.Ground(announced.ReceivedAt))
		_, verdict := started.WithAnnouncement(announced)
		require.Equal(t, enroller.VerdictAnnounced, verdict)
	})
}
