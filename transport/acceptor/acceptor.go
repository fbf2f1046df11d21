// Package acceptor takes callers' connections: it reads requests ahead, runs
// them side by side, writes the answers in order, and tells a request at once
// when its caller has gone.
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
)

const (
	// maxAhead bounds the requests of one connection that are read before the first is answered.
	maxAhead = 32
	// bodyTimeout bounds the wait for the next bytes of a request's body.
	bodyTimeout = 15 * time.Second
	// writeTimeout bounds the wait for a caller that does not read its answer.
	writeTimeout = 30 * time.Second
	// lingerTime is how long a closing connection is read on, so that the
	// kernel does not reset it before the caller has read the last answer.
	lingerTime = 500 * time.Millisecond
	// keepAlive and keepAliveProbes find callers whose VM has gone silent.
	keepAlive       = 5 * time.Second
	keepAliveProbes = 3
)

// Request is one request of a caller.
type Request struct {
	// Header is valid until the handler returns its answer and that was written.
	Header *protocol.RequestHeader
	// Body holds the whole body, unless Stream is set.
	Body []byte
	// Stream reads a body that is too long to be kept. An error other than
	// io.EOF means that the caller did not send all of it.
	Stream *Stream
	// Length is that of the body in bytes, -1 if the caller did not tell.
	Length int64
	// Remote is the caller's IP number.
	Remote string
	// Came is when the head was complete.
	Came time.Time
}

// Dependencies are what an acceptor needs of its process.
type Dependencies struct {
	Log *slog.Logger
	// Limits returns the bounds in force of what callers may send.
	Limits func() cataloger.Limits
	// Handle answers a request. Its context ends when the caller has gone.
	Handle func(ctx context.Context, request *Request) *protocol.Response
	// Malformed answers a request that can't be read, with a status and its
	// reason. The header is nil if that can't be read either.
	Malformed func(header *protocol.RequestHeader, status int, reason string) *protocol.Response
}

// Acceptor takes callers' connections. It is safe for concurrent use.
type Acceptor struct {
	address string
	deps    Dependencies

	mu       sync.Mutex
	listener net.Listener
	// open holds all connections that have not ended.
	open map[*connection]struct{}
	// closed is set by Close.
	closed bool
	// closing makes each connection end with the request that it reads next.
	closing atomic.Bool
	// active counts requests from their head to the end of their answer.
	active atomic.Int64
}

// New returns an acceptor that will listen on an IP:port.
func New(address string, deps Dependencies) *Acceptor {
	return &Acceptor{address: address, deps: deps, open: map[*connection]struct{}{}}
}

var errClosed = eris.New("acceptor is closed")

// Listen opens the port.
func (a *Acceptor) Listen() error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
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

// Run serves until Close.
func (a *Acceptor) Run() error {
	for {
		raw, err := a.listener.Accept()
		if err != nil {
			if a.isClosed() {
				return nil
			}
			a.deps.Log.Warn("AcceptFailed", "Error", err)
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(a, raw)
		if !a.add(c) {
			_ = raw.Close()
			continue
		}
		go c.run()
	}
}

// acceptPause keeps a lack of descriptors from becoming a busy loop.
const acceptPause = 20 * time.Millisecond

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
	a.open[c] = struct{}{}
	return true
}

func (a *Acceptor) remove(c *connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}

// Active counts requests from their head to the end of their answer.
func (a *Acceptor) Active() int64 { return a.active.Load() }

// Drain makes each connection end with the request that it reads next, and
// closes those that have none. New connections are still taken.
func (a *Acceptor) Drain() {
	a.closing.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		c.closeIfIdle()
	}
}

// Cancel ends the contexts of all requests. Their answers are still written.
func (a *Acceptor) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		c.cancel()
	}
}

// closeTime is how long Close waits for requests that were read.
const closeTime = 250 * time.Millisecond

// closePoll is how often Close looks whether they have ended.
const closePoll = 5 * time.Millisecond

// Close stops listening, lets requests that were read end for a short while,
// and ends all connections.
func (a *Acceptor) Close() {
	a.mu.Lock()
	a.closed = true
	if a.listener != nil {
		_ = a.listener.Close()
	}
	a.mu.Unlock()
	a.Drain()
	for began := time.Now(); a.Active() > 0 && time.Since(began) < closeTime; {
		time.Sleep(closePoll)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.open {
		c.abort()
	}
}
