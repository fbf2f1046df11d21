package router

import (
	"slices"

	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

const (
	// mostSoft and leastSoft bound how many servers may refuse for want of a slot,
	// or in doubt of their own health, before the request insists on one of them:
	// the more of them refuse anyway, the fewer are asked.
	mostSoft  = 6
	leastSoft = 2
	// maxAsked bounds the attempts of one request.
	maxAsked = 24
)

// search finds the servers of one request's attempts.
type search struct {
	// spent holds the servers that are not asked again.
	spent []uint64
	// busy and doubtful hold those that refused for the time being.
	busy     []uint64
	doubtful []uint64
	// asked counts the attempts.
	asked int
}

// next returns the server to ask, and whether to insist. The entry's Server is
// nil if there is none.
func (s *search) next(r *Router, request *call) (tracker.Entry, picker.Reason, bool) {
	if s.asked >= maxAsked || s.asked > 0 && r.heldOut(request) {
		return tracker.Entry{}, picker.ReasonNone, false
	}
	s.asked++
	soft := slices.Concat(s.busy, s.doubtful)
	if len(soft) < r.softLimit(request) {
		if entry, why := r.pick(request, slices.Concat(s.spent, soft), true); entry.Server != nil {
			return entry, why, false
		}
	}
	if len(s.busy) > 0 {
		if entry, why := r.pick(request, slices.Concat(s.spent, s.doubtful), true); entry.Server != nil {
			return entry, why, true
		}
	}
	entry, why := r.pick(request, s.spent, false)
	return entry, why, true
}

// softLimit is how many servers are asked before the request insists.
func (r *Router) softLimit(request *call) int {
	lane := r.deps.Lanes.Lane(request.service.Name)
	if lane == nil {
		return leastSoft
	}
	return mostSoft - int(lane.Refusing.Share()*float64(mostSoft-leastSoft)+0.5)
}

// note takes the end of an attempt.
func (s *search) note(outcome *result, insisted bool) {
	incarnation := outcome.entry.Member.Incarnation
	switch {
	case outcome.soft() && outcome.verdict.Busy && insisted:
		// What was refused before this one waited may have slots by now.
		s.busy = append(s.busy[:0], incarnation)
		s.doubtful = s.doubtful[:0]
	case insisted || !outcome.soft():
		s.spent = append(s.spent, incarnation)
	case outcome.verdict.Busy:
		s.busy = append(s.busy, incarnation)
	default:
		s.doubtful = append(s.doubtful, incarnation)
	}
}

// heldOut tells whether a request has waited for a slot for as long as it may.
func (r *Router) heldOut(request *call) bool {
	hold := request.hold()
	return hold > 0 && request.arrivals == 0 && r.deps.Now().Since(request.began) >= hold
}
