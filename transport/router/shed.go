package router

import (
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/shedder"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
)

// reasonOverloaded means that guards have lately refused requests like this one for lack of capacity.
const reasonOverloaded = "Overloaded"

// shedLogPeriod bounds the log lines on shedding to one a second.
const shedLogPeriod = time.Second

// lockedShedder is a shedder for concurrent use.
type lockedShedder struct {
	mu      sync.Mutex
	shedder *shedder.Shedder
	// loggedAt is the time of the last log line, and unlogged counts the rejections since.
	loggedAt clocker.Instant
	unlogged int
}

func newLockedShedder() *lockedShedder { return &lockedShedder{shedder: shedder.New()} }

// log returns how many rejections the next log line stands for, 0 if none is due.
func (s *lockedShedder) log(now clocker.Instant) int {
	s.unlogged++
	if s.loggedAt != (clocker.Instant{}) && now.Since(s.loggedAt) < shedLogPeriod {
		return 0
	}
	count := s.unlogged
	s.loggedAt, s.unlogged = now, 0
	return count
}

// class returns the requests that the request is judged by.
func (c *callerRequest) class() shedder.Class {
	return shedder.Class{Service: c.service.Name, Customer: c.customer.Name, Rank: c.rank()}
}

// shed returns the refusal of a request if guards have lately refused requests like it for
// lack of capacity. A request with a key goes to the guard that its key is bound to, and a
// nested one has a parent that holds a slot elsewhere: neither is rejected.
func (r *Router) shed(request *callerRequest) *refusal {
	if !request.policy.ShedEarly || request.nested || request.key != "" {
		return nil
	}
	now := r.deps.Now()
	r.shedder.mu.Lock()
	wait, rejected := r.shedder.shedder.Reject(now, request.class(), r.randomFraction())
	count := 0
	if rejected {
		count = r.shedder.log(now)
	}
	r.shedder.mu.Unlock()
	if !rejected {
		return nil
	}
	request.retryAfter = wait
	r.deps.Meter.CountShed(request.service.Name, reasonOverloaded)
	if count > 0 {
		r.deps.Log.Info("RequestsShed", "Service", request.service.Name, "Rank", request.rank(),
			"ExpectedWaitMs", wait.Milliseconds(), "Count", count)
	}
	return notRun(consts.StatusServiceUnavailable, reasonOverloaded)
}

// recordWait remembers the time until a slot that a guard named when it refused an attempt.
func (r *Router) recordWait(request *callerRequest, outcome *result) {
	if request.policy.ShedEarly {
		wait := time.Duration(outcome.verdict.GetRetryAfterMs()) * time.Millisecond
		request.retryAfter = soonest(request.retryAfter, wait)
	}
}

// recordCapacity remembers whether the request reached a server, or was refused by guards
// that named the time until a slot. Other refusals say nothing about capacity.
func (r *Router) recordCapacity(request *callerRequest) {
	if !request.policy.ShedEarly || request.arrivals == 0 && request.retryAfter == 0 {
		return
	}
	r.shedder.mu.Lock()
	defer r.shedder.mu.Unlock()
	if request.arrivals > 0 {
		r.shedder.shedder.RecordServed(r.deps.Now(), request.class())
		return
	}
	r.shedder.shedder.RecordRefused(r.deps.Now(), request.class(), request.retryAfter)
}

// retryAfterStep is the precision of the platform's Retry-After. A delay that is a multiple
// of it is not rounded up beyond a third of the time left.
const retryAfterStep = 10 * time.Millisecond

// soonest returns the shorter of two times, of which 0 means unknown.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// setRetryAfter suggests to the caller of a request that did not run when to come back.
func (r *Router) setRetryAfter(request *callerRequest, refused *refusal) {
	if request.retryAfter == 0 || refused.outcome != answerer.OutcomeNotRun ||
		refused.status != consts.StatusServiceUnavailable {
		return
	}
	left := -r.deps.Now().Since(request.deadline())
	refused.retryAfter = shedder.RetryAfter(request.retryAfter, left, r.randomFraction()).Truncate(retryAfterStep)
}
