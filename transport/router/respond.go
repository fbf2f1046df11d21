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

var errCutOff = eris.New("answer was cut off")

// refusal is an answer of the system's own.
type refusal struct {
	status  int
	outcome answerer.Outcome
	reason  string
	// retryAfter is when a repeat may succeed; 0 says nothing about it.
	retryAfter time.Duration
}

func notRun(status int, reason string) *refusal {
	refused := &refusal{status: status, outcome: answerer.OutcomeNotRun, reason: reason}
	if status == consts.StatusServiceUnavailable {
		refused.retryAfter = defaultRetryAfter
	}
	return refused
}

// defaultRetryAfter is the pause asked for before a repeat of what has not run.
const defaultRetryAfter = 500 * time.Millisecond

func unknown(ctx context.Context, reason string) *refusal {
	status := consts.StatusBadGateway
	if ctx.Err() != nil {
		status = consts.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: answerer.OutcomeUnknown, reason: reason}
}

func ran(reason string) *refusal {
	return &refusal{status: consts.StatusConflict, outcome: answerer.OutcomeRan, reason: reason}
}

// refuse returns the system's own answer.
func (r *Router) refuse(request *call, refused refusal) *protocol.Response {
	response := r.refusalOf(request.id, refused)
	r.deps.Meter.CountOutcome(request.service.Name, refused.outcome.String())
	took := r.deps.Now().Since(request.began)
	r.deps.Meter.ObserveLatency(request.service.Name, took)
	r.deps.Log.Info("Finished", "Request", request.id, "Route", request.route.Name, "Service", request.service.Name,
		"Outcome", refused.outcome.String(), "Status", refused.status, "Reason", refused.reason,
		"Version", r.deps.Catalog().Version(), "Caller", request.remote, "Attempts", request.attempts,
		"Arrivals", request.arrivals, "TookUs", took.Microseconds())
	return response
}

func (r *Router) refusalOf(id string, refused refusal) *protocol.Response {
	response := &protocol.Response{}
	response.SetStatusCode(refused.status)
	r.deps.Callers.AnnotateRefusal(&response.Header, interpreter.Refusal{
		ID: id, Outcome: refused.outcome, Reason: refused.reason, RetryAfter: refused.retryAfter,
	})
	response.Header.SetContentType("text/plain; charset=utf-8")
	response.SetBodyString(refused.outcome.String() + ": " + refused.reason + "\n")
	return response
}

// malformed answers what could not be read as a request.
func (r *Router) malformed(header *protocol.RequestHeader, status int, reason string) *protocol.Response {
	request := &call{began: r.deps.Now()}
	if header != nil {
		marks, err := r.deps.Callers.Read(header)
		if err != nil {
			r.deps.Log.Debug("MarksUnread", "Error", err)
		}
		request.id = marks.ID
	}
	return r.refuse(request, *notRun(status, reason))
}

// respond returns what the caller gets.
func (r *Router) respond(request *call, reply reply) *protocol.Response {
	if reply.refused != nil {
		reply.cancel()
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
	body := &download{router: r, request: request, answer: answer, cancel: reply.cancel, rest: answer.first, ended: answer.ended}
	if answer.ended {
		response.SetBodyRaw(answer.first)
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

// download reads a long answer's body for the caller.
type download struct {
	router  *Router
	request *call
	answer  *result
	cancel  context.CancelFunc
	rest    []byte
	ended   bool
	// sent counts the bytes given to the caller's connection.
	sent int64
	// done is set once the end was accounted for.
	done bool
}

// Read returns io.EOF only at the answer's true end; any other error makes the
// caller's connection break the transfer.
func (d *download) Read(buffer []byte) (int, error) {
	for len(d.rest) == 0 {
		if d.ended {
			d.finish(true)
			return 0, io.EOF
		}
		frame, err := d.answer.stream.Recv()
		if err != nil {
			d.finish(false)
			return 0, fmt.Errorf("reading the answer: %w: %w", errCutOff, err)
		}
		if frame.GetVerdict() != nil {
			d.finish(false)
			return 0, errCutOff
		}
		d.rest = frame.GetData()
		d.ended = frame.GetEnd()
	}
	n := copy(buffer, d.rest)
	d.rest = d.rest[n:]
	d.sent += int64(n)
	return n, nil
}

// Close ends the attempt, whether or not the body was read to its end.
func (d *download) Close() error {
	d.finish(d.ended && len(d.rest) == 0 || d.sent == d.answer.head.Length)
	return nil
}

func (d *download) finish(whole bool) {
	if d.done {
		return
	}
	d.done = true
	if d.answer.ended || whole {
		_ = d.answer.stream.CloseSend()
	}
	d.answer.cancel()
	d.cancel()
	r := d.router
	outcome := answerer.OutcomeAnswered.String()
	if !whole {
		outcome = "Broken"
	}
	took := r.deps.Now().Since(d.request.began)
	r.deps.Meter.CountOutcome(d.request.service.Name, outcome)
	r.deps.Meter.ObserveLatency(d.request.service.Name, took)
	r.deps.Log.Info("Finished", "Request", d.request.id, "Route", d.request.route.Name, "Service", d.request.service.Name,
		"Outcome", outcome, "Status", d.answer.head.Status, "Version", r.deps.Catalog().Version(),
		"Caller", d.request.remote, "Attempts", d.request.attempts, "Arrivals", d.request.arrivals,
		"Server", d.answer.entry.Member.Address, "TookUs", took.Microseconds())
}
