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
	// maxFar bounds the servers of other availability zones that are asked before
	// the request insists.
	maxFar = 3
	// heavyBodyBytes is the body from which a request waits in its own
	// availability zone rather than be sent to another.
	heavyBodyBytes = 16 << 10
	// maxAsked bounds the attempts of one request.
	maxAsked = 24
	// maxUnfunded bounds the guards that refuse for want of retry budget. Where so
	// many have none, the fleet has little, and what it has is found by others.
	maxUnfunded = 6
)

// search finds the servers of one request's attempts.
type search struct {
	// spent holds the servers that are not asked again.
	spent []uint64
	// busy and doubtful hold those that refused for the time being.
	busy     []uint64
	doubtful []uint64
	// asked counts the attempts, and far those asked softly in other zones.
	asked int
	far   int
	// unfunded counts the guards that had no retry budget.
	unfunded int
}

// over tells whether no more servers are asked.
func (s *search) over() bool { return s.asked >= maxAsked || s.unfunded >= maxUnfunded }

// next returns the server to ask, and whether to insist. The entry's Server is
// nil if there is none. Servers of the own availability zone come first at each
// step, since bytes between zones are dear.
func (s *search) next(r *Router, request *call) (tracker.Entry, picker.Reason, bool) {
	if s.over() || s.asked > 0 && r.heldOut(request) {
		return tracker.Entry{}, picker.ReasonNone, false
	}
	s.asked++
	for _, step := range s.steps(r, request) {
		if entry, why := r.pick(request, step.wish); entry.Server != nil {
			s.far += step.far
			return entry, why, step.insist
		}
	}
	return tracker.Entry{}, picker.ReasonNone, false
}

// step is one way to look for a server.
type step struct {
	wish   wish
	insist bool
	// far is 1 if the step spends one of the asks of other availability zones.
	far int
}

func (s *search) steps(r *Router, request *call) []step {
	soft := slices.Concat(s.busy, s.doubtful)
	steps := make([]step, 0, 6)
	if len(soft) < r.softLimit(request) {
		unasked := wish{without: slices.Concat(s.spent, soft), sound: true}
		steps = append(steps, step{wish: unasked.nearby()})
		if s.far < maxFar && (!heavy(request) || len(s.busy) == 0) {
			steps = append(steps, step{wish: unasked, far: 1})
		}
	}
	if len(s.busy) > 0 {
		full := wish{without: slices.Concat(s.spent, s.doubtful), sound: true}
		steps = append(steps, step{wish: full.nearby(), insist: true}, step{wish: full, insist: true})
	}
	whoever := wish{without: s.spent}
	return append(steps, step{wish: whoever.nearby(), insist: true}, step{wish: whoever, insist: true})
}

// nearby returns the wish within the own availability zone.
func (w wish) nearby() wish {
	w.near = true
	return w
}

// heavy tells whether a request's body is worth a wait in its own availability zone.
func heavy(request *call) bool {
	return request.long != nil || len(request.body) >= heavyBodyBytes
}

// softLimit is how many servers are asked before the request insists.
func (r *Router) softLimit(request *call) int {
	lane := r.deps.ServiceTable.ServiceState(request.service.Name)
	if lane == nil {
		return leastSoft
	}
	return mostSoft - int(lane.RefusalRate.Value()*float64(mostSoft-leastSoft)+0.5)
}

// note takes the end of an attempt.
func (s *search) note(outcome *result, insisted bool) {
	incarnation := outcome.entry.Member.Incarnation
	if outcome.verdict != nil && outcome.verdict.Unfunded {
		s.unfunded++
	}
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
