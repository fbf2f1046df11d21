package limiter

import "time"

// maxRoutes bounds the routes whose usual times are kept.
const maxRoutes = 4096

// Usual holds the usual service time of each route at one backend server. It is
// not safe for concurrent use.
type Usual struct {
	// times holds the smoothed service time by the hash of the route's name.
	times map[uint64]time.Duration
}

// NewUsual returns the usual times of no route.
func NewUsual() *Usual { return &Usual{times: map[uint64]time.Duration{}} }

// Observe takes the service time of a finished request.
func (u *Usual) Observe(route uint64, service time.Duration) {
	have, ok := u.times[route]
	if !ok {
		if len(u.times) >= maxRoutes {
			clear(u.times)
		}
		u.times[route] = service
		return
	}
	u.times[route] = have + time.Duration(smoothing*float64(service-have))
}

// Time returns the usual time of a route, 0 if it is not known.
func (u *Usual) Time(route uint64) time.Duration { return u.times[route] }
