package runner

import (
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/transport/guard"
)

// HandleAnnouncement takes an announcement or a farewell of the backend server beside. It
// returns once the guard acts by it.
func (r *Runner) HandleAnnouncement(entry enroller.Announcement, coldStart time.Duration) error {
	r.announcementMu.Lock()
	defer r.announcementMu.Unlock()
	entry.ReceivedAt = r.now()
	next, verdict := r.enroller.WithAnnouncement(entry)
	r.enroller = next
	switch verdict {
	case enroller.VerdictAnnounced:
		err := r.guard.Announce(guard.Announcement{
			Address: entry.Address, Run: entry.ID, Service: entry.Service, Slots: entry.Slots,
			ColdStart: coldStart, StartedMs: entry.StartedMs,
		})
		if err != nil {
			return fmt.Errorf("enrolling %s: %w", entry.ID, err)
		}
	case enroller.VerdictRetired:
		if err := r.guard.Retire(entry.ID); err != nil {
			return fmt.Errorf("retiring %s: %w", entry.ID, err)
		}
	default:
		r.deps.Log.Info("AnnouncementIgnored", "Server", entry.ID, "Verdict", verdict.String(),
			"Address", entry.Address, "Sequence", entry.Sequence, "StartedMs", entry.StartedMs)
	}
	return nil
}

// maxJoinWait is how long a starting process waits for others before it serves alone.
const maxJoinWait = 1500 * time.Millisecond

// Ready tells whether callers may be sent to the process.
func (r *Runner) Ready() bool {
	if r.stopping.Load() || !r.configured() {
		return false
	}
	return !r.alone() || r.now().Mono > maxJoinWait
}

// configured tells whether a configuration is in force.
func (r *Runner) configured() bool { return r.catalog().Version() > 0 }
