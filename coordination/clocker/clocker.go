// Package clocker defines the instant that every decision is given, so that no
// decision reads a clock of its own.
package clocker

import "time"

// Instant is one reading of both clocks of a process.
type Instant struct {
	// Mono is the time since an arbitrary fixed point. It never falls, but may
	// stand still while a VM is paused.
	Mono time.Duration
	// Wall is the time since the Unix epoch. It may jump.
	Wall time.Duration
}

// Since returns the time passed since an earlier instant: the larger of the
// two clocks' readings, so that a pause that one of them misses still counts.
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
