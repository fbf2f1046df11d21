package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

// learn updates the router's view of the server.
func (r *Router) learn(ctx context.Context, request *call, outcome *result, now time.Duration, insist bool) {
	server := outcome.entry.Server
	if outcome.arrived() {
		request.arrivals++
	}
	lane := r.deps.ServiceTable.ServiceState(request.service.Name)
	if lane != nil && !insist {
		lane.RefusalRate.Observe(outcome.soft() && outcome.verdict.Busy)
	}
	switch outcome.kind {
	case resultAnswered:
		took := outcome.took
		if outcome.bad() {
			took += badAnswerPenalty
		}
		server.RecordAnswer(now, took, int64(outcome.head.InFlight+outcome.head.Queued))
		if lane != nil && request.long == nil {
			lane.Pool.Aggregate.RecordLatency(outcome.took)
			lane.Latencies.Observe(request.routeHash, outcome.took)
		}
	case resultRefused:
		r.learnRefusal(ctx, outcome, now)
	case resultUnknown, resultRan:
		server.RecordContact(now)
		server.RecordLatency(outcome.took + badAnswerPenalty)
	case resultLost:
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			server.RecordFailure(now)
		}
	}
}

func (r *Router) learnRefusal(ctx context.Context, outcome *result, now time.Duration) {
	server := outcome.entry.Server
	if !outcome.heard {
		if ctx.Err() == nil {
			// One attempt without a word is enough to look elsewhere for a while.
			server.RecordFailure(now)
			server.RecordRefusal(now)
		}
		return
	}
	server.RecordContact(now)
	verdict := outcome.verdict
	switch {
	case verdict == nil:
	case verdict.Leaving || verdict.Ejected || verdict.Doubtful:
		server.RecordRefusal(now)
	case verdict.Load > 0:
		server.RecordLoad(now, int64(verdict.Load))
	}
}

// badAnswerPenalty is added to the time of a bad answer, so that a server that
// fails fast does not look quick.
const badAnswerPenalty = 500 * time.Millisecond

// resolve asks a guard what became of an attempt whose answer was lost, until
// it says or the context ends.
func (r *Router) resolve(ctx context.Context, request *call, lost result) deduplicator.State {
	for {
		state, err := r.resolveOnce(ctx, request.key, lost)
		if err == nil && state != deduplicator.StateRunning {
			r.deps.Log.Info("Resolved", "Request", request.id, "Server", lost.entry.Member.Address, "State", state.String())
			return state
		}
		if waitErr := pause(ctx, resolvePeriod); waitErr != nil {
			r.deps.Log.Info("Unresolved", "Request", request.id, "Server", lost.entry.Member.Address, "Error", err)
			return deduplicator.StateUnseen
		}
	}
}

const (
	resolvePeriod  = 50 * time.Millisecond
	resolveTimeout = time.Second
)

func (r *Router) resolveOnce(ctx context.Context, key string, lost result) (deduplicator.State, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := r.deps.GuardClient(ctx, lost.entry.Member.Address).Resolve(ctx, &messenger.ResolveRequest{
		Attempt:     lost.attempt[:],
		Incarnation: lost.entry.Member.Incarnation,
		IssuedMs:    lost.issued,
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
