package tracker

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// reportSmoothing is the weight of a new report in a pool's averages.
	reportSmoothing = 0.02
	// slownessSmoothing is the weight of a new sample in the moving average of ln of the
	// slowness, after the first ones, which weigh more.
	slownessSmoothing = 0.1
	// slownessPrior is the number of samples that the assumption of no slowness counts for.
	slownessPrior = 2
	// certainSlowness is the slowness from which on a server counts as slow, and
	// 1/certainSlowness as fast. Below it lies the noise of heavy tails: if that counts,
	// routers leave their own server for others without cause and make 10 % more attempts.
	certainSlowness = 1.6
	// maxSlowness bounds the slowness in both directions.
	maxSlowness = 16.0
	// slownessLifetime is the time after its last sample over which a slowness gives way to 1.
	slownessLifetime = time.Minute
)

// work is the work left at a server as one router knows it. Times are monotonic and
// amounts service time of one slot.
type work struct {
	// reported is what the guard last reported, and reportedAt the time of the report, 0
	// if the guard reports no work.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// own is the expected work of this router's requests in flight, and unreported the
	// part that was sent since the last report.
	own        atomic.Int64
	unreported atomic.Int64
	// slowness holds the float64 bits of the average of ln of the server's service times
	// relative to the expected ones, and slownessAt the time of its last sample.
	slowness        atomic.Uint64
	slownessAt      atomic.Int64
	slownessSamples atomic.Int64
	// meanLoad and meanWork hold the float64 bits of the averages per slot of reported loads
	// and of reported work in ns; only those of a pool's aggregate are used.
	meanLoad atomic.Uint64
	meanWork atomic.Uint64
}

// BeginWork counts the expected work of a request that is sent. EndWork must undo it.
func (s *Server) BeginWork(expected time.Duration) {
	s.work.own.Add(int64(expected))
	s.work.unreported.Add(int64(expected))
}

// EndWork undoes BeginWork once the request has finished.
func (s *Server) EndWork(expected time.Duration) { s.work.own.Add(-int64(expected)) }

// RecordWork records the work that the guard reported at a monotonic time together with
// its load. A guard with a load but without work does not report work.
func (s *Server) RecordWork(now, left time.Duration, load int64) {
	if left <= 0 && load > 0 {
		s.work.reportedAt.Store(0)
		return
	}
	s.work.reported.Store(int64(left))
	s.work.reportedAt.Store(int64(max(now, 1)))
	s.work.unreported.Store(0)
}

// Work estimates the work left at the server at a monotonic time: what the guard last
// reported, with a weight that falls with its age because requests finish, and what this
// router has sent since. Without a report it is the load times the given mean at the
// server's slowness.
func (s *Server) Work(now, mean time.Duration) time.Duration {
	reportedAt := s.work.reportedAt.Load()
	if reportedAt == 0 {
		return time.Duration(float64(s.Load(now)) * float64(mean) * s.Slowness(now))
	}
	weight := 1 - s.UnknownShare(now)
	own := s.work.own.Load()
	sent := min(own, s.work.unreported.Load())
	return time.Duration(max(own, int64(weight*float64(s.work.reported.Load()))+sent))
}

// UnknownShare returns the share of the server's load and work that is no longer known
// because the last report has aged. It is 0 for a guard that does not report work.
func (s *Server) UnknownShare(now time.Duration) float64 {
	age, reported := s.WorkAge(now)
	if !reported {
		return 0
	}
	return min(1, max(0, float64(age)/float64(reportLifetime)))
}

// WorkAge returns the age of the last report of work, and whether there is one.
func (s *Server) WorkAge(now time.Duration) (time.Duration, bool) {
	reportedAt := s.work.reportedAt.Load()
	return now - time.Duration(reportedAt), reportedAt != 0
}

// RecordReport adds a report of a server with some slots to the pool's averages.
func (s *Server) RecordReport(slots uint32, load int64, left time.Duration) {
	add := func(average *atomic.Uint64, sample float64) {
		have := math.Float64frombits(average.Load())
		average.Store(math.Float64bits(have + reportSmoothing*(sample-have)))
	}
	count := float64(max(slots, 1))
	add(&s.work.meanLoad, float64(load)/count)
	add(&s.work.meanWork, float64(left)/count)
}

// MeanReport returns the averages per slot of the loads and of the work that were reported.
func (s *Server) MeanReport() (load float64, left time.Duration) {
	return math.Float64frombits(s.work.meanLoad.Load()), time.Duration(math.Float64frombits(s.work.meanWork.Load()))
}

// RecordSlowness adds a service time relative to the expected one to the server's
// slowness. It averages logarithms: with 3 of 100 requests at 7 times the usual work an
// average of the ratios themselves would take a sound server for a slow one.
func (s *Server) RecordSlowness(now, expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	limit := math.Log(maxSlowness)
	sample := min(max(math.Log(took.Seconds()/expected.Seconds()), -limit), limit)
	average := math.Float64frombits(s.work.slowness.Load())
	weight := max(slownessSmoothing, 1/float64(s.work.slownessSamples.Add(1)+slownessPrior))
	s.work.slowness.Store(math.Float64bits(average + weight*(sample-average)))
	s.work.slownessAt.Store(int64(max(now, 1)))
}

// Slowness returns how many times the expected service time requests take at the server.
// It is 1 without samples and returns there as the last sample ages.
func (s *Server) Slowness(now time.Duration) float64 {
	age := float64(int64(now) - s.work.slownessAt.Load())
	weight := min(1, max(0, 1-age/float64(slownessLifetime)))
	return math.Exp(weight * math.Float64frombits(s.work.slowness.Load()))
}

// Slowness returns how many times longer a request takes at a server than at the average
// one of the pool, 1 unless the difference is certain.
func (p *Pool) Slowness(now time.Duration, server *Server) float64 {
	slowness := server.Slowness(now) / p.Aggregate.Slowness(now)
	if slowness < certainSlowness && slowness > 1/certainSlowness {
		return 1
	}
	return slowness
}
