package retrier

// maxRoutes bounds the routes that a NestingEstimator remembers.
const maxRoutes = 4096

// NestingEstimator estimates whether a request that enters on a VM is a nested
// call, made by the backend server on that VM while it runs a request, and how
// likely the calling request is a retry. Connections do not tell external
// callers from the backend server, but a server that runs no request makes no
// calls. It is not safe for concurrent use.
type NestingEstimator struct {
	// external holds the hashes of the names of the routes that were requested
	// while the server was idle, which therefore have external callers.
	external map[uint64]struct{}
}

// NewNestingEstimator returns an estimator for which every route may be one of nested calls.
func NewNestingEstimator() *NestingEstimator {
	return &NestingEstimator{external: map[uint64]struct{}{}}
}

// MayBeNested reports whether a request of a route may be a nested call while
// the server runs the given number of requests.
func (e *NestingEstimator) MayBeNested(route uint64, running int) bool {
	_, known := e.external[route]
	return running > 0 && !known
}

// DerivedProbability returns the probability, from 0 to 1, that a request of a
// route is a nested call of a retry, while the server runs the given number of
// requests, retries among them.
func (e *NestingEstimator) DerivedProbability(route uint64, running, retries int) float64 {
	if running == 0 {
		if len(e.external) >= maxRoutes {
			clear(e.external)
		}
		e.external[route] = struct{}{}
		return 0
	}
	if _, ok := e.external[route]; ok {
		return 0
	}
	return float64(retries) / float64(running)
}
