package detector

// maxOrigins is the number of recent bad responses whose origins are kept.
const maxOrigins = 16

// Minimum numbers of distinct callers and routes among the kept origins.
const (
	minCallers = 2
	minRoutes  = 2
)

// Origins is a ring buffer of the origins of the most recent bad responses.
type Origins struct {
	ring  [maxOrigins]Origin
	next  int
	count int
}

// With returns the origins with that of one more bad response.
func (o Origins) With(origin Origin) Origins {
	o.ring[o.next] = origin
	o.next = (o.next + 1) % maxOrigins
	o.count = min(o.count+1, maxOrigins)
	return o
}

// FromDistinctSources reports whether the bad responses came from at least minCallers
// callers and minRoutes routes.
func (o Origins) FromDistinctSources() bool {
	callers := make(map[uint64]struct{}, o.count)
	routes := make(map[uint64]struct{}, o.count)
	for _, origin := range o.ring[:o.count] {
		callers[origin.Caller] = struct{}{}
		routes[origin.Route] = struct{}{}
	}
	return len(callers) >= minCallers && len(routes) >= minRoutes
}
