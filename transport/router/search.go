package router

import (
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// largeBodyBytes is the body length from which a request rather waits in its own
// availability zone than tries another one.
const largeBodyBytes = 16 << 10

func newSearch(request *callerRequest) searcher.Search {
	return searcher.Search{LargeBody: largeBody(request)}
}

func largeBody(request *callerRequest) bool {
	return request.bodyStream != nil || len(request.body) >= largeBodyBytes
}

// nextServer returns the server of the request's next attempt, without one if no
// further attempt is made.
func (r *Router) nextServer(request *callerRequest, search *searcher.Search) searcher.Choice {
	if search.Attempts() > 0 && r.queueWaitExceeded(request) {
		return searcher.Choice{}
	}
	refusalRate := 1.0
	if state := r.deps.ServiceTable.ServiceState(request.service.Name); state != nil {
		refusalRate = state.RefusalRate.Value()
	}
	return search.Next(func(want searcher.Constraints) (tracker.Entry, picker.Reason) {
		return r.pick(request, want)
	}, refusalRate)
}

// refusal returns why the guard refused the attempt, the zero value if it did not.
func (r *result) refusal() searcher.Refusal {
	if r.kind != resultRefused || r.verdict == nil {
		return searcher.Refusal{Unfunded: r.verdict.GetUnfunded()}
	}
	return searcher.Refusal{Busy: r.verdict.Busy, Doubtful: r.verdict.Doubtful, Unfunded: r.verdict.Unfunded}
}

// queueWaitExceeded reports whether the request has waited for slots for as long as it
// may without having reached a server.
func (r *Router) queueWaitExceeded(request *callerRequest) bool {
	maxQueueWait := request.maxQueueWait()
	return maxQueueWait > 0 && request.arrivals == 0 && request.queueWait(r.deps.Now()) >= maxQueueWait
}
