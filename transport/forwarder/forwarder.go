// Package forwarder is the HTTP client for the backend server on the same VM. Its
// connections carry one request at a time, and it never sends a request twice.
package forwarder

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/dialer"
	"github.com/foxtailhall/foxtailhall/transport/peeker"
	"github.com/foxtailhall/foxtailhall/transport/reader"
)

const (
	// dialTimeout bounds the connection setup to a server on the same VM.
	dialTimeout = 500 * time.Millisecond
	// maxHeadBytes bounds the status line and header fields of an answer.
	maxHeadBytes = 64 << 10
	// defaultIdleTimeout is the assumed idle timeout of a server that announces none.
	defaultIdleTimeout = 5 * time.Second
	// idleTimeoutFraction is the fraction of the server's idle timeout after which a
	// connection is not reused, so that no request is sent while the server closes it.
	idleTimeoutFraction = 0.5
)

var (
	// ErrNotSent means that no byte of the request reached the backend server.
	ErrNotSent = eris.New("backend server cannot be reached")
	// ErrMismatchedAnswer means that the server answered other requests instead of the
	// one that was sent.
	ErrMismatchedAnswer = eris.New("answer belongs to another request")
	// ErrTooManyInterim means that the server sent one interim answer after the other.
	ErrTooManyInterim = eris.New("too many interim answers")
)

// Forwarder keeps idle connections to one backend server. It is safe for concurrent use.
type Forwarder struct {
	mu      sync.Mutex
	address string
	// idle holds connections whose last exchange completed.
	idle []*connection
	// maxIdle bounds the length of idle.
	maxIdle int
	dialer  *net.Dialer
}

// connection is one connection to the backend server.
type connection struct {
	raw    net.Conn
	reader *reader.Reader
	writer network.Writer
	// address is the remote IP:port.
	address string
	// reuseDeadline is the time from which the connection is not reused.
	reuseDeadline time.Time
}

// New returns a forwarder without an address, which fails every request until
// SetAddress is called. It keeps up to maxIdle idle connections. A connection fails once
// it has been silent for silence, whole seconds and at least two.
func New(maxIdle int, silence time.Duration) *Forwarder {
	return NewWithDialer(maxIdle, dialer.New(nil, dialTimeout, silence))
}

// NewWithDialer is New for connections that a dialer opens.
func NewWithDialer(maxIdle int, connections *net.Dialer) *Forwarder {
	return &Forwarder{maxIdle: maxIdle, dialer: connections}
}

// SetAddress sets the backend server's IP:port and closes all idle connections, since
// they lead to another server or to a previous process of the same one.
func (f *Forwarder) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.address = address
	for _, idle := range f.idle {
		_ = idle.raw.Close()
	}
	f.idle = nil
}

// HeadInspector inspects the header fields of an answer. It reports whether the answer
// belongs to another request and must be skipped, and how long the server keeps an idle
// connection, 0 if the server does not announce it.
type HeadInspector func(header *protocol.ResponseHeader) (mismatched bool, idleTimeout time.Duration)

// Send sends a request and returns once the head of its answer has arrived. It calls
// sent after the request was written, or once a streamed body is being written. After
// an error other than ErrNotSent the request may have run.
func (f *Forwarder) Send(ctx context.Context, request *protocol.Request, inspect HeadInspector, sent func()) (*Exchange, error) {
	conn, err := f.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("opening a connection: %w: %w", ErrNotSent, err)
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.raw.Close() })
	exchange := &Exchange{
		forwarder: f, conn: conn, inspect: inspect, Response: protocol.AcquireResponse(), stopWatch: stopWatch,
		requestWritten: make(chan struct{}),
	}
	if err := exchange.run(request, sent); err != nil {
		exchange.Close()
		return nil, err
	}
	return exchange, nil
}

func (f *Forwarder) acquire(ctx context.Context) (*connection, error) {
	for {
		idle, address := f.popIdle()
		if idle == nil {
			return f.dial(ctx, address)
		}
		fresh := time.Now().Before(idle.reuseDeadline) && idle.reader.Buffered() == 0
		if idle.address == address && fresh && peeker.Peek(idle.raw) == peeker.StateIdle {
			return idle, nil
		}
		_ = idle.raw.Close()
	}
}

func (f *Forwarder) popIdle() (*connection, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle) == 0 {
		return nil, f.address
	}
	last := f.idle[len(f.idle)-1]
	f.idle = f.idle[:len(f.idle)-1]
	return last, f.address
}

func (f *Forwarder) release(conn *connection) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle) >= f.maxIdle || conn.address != f.address {
		_ = conn.raw.Close()
		return
	}
	f.idle = append(f.idle, conn)
}

func (f *Forwarder) dial(ctx context.Context, address string) (*connection, error) {
	if address == "" {
		return nil, eris.New("no backend server has announced its address")
	}
	raw, err := f.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	return &connection{
		raw:     raw,
		reader:  reader.New(raw, maxHeadBytes),
		writer:  network.NewWriter(raw),
		address: address,
	}, nil
}
