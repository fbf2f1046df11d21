// Package tracker holds what one router knows of each backend server, read and
// changed by requests through atomics.
package tracker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// smoothing is the weight of a new answer time.
	smoothing = 0.2
	// failuresToAvoid is the number of path failures in a row from which a server is avoided.
	failuresToAvoid = 2
	// avoidTime is how long a first avoidance lasts; it doubles with each further failure.
	avoidTime = 500 * time.Millisecond
	// maxAvoidDoublings bounds the doubling.
	maxAvoidDoublings = 5
	// refusedTime is how long a server that refuses as leaving or ejected is passed over.
	refusedTime = time.Second
	// probeGap is the least time between two probes of a silent path.
	probeGap = 1500 * time.Millisecond
	// reportLifetime is how long a reported load counts for something.
	reportLifetime = time.Second
	// coldShare is the least share of its slots that a new server counts with.
	coldShare = 0.25
)

// Server is the router's view of one backend server. It is safe for concurrent use.
type Server struct {
	incarnation uint64
	// firstSeen and coldStart are monotonic times; they never change.
	firstSeen time.Duration
	coldStart time.Duration
	// latency holds the bits of the smoothed answer time in microseconds as a float.
	latency atomic.Uint64
	// inFlight counts this router's own requests at the server.
	inFlight atomic.Int64
	// reported is the load that the guard told last, and reportedAt the monotonic time of it.
	reported   atomic.Int64
	reportedAt atomic.Int64
	failures   atomic.Int64
	// avoidUntil is a monotonic time; 0 means that the server is not avoided.
	avoidUntil atomic.Int64
	// silentSince is the monotonic time of the first request that nothing was
	// heard of since; 0 means that no such request is in flight.
	silentSince atomic.Int64
	// probedAt is the monotonic time of the last probe of a silent path.
	probedAt atomic.Int64
}

// New returns the view of a server first seen at a monotonic time.
func New(incarnation uint64, firstSeen, coldStart time.Duration) *Server {
	return &Server{incarnation: incarnation, firstSeen: firstSeen, coldStart: coldStart}
}

// Incarnation returns the incarnation of the server's guard.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// InFlight counts this router's own requests at the server.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Load estimates the requests at the server at a monotonic time: those of this
// router or those that the guard last reported, whichever are more. A report
// loses its weight as the requests that it counted come to their ends.
func (s *Server) Load(now time.Duration) int64 {
	age := now - time.Duration(s.reportedAt.Load())
	left := 1 - float64(age)/float64(reportLifetime)
	return max(s.inFlight.Load(), int64(float64(s.reported.Load())*left+0.5))
}

// RecordLoad notes at a monotonic time a load that the guard told with a refusal.
func (s *Server) RecordLoad(now time.Duration, load int64) {
	s.reported.Store(load)
	s.reportedAt.Store(int64(now))
}

// Latency returns the smoothed answer time in microseconds, 0 before the first answer.
func (s *Server) Latency() float64 {
	return math.Float64frombits(s.latency.Load())
}

// Begin counts a request that is sent at a monotonic time.
func (s *Server) Begin(now time.Duration) {
	s.inFlight.Add(1)
	s.silentSince.CompareAndSwap(0, int64(max(now, 1)))
}

// End counts a request off that Begin counted.
func (s *Server) End() {
	if s.inFlight.Add(-1) == 0 {
		s.silentSince.Store(0)
	}
}

// RecordContact notes at a monotonic time that the path works in both directions.
func (s *Server) RecordContact(now time.Duration) {
	s.failures.Store(0)
	s.avoidUntil.Store(0)
	if s.inFlight.Load() > 0 {
		s.silentSince.Store(int64(max(now, 1)))
		return
	}
	s.silentSince.Store(0)
}

// SilentFor returns how long requests have been in flight without a sign of the guard.
func (s *Server) SilentFor(now time.Duration) time.Duration {
	since := s.silentSince.Load()
	if since == 0 {
		return 0
	}
	return now - time.Duration(since)
}

// StartProbe tells whether a probe of the silent path is due, and notes it.
func (s *Server) StartProbe(now time.Duration) bool {
	last := s.probedAt.Load()
	if last != 0 && int64(now)-last < int64(probeGap) {
		return false
	}
	return s.probedAt.CompareAndSwap(last, int64(now))
}

// RecordAnswer notes an answer that came at a monotonic time, with the load that the guard told.
func (s *Server) RecordAnswer(now, took time.Duration, load int64) {
	s.RecordContact(now)
	s.RecordLoad(now, load)
	s.RecordLatency(took)
}

// RecordLatency notes an answer time, or a penalty in its place.
func (s *Server) RecordLatency(took time.Duration) {
	sample := float64(took) / float64(time.Microsecond)
	for {
		bits := s.latency.Load()
		have := math.Float64frombits(bits)
		next := sample
		if have > 0 {
			next = have + smoothing*(sample-have)
		}
		if s.latency.CompareAndSwap(bits, math.Float64bits(next)) {
			return
		}
	}
}

// RecordFailure notes a failure of the path at a monotonic time.
func (s *Server) RecordFailure(now time.Duration) {
	failures := s.failures.Add(1)
	if failures < failuresToAvoid {
		return
	}
	doublings := min(failures-failuresToAvoid, maxAvoidDoublings)
	s.avoidUntil.Store(int64(now + avoidTime<<doublings))
}

// RecordRefusal notes that the server takes no work for now.
func (s *Server) RecordRefusal(now time.Duration) {
	s.avoidUntil.Store(int64(now + refusedTime))
}

// Avoided tells whether the server is passed over at a monotonic time.
func (s *Server) Avoided(now time.Duration) bool {
	until := s.avoidUntil.Load()
	return until != 0 && int64(now) < until
}

// WarmupFactor returns the share of its slots that the server counts with, up to 1.
func (s *Server) WarmupFactor(now time.Duration) float64 {
	age := now - s.firstSeen
	if s.coldStart <= 0 || age >= s.coldStart {
		return 1
	}
	return max(coldShare, float64(age)/float64(s.coldStart))
}

// Entry joins a roster entry with the router's view of its server.
type Entry struct {
	Member registrar.Member
	Server *Server
}

// Pool is the choice of servers of one service. It is never changed once built.
type Pool struct {
	// Entries are sorted by incarnation, and none has a nil Server.
	Entries []Entry
	// Aggregate is the smoothed answer time of the whole pool, shared by all
	// versions of the pool.
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
