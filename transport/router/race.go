package router

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

// race runs the attempts of one idempotent request.
type race struct {
	router  *Router
	lane    *Lane
	request *call
	results chan result
	tried   []uint64
	pending int
	// cancels ends each attempt that was launched.
	cancels []context.CancelFunc
	// mayHaveRun is set by the first attempt that may have run.
	mayHaveRun bool
	// last is the step after the latest attempt that ended.
	last retrier.Step
	// fallback is a bad answer to give if no attempt does better.
	fallback *result
	reason   string
}

// handleIdempotent runs a request that may run more than once: bad answers are
// tried again, late ones are hedged, all within the retry budget.
func (r *Router) handleIdempotent(ctx context.Context, request *call, lane *Lane) (*result, *refusal) {
	contest := &race{
		router:  r,
		lane:    lane,
		request: request,
		results: make(chan result, retrier.MaxAttempts),
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
				contest.drop(winner)
				return winner, nil
			}
		case <-hedge.C:
			if request.long == nil && lane.Budget.Take() {
				contest.launch(ctx)
			}
		case <-ctx.Done():
			contest.drop(nil)
			return nil, unknown(ctx, "DeadlinePassed")
		}
	}
	if contest.fallback != nil {
		return contest.fallback, nil
	}
	return conclude(ctx, contest.last, &result{reason: contest.reason})
}

// hedgeDelay is the pool's own late time, or a share of the patience without hedging.
func hedgeDelay(request *call, lane *Lane) time.Duration {
	const patienceShare = 3
	delay := request.patience / patienceShare
	if late := lane.Late.Delay(); request.policy.Hedge && late > 0 {
		return min(delay, late)
	}
	return delay
}

// launch starts one more attempt and tells whether there was a server for it.
func (c *race) launch(ctx context.Context) bool {
	if len(c.tried) >= retrier.MaxAttempts || ctx.Err() != nil {
		return false
	}
	entry, why := c.router.pick(c.request, c.tried)
	if entry.Server == nil {
		return false
	}
	c.tried = append(c.tried, entry.Member.Incarnation)
	c.pending++
	ctx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	copied := *c.request
	c.request.attempts++
	go func() {
		outcome := c.router.send(ctx, &copied, entry, why.String())
		outcome.cancel = cancel
		c.results <- outcome
	}()
	return true
}

// take handles the end of one attempt and returns it if it wins.
func (c *race) take(ctx context.Context, outcome result) *result {
	c.pending--
	end := outcome.end()
	if end == retrier.EndAnswered {
		return &outcome
	}
	c.reason = outcome.reason
	if end == retrier.EndBadAnswer {
		c.keepFallback(&outcome)
	}
	c.mayHaveRun = c.mayHaveRun || end != retrier.EndRefused
	spent := outcome.touched || c.request.long != nil && end != retrier.EndRefused
	more := !spent && len(c.tried) < retrier.MaxAttempts && ctx.Err() == nil
	history := retrier.History{
		Kind:       retrier.KindIdempotent,
		More:       more && c.router.mayRetry(c.lane, outcome),
		MayHaveRun: c.mayHaveRun,
	}
	c.last = history.AfterAttempt(end)
	if c.last == retrier.StepRetry && !c.launch(ctx) {
		history.More = false
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

// drop ends all attempts but the winner.
func (c *race) drop(winner *result) {
	if c.fallback != nil && c.fallback != winner {
		c.fallback.cancel()
	}
	pending := c.pending
	cancels := c.cancels
	results := c.results
	keep := -1
	if winner != nil {
		for i, incarnation := range c.tried {
			if incarnation == winner.entry.Member.Incarnation {
				keep = i
			}
		}
	}
	for i, cancel := range cancels {
		if i != keep {
			cancel()
		}
	}
	for range pending {
		go func() { (<-results).cancel() }()
	}
}
