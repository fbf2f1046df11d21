package router

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

var errTruncated = eris.New("answer was cut off")

// refusal is an answer by the proxy itself, in place of one by a backend server.
type refusal struct {
	status  int
	outcome answerer.Outcome
	reason  string
	// retryAfter is the delay suggested before a retry; 0 suggests none.
	retryAfter time.Duration
}

// notRun returns the refusal of a request that did not run and never will.
func notRun(status int, reason string) *refusal {
	refused := &refusal{status: status, outcome: answerer.OutcomeNotRun, reason: reason}
	if status == consts.StatusServiceUnavailable {
		refused.retryAfter = defaultRetryAfter
	}
	return refused
}

// defaultRetryAfter is the delay suggested before a request that did not run is retried.
const defaultRetryAfter = 500 * time.Millisecond

// unknown returns the refusal of a request that may have run.
func unknown(ctx context.Context, reason string) *refusal {
	status := consts.StatusBadGateway
	if ctx.Err() != nil {
		status = consts.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: answerer.OutcomeUnknown, reason: reason}
}

// alreadyRan returns the refusal of a request whose key ran before and whose answer is
// no longer available.
func alreadyRan(reason string) *refusal {
	return &refusal{status: consts.StatusConflict, outcome: answerer.OutcomeRan, reason: reason}
}

// answerLost returns the refusal of a request without a key that ran and whose answer is
// lost. Nothing is in conflict with it: the caller learns that a gateway lost the answer.
func answerLost(reason string) *refusal {
	return &refusal{status: consts.StatusBadGateway, outcome: answerer.OutcomeRan, reason: reason}
}

// refuse returns the answer for a refused request, and logs and counts the request.
func (r *Router) refuse(request *callerRequest, refused refusal) *protocol.Response {
	response := r.refusalResponse(request.id, refused)
	r.deps.Meter.CountOutcome(request.service.Name, refused.outcome.String())
	took := r.deps.Now().Since(request.receivedAt)
	r.deps.Meter.ObserveLatency(request.service.Name, took)
	r.deps.Log.Info("Finished", "Request", request.id, "Route", request.route.Name, "Service", request.service.Name,
		"Outcome", refused.outcome.String(), "Status", refused.status, "Reason", refused.reason,
		"Version", r.deps.Catalog().Version(), "Caller", request.remoteIP, "Attempts", request.attempts,
		"Arrivals", request.arrivals, "Customer", request.customer.Name, "TookUs", took.Microseconds())
	return response
}

func (r *Router) refusalResponse(id string, refused refusal) *protocol.Response {
	response := &protocol.Response{}
	response.SetStatusCode(refused.status)
	r.deps.Callers.AnnotateRefusal(&response.Header, interpreter.Refusal{
		ID: id, Outcome: refused.outcome, Reason: refused.reason, RetryAfter: refused.retryAfter,
	})
	response.Header.SetContentType("text/plain; charset=utf-8")
	response.SetBodyString(refused.outcome.String() + ": " + refused.reason + "\n")
	return response
}

// refuseMalformed answers a request that could not be parsed. The header is nil if not
// even the head could be parsed.
func (r *Router) refuseMalformed(header *protocol.RequestHeader, status int, reason string) *protocol.Response {
	request := &callerRequest{receivedAt: r.deps.Now()}
	if header != nil {
		options, err := r.deps.Callers.Read(header)
		if err != nil {
			r.deps.Log.Debug("MarksUnread", "Error", err)
		}
		request.id = options.ID
	}
	return r.refuse(request, *notRun(status, reason))
}

// answerBroken returns the answer to a request whose own answer broke off before any of it
// was sent. The request itself was logged and counted when that happened.
func (r *Router) answerBroken(header *protocol.RequestHeader) *protocol.Response {
	options, err := r.deps.Callers.Read(header)
	if err != nil {
		r.deps.Log.Debug("MarksUnread", "Error", err)
	}
	return r.refusalResponse(options.ID, refusal{
		status: consts.StatusBadGateway, outcome: answerer.OutcomeUnknown, reason: "AnswerCutOff",
	})
}

