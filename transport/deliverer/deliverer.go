// Package deliverer hands requests to the backend server beside the process,
// over connections that carry one request at a time and are never used to send
// a request twice.
package deliverer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/peeker"
)

const (
	dialTimeout = time.Second
	// prefetchBytes is how much of an answer's body is read with its head.
	prefetchBytes = 8192
)

var (
	// ErrNotSent means that no byte of the request has reached the backend server.
	ErrNotSent = eris.New("backend server cannot be reached")
	// ErrNoLength means that the end of an answer's body could not be told from a cut.
	ErrNoLength = eris.New("answer has neither Content-Length nor chunked encoding")
)

// Deliverer keeps idle connections to one backend server. It is safe for concurrent use.
type Deliverer struct {
	mu      sync.Mutex
	address string
	// idle holds connections that carried their last exchange to its end.
	idle []*connection
	// maxIdle bounds idle.
	maxIdle int
}

type connection struct {
	raw    net.Conn
	reader *bufferedReader
	writer network.Writer
	// address is where the connection leads.
	address string
}

// New returns a deliverer without an address, which sends nothing.
func New(maxIdle int) *Deliverer {
	return &Deliverer{maxIdle: maxIdle}
}

// SetAddress sets the backend server's IP:port. Connections to another are closed.
func (d *Deliverer) SetAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.address == address {
		return
	}
	d.address = address
	for _, idle := range d.idle {
		_ = idle.raw.Close()
	}
	d.idle = nil
}

// Exchange is one request at the backend server and its answer.
type Exchange struct {
	deliverer *Deliverer
	conn      *connection
	Response  *protocol.Response
	// body reads the rest of the answer.
	body io.Reader
	// stop ends the watch over the context.
	stop func() bool
	// whole is set once the body was read to its end.
	whole bool
	left  int64
}

// Send hands over a request and returns once the answer's head has come. Sent
// is called when the whole request is on its way. An error that is not
// ErrNotSent leaves open whether the request ran.
func (d *Deliverer) Send(ctx context.Context, request *protocol.Request, sent func()) (*Exchange, error) {
	conn, err := d.take(ctx)
	if err != nil {
		return nil, fmt.Errorf("opening a connection: %w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.raw.Close() })
	exchange := &Exchange{deliverer: d, conn: conn, Response: protocol.AcquireResponse(), stop: stop}
	if err := exchange.run(request, sent); err != nil {
		exchange.Close()
		return nil, err
	}
	return exchange, nil
}

func (e *Exchange) run(request *protocol.Request, sent func()) error {
	writeErr := req.Write(request, e.conn.writer)
	if writeErr == nil {
		writeErr = e.conn.writer.Flush()
	}
	if writeErr != nil {
		return fmt.Errorf("sending the request: %w", writeErr)
	}
	sent()
	if err := resp.ReadHeaders(e.Response, e.conn.reader); err != nil {
		return fmt.Errorf("reading the answer's head: %w", err)
	}
	return e.openBody(request.Header.IsHead())
}

func (e *Exchange) openBody(headOnly bool) error {
	if headOnly || e.Response.MustSkipBody() {
		e.whole = true
		return nil
	}
	length := e.Response.Header.ContentLength()
	if length < -1 {
		return ErrNoLength
	}
	keep := func(bool) error { return nil }
	if err := resp.ReadRespBodyStream(e.Response, e.conn.reader, prefetchBytes, keep); err != nil {
		return fmt.Errorf("reading the answer's body: %w", err)
	}
	e.body = e.Response.BodyStream()
	e.left = int64(length)
	e.whole = length == 0
	return nil
}

// Length returns the body's length in bytes, -1 if it is chunked.
func (e *Exchange) Length() int64 {
	if e.body == nil {
		return 0
	}
	return int64(e.Response.Header.ContentLength())
}

// Read reads the body. It returns io.EOF only at the body's true end.
func (e *Exchange) Read(buffer []byte) (int, error) {
	if e.whole {
		return 0, io.EOF
	}
	if e.left >= 0 && int64(len(buffer)) > e.left {
		buffer = buffer[:e.left]
	}
	n, err := e.body.Read(buffer)
	if e.left >= 0 {
		e.left -= int64(n)
		e.whole = e.left == 0
	} else if err == io.EOF {
		e.whole = true
	}
	if e.whole {
		return n, io.EOF
	}
	if err == io.EOF {
		return n, io.ErrUnexpectedEOF
	}
	if err != nil {
		return n, fmt.Errorf("reading the answer's body: %w", err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept only if the answer was read
// to its end and the server will take another request on it.
func (e *Exchange) Close() {
	stopped := e.stop()
	reusable := stopped && e.whole && !e.Response.ConnectionClose()
	if reusable {
		e.deliverer.put(e.conn)
	} else {
		_ = e.conn.raw.Close()
	}
	protocol.ReleaseResponse(e.Response)
}

func (d *Deliverer) take(ctx context.Context) (*connection, error) {
	for {
		idle, address := d.takeIdle()
		if idle == nil {
			return open(ctx, address)
		}
		if idle.address == address && peeker.Peek(idle.raw) == peeker.StateQuiet {
			return idle, nil
		}
		_ = idle.raw.Close()
	}
}

func (d *Deliverer) takeIdle() (*connection, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) == 0 {
		return nil, d.address
	}
	last := d.idle[len(d.idle)-1]
	d.idle = d.idle[:len(d.idle)-1]
	return last, d.address
}

func (d *Deliverer) put(conn *connection) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.idle) >= d.maxIdle || conn.address != d.address {
		_ = conn.raw.Close()
		return
	}
	d.idle = append(d.idle, conn)
}

func open(ctx context.Context, address string) (*connection, error) {
	if address == "" {
		return nil, eris.New("no backend server has announced itself")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return &connection{
		raw:     raw,
		reader:  newBufferedReader(raw),
		writer:  network.NewWriter(raw),
		address: address,
	}, nil
}

// Whole tells whether the body was read to its true end.
func (e *Exchange) Whole() bool { return e.whole }
