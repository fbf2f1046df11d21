// Package witness remembers what backend servers beside other processes said of themselves in
// answers. A process that succeeds a killed one learns it from those that passed the answers on.
package witness

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
)

// departureLifetime is how long a departure is remembered. By then a server that left has
// ended, and all announcements that it sent before have arrived.
const departureLifetime = 10 * time.Minute

// limitLifetime is how long a limit is remembered that no answer has named again. A server with a
// limit gets a request every few seconds at least, which another process has then passed on.
const limitLifetime = 30 * time.Second

// Limit is the number of requests a second that one run of a backend server takes. The zero
// value is no limit.
type Limit struct {
	// ID names the server, and StartedMs is the Unix time of the run's start in milliseconds.
	ID        string
	StartedMs int64
	PerSecond float64
}

// SameRun reports whether two limits are of the same run.
func (l Limit) SameRun(other Limit) bool { return l.ID == other.ID && l.StartedMs == other.StartedMs }

// Statement is what is known of a backend server by its own words. The zero value says nothing.
type Statement struct {
	// Departure is the last run that left.
	Departure enroller.Departure
	// Limit is what a run named in its last answer.
	Limit Limit
}

// Empty reports whether the statement says nothing.
func (s Statement) Empty() bool { return s == Statement{} }

// LogFields returns the statement as names and values of a log line.
func (s Statement) LogFields() []any {
	return []any{
		"Left", s.Departure.ID, "LeftStartedMs", s.Departure.StartedMs, "LeftMs", s.Departure.LeftMs,
		"Limited", s.Limit.ID, "PerSecond", s.Limit.PerSecond,
	}
}

// Memory is what a process remembers of the backend server at one address. It is immutable.
// The zero value remembers nothing.
type Memory struct {
	said             Statement
	departure, limit source
}

// source is where a part of a memory comes from.
type source struct {
	// heardAt is the monotonic time at which it was heard.
	heardAt time.Duration
	// knownBy is the incarnation of the last process beside the server that knows it. A
	// process at the same address with another incarnation does not.
	knownBy uint64
}

// WithDeparture returns the memory after the process of an incarnation has told that a run of
// its server left. An earlier run than the remembered one changes nothing.
func (m Memory) WithDeparture(departure enroller.Departure, incarnation uint64, now clocker.Instant) Memory {
	sameRun := departure.SameRun(m.said.Departure)
	if departure.ID == "" || !sameRun && m.said.Departure.Later(departure) {
		return m
	}
	if !sameRun {
		m.said.Departure = departure
	}
	m.departure = source{heardAt: now.Mono, knownBy: incarnation}
	return m
}

// WithLimit returns the memory after the process of an incarnation has passed on an answer that
// names a limit, or that names none if the limit is the zero value.
func (m Memory) WithLimit(limit Limit, incarnation uint64, now clocker.Instant) Memory {
	m.said.Limit = limit
	m.limit = source{heardAt: now.Mono, knownBy: incarnation}
	return m
}

// WithTold returns the memory after the process of an incarnation was told a statement.
func (m Memory) WithTold(told Statement, incarnation uint64) Memory {
	if told.Departure.SameRun(m.said.Departure) {
		m.departure.knownBy = incarnation
	}
	if told.Limit == m.said.Limit {
		m.limit.knownBy = incarnation
	}
	return m
}

// UnknownTo returns what the process of an incarnation is to be told.
func (m Memory) UnknownTo(incarnation uint64, now clocker.Instant) Statement {
	said := m.current(now)
	if m.departure.knownBy == incarnation {
		said.Departure = enroller.Departure{}
	}
	if m.limit.knownBy == incarnation {
		said.Limit = Limit{}
	}
	return said
}

// Statement returns what was heard last, also if it has expired.
func (m Memory) Statement() Statement { return m.said }

// Empty reports whether nothing is remembered any more.
func (m Memory) Empty(now clocker.Instant) bool { return m.current(now).Empty() }

// current returns what has not expired.
func (m Memory) current(now clocker.Instant) Statement {
	said := m.said
	if now.Mono-m.departure.heardAt > departureLifetime {
		said.Departure = enroller.Departure{}
	}
	if now.Mono-m.limit.heardAt > limitLifetime {
		said.Limit = Limit{}
	}
	return said
}
