// Package stepper implements a discrete-event scheduler with a virtual clock.
package stepper

import (
	"container/heap"
	"time"
)

// Stepper holds the virtual clock and the scheduled events. It is not safe for concurrent use.
type Stepper struct {
	now          time.Duration
	lastSequence uint64
	events       events
}

type event struct {
	at time.Duration
	// sequence orders events with equal times by insertion.
	sequence uint64
	run      func()
}

type events []event

// New returns a stepper without events whose clock shows the given time.
func New(now time.Duration) *Stepper {
	return &Stepper{now: now}
}

// Now returns the virtual time.
func (s *Stepper) Now() time.Duration { return s.now }

// After schedules a function to run once the clock has advanced by d.
func (s *Stepper) After(d time.Duration, do func()) {
	s.lastSequence++
	heap.Push(&s.events, event{at: s.now + d, sequence: s.lastSequence, run: do})
}

// Advance moves the clock without running events.
func (s *Stepper) Advance(d time.Duration) {
	s.now += d
}

// Run runs events in order until the clock reaches a time or no event is left. The last event may be
// later than that time.
func (s *Stepper) Run(until time.Duration) {
	for len(s.events) > 0 && s.now < until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

// Len returns the number of events, for the heap.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by insertion, for the heap.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap exchanges two events, for the heap.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event, for the heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event, for the heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
