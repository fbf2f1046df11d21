package detector

// originsKept is the number of recent bad answers whose origins are kept.
const originsKept = 16

// Least numbers of distinct origins among the kept bad answers.
const (
	minCallers = 2
	minRoutes  = 2
)

// Origins keeps the origins of the most recent bad answers.
type Origins struct {
	kept [originsKept]Origin
	next int
	used int
}

// With returns the origins with one more bad answer.
func (o Origins) With(origin Origin) Origins {
	o.kept[o.next] = origin
	o.next = (o.next + 1) % originsKept
	o.used = min(o.used+1, originsKept)
	return o
}

// Distinct tells whether the bad answers came from enough callers and routes.
func (o Origins) Distinct() bool {
	callers := make(map[uint64]struct{}, o.used)
	routes := make(map[uint64]struct{}, o.used)
	for _, origin := range o.kept[:o.used] {
		callers[origin.Caller] = struct{}{}
		routes[origin.Route] = struct{}{}
	}
	return len(callers) >= minCallers && len(routes) >= minRoutes
}
