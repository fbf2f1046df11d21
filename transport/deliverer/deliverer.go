// Package deliverer hands requests to the backend server beside the process,
// over connections that carry one request at a time and are never used to send
// a request twice.
package deliverer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/peeker"
	"github.com/foxtailhall/foxtailhall/transport/reader"
)

const (
	// dialTimeout bounds the connection to a server on the same VM.
	dialTimeout = 500 * time.Millisecond
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// keepAlive and keepAliveProbes find a server that has gone silent.
	keepAlive       = time.Second
	keepAliveProbes = 3
	// defaultIdle is how long a connection is kept for a server that does not
	// say how long it keeps it.
	defaultIdle = 5 * time.Second
	// idleShare is the part of the server's own time after which a connection
	// is not used again, so that a request does not cross its close.
	idleShare = 0.5
)

var (
	// ErrNotSent means that no byte of the request has reached the backend server.
	ErrNotSent = eris.New("backend server cannot be reached")
	// ErrForeign means that answers to other requests came instead of the one that is due.
	ErrForeign = eris.New("answer belongs to another request")
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
	reader *reader.Reader
	writer network.Writer
	// address is where the connection leads.
	address string
	// until is when the connection is too old to be used again.
	until time.Time
}

// New returns a deliverer without an address, which sends nothing.
func New(maxIdle int) *Deliverer {
	return &Deliverer{maxIdle: maxIdle}
}

// SetAddress sets the backend server's IP:port. Idle connections are closed,
// since they lead to another server or to an earlier run of it.
func (d *Deliverer) SetAddress(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address = address
	for _, idle := range d.idle {
		_ = idle.raw.Close()
	}
	d.idle = nil
}

// Judge reads an answer's head. Foreign answers are skipped.
type Judge func(header *protocol.ResponseHeader) (foreign bool, idle time.Duration)

// Send hands over a request and returns once the answer's head has come. Sent
// is called when the request is on its way. An error that is not ErrNotSent
// leaves open whether the request ran.
func (d *Deliverer) Send(ctx context.Context, request *protocol.Request, judge Judge, sent func()) (*Exchange, error) {
	conn, err := d.take(ctx)
	if err != nil {
		return nil, fmt.Errorf("opening a connection: %w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.raw.Close() })
	exchange := &Exchange{
		deliverer: d, conn: conn, judge: judge, Response: protocol.AcquireResponse(), stop: stop,
		written: make(chan struct{}),
	}
	if err := exchange.run(request, sent); err != nil {
		exchange.Close()
		return nil, err
	}
	return exchange, nil
}

func (d *Deliverer) take(ctx context.Context) (*connection, error) {
	for {
		idle, address := d.takeIdle()
		if idle == nil {
			return d.open(ctx, address)
		}
		fresh := time.Now().Before(idle.until) && idle.reader.Buffered() == 0
		if idle.address == address && fresh && peeker.Peek(idle.raw) == peeker.StateQuiet {
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

func (d *Deliverer) open(ctx context.Context, address string) (*connection, error) {
	if address == "" {
		return nil, eris.New("no backend server has announced itself")
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
	}}
	raw, err := dialer.DialContext(ctx, "tcp", address)
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
