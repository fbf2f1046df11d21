// Package enroller orders what backend servers say of themselves, so that late
// and foreign announcements change nothing.
package enroller

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// lateLimit is how late an announcement may come that was sent before a farewell.
const lateLimit = 8 * time.Second

// Announcement is one announcement of a backend server.
type Announcement struct {
	// ID names the server. A server may start again under the ID that it had.
	ID string
	// Address is the IP:port where the server takes HTTP requests.
	Address string
	Service string
	// Slots is the number of requests that the server works on at once.
	Slots uint32
	// StartedMs is the Unix time in ms of the server's start.
	StartedMs int64
	// Sequence rises with each announcement of one run; 0 in a farewell.
	Sequence uint64
	// Leaving is set once the server takes no new work.
	Leaving bool
	// ReceivedAt is when the entry came.
	ReceivedAt clocker.Instant
}

// Verdict is what becomes of an announcement.
type Verdict uint8

// Verdicts on announcements.
const (
	// VerdictAnnounced means that the run is there.
	VerdictAnnounced Verdict = iota + 1
	// VerdictRetired means that the run leaves.
	VerdictRetired
	// VerdictForeign means that the entry is of a server at another address.
	VerdictForeign
	// VerdictStale means that a later run, or a later word of the same run, is known.
	VerdictStale
)

// String gives the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"Unknown", "Announced", "Retired", "Foreign", "Stale"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Enroller knows the latest run of the server at one address. It is immutable.
type Enroller struct {
	address string
	// latest is the last entry that was not stale.
	latest Announcement
}

// New returns the enroller of the server at an IP:port.
func New(address string) Enroller { return Enroller{address: address} }

// Latest returns the last entry that counted.
func (e Enroller) Latest() Announcement { return e.latest }

// WithAnnouncement takes one announcement or farewell.
func (e Enroller) WithAnnouncement(entry Announcement) (Enroller, Verdict) {
	if entry.Address != "" && entry.Address != e.address {
		return e, VerdictForeign
	}
	if e.stale(entry) {
		return e, VerdictStale
	}
	if entry.Leaving {
		return e.withLeaving(entry), VerdictRetired
	}
	e.latest = entry
	return e, VerdictAnnounced
}

func (e Enroller) stale(entry Announcement) bool {
	known := e.latest
	farewell := entry.Address == ""
	switch {
	case farewell && entry.StartedMs == 0:
		return known.ID != "" && entry.ID != known.ID
	case known.Leaving && known.StartedMs == 0:
		return e.before(entry)
	case entry.StartedMs != known.StartedMs:
		return entry.StartedMs < known.StartedMs
	case entry.ID != known.ID:
		return farewell
	case known.Leaving && !entry.Leaving:
		return true
	default:
		return !farewell && entry.Sequence <= known.Sequence
	}
}

// before tells whether an entry was sent before a farewell that did not tell
// when its run had started.
func (e Enroller) before(entry Announcement) bool {
	known := e.latest
	if entry.ID != known.ID || entry.ReceivedAt.Since(known.ReceivedAt) > lateLimit {
		return false
	}
	return entry.StartedMs <= known.ReceivedAt.UnixMilli()
}

// withLeaving notes that a run leaves. A farewell does not tell the rest.
func (e Enroller) withLeaving(entry Announcement) Enroller {
	if entry.ID == e.latest.ID && (entry.StartedMs == 0 || entry.StartedMs == e.latest.StartedMs) {
		e.latest.Leaving = true
		e.latest.Sequence = max(e.latest.Sequence, entry.Sequence)
		return e
	}
	e.latest = entry
	return e
}
