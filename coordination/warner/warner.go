// Package warner spreads warnings about failing backend servers between routers. A
// router asks each server too rarely to learn of a failure by itself in a large
// fleet. Warnings are hints: they expire by themselves, and losing one costs an
// attempt that its guard refuses.
package warner

import (
	"cmp"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// MaxAvoidance bounds how long one warning may keep requests from a server, so
	// that a damaged message can't take it out of use.
	MaxAvoidance = 5 * time.Second
	// MaxWarnings bounds the warnings of one message.
	MaxWarnings = 64
	// memoryTime is how long an expired warning is remembered, so that late copies
	// of it don't count as new.
	memoryTime = 5 * time.Second
)

// Warning says how long requests should avoid one server.
type Warning struct {
	// Incarnation is that of the process beside the server.
	Incarnation uint64
	// Sequence orders the warnings about one incarnation. Later ones replace earlier ones.
	Sequence uint32
	// Avoid is for all requests, AvoidNonIdempotent, which is never shorter, for those
	// that must not run twice. If both are 0, the server has recovered.
	Avoid              time.Duration
	AvoidNonIdempotent time.Duration
}

// entry is a known warning with the time at which it was received or last set.
type entry struct {
	warning Warning
	at      clocker.Instant
}

// remaining returns the warning with what is left of its durations.
func (e entry) remaining(now clocker.Instant) Warning {
	passed := now.Since(e.at)
	left := e.warning
	left.Avoid = max(0, left.Avoid-passed)
	left.AvoidNonIdempotent = max(0, left.AvoidNonIdempotent-passed)
	return left
}

// Warner holds the warnings that one process knows. It is not safe for concurrent use.
type Warner struct {
	self uint64
	// sequence is that of the last warning about the own server.
	sequence uint32
	entries  map[uint64]entry
}

// New returns a Warner of the process with an incarnation.
func New(self uint64) *Warner {
	return &Warner{self: self, entries: map[uint64]entry{}}
}

// SetOwn sets the warning about the own server. The durations are 0 if there is no
// reason for one.
func (w *Warner) SetOwn(now clocker.Instant, avoid, avoidNonIdempotent time.Duration) {
	if _, known := w.entries[w.self]; !known && avoid <= 0 && avoidNonIdempotent <= 0 {
		return
	}
	w.sequence++
	w.entries[w.self] = entry{at: now, warning: bounded(Warning{
		Incarnation: w.self, Sequence: w.sequence, Avoid: avoid, AvoidNonIdempotent: avoidNonIdempotent,
	})}
}

// bounded limits the durations to the range from 0 to MaxAvoidance.
func bounded(warning Warning) Warning {
	warning.Avoid = min(max(warning.Avoid, 0), MaxAvoidance)
	warning.AvoidNonIdempotent = min(max(warning.AvoidNonIdempotent, warning.Avoid), MaxAvoidance)
	return warning
}

// Merge adopts the warnings of a message and returns those that are new. Copies of a
// known warning only ever shorten it: otherwise two processes that pass it back and
// forth would keep it alive by the time that messages take.
func (w *Warner) Merge(now clocker.Instant, warnings []Warning) []Warning {
	var adopted []Warning
	for _, warning := range warnings[:min(len(warnings), MaxWarnings)] {
		if warning.Incarnation == w.self || warning.Incarnation == 0 {
			continue
		}
		warning = bounded(warning)
		known, ok := w.entries[warning.Incarnation]
		if ok && warning.Sequence < known.warning.Sequence {
			continue
		}
		if ok && warning.Sequence == known.warning.Sequence {
			left := known.remaining(now)
			if warning.AvoidNonIdempotent >= left.AvoidNonIdempotent && warning.Avoid >= left.Avoid {
				continue
			}
			warning.Avoid = min(warning.Avoid, left.Avoid)
			warning.AvoidNonIdempotent = min(warning.AvoidNonIdempotent, left.AvoidNonIdempotent)
		}
		w.entries[warning.Incarnation] = entry{warning: warning, at: now}
		adopted = append(adopted, warning)
	}
	return adopted
}

// Current returns the warnings to send, at most MaxWarnings, those with the most time
// left first. Only those about incarnations that include accepts are sent. A warning
// about a recovered server is sent as long as memoryTime.
func (w *Warner) Current(now clocker.Instant, include func(incarnation uint64) bool) []Warning {
	var current []Warning
	for incarnation, known := range w.entries {
		passed := now.Since(known.at)
		left := known.remaining(now)
		recovered := known.warning.AvoidNonIdempotent == 0
		switch {
		case passed > known.warning.AvoidNonIdempotent+memoryTime:
			delete(w.entries, incarnation)
		case (left.AvoidNonIdempotent > 0 || recovered) && include(incarnation):
			current = append(current, left)
		}
	}
	slices.SortFunc(current, func(a, b Warning) int {
		if order := cmp.Compare(b.AvoidNonIdempotent, a.AvoidNonIdempotent); order != 0 {
			return order
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	return current[:min(len(current), MaxWarnings)]
}
