// Package shedder decides in a router which requests are rejected at once, because requests
// like them were lately refused by guards for lack of capacity. It is designed for bursts
// of about twice the capacity that last seconds, seen by a router that sends some tens of
// requests a second: most of these would ask many guards and be refused by all.
package shedder

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// memory is the time constant with which the ends of requests are forgotten. A router
	// gets few requests of one rank: with 500 ms two fifths as many were rejected.
	memory = time.Second
	// customerMemory is for how long a customer is judged after one of its own requests was
	// refused. Many customers send a router only about one request a second.
	customerMemory = 2 * time.Second
	// sendFactor is how many requests are sent for each one that is served. What exceeds 1
	// probes for capacity: while all that is sent is served, more is sent.
	sendFactor = 1.5
	// minAsked is the number of remembered requests from which on some are rejected.
	minAsked = 2
	// maxEntries bounds each part of the memory.
	maxEntries = 4096
)

// Class is what is known of a request when it arrives.
type Class struct {
	Service  string
	Customer string
	// Rank is the urgency; 0 is the most urgent.
	Rank uint32
}

// group returns the class of all customers.
func (c Class) group() Class { return Class{Service: c.Service, Rank: c.Rank} }

// entry counts the requests of one service and rank, with an exponential decay.
type entry struct {
	// asked counts all requests, those rejected here included, served those that reached a server.
	asked, served float64
	at            clocker.Instant
	// wait is the time until a slot that was named last.
	wait time.Duration
}

func (e *entry) decay(now clocker.Instant) {
	kept := math.Exp(-now.Since(e.at).Seconds() / memory.Seconds())
	e.asked, e.served, e.at = e.asked*kept, e.served*kept, now
}

// Shedder remembers the ends of requests. It is not safe for concurrent use.
type Shedder struct {
	entries map[Class]*entry
	// refused holds when a customer's request was refused last, unless one was served since.
	// Guards share their servers among customers: that one is refused in its own surge says
	// nothing about the others.
	refused map[Class]clocker.Instant
}

// New returns a shedder that remembers nothing.
func New() *Shedder {
	return &Shedder{entries: map[Class]*entry{}, refused: map[Class]clocker.Instant{}}
}

func (s *Shedder) entry(now clocker.Instant, group Class) *entry {
	known, ok := s.entries[group]
	if !ok {
		if len(s.entries) >= maxEntries {
			clear(s.entries)
		}
		known = &entry{at: now}
		s.entries[group] = known
	}
	known.decay(now)
	return known
}

// RecordServed remembers that a request reached a server.
func (s *Shedder) RecordServed(now clocker.Instant, class Class) {
	known := s.entry(now, class.group())
	known.asked++
	known.served++
	delete(s.refused, class)
}

// RecordRefused remembers that guards refused a request for lack of capacity, and the
// shortest time until a slot that they named.
func (s *Shedder) RecordRefused(now clocker.Instant, class Class, wait time.Duration) {
	known := s.entry(now, class.group())
	known.asked++
	known.wait = wait
	if len(s.refused) >= maxEntries {
		clear(s.refused)
	}
	s.refused[class] = now
}

// Reject reports whether a request is to be rejected, and the time until a slot is
// expected. random is a number in [0, 1).
func (s *Shedder) Reject(now clocker.Instant, class Class, random float64) (wait time.Duration, rejected bool) {
	refusedAt, ok := s.refused[class]
	if !ok || now.Since(refusedAt) > customerMemory {
		return 0, false
	}
	known := s.entry(now, class.group())
	if known.asked < minAsked || random >= (known.asked-sendFactor*known.served)/(known.asked+1) {
		return 0, false
	}
	known.asked++
	return known.wait, true
}

const (
	// leftDivisor is the part of the time left to the caller that a retry may be put off by.
	leftDivisor = 3
	// jitter is the largest share by which a delay is changed, so that callers who were
	// rejected together don't return together.
	jitter = 0.5
)

// RetryAfter returns the delay to suggest to a caller when a slot is expected after a wait
// and the caller has the given time left. random is a number in [0, 1).
func RetryAfter(wait, left time.Duration, random float64) time.Duration {
	delay := time.Duration(float64(wait) * (1 + jitter*random))
	if most := left / leftDivisor; delay > most {
		delay = time.Duration(float64(most) * (1 - jitter*random))
	}
	return max(0, delay)
}
