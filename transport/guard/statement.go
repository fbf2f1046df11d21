package guard

import (
	"time"

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
	if info.Leaving {
		work.said.Departure = g.deps.OnLeaving(work.run, work.runStartedMs)
	}
}

// learnStatement applies what an attempt's router knows of the server and this process may not.
func (g *Guard) learnStatement(head *messenger.RequestHead) {
	if head.Statement != nil {
		g.deps.OnStatement(converter.StatementFromProto(head.Statement))
	}
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

// limitWait returns the time until the server's own limit lets it take another request.
func (g *Guard) limitWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter.Pacer.Wait(g.deps.Now())
}
