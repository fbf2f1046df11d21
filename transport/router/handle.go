package router

import (
	"context"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// reply is what a caller gets: a begun answer or a refusal.
type reply struct {
	answer  *result
	refused *refusal
	// cancel ends the request's work once the answer has been sent.
	cancel context.CancelFunc
}

// handle finds the answer to a request within its deadline.
func (r *Router) handle(parent context.Context, request *call) reply {
	left := -r.deps.Now().Since(request.deadline())
	ctx, cancel := context.WithTimeout(parent, left)
	lane := r.deps.ServiceTable.ServiceState(request.service.Name)
	switch {
	case lane == nil:
		return reply{refused: notRun(consts.StatusServiceUnavailable, "NoBackendServer"), cancel: cancel}
	case request.key != "":
		return reply{cancel: cancel}.with(r.handleKeyed(ctx, request))
	case request.idempotent:
		return reply{cancel: cancel}.with(r.handleIdempotent(ctx, request, lane))
	default:
		return reply{cancel: cancel}.with(r.handleOnce(ctx, request))
	}
}

func (r reply) with(answer *result, refused *refusal) reply {
	r.answer, r.refused = answer, refused
	return r
}

// end classifies the end of an attempt.
func (r *result) end() retrier.Result {
	switch r.kind {
	case resultAnswered:
		if r.head.Status >= serverErrorStatus {
			return retrier.ResultBadAnswer
		}
		return retrier.ResultAnswered
	case resultRefused:
		return retrier.ResultRefused
	case resultRan:
		return retrier.ResultRan
	case resultLost:
		return retrier.ResultLost
	default:
		return retrier.ResultUnknown
	}
}

// conclude turns a last step into what the caller gets.
func conclude(ctx context.Context, step retrier.Step, outcome *result) (*result, *refusal) {
	switch step {
	case retrier.StepAnswer:
		return outcome, nil
	case retrier.StepNotRun:
		return nil, notRun(consts.StatusServiceUnavailable, outcome.reason)
	case retrier.StepRan:
		return nil, ran(outcome.reason)
	default:
		return nil, unknown(ctx, outcome.reason)
	}
}

// handleOnce runs a non-idempotent request without a key. It is sent again only
// after an attempt that has not run and never will.
func (r *Router) handleOnce(ctx context.Context, request *call) (*result, *refusal) {
	var servers search
	last := result{kind: resultRefused, reason: "NoBackendServer"}
	for {
		entry, why, insist := servers.next(r, request)
		if entry.Server == nil {
			return nil, notRun(consts.StatusServiceUnavailable, last.reason)
		}
		outcome := r.send(ctx, request, entry, why.String(), insist)
		servers.note(&outcome, insist)
		last = outcome
		more := !outcome.touched && ctx.Err() == nil
		history := retrier.History{Kind: retrier.KindUnkeyed, CanRetry: more && r.mayRetry(request, &outcome, 0)}
		step := history.AfterAttempt(outcome.end())
		if step == retrier.StepResolve {
			step = history.AfterResolve(r.resolve(ctx, request, outcome))
		}
		if step != retrier.StepRetry {
			return conclude(ctx, step, &outcome)
		}
	}
}

// mayRetry tells whether another attempt is allowed beside those still pending.
// The guard asked has the last word, since it keeps its server's budget.
func (r *Router) mayRetry(request *call, outcome *result, pending int) bool {
	if outcome.kind == resultAnswered && !outcome.bad() {
		return false
	}
	return request.arrivals+pending < request.maxArrivals()
}

// handleKeyed runs a request with a key at the one guard that may run it.
func (r *Router) handleKeyed(ctx context.Context, request *call) (*result, *refusal) {
	binding, refused := r.bind(ctx, request)
	if refused != nil {
		return nil, refused
	}
	knownToRun := false
	for {
		entry, refused := r.bound(ctx, binding)
		if refused != nil {
			return nil, refused
		}
		outcome := r.send(ctx, request, entry, "Key", true)
		more := !outcome.touched && ctx.Err() == nil
		history := retrier.History{Kind: retrier.KindKeyed, CanRetry: more, Ran: knownToRun}
		step := history.AfterAttempt(outcome.end())
		if step == retrier.StepResolve {
			step = history.AfterResolve(r.resolve(ctx, request, outcome))
		}
		if step != retrier.StepReplay {
			return conclude(ctx, step, &outcome)
		}
		knownToRun = true
	}
}

// bind returns which guard may run the key.
func (r *Router) bind(ctx context.Context, request *call) (claimer.Binding, *refusal) {
	if claimer.IsBound(request.key) {
		return r.deps.GuardBinding(request.bound.Guard, request.key, request.keyMs), nil
	}
	binding := r.deps.Binding(request.key)
	if binding.State != claimer.StateUnclaimed && binding.State != claimer.StateNeverRan {
		return binding, nil
	}
	entry, _ := r.pick(request, wish{})
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
		return binding, r.unclaimed(ctx, request)
	}
	return binding, nil
}

// unclaimed is the word on a key that could not be claimed. This request was
// not run, but the log would have told of an earlier one with the same key; a
// key that is not fresh may have had one.
func (r *Router) unclaimed(ctx context.Context, request *call) *refusal {
	age := request.began.UnixMilli() - request.keyMs
	if age > freshKey.Milliseconds() {
		return unknown(ctx, "LogUnavailable")
	}
	return notRun(consts.StatusServiceUnavailable, "LogUnavailable")
}

// freshKey is the age up to which a key counts as used for the first time.
const freshKey = time.Second

// bound returns the server of a binding, or the word on a key whose guard is gone.
func (r *Router) bound(ctx context.Context, binding claimer.Binding) (tracker.Entry, *refusal) {
	switch binding.State {
	case claimer.StateRan:
		return tracker.Entry{}, ran(fmt.Sprintf("RanBeforeStop Status %d", binding.Status))
	case claimer.StateNeverRan:
		return tracker.Entry{}, notRun(consts.StatusServiceUnavailable, "GuardLeft")
	case claimer.StateUnknown, claimer.StateUnclaimed:
		return tracker.Entry{}, unknown(ctx, "GuardGone")
	}
	member, ok := r.deps.Roster().Member(binding.Guard)
	if !ok || member.State == registrar.StateGone {
		return tracker.Entry{}, unknown(ctx, "GuardGone")
	}
	if lane := r.deps.ServiceTable.ServiceState(member.Service); lane != nil {
		if entry, ok := lane.Pool.Find(binding.Guard); ok {
			return entry, nil
		}
	}
	return tracker.Entry{Member: member, Server: tracker.New(member.Incarnation, 0, 0)}, nil
}
