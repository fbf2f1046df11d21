package retrier

// maxRoutes bounds the routes that a NestingEstimator remembers.
const maxRoutes = 4096

// RunningRequest is a request that the backend server runs at the moment.
type RunningRequest struct {
	// Route is the hash of the name of its route.
	Route uint64
	// Retry is set if an earlier attempt of the request may have run.
	Retry bool
}

// NestingEstimator estimates whether a request that enters on a VM is a nested
// call, made by the backend server on that VM while it runs a request, and how
// likely the calling request is a retry. Connections do not tell external
// callers from the backend server, but a server that runs no request makes no
// calls. It is not safe for concurrent use.
type NestingEstimator struct {
	// external holds the hashes of the names of the routes that were requested
	// while the server was idle, which therefore have external callers.
	external map[uint64]struct{}
	// parents holds, by the route of a nested call, the routes of the requests
	// that made one. They are known from calls made while a single request ran.
	parents map[uint64]map[uint64]struct{}
}

// NewNestingEstimator returns an estimator for which every route may be one of nested calls.
func NewNestingEstimator() *NestingEstimator {
	return &NestingEstimator{external: map[uint64]struct{}{}, parents: map[uint64]map[uint64]struct{}{}}
}

// MayBeNested reports whether a request of a route may be a nested call while
// the server runs the given number of requests.
func (e *NestingEstimator) MayBeNested(route uint64, running int) bool {
	_, known := e.external[route]
	return running > 0 && !known
}

// DerivedProbability returns the probability, from 0 to 1, that a request of a
// route is a nested call of a retry, while the server runs the given requests.
func (e *NestingEstimator) DerivedProbability(route uint64, running []RunningRequest) float64 {
	if len(running) == 0 {
		e.addExternal(route)
		return 0
	}
	if _, ok := e.external[route]; ok {
		return 0
	}
	return e.CallDerivedProbability(route, running)
}

// CallDerivedProbability returns the probability, from 0 to 1, that a request that is
// known to be a nested call was made by a retry, while the server runs the given requests.
func (e *NestingEstimator) CallDerivedProbability(route uint64, running []RunningRequest) float64 {
	if len(running) == 0 {
		return 0
	}
	if len(running) == 1 {
		e.addParent(route, running[0].Route)
	}
	candidates, retries := 0, 0
	for _, request := range e.possibleParents(route, running) {
		candidates++
		if request.Retry {
			retries++
		}
	}
	return float64(retries) / float64(candidates)
}

func (e *NestingEstimator) addExternal(route uint64) {
	if len(e.external) >= maxRoutes {
		clear(e.external)
	}
	e.external[route] = struct{}{}
	delete(e.parents, route)
}

func (e *NestingEstimator) addParent(route, parent uint64) {
	if e.parents[route] == nil {
		if len(e.parents) >= maxRoutes {
			clear(e.parents)
		}
		e.parents[route] = map[uint64]struct{}{}
	}
	if len(e.parents[route]) < maxRoutes {
		e.parents[route][parent] = struct{}{}
	}
}

// possibleParents returns the running requests whose routes are known to make calls
// of a route, or all of them if there is none.
func (e *NestingEstimator) possibleParents(route uint64, running []RunningRequest) []RunningRequest {
	var known []RunningRequest
	for _, request := range running {
		if _, ok := e.parents[route][request.Route]; ok {
			known = append(known, request)
		}
	}
	if len(known) == 0 {
		return running
	}
	return known
}
