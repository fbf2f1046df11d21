package guard

import (
	"context"
	"errors"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

// handleNotRun handles a response in which the server states that it did not run
// the request.
func (g *Guard) handleNotRun(
	stream messenger.DRPCGuard_ForwardStream, work *task, exchange *forwarder.Exchange, info interpreter.AnswerInfo,
) error {
	reason := reasonServerRefused
	if info.OtherInstance {
		reason = "OtherRun"
	}
	g.mu.Lock()
	now := g.deps.Now()
	g.endRun(work)
	g.withdrawAttempt(work)
	g.controller.Detector().Finish(now, work.id, true, true, work.origin)
	g.recordFailure(now, work, reason)
	funded := g.fundRetry(work, false)
	g.mu.Unlock()
	err := g.refuse(stream, work.head, refusal{
		outcome: answerer.OutcomeNotRun, reason: reason, fromServer: true, retryFunded: funded,
		said: work.said,
	})
	exchange.Drain()
	return err
}

// promptShare is the share of a route's typical service time within which an
// error response is attributed to the server itself. A later one may be caused by
// a call that the server made and that failed.
const promptShare = 0.5

// failureWeight returns how certainly a failure is caused by the server itself.
func (g *Guard) failureWeight(now clocker.Instant, work *task, reason string) float64 {
	if reason == reasonServerRefused {
		return breaker.WeightRefused
	}
	if reason == reasonOverdue && g.lastGoodSent.Since(work.sent) > 0 {
		// A server that has answered a later request well is not stuck: some requests
		// simply cost many times the usual.
		return breaker.WeightUncertain
	}
	typical := g.typical.Time(work.head.Route)
	if reason == reasonErrorAnswer && typical > 0 && now.Since(work.sent) > time.Duration(promptShare*float64(typical)) {
		return breaker.WeightUncertain
	}
	return breaker.WeightCertain
}

// recordFailure reports a failure of the server to the breaker. The caller holds
// the lock.
func (g *Guard) recordFailure(now clocker.Instant, work *task, reason string) {
	if g.admitter.Breaker.RecordFailure(now, g.failureWeight(now, work, reason)) {
		g.deps.Log.Info("BreakerOpened", "Request", work.head.RequestId, "Service", work.head.Service,
			"Run", work.run, "Reason", reason)
	}
}

// handleFailure handles an attempt that failed before the response's head or the
// start of its body had arrived.
func (g *Guard) handleFailure(ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, cause error) error {
	g.mu.Lock()
	now := g.deps.Now()
	g.endRun(work)
	censored := ctx.Err() != nil
	g.controller.Detector().Finish(now, work.id, true, censored, work.origin)
	if errors.Is(cause, forwarder.ErrNotSent) {
		g.withdrawAttempt(work)
		if !censored {
			g.controller.Detector().RecordLateFailure(work.origin)
			g.recordFailure(now, work, "ServerUnreachable")
		}
		g.mu.Unlock()
		g.deps.Log.Info("Unreachable", "Request", work.head.RequestId, "Error", cause)
		return g.refuse(stream, work.head, refusal{outcome: answerer.OutcomeNotRun, reason: "ServerUnreachable"})
	}
	g.finishAttempt(now, work, deduplicator.StateBroken, 0, nil)
	funded := false
	if !censored {
		g.recordFailure(now, work, "NoAnswer")
		g.recordResponse(now, false)
		funded = g.fundRetry(work, true)
	}
	g.mu.Unlock()
	g.deps.Log.Info("Broken", "Request", work.head.RequestId, "Cancelled", censored, "Error", cause)
	return g.sendUnknown(stream, "NoAnswer", funded)
}

// sendUnknown tells the router that the request may have run, and whether its next
// attempt is funded.
func (g *Guard) sendUnknown(stream messenger.DRPCGuard_ForwardStream, reason string, funded bool) error {
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome:     uint32(answerer.OutcomeUnknown),
		Reason:      reason,
		RetryFunded: funded,
	}}})
}

func (g *Guard) finishAttempt(
	now clocker.Instant, work *task, state deduplicator.State, status int, answer *deduplicator.Answer,
) {
	if work.tracked {
		g.deduplicator.Finish(now, work.attempt, work.head.Key, state, status, answer)
	}
}

func (g *Guard) recordResponse(now clocker.Instant, good bool) {
	if err := g.controller.RecordResponse(now, good); err != nil {
		g.deps.Log.Error("ObserveFailed", "Error", err)
	}
}
