// Package tracker holds the load, latency and reachability of each backend
// server as one router observes them. Requests read and update them atomically.
package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// smoothing is the weight of a new sample in the moving average of answer times.
	smoothing = 0.2
	// failuresToAvoid is the number of consecutive path failures after which a server is avoided.
	failuresToAvoid = 2
	// avoidTime is how long a server is avoided at first; it doubles with each further failure.
	avoidTime = 500 * time.Millisecond
	// maxAvoidDoublings limits how often avoidTime doubles.
	maxAvoidDoublings = 5
	// refusedTime is how long a server is avoided that refuses requests, such as one
	// that is leaving or ejected.
	refusedTime = time.Second
	// probeGap is the minimum time between two probes of a server that doesn't respond.
	probeGap = 1500 * time.Millisecond
	// reportLifetime is the time over which the weight of a reported load falls to 0.
	reportLifetime = time.Second
	// minWarmupFactor is the warm-up factor of a server that was just added.
	minWarmupFactor = 0.25
)

// Server is the router's view of one backend server. It is safe for concurrent use.
type Server struct {
	incarnation uint64
	// firstSeen is the monotonic time at which the server became known, and
	// coldStart the length of its warm-up. Neither changes.
	firstSeen time.Duration
	coldStart time.Duration
	// latency holds the float64 bits of the smoothed answer time in microseconds.
	latency atomic.Uint64
	// inFlight counts the requests that this router has in flight at the server.
	inFlight atomic.Int64
	// reported is the load that the guard last reported, and reportedAt the monotonic time of the report.
	reported   atomic.Int64
	reportedAt atomic.Int64
	failures   atomic.Int64
	// avoidUntil is a monotonic time; 0 means that the server is not avoided.
	avoidUntil atomic.Int64
	// warnedUntil and warnedNonIdempotentUntil are the monotonic times until which a
	// warning lasts for all requests and for those that must not run twice.
	warnedUntil              atomic.Int64
	warnedNonIdempotentUntil atomic.Int64
	// silentSince is the monotonic time since which requests are in flight without
	// any response from the guard; 0 if there are none.
	silentSince atomic.Int64
	// probedAt is the monotonic time of the last probe, 0 before the first.
	probedAt atomic.Int64
	work     work
}

// New returns a Server first seen at a monotonic time that warms up over coldStart.
func New(incarnation uint64, firstSeen, coldStart time.Duration) *Server {
	return &Server{incarnation: incarnation, firstSeen: firstSeen, coldStart: coldStart}
}

// Incarnation returns the incarnation of the process on the server's VM.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// InFlight returns the number of requests that this router has in flight at the server.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Load estimates the number of requests at the server at a monotonic time: the
// larger of this router's own and the load that the guard last reported. The
// weight of a report falls with its age, because the requests it counted finish.
func (s *Server) Load(now time.Duration) int64 {
	age := now - time.Duration(s.reportedAt.Load())
	weight := 1 - float64(age)/float64(reportLifetime)
	return max(s.inFlight.Load(), int64(float64(s.reported.Load())*weight+0.5))
}

// RecordLoad records a load that the guard reported at a monotonic time.
func (s *Server) RecordLoad(now time.Duration, load int64) {
	s.reported.Store(load)
	s.reportedAt.Store(int64(now))
}

// Latency returns the moving average of answer times in microseconds, 0 before the first answer.
func (s *Server) Latency() float64 {
	return math.Float64frombits(s.latency.Load())
}

// Begin counts a request sent at a monotonic time as in flight.
func (s *Server) Begin(now time.Duration) {
	s.inFlight.Add(1)
	s.silentSince.CompareAndSwap(0, int64(max(now, 1)))
}

// End undoes Begin once the request has finished.
func (s *Server) End() {
	if s.inFlight.Add(-1) == 0 {
		s.silentSince.Store(0)
	}
}

