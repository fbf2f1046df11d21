// Package requester makes whole HTTP calls to one address: it returns once the answer's
// body has arrived.
package requester

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/repeater"
	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

// maxBodyBytes bounds the body of an answer. Several attempts of a call may hold one.
const maxBodyBytes = 8 << 20

var errBodyTooLong = eris.New("answer's body is too long")

// Requester calls one address. It is safe for concurrent use.
type Requester struct {
	forwarder *forwarder.Forwarder
}

// New returns a requester for an IP:port that keeps up to maxIdle idle connections. A call
// fails once its connection has been silent for silence, whole seconds and at least two;
// a peer that only takes its time still acknowledges probes.
func New(address string, maxIdle int, silence time.Duration) *Requester {
	return newRequester(address, forwarder.New(maxIdle, silence))
}

// NewWithDialer is New for connections that a dialer opens.
func NewWithDialer(address string, maxIdle int, connections *net.Dialer) *Requester {
	return newRequester(address, forwarder.NewWithDialer(maxIdle, connections))
}

func newRequester(address string, client *forwarder.Forwarder) *Requester {
	client.SetAddress(address)
	return &Requester{forwarder: client}
}

// Do sends a request, and repeated in its place until an attempt is answered. It returns
// that answer with its whole body. Attempts overlap as patience says, so both requests must
// be ones that may be handled more than once, also later, even if Do fails.
func (r *Requester) Do(
	ctx context.Context, request, repeated *protocol.Request, patience repeater.Patience,
) (*protocol.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, patience.Limit)
	defer cancel()
	call, started := repeater.New(patience), time.Now()
	heard := &hearing{since: started}
	results := make(chan result)
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("calling: %w of %d ms, attempts: %d: %w",
				repeater.ErrUnanswered, time.Since(started).Milliseconds(), call.Made(), ctx.Err())
		case <-due.C:
			call = call.WithPart(heard.last())
			if at, ok := call.NextAt(); ok && at <= time.Since(started) {
				call = call.WithAttempt()
				sent := &protocol.Request{}
				request.CopyTo(sent)
				request = repeated
				go r.attempt(ctx, sent, heard, results)
			}
			if at, ok := call.NextAt(); ok {
				due.Reset(at - time.Since(started))
			}
		case got := <-results:
			if got.err == nil {
				return got.answer, nil
			}
			var failed bool
			if call, failed = call.WithFailure(); failed {
				return nil, got.err
			}
		}
	}
}

// result is the outcome of one attempt.
type result struct {
	answer *protocol.Response
	err    error
}

// attempt sends a request once and passes on the outcome, unless the context
// ends before.
func (r *Requester) attempt(ctx context.Context, request *protocol.Request, heard *hearing, results chan<- result) {
	answer, err := r.send(ctx, request, maxBodyBytes, heard)
	select {
	case results <- result{answer: answer, err: err}:
	case <-ctx.Done():
	}
}

// Once sends a request once, and returns the answer with its whole body of up to maxBytes. After
// an error other than forwarder.ErrNotSent the request may have been handled.
func (r *Requester) Once(ctx context.Context, request *protocol.Request, maxBytes int64) (*protocol.Response, error) {
	return r.send(ctx, request, maxBytes, io.Discard)
}

// send sends a request once. It writes the answer's body to heard as it arrives.
func (r *Requester) send(
	ctx context.Context, request *protocol.Request, maxBytes int64, heard io.Writer,
) (*protocol.Response, error) {
	exchange, err := r.forwarder.Send(ctx, request, accept, func() {})
	if err != nil {
		return nil, fmt.Errorf("calling: %w", err)
	}
	defer exchange.Close()
	body, err := io.ReadAll(io.LimitReader(io.TeeReader(exchange, heard), maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	if int64(len(body)) > maxBytes {
		return nil, errBodyTooLong
	}
	answer := &protocol.Response{}
	exchange.Response.Header.CopyTo(&answer.Header)
	answer.SetBodyRaw(body)
	return answer, nil
}

// hearing tracks when a part of an answer's body last arrived. It is safe for concurrent use.
type hearing struct {
	since time.Time
	// at is the time from since to the last part, 0 before the first.
	at atomic.Int64
}

// Write implements io.Writer. It ignores the part itself.
func (h *hearing) Write(part []byte) (int, error) {
	h.at.Store(int64(time.Since(h.since)))
	return len(part), nil
}

func (h *hearing) last() time.Duration { return time.Duration(h.at.Load()) }

// accept takes every answer: calls have no ID by which to tell them apart.
func accept(*protocol.ResponseHeader) (mismatched bool, idleTimeout time.Duration) { return false, 0 }
