package router

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

// race runs the attempts of one idempotent request.
type race struct {
	router  *Router
	request *call
	servers search
	results chan entrant
	pending int
	// cancels ends each attempt that was launched, in order.
	cancels []context.CancelFunc
	// mayHaveRun is set by the first attempt that may have run.
	mayHaveRun bool
	// last is the step after the latest attempt that ended.
	last retrier.Step
	// fallback is a bad answer to give if no attempt does better.
	fallback *result
	reason   string
}

// entrant is the end of one attempt of a race.
type entrant struct {
	result
	// index is the attempt's place in cancels.
	index   int
	insist  bool
	request *call
}

// handleIdempotent runs a request that may run more than once: bad answers are
// tried again, late ones are hedged, all within the retry budget.
func (r *Router) handleIdempotent(ctx context.Context, request *call, lane *ServiceState) (*result, *refusal) {
	contest := &race{
		router:  r,
		request: request,
		results: make(chan entrant, maxAsked),
		last:    retrier.StepNotRun,
		reason:  "NoBackendServer",
	}
	contest.launch(ctx)
	hedge := time.NewTimer(hedgeDelay(request, lane))
	defer hedge.Stop()
	for contest.pending > 0 {
		select {
		case outcome := <-contest.results:
			if winner := contest.take(ctx, outcome); winner != nil {
				contest.drop(outcome.index)
				contest.dropFallback()
				return winner, nil
			}
		case <-hedge.C:
			contest.hedge(ctx)
		case <-ctx.Done():
			contest.drop(-1)
			return contest.late(ctx)
		}
	}
	if contest.fallback != nil {
		return contest.fallback, nil
	}
	return conclude(ctx, contest.last, &result{reason: contest.reason})
}

// late ends a race whose deadline has passed or whose caller has gone.
func (c *race) late(ctx context.Context) (*result, *refusal) {
	if c.fallback != nil {
		return c.fallback, nil
	}
	return nil, unknown(ctx, "DeadlinePassed")
}

// hedgeDelay is the route's own late time, or a share of the patience without hedging.
func hedgeDelay(request *call, lane *ServiceState) time.Duration {
	const patienceShare = 3
	delay := request.patience / patienceShare
	if late := lane.Latencies.Delay(request.routeHash); request.policy.Hedge && late > 0 {
		return min(delay, late)
	}
	return delay
}

// hedge starts a second attempt beside a late one.
func (c *race) hedge(ctx context.Context) {
	if c.request.long != nil || c.pending != 1 || c.request.arrivals+c.pending >= c.request.maxArrivals() {
		return
	}
	c.launch(ctx)
}

// launch starts one more attempt and tells whether there was a server for it.
func (c *race) launch(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	entry, why, insist := c.servers.next(c.router, c.request)
	if entry.Server == nil {
		return false
	}
	if c.pending > 0 {
		c.servers.spent = append(c.servers.spent, entry.Member.Incarnation)
	}
	c.pending++
	ctx, cancel := context.WithCancel(ctx)
	index := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	copied := *c.request
	copied.arrivals += c.pending - 1
	c.request.attempts++
	go func() {
		outcome := c.router.send(ctx, &copied, entry, why.String(), insist)
		outcome.cancel = joined(outcome.cancel, cancel)
		c.results <- entrant{result: outcome, index: index, insist: insist, request: &copied}
	}()
	return true
}

// take handles the end of one attempt and returns it if it wins.
func (c *race) take(ctx context.Context, outcome entrant) *result {
	c.pending--
	c.servers.note(&outcome.result, outcome.insist)
	if outcome.arrived() {
		c.request.arrivals++
	}
	end := outcome.end()
	if end == retrier.ResultAnswered {
		return &outcome.result
	}
	c.reason = outcome.reason
	if end == retrier.ResultBadAnswer {
		c.keepFallback(&outcome.result)
	}
	if end == retrier.ResultRefused && c.pending > 0 {
		return nil
	}
	c.mayHaveRun = c.mayHaveRun || end != retrier.ResultRefused
	more := !outcome.touched && ctx.Err() == nil
	history := retrier.History{
		Kind:       retrier.KindIdempotent,
		CanRetry:   more && c.router.mayRetry(c.request, &outcome.result, c.pending),
		MayHaveRun: c.mayHaveRun,
	}
	c.last = history.AfterAttempt(end)
	if c.last == retrier.StepRetry && !c.launch(ctx) {
		history.CanRetry = false
		c.last = history.AfterAttempt(end)
	}
	return nil
}

func (c *race) keepFallback(outcome *result) {
	if c.fallback != nil {
		outcome.cancel()
		return
	}
	c.fallback = outcome
}

// drop ends all attempts but the one at an index.
func (c *race) drop(keep int) {
	for i, cancel := range c.cancels {
		if i != keep {
			cancel()
		}
	}
	pending, results := c.pending, c.results
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			(<-results).cancel()
		}
	}()
}

func (c *race) dropFallback() {
	if c.fallback != nil {
		c.fallback.cancel()
	}
}
