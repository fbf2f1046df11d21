// Package clocker defines the time value that is passed to every decision, so
// that no decision reads a clock itself.
package clocker

import "time"

// Instant is a simultaneous reading of the monotonic and the wall clock of a process.
type Instant struct {
	// Mono is the time since an arbitrary fixed point. It never decreases, but
	// may stand still while a VM is paused.
	Mono time.Duration
	// Wall is the time since the Unix epoch. It may jump.
	Wall time.Duration
}

// Since returns the time that passed since an earlier instant: the larger of the
// differences on the two clocks, so that a pause that one clock misses still counts.
func (i Instant) Since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall-earlier.Wall)
}

// Add returns the instant moved by a duration on both clocks.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Mono: i.Mono + d, Wall: i.Wall + d}
}

// UnixMilli returns the wall clock in milliseconds since the Unix epoch.
func (i Instant) UnixMilli() int64 {
	return i.Wall.Milliseconds()
}
