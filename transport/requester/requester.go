// Package requester makes whole HTTP calls to one address: it returns once the answer's
// body has arrived.
package requester

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

// maxBodyBytes bounds the body of an answer.
const maxBodyBytes = 64 << 20

var errBodyTooLong = eris.New("answer's body is too long")

// Requester calls one address. It is safe for concurrent use.
type Requester struct {
	forwarder *forwarder.Forwarder
}

// New returns a requester for an IP:port that keeps up to maxIdle idle connections. A call
// fails once its connection has been silent for silence, whole seconds and at least two;
// a peer that only takes its time still acknowledges probes.
func New(address string, maxIdle int, silence time.Duration) *Requester {
	client := forwarder.New(maxIdle, silence)
	client.SetAddress(address)
	return &Requester{forwarder: client}
}

// Do sends a request once and returns its answer with the whole body. After an error
// the request may still be handled, unless the error is forwarder.ErrNotSent.
func (r *Requester) Do(ctx context.Context, request *protocol.Request) (*protocol.Response, error) {
	exchange, err := r.forwarder.Send(ctx, request, accept, func() {})
	if err != nil {
		return nil, fmt.Errorf("calling: %w", err)
	}
	defer exchange.Close()
	body, err := io.ReadAll(io.LimitReader(exchange, maxBodyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	if len(body) > maxBodyBytes {
		return nil, errBodyTooLong
	}
	answer := &protocol.Response{}
	exchange.Response.Header.CopyTo(&answer.Header)
	answer.SetBodyRaw(body)
	return answer, nil
}

// accept takes every answer: calls have no ID by which to tell them apart.
func accept(*protocol.ResponseHeader) (mismatched bool, idleTimeout time.Duration) { return false, 0 }
