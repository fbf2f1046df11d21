// Package searcher decides where a request goes next: which server gets its next
// attempt, whether it insists there, and when no further attempt is made.
package searcher

import (
	"slices"
	"time"

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
	// MaxAttempts bounds the attempts of one request, refused ones included.
	MaxAttempts = 24
	// maxBudgetRefusals bounds the refusals for lack of retry budget. If that many guards
	// have none, little is left in the fleet, and it is left to other requests.
	maxBudgetRefusals = 6
)

const (
	// queueWaitFraction is the fraction of the latency objective that a request may
	// wait for a slot. Longer waits would make it and everything queued behind it late.
	queueWaitFraction = 0.5
	// nestedQueueWaitFraction is the fraction of its timeout that a nested request may
	// wait for a slot.
	nestedQueueWaitFraction = 0.6
)

// MaxQueueWait returns the total time that a request may wait for slots, 0 if only its
// deadline bounds the wait.
func MaxQueueWait(objective, timeout time.Duration, nested bool) time.Duration {
	switch {
	case objective == 0:
		return 0
	case nested:
		return time.Duration(nestedQueueWaitFraction * float64(timeout))
	default:
		return time.Duration(queueWaitFraction * float64(min(objective, timeout)))
	}
}

// Constraints restricts which servers may be picked.
type Constraints struct {
	// Exclude holds the incarnations of servers that must not be picked.
	Exclude []uint64
	// SkipAvoided excludes servers that are avoided for now after failures, refusals or warnings.
	SkipAvoided bool
	// SameZone excludes servers of other availability zones.
	SameZone bool
}

// withinZone returns the constraints limited to the router's own availability zone.
func (c Constraints) withinZone() Constraints {
	c.SameZone = true
	return c
}

// Pick returns a server that meets constraints. The entry's Server is nil if there is none.
type Pick func(want Constraints) (tracker.Entry, picker.Reason)

// Choice is the server of one attempt.
type Choice struct {
	// Entry has a nil Server if no further attempt is made.
	Entry  tracker.Entry
	Reason picker.Reason
	// Insist asks the guard to queue the request, or to run it although it doubts the
	// health of its server, instead of refusing it.
	Insist bool
}

// Refusal says why a guard refused an attempt. The zero value is any other end of it.
type Refusal struct {
	// Busy is set if the server has no free slot, Doubtful if its guard doubts its
	// health. The request may insist there later.
	Busy     bool
	Doubtful bool
	// Unfunded is set if the retry budget was used up.
	Unfunded bool
}

func (r Refusal) temporary() bool { return r.Busy || r.Doubtful }

// Search selects the servers for the attempts of one request. The zero value is ready.
type Search struct {
	// LargeBody is set for a request that rather waits for a slot in its own
	// availability zone than tries another one.
	LargeBody bool
	// excluded holds the incarnations of servers that are not tried again.
	excluded []uint64
	// busy and doubtful hold the incarnations of servers that refused temporarily.
	busy     []uint64
	doubtful []uint64
	// attempts counts all attempts, and crossZone those in other availability zones that
	// did not insist.
	attempts  int
	crossZone int
	// budgetRefusals counts the refusals for lack of retry budget.
	budgetRefusals int
}

// Attempts returns the number of attempts so far.
func (s *Search) Attempts() int { return s.attempts }

// Exhausted reports whether no more attempts are made.
func (s *Search) Exhausted() bool {
	return s.attempts >= MaxAttempts || s.budgetRefusals >= maxBudgetRefusals
}

// Exclude keeps a server from being tried again.
func (s *Search) Exclude(incarnation uint64) { s.excluded = append(s.excluded, incarnation) }

// Next returns the server for the next attempt. refusalRate, from 0 to 1, is how often
// servers of the service refuse for lack of a free slot. Each step prefers the router's
// own availability zone, since traffic between zones is expensive.
func (s *Search) Next(pick Pick, refusalRate float64) Choice {
	if s.Exhausted() {
		return Choice{}
	}
	s.attempts++
	for _, step := range s.steps(refusalRate) {
		if entry, reason := pick(step.constraints); entry.Server != nil {
			s.crossZone += step.crossZone
			return Choice{Entry: entry, Reason: reason, Insist: step.insist}
		}
	}
	return Choice{}
}

// step is one attempt to find a server under given constraints.
type step struct {
	constraints Constraints
	insist      bool
	// crossZone is 1 if the step counts toward maxCrossZone, else 0.
	crossZone int
}

func (s *Search) steps(refusalRate float64) []step {
	refused := slices.Concat(s.busy, s.doubtful)
	steps := make([]step, 0, 6)
	if len(refused) < temporaryRefusalLimit(refusalRate) {
		untried := Constraints{Exclude: slices.Concat(s.excluded, refused), SkipAvoided: true}
		steps = append(steps, step{constraints: untried.withinZone()})
		if s.crossZone < maxCrossZone && (!s.LargeBody || len(s.busy) == 0) {
			steps = append(steps, step{constraints: untried, crossZone: 1})
		}
	}
	if len(s.busy) > 0 {
		includingBusy := Constraints{Exclude: slices.Concat(s.excluded, s.doubtful), SkipAvoided: true}
		steps = append(steps, step{constraints: includingBusy.withinZone(), insist: true},
			step{constraints: includingBusy, insist: true})
	}
	anyServer := Constraints{Exclude: s.excluded}
	return append(steps, step{constraints: anyServer.withinZone(), insist: true},
		step{constraints: anyServer, insist: true})
}

// temporaryRefusalLimit returns after how many temporary refusals a request insists.
func temporaryRefusalLimit(refusalRate float64) int {
	return maxTemporaryRefusals - int(refusalRate*float64(maxTemporaryRefusals-minTemporaryRefusals)+0.5)
}

// Record updates the search with the end of an attempt.
func (s *Search) Record(incarnation uint64, refusal Refusal, insisted bool) {
	if refusal.Unfunded {
		s.budgetRefusals++
	}
	switch {
	case refusal.Busy && insisted:
		// While the request waited here, slots may have become free at the other
		// servers that refused.
		s.busy = append(s.busy[:0], incarnation)
		s.doubtful = s.doubtful[:0]
	case insisted || !refusal.temporary():
		s.excluded = append(s.excluded, incarnation)
	case refusal.Busy:
		s.busy = append(s.busy, incarnation)
	default:
		s.doubtful = append(s.doubtful, incarnation)
	}
}