// RecordContact records that the guard responded at a monotonic time, so that
// the path works in both directions.
func (s *Server) RecordContact(now time.Duration) {
	s.failures.Store(0)
	s.avoidUntil.Store(0)
	if s.inFlight.Load() > 0 {
		s.silentSince.Store(int64(max(now, 1)))
		return
	}
	s.silentSince.Store(0)
}

// SilentFor returns how long requests have been in flight without any response
// from the guard.
func (s *Server) SilentFor(now time.Duration) time.Duration {
	since := s.silentSince.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}

// StartProbe reports whether a probe of a silent server is due, and if so
// records it as started. Only one of several concurrent calls gets true.
func (s *Server) StartProbe(now time.Duration) bool {
	last := s.probedAt.Load()
	if last != 0 && int64(now)-last < int64(probeGap) {
		return false
	}
	return s.probedAt.CompareAndSwap(last, int64(now))
}

// RecordAnswer records an answer received at a monotonic time and the load that
// the guard reported with it.
func (s *Server) RecordAnswer(now, took time.Duration, load int64) {
	s.RecordContact(now)
	s.RecordLoad(now, load)
	s.RecordLatency(took)
}

// RecordLatency adds an answer time, or a penalty, to the moving average.
func (s *Server) RecordLatency(took time.Duration) {
	sample := float64(took) / float64(time.Microsecond)
	for {
		bits := s.latency.Load()
		average := math.Float64frombits(bits)
		next := sample
		if average > 0 {
			next = average + smoothing*(sample-average)
		}
		if s.latency.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

// RecordFailure records that the server could not be reached at a monotonic time.
func (s *Server) RecordFailure(now time.Duration) {
	failures := s.failures.Add(1)
	if failures < failuresToAvoid {
		return
	}
	doublings := min(failures-failuresToAvoid, maxAvoidDoublings)
	s.avoidUntil.Store(int64(now + avoidTime<<doublings))
}

// RecordRefusal records that the server accepts no requests for now.
func (s *Server) RecordRefusal(now time.Duration) {
	s.avoidUntil.Store(int64(now + refusedTime))
}

// Avoided reports whether the server should get no requests at a monotonic time.
func (s *Server) Avoided(now time.Duration) bool {
	until := s.avoidUntil.Load()
	return until != 0 && int64(now) < until
}

// RecordWarning records, at a monotonic time, how long all requests and those that
// must not run twice should avoid the server. It replaces the last warning.
func (s *Server) RecordWarning(now, avoid, avoidNonIdempotent time.Duration) {
	s.warnedUntil.Store(int64(now + avoid))
	s.warnedNonIdempotentUntil.Store(int64(now + avoidNonIdempotent))
}

// Warned reports whether a warning tells a request to avoid the server at a monotonic time.
func (s *Server) Warned(now time.Duration, idempotent bool) bool {
	until := s.warnedUntil.Load()
	if !idempotent {
		until = s.warnedNonIdempotentUntil.Load()
	}
	return int64(now) < until
}

// WarmupFactor returns the share of its slots that a server gets while it warms
// up. It rises to 1 over the cold start.
func (s *Server) WarmupFactor(now time.Duration) float64 {
	age := now - s.firstSeen
	if s.coldStart <= 0 || age >= s.coldStart {
		return 1
	}
	return max(minWarmupFactor, float64(age)/float64(s.coldStart))
}

// Entry pairs a roster entry with the router's measurements of its server.
type Entry struct {
	Member registrar.Member
	Server *Server
}

// Pool is an immutable list of the servers that a service can be routed to.
type Pool struct {
	// Entries are sorted by incarnation, and none has a nil Server.
	Entries []Entry
	// Aggregate holds the average answer time of the whole pool; only its latency
	// is used. All versions of the pool share it.
	Aggregate *Server
}

// Find returns the entry of an incarnation.
func (p *Pool) Find(incarnation uint64) (Entry, bool) {
	if p == nil {
		return Entry{}, false
	}
	for _, entry := range p.Entries {
		if entry.Member.Incarnation == incarnation {
			return entry, true
		}
	}
	return Entry{}, false
}
