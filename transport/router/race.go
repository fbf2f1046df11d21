package router

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
)

// race runs the attempts of one idempotent request. The first good answer wins.
type race struct {
	router  *Router
	request *callerRequest
	search  searcher.Search
	results chan raceResult
	pending int
	// cancels holds one function per attempt, in the order of their launch.
	cancels []context.CancelFunc
	// lastServer is the incarnation of the server of the attempt launched last.
	lastServer uint64
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
		search:   newSearch(request),
		results:  make(chan raceResult, searcher.MaxAttempts),
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
func (r *race) timeoutResult(ctx context.Context) (*result, *refusal) {
	if r.fallback != nil {
		return r.fallback, nil
	}
	return nil, unknown(ctx, "DeadlinePassed")
}

// hedgeDelay returns how long to wait for the first attempt before a second one starts:
// the route's late threshold, at most a third of the timeout. Without hedging, or for a
// route without samples, it is a third of the timeout.
func hedgeDelay(request *callerRequest, state *ServiceState) time.Duration {
	const timeoutDivisor = 3
	delay := request.timeout / timeoutDivisor
	if threshold := state.Latencies.Delay(request.routeHash); request.policy.Hedge && threshold > 0 {
		return min(delay, threshold)
	}
	return delay
}

// hedge starts a second attempt if exactly one is pending, the body can be sent again,
// and the limit of arrivals allows it. It goes to another server than the pending one: the
// answers of two attempts at one server can't be told apart.
func (r *race) hedge(ctx context.Context) {
	if r.request.bodyStream != nil || r.pending != 1 || r.request.arrivals+r.pending >= r.request.maxArrivals() {
		return
	}
	r.search.Exclude(r.lastServer)
	r.launch(ctx)
}

// launch starts one more attempt. It reports whether there was a server for it.
func (r *race) launch(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	choice := r.router.nextServer(r.request, &r.search)
	if choice.Entry.Server == nil {
		return false
	}
	if r.pending > 0 {
		r.search.Exclude(choice.Entry.Member.Incarnation)
	}
	r.lastServer = choice.Entry.Member.Incarnation
	r.pending++
	ctx, cancel := context.WithCancel(ctx)
	index := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	copied := *r.request
	copied.arrivals += r.pending - 1
	r.request.funded = false
	r.request.attempts++
	go func() {
		outcome := r.router.sendContained(ctx, &copied, choice)
		outcome.cancel = joinCancels(outcome.cancel, cancel)
		r.results <- raceResult{result: outcome, index: index, insist: choice.Insist, request: &copied}
	}()
	return true
}

// handleResult records the result of one attempt and returns it if it is a good answer.
// Otherwise it starts another attempt if one is allowed.
func (r *race) handleResult(ctx context.Context, outcome raceResult) *result {
	r.pending--
	r.search.Record(outcome.entry.Member.Incarnation, outcome.refusal(), outcome.insist)
	if outcome.mayHaveArrived() {
		r.request.arrivals++
	}
	r.request.funded = r.request.funded || outcome.request.funded
	r.request.unanswered = max(r.request.unanswered, outcome.request.unanswered)
	r.request.retryAfter = soonest(r.request.retryAfter, outcome.request.retryAfter)
	attemptResult := outcome.attemptResult()
	if attemptResult == retrier.ResultAnswered {
		return &outcome.result
	}
	r.reason = outcome.reason
	if attemptResult == retrier.ResultBadAnswer {
		r.keepFallback(&outcome.result)
	}
	if attemptResult == retrier.ResultRefused && r.pending > 0 {
		return nil
	}
	r.mayHaveRun = r.mayHaveRun || attemptResult != retrier.ResultRefused
	more := !outcome.bodyConsumed && ctx.Err() == nil
	history := retrier.History{
		Kind:       retrier.KindIdempotent,
		CanRetry:   more && r.router.mayRetry(r.request, &outcome.result, r.pending),
		MayHaveRun: r.mayHaveRun,
	}
	r.lastStep = history.AfterAttempt(attemptResult)
	if r.lastStep == retrier.StepRetry && !r.launch(ctx) {
		history.CanRetry = false
		r.lastStep = history.AfterAttempt(attemptResult)
	}
	return nil
}

func (r *race) keepFallback(outcome *result) {
	if r.fallback != nil {
		outcome.cancel()
		return
	}
	r.fallback = outcome
}

// cancelExcept cancels all attempts but the one at an index; -1 cancels all. The
// results of pending attempts are received in the background and their streams canceled.
func (r *race) cancelExcept(keep int) {
	for i, cancel := range r.cancels {
		if i != keep {
			cancel()
		}
	}
	pending, results := r.pending, r.results
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			(<-results).cancel()
		}
	}()
}

func (r *race) cancelFallback() {
	if r.fallback != nil {
		r.fallback.cancel()
	}
}
