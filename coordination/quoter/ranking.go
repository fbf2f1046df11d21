package quoter

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// RestLabel stands for all customers that are not counted by name.
	RestLabel = "(rest)"
	// maxNamed bounds the customers that are counted by name, and maxRanked those among
	// which the heaviest are sought.
	maxNamed  = 40
	maxRanked = 2000
	// namedEach is how many customers a ranking may add to the named ones.
	namedEach = 20
)

// Ranking chooses the customers whose counters have their own name: the heaviest ones, so
// that the number of metrics is bounded. A name that was given once is kept. It is not safe
// for concurrent use.
type Ranking struct {
	counts map[string]float64
	named  map[string]struct{}
}

// NewRanking returns a ranking without customers.
func NewRanking() *Ranking {
	return &Ranking{counts: map[string]float64{}, named: map[string]struct{}{}}
}

// Count counts one request of a customer and returns the name to count it by.
func (r *Ranking) Count(customer string) string {
	if _, known := r.counts[customer]; known || len(r.counts) < maxRanked {
		r.counts[customer]++
	}
	if _, ok := r.named[customer]; ok {
		return customer
	}
	return RestLabel
}

// Rank names the heaviest customers and lets older requests count less.
func (r *Ranking) Rank() {
	names := slices.SortedFunc(maps.Keys(r.counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.counts[b], r.counts[a]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(namedEach, len(names))] {
		if len(r.named) < maxNamed {
			r.named[name] = struct{}{}
		}
	}
	for _, name := range names {
		if r.counts[name] /= 2; r.counts[name] < 1 {
			delete(r.counts, name)
		}
	}
}
