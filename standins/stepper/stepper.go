// Package stepper runs events in the order of a virtual clock.
package stepper

import (
	"container/heap"
	"time"
)

// Stepper holds events that are due. It is not safe for concurrent use.
type Stepper struct {
	now    time.Duration
	serial uint64
	events events
}

type event struct {
	at time.Duration
	// serial orders events of the same moment by their insertion.
	serial uint64
	do     func()
}

type events []event

// New returns a stepper without events whose clock stands at a time.
func New(now time.Duration) *Stepper {
	return &Stepper{now: now}
}

// Now returns the virtual time.
func (s *Stepper) Now() time.Duration { return s.now }

// After plans an event.
func (s *Stepper) After(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{at: s.now + d, serial: s.serial, do: do})
}

// Advance moves the clock without running events.
func (s *Stepper) Advance(d time.Duration) {
	s.now += d
}

// Run runs events until the clock reaches a time or none is left.
func (s *Stepper) Run(until time.Duration) {
	for len(s.events) > 0 && s.now < until {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
}

// Len counts the events.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by insertion.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event, for the heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event, for the heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
