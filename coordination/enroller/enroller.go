// Package enroller orders the announcements of a backend server, so that late
// announcements and those of other servers have no effect.
package enroller

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// MaxDelay is how long after a leave notice an announcement that was sent before
// it may still arrive.
const MaxDelay = 8 * time.Second

// Announcement is one announcement or leave notice of a backend server. A run is
// the life of one process of the server.
type Announcement struct {
	// ID names the server. A server may restart under the same ID.
	ID string
	// Address is the IP:port where the server takes HTTP requests. It is empty in a leave notice.
	Address string
	Service string
	// Slots is the number of requests that the server runs concurrently.
	Slots uint32
	// StartedMs is the Unix time of the run's start in milliseconds. It may be 0 in a leave notice.
	StartedMs int64
	// Sequence rises with each announcement of one run. It is 0 in a leave notice.
	Sequence uint64
	// Leaving is set once the server takes no new requests.
	Leaving bool
	// ReceivedAt is when the announcement was received.
	ReceivedAt clocker.Instant
}

// Verdict classifies an announcement.
type Verdict uint8

// Verdicts on announcements.
const (
	// VerdictAnnounced means that the run is in service.
	VerdictAnnounced Verdict = iota + 1
	// VerdictRetired means that the run is leaving.
	VerdictRetired
	// VerdictForeign means that the announcement is from a server at another address.
	VerdictForeign
	// VerdictStale means that a later run, or a later announcement of the same run, is known.
	VerdictStale
	// VerdictHeld means that the run may have left before this process started. It may be
	// announced again once WithDeparture was called.
	VerdictHeld
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"Unknown", "Announced", "Retired", "Foreign", "Stale", "Held"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Departure is what outlives a process about the last run of its server that left. The
// zero value means that none has left.
type Departure struct {
	// ID names the server.
	ID string
	// StartedMs is the Unix time of the run's start in milliseconds, 0 if it is not known.
	StartedMs int64
	// LeftMs is the Unix time in milliseconds at which the run was first known to leave.
	LeftMs int64
}

// Later reports whether a run left that began after another one which left, or that left
// later if the start of one of them is not known.
func (d Departure) Later(other Departure) bool {
	if d.StartedMs != other.StartedMs && d.StartedMs > 0 && other.StartedMs > 0 {
		return d.StartedMs > other.StartedMs
	}
	return d.LeftMs > other.LeftMs
}

// SameRun reports whether two departures are of the same run.
func (d Departure) SameRun(other Departure) bool {
	return d.ID == other.ID && d.StartedMs == other.StartedMs
}

// Enroller tracks the latest run of the server at one address. It is immutable.
type Enroller struct {
	address string
	// startedAt is when the process started.
	startedAt clocker.Instant
	// recalled is set once the last departure before startedAt is known.
	recalled bool
	// doubted is set once a departure was recalled from a store that may have lost a later
	// one.
	doubted bool
	// inquiring is set while peers are still asked what the server said to an earlier process.
	inquiring bool
	// latest is the last announcement that was neither stale, foreign nor held.
	latest Announcement
	// departure is the last run that left, latest itself or an earlier one, and leftAt is
	// when that was first known.
	departure Departure
	leftAt    clocker.Instant
}

// New returns the enroller of the server at an IP:port, in a process that started at the
// given time and does not know yet which run left before.
func New(address string, startedAt clocker.Instant) Enroller {
	return Enroller{address: address, startedAt: startedAt}
}

// Latest returns the last announcement that was neither stale, foreign nor held.
func (e Enroller) Latest() Announcement { return e.latest }

// Departure returns the last run that left.
func (e Enroller) Departure() Departure { return e.departure }

// Settled reports whether the last departure before the process started is known and no peer
// is left to ask, or announcements from that time can no longer arrive.
func (e Enroller) Settled(now clocker.Instant) bool {
	return e.recalled && !e.inquiring || now.Since(e.startedAt) > MaxDelay
}

// WithInquiry returns the enroller while peers are asked what they know of the server.
// Announcements stay held until WithoutInquiry is called.
func (e Enroller) WithInquiry() Enroller {
	e.inquiring = true
	return e
}

// WithoutInquiry returns the enroller once no peer is left to ask.
func (e Enroller) WithoutInquiry() Enroller {
	e.inquiring = false
	return e
}

// Inquiring reports whether peers are still asked.
func (e Enroller) Inquiring() bool { return e.inquiring }

// Ground is why an announcement of a run was believed.
type Ground string

// Grounds for believing an announcement.
const (
	// GroundLaterRun means that the run began after the latest one known.
	GroundLaterRun Ground = "LaterRun"
	// GroundRecalled means that the run did not leave as far as the Source and peers know.
	GroundRecalled Ground = "Recalled"
	// GroundDelay means that announcements from before the process started can no longer arrive.
	GroundDelay Ground = "Delay"
)

// Ground returns why an announcement is believed now.
func (e Enroller) Ground(now clocker.Instant) Ground {
	switch {
	case e.latest.ID != "":
		return GroundLaterRun
	case e.recalled && !e.inquiring && now.Since(e.startedAt) <= MaxDelay:
		return GroundRecalled
	default:
		return GroundDelay
	}
}

// WithDeparture returns the enroller with the last run that left before the process
// started, and VerdictRetired if no later run is known.
func (e Enroller) WithDeparture(departure Departure, now clocker.Instant) (Enroller, Verdict) {
	e.recalled = true
	return e.withRecalled(departure, now)
}

// WithDoubtedDeparture returns the enroller with a run that left before the process started,
// and VerdictRetired if no later run is known. A later one may have left as well, so that
// announcements stay held until WithDeparture is called.
func (e Enroller) WithDoubtedDeparture(departure Departure, now clocker.Instant) (Enroller, Verdict) {
	e.doubted = true
	return e.withRecalled(departure, now)
}

// Doubted reports whether a departure was recalled that may not be the last one.
func (e Enroller) Doubted() bool { return e.doubted && !e.recalled }

func (e Enroller) withRecalled(departure Departure, now clocker.Instant) (Enroller, Verdict) {
	leftWithoutStart := e.latest.Leaving && e.latest.StartedMs == 0
	if departure.ID == "" || leftWithoutStart {
		return e, VerdictStale
	}
	left := clocker.Instant{Mono: now.Mono, Wall: time.Duration(departure.LeftMs) * time.Millisecond}
	return e.enroll(Announcement{
		ID: departure.ID, StartedMs: departure.StartedMs, Leaving: true, ReceivedAt: left,
	})
}

// WithAnnouncement returns the enroller after one announcement or leave notice,
// and the verdict on it.
func (e Enroller) WithAnnouncement(next Announcement) (Enroller, Verdict) {
	enrolled, verdict := e.enroll(next)
	if verdict == VerdictStale && next.Leaving {
		left := Departure{ID: next.ID, StartedMs: next.StartedMs, LeftMs: next.ReceivedAt.UnixMilli()}
		enrolled = enrolled.withEarlier(left)
	}
	return enrolled, verdict
}

func (e Enroller) enroll(next Announcement) (Enroller, Verdict) {
	if next.Address != "" && next.Address != e.address || implausible(next) {
		return e, VerdictForeign
	}
	if e.stale(next) {
		return e, VerdictStale
	}
	if next.Leaving {
		return e.withLeaving(next), VerdictRetired
	}
	if !e.Settled(next.ReceivedAt) {
		return e, VerdictHeld
	}
	e.latest = next
	return e, VerdictAnnounced
}

// WithLeavingAnswer returns the enroller after an answer in which a run says that it is
// leaving; see WithLeft.
func (e Enroller) WithLeavingAnswer(id string, startedMs int64, now clocker.Instant) (Enroller, Verdict) {
	return e.WithLeft(Departure{ID: id, StartedMs: startedMs, LeftMs: now.UnixMilli()}, now)
}

// WithLeft returns the enroller after an answer, or another process, has told that a run left,
// and VerdictRetired if no later run is known and it was not known to leave. The departure of
// an earlier run is kept as well: a process that does not know the later one may need it.
func (e Enroller) WithLeft(departure Departure, now clocker.Instant) (Enroller, Verdict) {
	latest := Departure{ID: e.latest.ID, StartedMs: e.latest.StartedMs}
	known := e.departure.SameRun(departure)
	if latest.SameRun(departure) {
		known = e.latest.Leaving
	}
	if departure.ID == "" || known || e.beganAfter(departure) {
		return e, VerdictStale
	}
	next, verdict := e.withRecalled(departure, now)
	if verdict == VerdictStale {
		next = next.withEarlier(departure)
	}
	return next, verdict
}

// beganAfter reports whether the latest run has the ID of one that left, whose start is not
// known, and began after that. Announcements from before arrive within MaxDelay.
func (e Enroller) beganAfter(departure Departure) bool {
	if departure.StartedMs != 0 || departure.ID != e.latest.ID {
		return false
	}
	return e.latest.StartedMs > departure.LeftMs ||
		e.latest.ReceivedAt.UnixMilli()-departure.LeftMs > MaxDelay.Milliseconds()
}

// withEarlier returns the enroller after a run left that is earlier than the latest one, whose
// departure is kept unless a later one is known.
func (e Enroller) withEarlier(departure Departure) Enroller {
	earlier := departure.StartedMs > 0 && departure.StartedMs < e.latest.StartedMs
	if earlier && !departure.SameRun(e.departure) && departure.Later(e.departure) {
		e.departure = departure
	}
	return e
}

const (
	// maxClockSkew is how far the start of a run may lie ahead of the own clock.
	maxClockSkew = time.Hour
	// maxSequence is beyond what a run can reach. Above it, writers lose precision.
	maxSequence = 1 << 53
)

// implausible reports whether an announcement has a start time or sequence that would
// make all later announcements of the real server stale.
func implausible(next Announcement) bool {
	return next.StartedMs < 0 || next.StartedMs > next.ReceivedAt.UnixMilli()+maxClockSkew.Milliseconds() ||
		next.Sequence > maxSequence
}

func (e Enroller) stale(next Announcement) bool {
	known := e.latest
	leaveNotice := next.Address == ""
	switch {
	case leaveNotice && next.StartedMs == 0:
		return known.ID != "" && next.ID != known.ID
	case known.Leaving && known.StartedMs == 0:
		return e.sentBeforeLeave(next)
	case next.StartedMs != known.StartedMs:
		return next.StartedMs < known.StartedMs
	case next.ID != known.ID:
		return leaveNotice
	case known.Leaving && !next.Leaving:
		return true
	default:
		return !leaveNotice && next.Sequence <= known.Sequence
	}
}

// sentBeforeLeave reports whether an announcement was sent before a leave notice
// that did not contain the start time of its run.
func (e Enroller) sentBeforeLeave(next Announcement) bool {
	if next.ID != e.latest.ID || next.ReceivedAt.Since(e.leftAt) > MaxDelay {
		return false
	}
	return next.StartedMs <= e.leftAt.UnixMilli()
}

// withLeaving returns the enroller after a run began to leave. A leave notice
// lacks the other fields, so those of the run's last announcement are kept.
func (e Enroller) withLeaving(next Announcement) Enroller {
	if next.ID != e.latest.ID || next.StartedMs != 0 && next.StartedMs != e.latest.StartedMs {
		e.latest = next
		return e.withDeparted(next.ReceivedAt)
	}
	e.latest.Sequence = max(e.latest.Sequence, next.Sequence)
	if e.latest.Leaving {
		return e
	}
	return e.withDeparted(next.ReceivedAt)
}

// withDeparted returns the enroller after the latest run was first known to leave.
func (e Enroller) withDeparted(now clocker.Instant) Enroller {
	e.latest.Leaving = true
	e.leftAt = now
	e.departure = Departure{ID: e.latest.ID, StartedMs: e.latest.StartedMs, LeftMs: now.UnixMilli()}
	return e
}
