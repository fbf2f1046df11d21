package runner

import (
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/transport/guard"
)

// HandleAnnouncement handles an announcement or a leave notice of the backend
// server. It returns once the guard has applied it.
func (r *Runner) HandleAnnouncement(announcement enroller.Announcement, coldStart time.Duration) error {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	announcement.ReceivedAt = r.now()
	next, verdict := r.enroller.WithAnnouncement(announcement)
	r.enroller = next
	switch verdict {
	case enroller.VerdictAnnounced:
		err := r.guard.Announce(guard.Announcement{
			Address: announcement.Address, Run: announcement.ID, Service: announcement.Service, Slots: announcement.Slots,
			ColdStart: coldStart, StartedMs: announcement.StartedMs,
		})
		if err != nil {
			return fmt.Errorf("announcing %s to the guard: %w", announcement.ID, err)
		}
	case enroller.VerdictRetired:
		if err := r.guard.Retire(announcement.ID); err != nil {
			return fmt.Errorf("retiring %s: %w", announcement.ID, err)
		}
	default:
		r.deps.Log.Info("AnnouncementIgnored", "Server", announcement.ID, "Verdict", verdict.String(),
			"Address", announcement.Address, "Sequence", announcement.Sequence, "StartedMs", announcement.StartedMs)
	}
	return nil
}

// handleLeavingAnswer retires a run whose answers say that it is shutting down, whether or
// not its announcement of that arrives.
func (r *Runner) handleLeavingAnswer(run string, startedMs int64) {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	next, verdict := r.enroller.WithLeavingAnswer(run, startedMs)
	r.enroller = next
	if verdict != enroller.VerdictRetired {
		return
	}
	r.deps.Log.Info("LeavingAnswer", "Run", run)
	if err := r.guard.Retire(run); err != nil {
		r.deps.Log.Error("RetireFailed", "Run", run, "Error", err)
	}
}

// maxJoinWait is how long a starting process that knows no peer waits before it
// reports ready.
const maxJoinWait = 1500 * time.Millisecond

// Ready reports whether the process can serve callers.
func (r *Runner) Ready() bool {
	if r.stopping.Load() || !r.configured() {
		return false
	}
	return !r.alone() || r.now().Mono > maxJoinWait
}

// configured reports whether the process has a configuration.
func (r *Runner) configured() bool { return r.catalog().Version() > 0 }
