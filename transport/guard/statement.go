package guard

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

// recordStatements applies what the server's answer says of the server itself: how many
// requests a second it takes, and that it is shutting down. Answers of other runs say
// nothing about the current one.
func (g *Guard) recordStatements(work *task, info interpreter.AnswerInfo) {
	if info.OtherInstance {
		return
	}
	g.recordLimit(work, info)
	if info.Limited {
		work.said.Limit = witness.Limit{ID: work.run, StartedMs: work.runStartedMs, PerSecond: info.Limit}
	}
	if info.Leaving {
		work.said.Departure = g.deps.OnLeaving(work.run, work.runStartedMs)
	}
}

// learnStatement applies what an attempt's router knows of the server and this process may not.
func (g *Guard) learnStatement(head *messenger.RequestHead) {
	if head.Statement == nil {
		return
	}
	said := converter.StatementFromProto(head.Statement)
	g.deps.Log.Info("StatementReceived", append(said.LogFields(), "Way", "Request", "Request", head.RequestId)...)
	g.deps.OnStatement(said)
}

// recordLimit applies the limit that an answer names. An answer without one lifts the last.
func (g *Guard) recordLimit(work *task, info interpreter.AnswerInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if work.run != g.lastAnnouncement.Run || work.runStartedMs != g.lastAnnouncement.StartedMs {
		return
	}
	pace := g.admitter.Pacer
	if info.Limited && pace.SetLimit(g.deps.Now(), info.Limit) {
		g.deps.Log.Info("ServerLimited", "Request", work.head.RequestId, "Service", work.head.Service,
			"Run", work.run, "PerSecond", info.Limit)
	}
	if !info.Limited && pace.Lift() {
		g.deps.Log.Info("ServerLimitLifted", "Request", work.head.RequestId, "Service", work.head.Service, "Run", work.run)
	}
}

// RecallLimit applies the limit that a run named to an earlier process, at once or when the run
// is announced. An answer of the run goes first.
func (g *Guard) RecallLimit(limit witness.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit.SameRun(g.recalledLimit) {
		limit.PerSecond = min(limit.PerSecond, g.recalledLimit.PerSecond)
	}
	g.recalledLimit = limit
	g.applyRecalledLimit()
}

// applyRecalledLimit applies the recalled limit if it is of the current run. The caller holds
// the lock.
func (g *Guard) applyRecalledLimit() {
	limit := g.recalledLimit
	if limit.ID == "" || limit.ID != g.lastAnnouncement.Run || limit.StartedMs != g.lastAnnouncement.StartedMs {
		return
	}
	if g.admitter.Pacer.Recall(g.deps.Now(), limit.PerSecond) {
		g.deps.Log.Info("ServerLimitRecalled", "Run", limit.ID, "PerSecond", limit.PerSecond)
	}
}

// limitWait returns the time until the server's own limit lets it take another request.
func (g *Guard) limitWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Pacer.Wait(g.deps.Now())
}
