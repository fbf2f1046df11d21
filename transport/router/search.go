package router

import (
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

const (
	// softRefusals is how many servers may refuse for want of a slot before the
	// request asks to be queued.
	softRefusals = 3
	// maxAsked bounds the guards that one request asks.
	maxAsked = picker.MaxTried
)

// search finds the servers of one request's attempts.
type search struct {
	// spent holds the servers that are not asked again.
	spent []uint64
	// soft holds those that refused for want of a slot or in doubt.
	soft []uint64
	// asked counts the attempts.
	asked int
}

// next returns the server to ask, and whether to insist on being queued. The
// entry's Server is nil if there is none.
func (s *search) next(r *Router, request *call) (tracker.Entry, picker.Reason, bool) {
	if s.asked >= maxAsked {
		return tracker.Entry{}, picker.ReasonNone, false
	}
	if len(s.soft) < softRefusals {
		known := append(append([]uint64{}, s.spent...), s.soft...)
		if entry, why := r.pick(request, known); entry.Server != nil {
			s.asked++
			return entry, why, false
		}
	}
	entry, why := r.pick(request, s.spent)
	s.asked++
	return entry, why, true
}

// note takes the end of an attempt.
func (s *search) note(outcome *result, insisted bool) {
	incarnation := outcome.entry.Member.Incarnation
	if outcome.soft() && !insisted {
		s.soft = append(s.soft, incarnation)
		return
	}
	s.spent = append(s.spent, incarnation)
}
