package router

import (
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// Costs estimates the service times of the requests of one service. It is safe for
// concurrent use.
type Costs struct {
	mu        sync.Mutex
	estimator *estimator.Estimator
}

// NewCosts returns Costs without samples.
func NewCosts() *Costs { return &Costs{estimator: estimator.New(estimator.DefaultKinds)} }

// Expected returns the expected service time of a kind of request at a monotonic time.
func (c *Costs) Expected(now time.Duration, kind estimator.Kind) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimator.Estimate(now, kind).Mean
}

// Observe adds a service time.
func (c *Costs) Observe(now time.Duration, kind estimator.Kind, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimator.Observe(now, kind, took)
}

func (c *callerRequest) kind() estimator.Kind { return estimator.KindOf(c.routeHash, c.bodyLength) }

// balanceByWork sets what a choice by work needs. The picker weighs the cost of another
// availability zone itself, so that only a large body is kept in its own zone.
func (r *Router) balanceByWork(query *picker.Query, request *callerRequest, state *ServiceState, want searcher.Constraints) {
	if !request.policy.ByWork() {
		return
	}
	query.ByWork = true
	query.Cost = state.Costs.Expected(query.Now, request.kind())
	query.SameZoneOnly = want.SameZone && largeBody(request)
}

// expectedWork returns the service time that the request is expected to need at a server,
// 0 if its service is not balanced by work.
func (r *Router) expectedWork(now time.Duration, request *callerRequest, server *tracker.Server) time.Duration {
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if state == nil || !request.policy.ByWork() {
		return 0
	}
	return time.Duration(state.Pool.Slowness(now, server) * float64(state.Costs.Expected(now, request.kind())))
}

// recordCosts records what an answer tells of the cost of requests. A repeated answer
// comes from the guard's memory and tells nothing.
func (r *Router) recordCosts(request *callerRequest, outcome *result, now time.Duration, load int64) {
	if outcome.head.RepeatedAnswer {
		return
	}
	r.recordWork(request, outcome.entry, now, outcome.head.WorkUs, load)
	r.recordService(request, outcome, now)
}

// maxReportedLoad bounds the load for which reported work is taken. It is far above the
// slots and the queue of any server, and the work for it does not overflow.
const maxReportedLoad = 10_000

// reportedTime returns a time in microseconds from another process, which may be wrong, between 0 and a limit.
func reportedTime(us int64, limit time.Duration) time.Duration {
	return time.Duration(min(max(us, 0), limit.Microseconds())) * time.Microsecond
}

// recordWork records the work that a guard reported with its load. No attempt is expected
// to need more than estimator.MaxTime, and the load does not count those just received.
func (r *Router) recordWork(request *callerRequest, entry tracker.Entry, now time.Duration, workUs, load int64) {
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if state == nil || !request.policy.ByWork() {
		return
	}
	left := reportedTime(workUs, estimator.MaxTime*time.Duration(min(max(load, 0), maxReportedLoad)+1))
	entry.Server.RecordWork(now, left, load)
	if left > 0 || load == 0 {
		state.Pool.Aggregate.RecordReport(entry.Member.Slots, load, left)
	}
}

// recordService learns from the service time of a good answer.
func (r *Router) recordService(request *callerRequest, outcome *result, now time.Duration) {
	// The service time is a part of the time that the router itself has measured.
	took := reportedTime(outcome.head.ServiceUs, outcome.latency)
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if state == nil || !request.policy.ByWork() || took <= 0 || outcome.failed() {
		return
	}
	r.deps.Meter.ObserveEstimate(request.service.Name, outcome.expected, took)
	if request.bodyStream == nil {
		// The time of a streamed body depends on its caller more than on the server.
		expected := state.Costs.Expected(now, request.kind())
		outcome.entry.Server.RecordSlowness(now, expected, took)
		state.Pool.Aggregate.RecordSlowness(now, expected, took)
	}
	state.Costs.Observe(now, request.kind(), took)
}

// logEstimate returns the fields of the log line Routed that a choice by work adds.
func logEstimate(request *callerRequest, server *tracker.Server, now, expected time.Duration) []any {
	if !request.policy.ByWork() {
		return nil
	}
	age, reported := server.WorkAge(now)
	if !reported {
		age = 0
	}
	return []any{
		"CostMs", expected.Milliseconds(), "WorkMs", server.Work(now, expected).Milliseconds(),
		"WorkReported", reported, "WorkAgeMs", age.Milliseconds(),
	}
}
