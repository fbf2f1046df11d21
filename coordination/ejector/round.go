package ejector

import (
	"cmp"
	"maps"
	"slices"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// round is one count under one term.
type round struct {
	term    locker.Term
	started clocker.Instant
	asked   map[uint64]registrar.Member
	answers map[uint64]LockReply
	// ordered holds the orders of this round. An ejected target is never counted again in it.
	ordered map[uint64]OrderKind
	decided bool
}

func newRound(term locker.Term, now clocker.Instant) *round {
	return &round{
		term:    term,
		started: now,
		asked:   map[uint64]registrar.Member{},
		answers: map[uint64]LockReply{},
		ordered: map[uint64]OrderKind{},
	}
}

// take keeps the first answer of each guard that was asked.
func (r *round) take(from uint64, answer LockReply) bool {
	if _, asked := r.asked[from]; !asked {
		return false
	}
	if _, answered := r.answers[from]; answered {
		return false
	}
	r.answers[from] = answer
	return true
}

func (r *round) counts(from uint64, unlockedToo bool) bool {
	answer := r.answers[from]
	if !answer.Locked && !unlockedToo {
		return false
	}
	return answer.State.Healthy() && r.ordered[from] != OrderEject
}

func (r *round) capacity(unlockedToo bool) uint32 {
	var slots uint32
	for from, answer := range r.answers {
		if r.counts(from, unlockedToo) {
			slots += answer.Slots
		}
	}
	return slots
}

func (r *round) digests(unlockedToo bool) []detector.Evidence {
	digests := make([]detector.Evidence, 0, len(r.answers))
	for from, answer := range r.answers {
		healthy := answer.State.Healthy() && (answer.Locked || unlockedToo)
		if healthy && answer.Evidence.Samples >= minSamples && r.ordered[from] != OrderLift {
			digests = append(digests, answer.Evidence)
		}
	}
	return digests
}

func (r *round) set(state registrar.State) []uint64 {
	var members []uint64
	for _, from := range slices.Sorted(maps.Keys(r.answers)) {
		if r.answers[from].State == state {
			members = append(members, from)
		}
	}
	return members
}

// condemned returns the locked servers whose evidence holds against the fresh
// figures of their peers, the sickest first.
func (r *round) condemned(caution float64, baseline detector.Baseline) []uint64 {
	var targets []uint64
	for _, from := range slices.Sorted(maps.Keys(r.answers)) {
		answer := r.answers[from]
		if !answer.Locked || !answer.State.Healthy() || r.ordered[from] != 0 {
			continue
		}
		if answer.Evidence.Suspicion >= caution && outlier(answer.Evidence, baseline) {
			targets = append(targets, from)
		}
	}
	slices.SortStableFunc(targets, func(a, b uint64) int {
		return cmp.Compare(r.answers[b].Evidence.Severity(baseline), r.answers[a].Evidence.Severity(baseline))
	})
	return targets
}

func outlier(evidence detector.Evidence, baseline detector.Baseline) bool {
	if evidence.Cause == detector.CauseErrors {
		return evidence.BadShare >= minShareFactor*baseline.BadShare+minExcessShare
	}
	return evidence.MeanLog >= baseline.MedianLog+minExcessLog
}

// mildest returns the locked ejected server that was the least sick.
func (r *round) mildest(baseline detector.Baseline) (uint64, bool) {
	var best uint64
	found := false
	for _, from := range r.set(registrar.StateEjected) {
		if !r.answers[from].Locked || r.ordered[from] != 0 {
			continue
		}
		severity := r.answers[from].Evidence.Severity(baseline)
		if !found || severity < r.answers[best].Evidence.Severity(baseline) {
			best, found = from, true
		}
	}
	return best, found
}

func (r *round) order(target uint64, kind OrderKind, reason string, capacity uint32) Action {
	r.ordered[target] = kind
	return Action{
		Kind:     ActionOrder,
		Member:   r.asked[target],
		Term:     r.term,
		Order:    kind,
		Reason:   reason,
		Capacity: capacity,
	}
}