// respond turns a reply into the HTTP response for the caller.
func (r *Router) respond(request *callerRequest, reply reply) *protocol.Response {
	if reply.refused != nil {
		reply.cancel()
		r.setRetryAfter(request, reply.refused)
		return r.refuse(request, *reply.refused)
	}
	answer := reply.answer
	response := &protocol.Response{}
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(int(answer.head.Status))
	for _, header := range answer.head.Headers {
		addHeader(response, header)
	}
	r.deps.Callers.Annotate(&response.Header, request.id, answer.head.RepeatedAnswer)
	body := &answerBody{
		router: r, request: request, answer: answer, cancel: reply.cancel,
		unread: answer.bodyPrefix, bodyComplete: answer.bodyComplete,
	}
	if answer.bodyComplete {
		response.SetBodyRaw(answer.bodyPrefix)
		body.finish(true)
		return response
	}
	response.SetBodyStream(body, int(answer.head.Length))
	return response
}

func addHeader(response *protocol.Response, header *messenger.Header) {
	switch header.Name {
	case consts.HeaderContentType:
		response.Header.SetContentType(header.Value)
	case consts.HeaderServer:
		response.Header.SetServerBytes([]byte(header.Value))
	default:
		response.Header.Add(header.Name, header.Value)
	}
}

// answerBody reads the body of a long answer from its attempt's stream.
type answerBody struct {
	router       *Router
	request      *callerRequest
	answer       *result
	cancel       context.CancelFunc
	unread       []byte
	bodyComplete bool
	// sent counts the bytes that were read for the caller.
	sent int64
	// finished is set once the request was logged and counted.
	finished bool
}

// Read returns io.EOF only at the true end of the answer. Any other error aborts the
// caller's connection, so that a truncated answer does not look complete.
func (b *answerBody) Read(buffer []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.bodyComplete {
			b.finish(true)
			return 0, io.EOF
		}
		frame, err := b.answer.stream.Recv()
		if err != nil {
			b.finish(false)
			return 0, fmt.Errorf("reading the answer: %w: %w", errTruncated, err)
		}
		if frame.GetVerdict() != nil {
			b.finish(false)
			return 0, errTruncated
		}
		if !b.answer.body.add(frame.GetData()) || frame.GetEnd() && !b.answer.body.whole() {
			b.finish(false)
			return 0, fmt.Errorf("reading the answer: %w: %w", errTruncated, errMalformedAnswer)
		}
		b.unread = frame.GetData()
		b.bodyComplete = frame.GetEnd()
	}
	n := copy(buffer, b.unread)
	b.unread = b.unread[n:]
	b.sent += int64(n)
	return n, nil
}

// Close ends the attempt, whether or not the whole body was read.
func (b *answerBody) Close() error {
	b.finish(b.bodyComplete && len(b.unread) == 0 || b.sent == b.answer.head.Length)
	return nil
}

func (b *answerBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	if b.answer.bodyComplete || complete {
		_ = b.answer.stream.CloseSend()
	}
	b.answer.cancel()
	b.cancel()
	r := b.router
	outcome := answerer.OutcomeAnswered.String()
	if !complete {
		outcome = "Broken"
	}
	took := r.deps.Now().Since(b.request.receivedAt)
	r.deps.Meter.CountOutcome(b.request.service.Name, outcome)
	r.deps.Meter.ObserveLatency(b.request.service.Name, took)
	r.deps.Log.Info("Finished", "Request", b.request.id, "Route", b.request.route.Name, "Service", b.request.service.Name,
		"Outcome", outcome, "Status", b.answer.head.Status, "Version", r.deps.Catalog().Version(),
		"Caller", b.request.remoteIP, "Attempts", b.request.attempts, "Arrivals", b.request.arrivals,
		"Server", b.answer.entry.Member.Address, "Customer", b.request.customer.Name, "TookUs", took.Microseconds())
}
