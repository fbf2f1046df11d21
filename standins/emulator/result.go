package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/foxtailhall/foxtailhall/coordination/searcher"
)

// Figures counts the ends of the requests of one kind.
type Figures struct {
	Requests int
	// InTime is within the objective, Late after it.
	InTime, Late int
	// Refused requests reached no server, Failed ones did.
	Refused, Failed int
	// Held is the total time until the refusals, LongestHold the longest of them.
	Held, LongestHold time.Duration
	// Latencies holds the times until answers, in microseconds.
	Latencies *hdrhistogram.Histogram
}

func newFigures() *Figures {
	const maxLatencyUs, significantDigits = 60_000_000, 2
	return &Figures{Latencies: hdrhistogram.New(1, maxLatencyUs, significantDigits)}
}

// Quantile returns the time within which a percentage of the answers came.
func (f *Figures) Quantile(percentage float64) time.Duration {
	return time.Duration(f.Latencies.ValueAtQuantile(percentage)) * time.Microsecond
}

func (f *Figures) served(took time.Duration, kind Kind) {
	_ = f.Latencies.RecordValue(took.Microseconds())
	switch {
	case took <= kind.Objective:
		f.InTime++
	case took <= kind.Timeout:
		f.Late++
	default:
		f.Failed++
	}
}

// ended returns the number of requests that have ended.
func (f *Figures) ended() int { return f.InTime + f.Late + f.Refused + f.Failed }

// InTimeShare returns the part of the ended requests that were answered in time.
func (f *Figures) InTimeShare() float64 { return float64(f.InTime) / float64(max(1, f.ended())) }

// Refusal reasons of guards, as indexes of Result.Refusals.
const (
	RefusedBusy = iota
	RefusedDoubtful
	RefusedUnfunded
	RefusedOther
	refusalReasons
)

func reasonOf(refusal searcher.Refusal) int {
	switch {
	case refusal.Busy:
		return RefusedBusy
	case refusal.Doubtful:
		return RefusedDoubtful
	case refusal.Unfunded:
		return RefusedUnfunded
	default:
		return RefusedOther
	}
}

// Result is what one run showed.
type Result struct {
	Pattern string
	Servers int
	Kinds   map[string]*Figures
	// Customers holds the figures by customer, the largest first.
	Customers []*Figures
	// Displaced counts the attempts that lost their place in a queue, Shed the requests
	// that their routers rejected without an attempt.
	Displaced, Shed int
	// hot is the customer that the pattern makes hot.
	hot int
	// Attempts counts the attempts at guards, CrossZone those in another zone, and
	// Refusals the refused ones by reason.
	Attempts  int
	CrossZone int
	// CrossServed counts the attempts that ran in another zone than their router's.
	CrossServed int
	Refusals    [refusalReasons]int
	// SlotBreaches counts the runs on servers without a free slot, BudgetBreaches the
	// retries from which on a window held more than allowed. Both must be 0.
	SlotBreaches   int
	BudgetBreaches int
}

// figures returns the figures that a request counts in.
func (r Result) figures(one *request) []*Figures {
	figures := []*Figures{r.Kinds[one.kind.Name]}
	if one.customer >= 0 {
		figures = append(figures, r.Customers[one.customer])
	}
	return figures
}

// ServedShare returns the part of the ended requests that were answered.
func (f *Figures) ServedShare() float64 { return share(f.InTime+f.Late, *f) }

// minCustomerRequests is the number of ended requests from which a customer's share counts.
const minCustomerRequests = 10

// WorstTenth returns the mean share in time of the tenth of the customers with the lowest.
func (r Result) WorstTenth() float64 {
	var shares []float64
	for _, figures := range r.Customers {
		if figures.ended() >= minCustomerRequests {
			shares = append(shares, figures.InTimeShare())
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	worst := shares[:max(1, len(shares)/10)]
	sum := 0.0
	for _, one := range worst {
		sum += one
	}
	return sum / float64(len(worst))
}

// WithoutCustomer returns the share in time of all customers but one.
func (r Result) WithoutCustomer(customer int) float64 {
	var sum Figures
	for i, figures := range r.Customers {
		if i != customer {
			sum.InTime += figures.InTime
			sum.Late += figures.Late
			sum.Refused += figures.Refused
			sum.Failed += figures.Failed
		}
	}
	return sum.InTimeShare()
}

// total returns the figures over all kinds.
func (r Result) total() Figures {
	var sum Figures
	for _, figures := range r.Kinds {
		sum.Requests += figures.Requests
		sum.InTime += figures.InTime
		sum.Late += figures.Late
		sum.Refused += figures.Refused
		sum.Failed += figures.Failed
		sum.Held += figures.Held
		sum.LongestHold = max(sum.LongestHold, figures.LongestHold)
	}
	return sum
}

// Total returns the figures over all kinds.
func (r Result) Total() Figures { return r.total() }

// AttemptsPerRequest returns how many guards one request asked on average.
func (r Result) AttemptsPerRequest() float64 {
	return float64(r.Attempts) / float64(max(1, r.total().Requests))
}

// Sound reports whether no rule was broken.
func (r Result) Sound() bool { return r.SlotBreaches == 0 && r.BudgetBreaches == 0 }

// String returns the result as one line of key=value pairs.
func (r Result) String() string {
	sum := r.total()
	text := fmt.Sprintf("Pattern=%s Servers=%d Requests=%d InTime=%.4f Late=%.4f Refused=%.4f Failed=%.4f "+
		"Attempts=%.3f CrossZone=%.2f CrossServed=%.3f Busy=%d Doubtful=%d Unfunded=%d HeldMs=%d LongestHoldMs=%d",
		r.Pattern, r.Servers, sum.Requests, sum.InTimeShare(), share(sum.Late, sum), share(sum.Refused, sum),
		share(sum.Failed, sum), r.AttemptsPerRequest(), float64(r.CrossZone)/float64(max(1, sum.Requests)),
		float64(r.CrossServed)/float64(max(1, sum.Requests)),
		r.Refusals[RefusedBusy], r.Refusals[RefusedDoubtful], r.Refusals[RefusedUnfunded],
		sum.Held.Milliseconds()/int64(max(1, sum.Refused)), sum.LongestHold.Milliseconds())
	var kinds strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(&kinds, " %s=%.4f %sP99Ms=%d", name, r.Kinds[name].InTimeShare(),
			name, r.Kinds[name].Quantile(99).Milliseconds())
	}
	if len(r.Customers) > 0 {
		fmt.Fprintf(&kinds, " WorstTenth=%.3f Hot=%.3f Others=%.3f Displaced=%d Shed=%d", r.WorstTenth(),
			r.Customers[r.hot].InTimeShare(), r.WithoutCustomer(r.hot), r.Displaced, r.Shed)
	}
	return fmt.Sprintf("%s%s SlotBreaches=%d BudgetBreaches=%d", text, kinds.String(), r.SlotBreaches, r.BudgetBreaches)
}

func share(count int, of Figures) float64 { return float64(count) / float64(max(1, of.ended())) }
