package router

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

// race runs the attempts of one idempotent request. The first good answer wins.
type race struct {
	router  *Router
	request *callerRequest
	servers serverSearch
	results chan raceResult
	pending int
	// cancels holds one function per attempt, in the order of their launch.
	cancels []context.CancelFunc
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// lastStep is the step decided after the attempt that ended last.
	lastStep retrier.Step
	// fallback is an error answer to return if no attempt does better.
	fallback *result
	reason   string
}

// raceResult is the result of one attempt of a race.
type raceResult struct {
	result
	// index is that of the attempt's function in cancels.
	index   int
	insist  bool
	request *callerRequest
}

// handleIdempotent runs a request that may run more than once. Error answers are
// retried and late attempts are hedged, within the retry budget.
func (r *Router) handleIdempotent(ctx context.Context, request *callerRequest, state *ServiceState) (*result, *refusal) {
	attempts := &race{
		router:   r,
		request:  request,
		results:  make(chan raceResult, maxGuardAttempts),
		lastStep: retrier.StepNotRun,
		reason:   "NoBackendServer",
	}
	attempts.launch(ctx)
	hedge := time.NewTimer(hedgeDelay(request, state))
	defer hedge.Stop()
	for attempts.pending > 0 {
		select {
		case outcome := <-attempts.results:
			if winner := attempts.handleResult(ctx, outcome); winner != nil {
				attempts.cancelExcept(outcome.index)
				attempts.cancelFallback()
				return winner, nil
			}
		case <-hedge.C:
			attempts.hedge(ctx)
		case <-ctx.Done():
			attempts.cancelExcept(-1)
			return attempts.timeoutResult(ctx)
		}
	}
	if attempts.fallback != nil {
		return attempts.fallback, nil
	}
	return conclude(ctx, attempts.lastStep, &result{reason: attempts.reason})
}

// timeoutResult returns what the caller gets when the request's context has ended.
func (c *race) timeoutResult(ctx context.Context) (*result, *refusal) {
	if c.fallback != nil {
		return c.fallback, nil
	}
	return nil, unknown(ctx, "DeadlinePassed")
}

// hedgeDelay returns how long to wait for the first attempt before a second one starts:
// the route's late threshold, at most a third of the timeout. Without hedging, or for a
// route without samples, it is a third of the timeout.
func hedgeDelay(request *callerRequest, state *ServiceState) time.Duration {
	const patienceShare = 3
	delay := request.timeout / patienceShare
	if threshold := state.Latencies.Delay(request.routeHash); request.policy.Hedge && threshold > 0 {
		return min(delay, threshold)
	}
	return delay
}

// hedge starts a second attempt if exactly one is pending, the body can be sent again,
// and the limit of arrivals allows it.
func (c *race) hedge(ctx context.Context) {
	if c.request.bodyStream != nil || c.pending != 1 || c.request.arrivals+c.pending >= c.request.maxArrivals() {
		return
	}
	c.launch(ctx)
}

// launch starts one more attempt. It reports whether there was a server for it.
func (c *race) launch(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	entry, choice, insist := c.servers.next(c.router, c.request)
	if entry.Server == nil {
		return false
	}
	if c.pending > 0 {
		c.servers.excluded = append(c.servers.excluded, entry.Member.Incarnation)
	}
	c.pending++
	ctx, cancel := context.WithCancel(ctx)
	index := len(c.cancels)
	c.cancels = append(c.cancels, cancel)
	copied := *c.request
	copied.arrivals += c.pending - 1
	c.request.attempts++
	go func() {
		outcome := c.router.send(ctx, &copied, entry, choice.String(), insist)
		outcome.cancel = joinCancels(outcome.cancel, cancel)
		c.results <- raceResult{result: outcome, index: index, insist: insist, request: &copied}
	}()
	return true
}

// handleResult records the result of one attempt and returns it if it is a good answer.
// Otherwise it starts another attempt if one is allowed.
func (c *race) handleResult(ctx context.Context, outcome raceResult) *result {
	c.pending--
	c.servers.record(&outcome.result, outcome.insist)
	if outcome.mayHaveArrived() {
		c.request.arrivals++
	}
	attemptResult := outcome.attemptResult()
	if attemptResult == retrier.ResultAnswered {
		return &outcome.result
	}
	c.reason = outcome.reason
	if attemptResult == retrier.ResultBadAnswer {
		c.keepFallback(&outcome.result)
	}
	if attemptResult == retrier.ResultRefused && c.pending > 0 {
		return nil
	}
	c.mayHaveRun = c.mayHaveRun || attemptResult != retrier.ResultRefused
	more := !outcome.bodyConsumed && ctx.Err() == nil
	history := retrier.History{
		Kind:       retrier.KindIdempotent,
		CanRetry:   more && c.router.mayRetry(c.request, &outcome.result, c.pending),
		MayHaveRun: c.mayHaveRun,
	}
	c.lastStep = history.AfterAttempt(attemptResult)
	if c.lastStep == retrier.StepRetry && !c.launch(ctx) {
		history.CanRetry = false
		c.lastStep = history.AfterAttempt(attemptResult)
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

// cancelExcept cancels all attempts but the one at an index; -1 cancels all. The
// results of pending attempts are received in the background and their streams canceled.
func (c *race) cancelExcept(keep int) {
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

func (c *race) cancelFallback() {
	if c.fallback != nil {
		c.fallback.cancel()
	}
}
