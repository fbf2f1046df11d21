package router

import (
	"context"
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

// respond sends the reply to the caller.
func (r *Router) respond(c *app.RequestContext, request *call, reply reply) {
	if reply.refused != nil {
		r.refuse(c, request, *reply.refused)
		reply.cancel()
		r.active.Add(-1)
		return
	}
	answer := reply.answer
	c.SetStatusCode(int(answer.head.Status))
	for _, header := range answer.head.Headers {
		addHeader(c, header)
	}
	c.Response.Header.Set(answerer.HeaderOutcome, answerer.OutcomeAnswered.String())
	c.Response.Header.Set(answerer.HeaderRequestID, request.id)
	if answer.head.RepeatedAnswer {
		c.Response.Header.Set(answerer.HeaderRepeated, "true")
	}
	if request.unread {
		c.SetConnectionClose()
	}
	body := &download{router: r, request: request, answer: answer, cancel: reply.cancel, rest: answer.first, ended: answer.ended}
	if answer.ended {
		c.Response.SetBody(answer.first)
		body.finish(true)
		return
	}
	c.Response.SetBodyStream(body, int(answer.head.Length))
}

func addHeader(c *app.RequestContext, header *messenger.Header) {
	switch header.Name {
	case consts.HeaderContentType:
		c.Response.Header.SetContentType(header.Value)
	case consts.HeaderServer:
		c.Response.Header.SetServerBytes([]byte(header.Value))
	default:
		c.Response.Header.Add(header.Name, header.Value)
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
	// sent counts the bytes given to the HTTP server.
	sent int64
	// done is set once the end was accounted for.
	done bool
}

// Read returns io.EOF only at the answer's true end; any other error makes the
// HTTP server break the transfer.
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
	r.deps.Meter.Outcome(d.request.service.Name, outcome)
	r.deps.Meter.Latency(d.request.service.Name, took)
	r.deps.Log.Info("Finished", "Request", d.request.id, "Service", d.request.service.Name,
		"Outcome", outcome, "Status", d.answer.head.Status, "Attempts", d.request.attempts,
		"Server", d.answer.entry.Member.Address, "TookUs", took.Microseconds())
	r.active.Add(-1)
}
