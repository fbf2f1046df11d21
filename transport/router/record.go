package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

// recordResult updates the router's view of the server and of its service.
func (r *Router) recordResult(ctx context.Context, request *callerRequest, outcome *result, now time.Duration, insist bool) {
	server := outcome.entry.Server
	if outcome.mayHaveArrived() {
		request.arrivals++
		request.funded = outcome.retryFunded()
	}
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if state != nil && !insist {
		state.RefusalRate.Observe(outcome.temporaryRefusal() && outcome.verdict.Busy)
	}
	switch outcome.kind {
	case resultAnswered:
		latency := outcome.latency
		if outcome.failed() {
			latency += badAnswerPenalty
		}
		load := int64(outcome.head.InFlight + outcome.head.Queued)
		server.RecordAnswer(now, latency, load)
		r.recordCosts(request, outcome, now, load)
		if state != nil && request.bodyStream == nil {
			state.Pool.Aggregate.RecordLatency(outcome.latency)
			state.Latencies.Observe(request.routeHash, outcome.latency)
		}
	case resultRefused:
		r.recordRefusal(ctx, request, outcome, now)
	case resultUnknown, resultAlreadyRan:
		server.RecordContact(now)
		server.RecordLatency(outcome.latency + badAnswerPenalty)
	case resultLost:
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			server.RecordFailure(now)
		}
	}
}

func (r *Router) recordRefusal(ctx context.Context, request *callerRequest, outcome *result, now time.Duration) {
	server := outcome.entry.Server
	if !outcome.responded {
		if ctx.Err() == nil {
			// A single unanswered attempt is enough to avoid the server for a while.
			server.RecordFailure(now)
			server.RecordRefusal(now)
		}
		return
	}
	server.RecordContact(now)
	r.recordWait(request, outcome)
	verdict := outcome.verdict
	if verdict != nil {
		server.RecordWarning(now, time.Duration(verdict.AvoidMs)*time.Millisecond,
			time.Duration(verdict.AvoidNonIdempotentMs)*time.Millisecond)
	}
	switch {
	case verdict == nil:
	case verdict.Leaving || verdict.Ejected:
		server.RecordRefusal(now)
	case verdict.Load > 0:
		server.RecordLoad(now, int64(verdict.Load))
		r.recordWork(request, outcome.entry, now, verdict.WorkUs, int64(verdict.Load))
	}
}

// badAnswerPenalty is added to the latency of an error answer, so that a server that
// fails fast does not attract requests.
const badAnswerPenalty = 500 * time.Millisecond

// resolve polls a guard for the outcome of an attempt whose answer was lost, until the
// guard knows it or the context ends.
func (r *Router) resolve(ctx context.Context, request *callerRequest, attempt result) deduplicator.State {
	for {
		state, err := r.resolveOnce(ctx, request.key, attempt)
		if err == nil && state != deduplicator.StateRunning {
			r.deps.Log.Info("Resolved", "Request", request.id, "Server", attempt.entry.Member.Address, "State", state.String())
			return state
		}
		if waitErr := pause(ctx, resolvePeriod); waitErr != nil {
			r.deps.Log.Info("Unresolved", "Request", request.id, "Server", attempt.entry.Member.Address, "Error", err)
			return deduplicator.StateUnseen
		}
	}
}

const (
	resolvePeriod  = 50 * time.Millisecond
	resolveTimeout = time.Second
)

func (r *Router) resolveOnce(ctx context.Context, key string, attempt result) (deduplicator.State, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := r.deps.GuardClient(ctx, attempt.entry.Member.Address).Resolve(ctx, &messenger.ResolveRequest{
		Attempt:     attempt.attemptID[:],
		Incarnation: attempt.entry.Member.Incarnation,
		IssuedMs:    attempt.issuedMs,
		Key:         key,
	})
	if err != nil {
		return deduplicator.StateUnseen, fmt.Errorf("resolving an attempt: %w", err)
	}
	return deduplicator.State(reply.State), nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("pausing: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
