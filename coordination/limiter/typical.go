package limiter

import "time"

const (
	// maxRoutes bounds the routes whose usual times are kept.
	maxRoutes = 4096
	// usualSamples is how many times a usual time is the mean of. It is long, so
	// that a server that turns slow does not soon pass for a usual one.
	usualSamples = 50
	// leastSamples is how many times make a usual time.
	leastSamples = 3
)

type usualTime struct {
	mean    time.Duration
	samples int
}

// TypicalTimes holds the usual service time of each route at one backend server. It is
// not safe for concurrent use.
type TypicalTimes struct {
	// times holds the usual time by the hash of the route's name.
	times map[uint64]usualTime
}

// NewTypicalTimes returns the usual times of no route.
func NewTypicalTimes() *TypicalTimes { return &TypicalTimes{times: map[uint64]usualTime{}} }

// Observe takes the service time of a good answer.
func (u *TypicalTimes) Observe(route uint64, service time.Duration) {
	have, ok := u.times[route]
	if !ok && len(u.times) >= maxRoutes {
		clear(u.times)
	}
	have.samples = min(have.samples+1, usualSamples)
	have.mean += (service - have.mean) / time.Duration(have.samples)
	u.times[route] = have
}

// Time returns the usual time of a route, 0 if it is not known yet.
func (u *TypicalTimes) Time(route uint64) time.Duration {
	have := u.times[route]
	if have.samples < leastSamples {
		return 0
	}
	return have.mean
}
