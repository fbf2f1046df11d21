package router

import (
	"slices"

	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

const (
	// maxTemporaryRefusals and minTemporaryRefusals bound how many servers may refuse,
	// because they have no free slot or doubt their health, before the request insists
	// at one of them. The higher the refusal rate of the service, the fewer are tried.
	maxTemporaryRefusals = 6
	minTemporaryRefusals = 2
	// maxCrossZone bounds the attempts in other availability zones before the request insists.
	maxCrossZone = 3
	// largeBodyBytes is the body length from which a request rather waits in its own
	// availability zone than tries another one.
	largeBodyBytes = 16 << 10
	// maxGuardAttempts bounds the attempts of one request, refused ones included.
	maxGuardAttempts = 24
	// maxBudgetRefusals bounds the refusals for lack of retry budget. If that many guards
	// have none, little is left in the fleet, and it is left to other requests.
	maxBudgetRefusals = 6
)

// serverSearch selects the servers for the attempts of one request.
type serverSearch struct {
	// excluded holds the incarnations of servers that are not tried again.
	excluded []uint64
	// busy and doubtful hold the incarnations of servers that refused temporarily: for
	// lack of a free slot, or because they doubt their health.
	busy     []uint64
	doubtful []uint64
	// attempts counts all attempts, and crossZone those in other availability zones that
	// did not insist.
	attempts  int
	crossZone int
	// budgetRefusals counts the refusals for lack of retry budget.
	budgetRefusals int
}

// exhausted reports whether no more attempts are made.
func (s *serverSearch) exhausted() bool {
	return s.attempts >= maxGuardAttempts || s.budgetRefusals >= maxBudgetRefusals
}

// next returns the server for the next attempt and whether to insist there. The entry's
// Server is nil if there is none. Each step prefers the router's own availability zone,
// since traffic between zones is expensive.
func (s *serverSearch) next(r *Router, request *callerRequest) (tracker.Entry, picker.Reason, bool) {
	if s.exhausted() || s.attempts > 0 && r.queueWaitExceeded(request) {
		return tracker.Entry{}, picker.ReasonNone, false
	}
	s.attempts++
	for _, step := range s.steps(r, request) {
		if entry, choice := r.pick(request, step.constraints); entry.Server != nil {
			s.crossZone += step.crossZone
			return entry, choice, step.insist
		}
	}
	return tracker.Entry{}, picker.ReasonNone, false
}

// searchStep is one attempt to find a server under given constraints.
type searchStep struct {
	constraints constraints
	insist      bool
	// crossZone is 1 if the step counts toward maxCrossZone, else 0.
	crossZone int
}

func (s *serverSearch) steps(r *Router, request *callerRequest) []searchStep {
	refused := slices.Concat(s.busy, s.doubtful)
	steps := make([]searchStep, 0, 6)
	if len(refused) < r.temporaryRefusalLimit(request) {
		untried := constraints{exclude: slices.Concat(s.excluded, refused), skipAvoided: true}
		steps = append(steps, searchStep{constraints: untried.withinZone()})
		if s.crossZone < maxCrossZone && (!hasLargeBody(request) || len(s.busy) == 0) {
			steps = append(steps, searchStep{constraints: untried, crossZone: 1})
		}
	}
	if len(s.busy) > 0 {
		includingBusy := constraints{exclude: slices.Concat(s.excluded, s.doubtful), skipAvoided: true}
		steps = append(steps, searchStep{constraints: includingBusy.withinZone(), insist: true},
			searchStep{constraints: includingBusy, insist: true})
	}
	anyServer := constraints{exclude: s.excluded}
	return append(steps, searchStep{constraints: anyServer.withinZone(), insist: true},
		searchStep{constraints: anyServer, insist: true})
}

// withinZone returns the constraints limited to the router's own availability zone.
func (c constraints) withinZone() constraints {
	c.sameZone = true
	return c
}

// hasLargeBody reports whether the request's body is so large, or streamed, that it is
// better to wait for a slot in the own availability zone.
func hasLargeBody(request *callerRequest) bool {
	return request.bodyStream != nil || len(request.body) >= largeBodyBytes
}

// temporaryRefusalLimit returns after how many temporary refusals the request insists.
func (r *Router) temporaryRefusalLimit(request *callerRequest) int {
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if state == nil {
		return minTemporaryRefusals
	}
	return maxTemporaryRefusals - int(state.RefusalRate.Value()*float64(maxTemporaryRefusals-minTemporaryRefusals)+0.5)
}

// record updates the search with the result of an attempt.
func (s *serverSearch) record(outcome *result, insisted bool) {
	incarnation := outcome.entry.Member.Incarnation
	if outcome.verdict != nil && outcome.verdict.Unfunded {
		s.budgetRefusals++
	}
	switch {
	case outcome.temporaryRefusal() && outcome.verdict.Busy && insisted:
		// While the request waited here, slots may have become free at the other
		// servers that refused.
		s.busy = append(s.busy[:0], incarnation)
		s.doubtful = s.doubtful[:0]
	case insisted || !outcome.temporaryRefusal():
		s.excluded = append(s.excluded, incarnation)
	case outcome.verdict.Busy:
		s.busy = append(s.busy, incarnation)
	default:
		s.doubtful = append(s.doubtful, incarnation)
	}
}

// queueWaitExceeded reports whether the request has waited for slots for as long as it
// may without having reached a server.
func (r *Router) queueWaitExceeded(request *callerRequest) bool {
	maxQueueWait := request.maxQueueWait()
	return maxQueueWait > 0 && request.arrivals == 0 && r.deps.Now().Since(request.receivedAt) >= maxQueueWait
}
