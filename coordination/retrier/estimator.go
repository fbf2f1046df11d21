package retrier

// maxRoutes bounds the routes that an Ancestry remembers.
const maxRoutes = 4096

// NestingEstimator tells how likely a request that begins on a VM was called by a
// repeated run of the backend server there. Callers and the server of a VM can't
// be told apart by their connections, but a server that runs nothing calls
// nothing. It is not safe for concurrent use.
type NestingEstimator struct {
	// callers holds the routes, by the hash of their names, that were asked for
	// while the server ran nothing.
	callers map[uint64]struct{}
}

// NewNestingEstimator returns an Ancestry that takes every route for one of calls.
func NewNestingEstimator() *NestingEstimator {
	return &NestingEstimator{callers: map[uint64]struct{}{}}
}

// MayBeNested tells whether a request of a route may have been called by the server.
func (a *NestingEstimator) MayBeNested(route uint64, running int) bool {
	_, known := a.callers[route]
	return running > 0 && !known
}

// DerivedProbability returns the likelihood, from 0 to 1, for a request of a route that
// comes while the server runs so many requests, some of them repeats.
func (a *NestingEstimator) DerivedProbability(route uint64, running, repeats int) float64 {
	if running == 0 {
		if len(a.callers) >= maxRoutes {
			clear(a.callers)
		}
		a.callers[route] = struct{}{}
		return 0
	}
	if _, ok := a.callers[route]; ok {
		return 0
	}
	return float64(repeats) / float64(running)
}
