package router

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// reply is what a caller gets: the answer of a backend server or a refusal.
type reply struct {
	answer  *result
	refused *refusal
	// cancel ends the request's context and must be called once the answer was sent.
	cancel context.CancelFunc
}

// handle runs the request's attempts within its deadline.
func (r *Router) handle(parent context.Context, request *callerRequest) reply {
	remaining := -r.deps.Now().Since(request.deadline())
	ctx, cancel := context.WithTimeout(parent, remaining)
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if refused := r.shed(request); refused != nil {
		return reply{refused: refused, cancel: cancel}
	}
	defer r.recordCapacity(request)
	switch {
	case state == nil:
		return reply{refused: notRun(consts.StatusServiceUnavailable, "NoBackendServer"), cancel: cancel}
	case request.key != "":
		return reply{cancel: cancel}.with(r.handleKeyed(ctx, request))
	case request.idempotent:
		return reply{cancel: cancel}.with(r.handleIdempotent(ctx, request, state))
	default:
		return reply{cancel: cancel}.with(r.handleNonIdempotent(ctx, request))
	}
}

func (r reply) with(answer *result, refused *refusal) reply {
	r.answer, r.refused = answer, refused
	return r
}

// attemptResult classifies the result for the retry decision.
func (r *result) attemptResult() retrier.Result {
	switch r.kind {
	case resultAnswered:
		if r.head.Status >= serverErrorStatus {
			return retrier.ResultBadAnswer
		}
		return retrier.ResultAnswered
	case resultRefused:
		return retrier.ResultRefused
	case resultAlreadyRan:
		return retrier.ResultRan
	case resultLost:
		return retrier.ResultLost
	default:
		return retrier.ResultUnknown
	}
}

// conclude returns what the caller gets after the last step.
func conclude(ctx context.Context, step retrier.Step, outcome *result) (*result, *refusal) {
	switch step {
	case retrier.StepAnswer:
		return outcome, nil
	case retrier.StepNotRun:
		return nil, notRun(consts.StatusServiceUnavailable, outcome.reason)
	case retrier.StepRan:
		return nil, alreadyRan(outcome.reason)
	default:
		return nil, unknown(ctx, outcome.reason)
	}
}

// handleNonIdempotent runs a non-idempotent request without a key. It is retried only
// if the previous attempt did not run and never will.
func (r *Router) handleNonIdempotent(ctx context.Context, request *callerRequest) (*result, *refusal) {
	search := newSearch(request)
	last := result{kind: resultRefused, reason: "NoBackendServer"}
	for {
		choice := r.nextServer(request, &search)
		if choice.Entry.Server == nil {
			return nil, notRun(consts.StatusServiceUnavailable, last.reason)
		}
		outcome := r.sendContained(ctx, request, choice)
		search.Record(choice.Entry.Member.Incarnation, outcome.refusal(), choice.Insist)
		last = outcome
		more := !outcome.bodyConsumed && ctx.Err() == nil
		history := retrier.History{Kind: retrier.KindUnkeyed, CanRetry: more && r.mayRetry(request, &outcome, 0)}
		step := history.AfterAttempt(outcome.attemptResult())
		if step == retrier.StepResolve {
			step = history.AfterResolve(r.resolve(ctx, request, outcome))
		}
		switch step {
		case retrier.StepRetry:
		case retrier.StepRan:
			return nil, answerLost(outcome.reason)
		default:
			return conclude(ctx, step, &outcome)
		}
	}
}

// mayRetry reports whether another attempt is allowed in addition to the pending ones.
// The guard that gets it may still refuse, since it holds its server's retry budget.
func (r *Router) mayRetry(request *callerRequest, outcome *result, pending int) bool {
	if outcome.kind == resultAnswered && !outcome.failed() {
		return false
	}
	return request.arrivals+pending < request.maxArrivals()
}

// handleKeyed runs a request with an idempotency key at the one guard that may run it.
func (r *Router) handleKeyed(ctx context.Context, request *callerRequest) (*result, *refusal) {
	binding, refused := r.bind(ctx, request)
	if refused != nil {
		return nil, refused
	}
	knownRun := false
	for {
		entry, refused := r.boundServer(ctx, binding)
		if refused != nil {
			return nil, refused
		}
		outcome := r.send(ctx, request, entry, "Key", true)
		more := !outcome.bodyConsumed && ctx.Err() == nil
		history := retrier.History{Kind: retrier.KindKeyed, CanRetry: more, Ran: knownRun}
		step := history.AfterAttempt(outcome.attemptResult())
		if step == retrier.StepResolve {
			step = history.AfterResolve(r.resolve(ctx, request, outcome))
		}
		if step != retrier.StepReplay {
			return conclude(ctx, step, &outcome)
		}
		knownRun = true
	}
}

// bind returns the binding of the request's key to the one guard that may run it, and
// claims a guard through the log if the key has none.
func (r *Router) bind(ctx context.Context, request *callerRequest) (claimer.Binding, *refusal) {
	if claimer.IsBound(request.key) {
		return r.deps.GuardBinding(request.boundKey.Guard, request.key, request.keyIssuedMs), nil
	}
	binding := r.deps.Binding(request.key)
	if binding.State != claimer.StateUnclaimed && binding.State != claimer.StateNeverRan {
		return binding, nil
	}
	entry, _ := r.pick(request, searcher.Constraints{})
	if entry.Server == nil {
		return binding, notRun(consts.StatusServiceUnavailable, "NoBackendServer")
	}
	binding, err := r.deps.Claim(ctx, claimer.Claim{
		Key:     request.key,
		Service: request.service.Name,
		Guard:   entry.Member.Incarnation,
	})
	if err != nil {
		r.deps.Log.Info("ClaimFailed", "Request", request.id, "Error", err)
		return binding, r.claimRefusal(ctx, request)
	}
	return binding, nil
}

// claimRefusal returns the refusal of a request whose key could not be claimed. This
// request did not run. Without the log, though, nothing shows whether an earlier
// request with the same key ran, which only a fresh key rules out.
func (r *Router) claimRefusal(ctx context.Context, request *callerRequest) *refusal {
	age := request.receivedAt.UnixMilli() - request.keyIssuedMs
	if age > maxFreshKeyAge.Milliseconds() {
		return unknown(ctx, "LogUnavailable")
	}
	return notRun(consts.StatusServiceUnavailable, "LogUnavailable")
}

// maxFreshKeyAge is the age up to which a key is assumed to be used for the first time.
const maxFreshKeyAge = time.Second

// boundServer returns the server of a binding, or a refusal if its guard can no longer
// run the key.
func (r *Router) boundServer(ctx context.Context, binding claimer.Binding) (tracker.Entry, *refusal) {
	switch binding.State {
	case claimer.StateRan:
		return tracker.Entry{}, alreadyRan(fmt.Sprintf("RanBeforeStop Status %d", binding.Status))
	case claimer.StateNeverRan:
		return tracker.Entry{}, notRun(consts.StatusServiceUnavailable, "GuardLeft")
	case claimer.StateUnknown, claimer.StateUnclaimed:
		return tracker.Entry{}, unknown(ctx, "GuardGone")
	}
	member, ok := r.deps.Roster().Member(binding.Guard)
	if !ok || member.State == registrar.StateGone {
		return tracker.Entry{}, unknown(ctx, "GuardGone")
	}
	if state := r.deps.ServiceTable.ServiceState(member.Service); state != nil {
		if entry, ok := state.Pool.Find(binding.Guard); ok {
			return entry, nil
		}
	}
	return tracker.Entry{Member: member, Server: tracker.New(member.Incarnation, 0, 0)}, nil
}
