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

// round is one count of a service's healthy servers under one term.
type round struct {
	term    locker.Term
	started clocker.Instant
	members map[uint64]registrar.Member
	replies map[uint64]LockReply
	// orders holds the orders of this round by target. A server that was ordered to
	// eject is never counted again in the same round.
	orders  map[uint64]OrderKind
	decided bool
}

func newRound(term locker.Term, now clocker.Instant) *round {
	return &round{
		term:    term,
		started: now,
		members: map[uint64]registrar.Member{},
		replies: map[uint64]LockReply{},
		orders:  map[uint64]OrderKind{},
	}
}

// addReply records the first reply of each member and reports whether it was one.
func (r *round) addReply(from uint64, reply LockReply) bool {
	if _, asked := r.members[from]; !asked {
		return false
	}
	if _, answered := r.replies[from]; answered {
		return false
	}
	r.replies[from] = reply
	return true
}

func (r *round) countsAsHealthy(from uint64, includeUnlocked bool) bool {
	reply := r.replies[from]
	if !reply.Locked && !includeUnlocked {
		return false
	}
	return reply.State.Healthy() && r.orders[from] != OrderEject
}

func (r *round) capacity(includeUnlocked bool) uint32 {
	var slots uint32
	for from, reply := range r.replies {
		if r.countsAsHealthy(from, includeUnlocked) {
			slots += reply.Slots
		}
	}
	return slots
}

func (r *round) evidence(includeUnlocked bool) []detector.Evidence {
	evidence := make([]detector.Evidence, 0, len(r.replies))
	for from, reply := range r.replies {
		healthy := reply.State.Healthy() && (reply.Locked || includeUnlocked)
		if healthy && reply.Evidence.Samples >= minSamples && r.orders[from] != OrderLift {
			evidence = append(evidence, reply.Evidence)
		}
	}
	return evidence
}

func (r *round) inState(state registrar.State) []uint64 {
	var members []uint64
	for _, from := range slices.Sorted(maps.Keys(r.replies)) {
		if r.replies[from].State == state {
			members = append(members, from)
		}
	}
	return members
}

// ejectionCandidates returns the healthy, locked servers whose evidence reaches the
// threshold and that are outliers against the baseline of this round, the most
// severe first.
func (r *round) ejectionCandidates(threshold float64, baseline detector.Baseline) []uint64 {
	var targets []uint64
	for _, from := range slices.Sorted(maps.Keys(r.replies)) {
		reply := r.replies[from]
		if !reply.Locked || !reply.State.Healthy() || r.orders[from] != 0 {
			continue
		}
		if reply.Evidence.Suspicion >= threshold && isOutlier(reply.Evidence, baseline) {
			targets = append(targets, from)
		}
	}
	slices.SortStableFunc(targets, func(a, b uint64) int {
		return cmp.Compare(r.replies[b].Evidence.Severity(baseline), r.replies[a].Evidence.Severity(baseline))
	})
	return targets
}

func isOutlier(evidence detector.Evidence, baseline detector.Baseline) bool {
	if evidence.Cause == detector.CauseErrors {
		return evidence.BadShare >= minBadShareFactor*baseline.BadShare+minBadShareExcess
	}
	return evidence.MeanLog >= baseline.MedianLog+minLatencyExcessLog
}

// mildest returns the locked ejected server with the least severe evidence.
func (r *round) mildest(baseline detector.Baseline) (uint64, bool) {
	var best uint64
	found := false
	for _, from := range r.inState(registrar.StateEjected) {
		if !r.replies[from].Locked || r.orders[from] != 0 {
			continue
		}
		severity := r.replies[from].Evidence.Severity(baseline)
		if !found || severity < r.replies[best].Evidence.Severity(baseline) {
			best, found = from, true
		}
	}
	return best, found
}

func (r *round) addOrder(target uint64, kind OrderKind, reason string, capacity uint32) Action {
	r.orders[target] = kind
	return Action{
		Kind:     ActionOrder,
		Member:   r.members[target],
		Term:     r.term,
		Order:    kind,
		Reason:   reason,
		Capacity: capacity,
	}
}
