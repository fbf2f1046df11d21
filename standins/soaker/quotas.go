package soaker

import (
	"fmt"
	"slices"
	"time"
)

const (
	// quotaWindow, quotaTolerance and quotaSlack are the figures of the rule of quotas: see docs/hard-load.md.
	quotaWindow    = 5 * time.Second
	quotaTolerance = 1.1
	quotaSlack     = 20
)

// quotaFactors are the rates of customers, in turn, as multiples of what they send. The first is exceeded all the
// time, 0 means no limit, and the third is not exceeded.
var quotaFactors = []float64{0.2, 0, 1.6}

// passage is a request that a server ran.
type passage struct {
	sent, ran time.Time
}

// checkQuotas checks that of the requests of each limited customer that are sent in any window, no more reach a
// server in the same window than the quota allows. Quotas do not change during a run.
func (c *checker) checkQuotas(f *fleet) {
	if !f.options.Quotas {
		return
	}
	passages := map[string][]passage{}
	for _, got := range c.answers {
		if runs := c.runs[got.ID]; got.Credential.key != nil && len(runs) > 0 {
			holder := got.Credential.key.holder
			passages[holder] = append(passages[holder], passage{sent: got.Sent, ran: runs[0].At})
		}
	}
	for _, one := range f.customers.all {
		limit := (one.rate*quotaWindow.Seconds()+one.burst)*quotaTolerance + quotaSlack
		if most, from := busiestWindow(passages[one.name]); one.rate > 0 && float64(most) > limit {
			c.addViolationLocked("Quota", fmt.Sprintf("%s ran %d requests in the %s from %s on, limit %.0f",
				one.name, most, quotaWindow, from.Format(time.StampMilli), limit))
		}
	}
}

// busiestWindow returns the largest number of requests that are sent and reach a server within one window, and
// the start of the window. Some window with the largest number starts when one of its requests is sent.
func busiestWindow(passages []passage) (most int, from time.Time) {
	slices.SortFunc(passages, func(a, b passage) int { return a.sent.Compare(b.sent) })
	for i, first := range passages {
		end, count := first.sent.Add(quotaWindow), 0
		for _, p := range passages[i:] {
			if p.sent.After(end) {
				break
			}
			if !p.ran.After(end) {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}
