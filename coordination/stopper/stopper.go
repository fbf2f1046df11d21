// Package stopper times a planned stop: until when requests are taken, and when
// what still runs is ended so that the callers hear of it before the kill.
package stopper

import "time"

const (
	// refuseShare is the part of the time until the kill after which new requests
	// are refused. What is taken before has the rest of the time to end.
	refuseShare = 0.45
	// cancelMargin is kept between the end of all requests and the kill. Within
	// it the last answers are written and the fleet is told.
	cancelMargin = 700 * time.Millisecond
)

// Stop is one planned stop. Times are monotonic ones.
type Stop struct {
	// limit is the time from a request to stop to the kill; 0 if there is no kill.
	limit time.Duration
	// first and last are when the stop was asked for.
	first, last time.Duration
}

// New returns a stop that was asked for at a time.
func New(asked, limit time.Duration) Stop {
	return Stop{limit: limit, first: asked, last: asked}
}

// WithRequest returns the stop after one more request to stop, such as that of
// work that overlaps: the time until the kill starts anew.
func (s Stop) WithRequest(at time.Duration) Stop {
	s.last = max(s.last, at)
	return s
}

// Refuses tells whether new requests are refused.
func (s Stop) Refuses(now time.Duration) bool {
	return s.limit > 0 && now-s.first > time.Duration(refuseShare*float64(s.limit))
}

// CanFinish tells whether a request that mostly ends within a time would do so before
// what still runs is ended.
func (s Stop) CanFinish(now, takes time.Duration) bool { return !s.MustCancel(now + takes) }

// MustCancel tells whether what still runs must be ended.
func (s Stop) MustCancel(now time.Duration) bool {
	return s.limit > 0 && now-s.last > s.limit-cancelMargin
}
