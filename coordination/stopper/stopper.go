// Package stopper times a planned stop: until when new requests are accepted,
// and when running ones are cancelled so that their callers get a response
// before the process is killed.
package stopper

import "time"

const (
	// refuseShare is the share of the time limit after which new requests are
	// refused. Requests accepted before that have the rest of the limit to finish.
	refuseShare = 0.45
	// acceptMargin is how long requests are accepted after the time that callers have to
	// find other processes. What comes later may still run when requests are cancelled.
	acceptMargin = 800 * time.Millisecond
	// cancelMargin is the time between the cancellation of requests and the kill.
	// In it the last responses are written and the other processes are notified.
	cancelMargin = 700 * time.Millisecond
)

// Stop is one planned stop. Times are monotonic. It is immutable.
type Stop struct {
	// limit is the time from a stop request to the kill; 0 means no kill.
	limit time.Duration
	// grace is the time that callers have to find other processes.
	grace time.Duration
	// firstRequest and lastRequest are when a stop was first and last requested.
	firstRequest, lastRequest time.Duration
}

// New returns a stop that was requested at a time, with the time limit until the
// kill, 0 for no kill, and the time that callers have to find other processes.
func New(requested, limit, grace time.Duration) Stop {
	return Stop{limit: limit, grace: grace, firstRequest: requested, lastRequest: requested}
}

// WithRequest returns the stop after a further stop request, such as from an
// overlapping planned stop: the time until the kill starts anew.
func (s Stop) WithRequest(at time.Duration) Stop {
	s.lastRequest = max(s.lastRequest, at)
	return s
}

// Refuses reports whether new requests are refused. A further stop request does
// not postpone this.
func (s Stop) Refuses(now time.Duration) bool {
	accepting := min(s.grace+acceptMargin, time.Duration(refuseShare*float64(s.limit)))
	return s.limit > 0 && now-s.firstRequest > accepting
}

// CanFinish reports whether a request of the given expected duration would
// finish before running requests are cancelled.
func (s Stop) CanFinish(now, expected time.Duration) bool { return !s.MustCancel(now + expected) }

// MustCancel reports whether running requests must be cancelled.
func (s Stop) MustCancel(now time.Duration) bool {
	return s.limit > 0 && now-s.lastRequest > s.limit-cancelMargin
}
