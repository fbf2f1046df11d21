package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// maxRanks bounds the ranks that have rates of their own. Requests without a customer
	// have at most trackedRanks of them.
	maxRanks = 64
	// trackedRanks is how many ranks requests without a customer are told apart by. Ranks
	// above the last share its rate.
	trackedRanks = 8
	// rateWindow is the time constant of a rate's exponential decay.
	rateWindow = 2 * time.Second
)

// rate counts events with an exponential decay over rateWindow.
type rate struct {
	count float64
	at    clocker.Instant
}

// perSecond returns the rate at a time.
func (r *rate) perSecond(now clocker.Instant) float64 {
	return r.count * math.Exp(-now.Since(r.at).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}

func (r *rate) add(now clocker.Instant) {
	r.count = r.perSecond(now)*rateWindow.Seconds() + 1
	r.at = now
}

// rankRate is the admission rate of one rank.
type rankRate struct {
	rank uint32
	rate rate
}

// rankRates holds the admission rates of the ranks that occur, the most urgent first.
type rankRates []rankRate

func (r rankRates) find(rank uint32) (int, bool) {
	return slices.BinarySearchFunc(r, rank, func(have rankRate, want uint32) int { return cmp.Compare(have.rank, want) })
}

// add counts an admission. If there are too many ranks, the one with the lowest rate is dropped.
func (r *rankRates) add(now clocker.Instant, rank uint32) {
	i, ok := r.find(rank)
	if !ok {
		if len(*r) >= maxRanks {
			r.dropLowest(now)
			i, _ = r.find(rank)
		}
		*r = slices.Insert(*r, i, rankRate{rank: rank})
	}
	(*r)[i].rate.add(now)
}

func (r *rankRates) dropLowest(now clocker.Instant) {
	lowest := 0
	for i := range *r {
		if (*r)[i].rate.perSecond(now) < (*r)[lowest].rate.perSecond(now) {
			lowest = i
		}
	}
	*r = slices.Delete(*r, lowest, lowest+1)
}

// leftOver returns what more urgent ranks leave of a capacity in requests per second.
func (r rankRates) leftOver(now clocker.Instant, rank uint32, capacity float64) float64 {
	for i := range r {
		if r[i].rank >= rank {
			break
		}
		capacity -= r[i].rate.perSecond(now)
	}
	return capacity
}
