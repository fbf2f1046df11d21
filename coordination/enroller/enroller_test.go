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

// leaveNotice returns the leave notice of server a, received two seconds after
// the epoch, without the start time of its run.
func leaveNotice() enroller.Announcement {
	return enroller.Announcement{ID: "a", Leaving: true, ReceivedAt: at(2 * time.Second)}
}

// requireVerdicts passes announcements to an enroller in order.
func requireVerdicts(t *testing.T, announcements []enroller.Announcement, want ...enroller.Verdict) {
	t.Helper()
	e := enroller.New(address)
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

// TestNoRunIsRevived generates announcements of several runs in any order and
// checks that a run that has left is never announced again and that an earlier
// run never replaces a later one.
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
		e := announce(t, enroller.New(address), ready("a", 0, 1), enroller.VerdictAnnounced)
		e, verdict := e.WithLeavingAnswer("a", epoch)
		require.Equal(t, enroller.VerdictRetired, verdict)
		_, verdict = e.WithLeavingAnswer("a", epoch)
		require.Equal(t, enroller.VerdictStale, verdict)
		e = announce(t, e, ready("a", 0, 2), enroller.VerdictStale)
		e = announce(t, e, leaving(ready("a", 0, 3)), enroller.VerdictRetired)
		announce(t, e, leaveNotice(), enroller.VerdictRetired)
	})
	t.Run("TheNextRunIsAnnounced", func(t *testing.T) {
		e := announce(t, enroller.New(address), ready("a", 0, 1), enroller.VerdictAnnounced)
		e, _ = e.WithLeavingAnswer("a", epoch)
		e = announce(t, e, ready("a", 500, 1), enroller.VerdictAnnounced)
		_, verdict := e.WithLeavingAnswer("a", epoch)
		require.Equal(t, enroller.VerdictStale, verdict, "an answer of the run before, which had the same ID")
	})
}

func TestNoRunIsRevived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := enroller.New(address)
		left := map[int64]bool{}
		latest := int64(-1)
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			run := rapid.Int64Range(0, 3).Draw(t, "run")
			announcement := ready("a", run, rapid.Uint64Range(1, 9).Draw(t, "sequence"))
			announcement.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
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
