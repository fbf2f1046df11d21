package limiter

import "time"

const (
	// maxRoutes bounds the routes whose service times are kept.
	maxRoutes = 4096
	// meanSamples is the number of samples in a mean. It is high, so that the mean
	// rises slowly and a server that becomes slow does not soon look normal.
	meanSamples = 50
	// minSamples is how many samples a typical time needs.
	minSamples = 3
)

type routeTime struct {
	mean    time.Duration
	samples int
}

// TypicalTimes holds the typical service time of each route at one backend
// server. It is not safe for concurrent use.
type TypicalTimes struct {
	// times holds the service times by the hash of the route's name.
	times map[uint64]routeTime
}

// NewTypicalTimes returns an empty TypicalTimes.
func NewTypicalTimes() *TypicalTimes { return &TypicalTimes{times: map[uint64]routeTime{}} }

// Observe adds the service time of a successful answer.
func (t *TypicalTimes) Observe(route uint64, serviceTime time.Duration) {
	known, ok := t.times[route]
	if !ok && len(t.times) >= maxRoutes {
		clear(t.times)
	}
	known.samples = min(known.samples+1, meanSamples)
	known.mean += (serviceTime - known.mean) / time.Duration(known.samples)
	t.times[route] = known
}

// Time returns the typical service time of a route, 0 if it is not known yet.
func (t *TypicalTimes) Time(route uint64) time.Duration {
	known := t.times[route]
	if known.samples < minSamples {
		return 0
	}
	return known.mean
}
