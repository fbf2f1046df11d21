// Package acceptor is the HTTP/1 server for callers. It runs pipelined requests
// concurrently, writes their answers in order, and cancels the context of a request as
// soon as its caller closes the connection.
package acceptor

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

const (
	// maxPipelined bounds the queued answers of one connection, and so the requests that
	// are read before the first is answered.
	maxPipelined = 32
	// bodyTimeout is the maximum wait for the next bytes of a request's body.
	bodyTimeout = 15 * time.Second
	// writeTimeout bounds the write of one answer to a caller that does not read it.
	writeTimeout = 30 * time.Second
	// lingerTimeout is how long data is still read from a closing connection. Closing it
	// with unread data would make the kernel reset it before the caller has read the
	// last answer.
	lingerTimeout = 500 * time.Millisecond
	// keepAlivePeriod and keepAliveProbes detect callers whose VM is unreachable.
	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 3
)

// Request is one request of a caller.
type Request struct {
	// Header is valid until the answer was written.
	Header *protocol.RequestHeader
	// Body holds the whole body, unless Stream is set.
	Body []byte
	// Stream reads a body that is too long to be buffered. An error other than io.EOF
	// means that the body is incomplete.
	Stream *Stream
	// Length is that of the body in bytes, -1 if the caller did not send it.
	Length int64
	// Remote is the caller's IP address.
	Remote string
	// ReceivedAt is when the head was read completely.
	ReceivedAt time.Time
	// ReserveAnswer asks for memory for the answer, in bytes, and reports whether it was
	// granted. It is released once the answer was written.
	ReserveAnswer func(bytes int64) bool
	// Checked is what Refuse keeps for Handle, nil if it was not called.
	Checked any
}

// Dependencies are the functions and values that the process provides to an acceptor.
type Dependencies struct {
	Log *slog.Logger
	// Limits returns the limits in force for requests and connections of callers.
	Limits func() cataloger.Limits
	// Handle answers a request. Its context ends when the caller closes the connection.
	Handle func(ctx context.Context, request *Request) *protocol.Response
	// Malformed returns the answer to a request that could not be read, with the given
	// status and reason. The header is nil if not even the head could be read.
	Malformed func(header *protocol.RequestHeader, status int, reason string) *protocol.Response
	// Refuse returns the answer to a request that is refused whatever its body holds, or nil.
	// It is called once the head was read, if there is an account.
	Refuse func(request *Request) *protocol.Response
	// Memory is the account of the process; nil has no limit.
	Memory *reserver.Reserver
	// MaxConnections bounds the open connections; 0 means no bound.
	MaxConnections int
	// MaxRequests bounds the requests that are being handled or answered; 0 means no bound.
	MaxRequests int
	// Broken returns the answer to a request whose own answer broke off before any of it
	// was written.
	Broken func(header *protocol.RequestHeader) *protocol.Response
}

// Acceptor accepts and serves callers' connections. It is safe for concurrent use.
type Acceptor struct {
	address string
	deps    Dependencies

	mu       sync.Mutex
	listener net.Listener
	// connections holds all open connections.
	connections map[*connection]struct{}
	// closed is set by Close and keeps Listen and Run from serving.
	closed bool
	// draining makes each connection close after the request that it reads next.
	draining atomic.Bool
	// held counts the streamed answers that are being buffered.
	held atomic.Int64
	// active counts requests from the end of their head to the end of their answer.
	active atomic.Int64
	// uploads holds a token for each streamed body that is being handled.
	uploads chan struct{}
	// requests holds a token for each request that is being handled or answered. It is nil
	// without a bound.
	requests chan struct{}
	// buffers holds read buffers (*reader.Reader) that no connection uses.
	buffers sync.Pool
}

// New returns an acceptor that will listen on an IP:port.
func New(address string, deps Dependencies) *Acceptor {
	a := &Acceptor{
		address: address, deps: deps, connections: map[*connection]struct{}{}, uploads: make(chan struct{}, maxUploads),
	}
	if deps.MaxRequests > 0 {
		a.requests = make(chan struct{}, deps.MaxRequests)
	}
	return a
}

var errClosed = eris.New("acceptor is closed")

// Listen opens the port. Connections are accepted by Run.
func (a *Acceptor) Listen() error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
	}}
	listener, err := config.Listen(context.Background(), "tcp", a.address)
	if err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		_ = listener.Close()
		return errClosed
	}
	a.listener = listener
	return nil
}

// Run accepts and serves connections until Close. Listen must have succeeded before.
func (a *Acceptor) Run() error {
	for {
		raw, err := a.listener.Accept()
		if err != nil {
			if a.isClosed() {
				return nil
			}
			a.deps.Log.Warn("AcceptFailed", "Error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !a.makeRoom() {
			_ = raw.Close()
			continue
		}
		c := newConnection(a, raw)
		if !a.add(c) {
			c.memory.Close()
			_ = raw.Close()
			continue
		}
		go c.run()
	}
}

// acceptRetryDelay keeps Run from spinning while the process is out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// closingShare is the share of MaxConnections by which connections that are being closed may
// exceed it.
const closingShare = 16

// makeRoom reports whether another connection may be accepted. At the bound it closes the
// one that has been idle the longest.
func (a *Acceptor) makeRoom() bool {
	a.mu.Lock()
	open := len(a.connections)
	a.mu.Unlock()
	limit := a.deps.MaxConnections
	if limit == 0 || open < limit {
		return true
	}
	if open < limit+limit/closingShare && a.deps.Memory.CloseIdlest() {
		return true
	}
	a.deps.Memory.Count(reserver.ReasonConnections)
	return false
}

func (a *Acceptor) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

func (a *Acceptor) add(c *connection) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.connections[c] = struct{}{}
	return true
}

func (a *Acceptor) remove(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.connections, c)
}

// Active returns the number of requests that are being handled or answered.
func (a *Acceptor) Active() int64 { return a.active.Load() }

// Drain closes idle connections and makes each other one close after the request that
// it reads next. New connections are still accepted.
func (a *Acceptor) Drain() {
	a.draining.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.connections {
		c.closeIfIdle()
	}
}

// Cancel cancels the contexts of all requests. Their answers are still written.
func (a *Acceptor) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.connections {
		c.cancel()
	}
}

// closeTimeout is how long Close waits for active requests.
const closeTimeout = 250 * time.Millisecond

// closePollInterval is how often Close checks for active requests.
const closePollInterval = 5 * time.Millisecond

// Close stops listening, waits up to closeTimeout for active requests, and closes all
// connections.
func (a *Acceptor) Close() {
	a.mu.Lock()
	a.closed = true
	if a.listener != nil {
		_ = a.listener.Close()
	}
	a.mu.Unlock()
	a.Drain()
	for start := time.Now(); a.Active() > 0 && time.Since(start) < closeTimeout; {
		time.Sleep(closePollInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.connections {
		c.abort()
	}
}
