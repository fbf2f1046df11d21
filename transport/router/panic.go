package router

import (
	"context"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
)

// reasonInternalError is the reason of an answer after a panic.
const reasonInternalError = "InternalError"

// serveContained answers one request. A panic ends this request alone, with an unknown
// outcome, instead of the process with all its other requests.
func (r *Router) serveContained(ctx context.Context, incoming *acceptor.Request) (response *protocol.Response) {
	defer func() {
		if cause := recover(); cause != nil {
			r.recordPanic(cause)
			response = r.refusalResponse(r.requestID(incoming), refusal{
				status: consts.StatusBadGateway, outcome: answerer.OutcomeUnknown, reason: reasonInternalError,
			})
		}
	}()
	return r.serve(ctx, incoming)
}

// requestID returns the caller's ID of a request, "" if there is none.
func (r *Router) requestID(incoming *acceptor.Request) string {
	options, err := r.deps.Callers.Read(incoming.Header)
	if err != nil {
		r.deps.Log.Debug("MarksUnread", "Error", err)
	}
	return options.ID
}

// sendContained runs one attempt. After a panic its outcome is unknown.
func (r *Router) sendContained(ctx context.Context, request *callerRequest, choice searcher.Choice) (outcome result) {
	defer func() {
		if cause := recover(); cause != nil {
			r.recordPanic(cause)
			request.arrivals++
			outcome = result{kind: resultUnknown, entry: choice.Entry, reason: reasonInternalError, cancel: func() {}}
		}
	}()
	return r.send(ctx, request, choice.Entry, choice.Reason.String(), choice.Insist)
}

func (r *Router) recordPanic(cause any) {
	r.deps.Log.Error("Panicked", "Cause", cause, "Stack", string(debug.Stack()))
	r.deps.Meter.CountEvent("Panicked")
}
