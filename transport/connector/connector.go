// Package connector pools connections to the guards of other processes.
package connector

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/dialer"
)

const (
	// idleExpiry is how long an unused connection is kept.
	idleExpiry = 2 * time.Minute
	// maxIdlePerGuard bounds the idle connections to one guard.
	maxIdlePerGuard = 32
	dialTimeout     = time.Second
	// silence is how long a connection to another process may be silent before the call on
	// it fails. Two probes are lost in that time, so that lossy paths rarely break a call.
	silence = 3 * time.Second
	// MaxMessageBytes bounds one message between processes.
	MaxMessageBytes = 80 << 20
)

// Options returns the connection options, which both ends use.
func Options() drpcmanager.Options {
	return drpcmanager.Options{
		SoftCancel: true,
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
	}
}

// Connector opens and pools connections. It is safe for concurrent use.
type Connector struct {
	pool *drpcpool.Pool[string, *conn]
	// now returns the time since the connector was made.
	now func() time.Duration
	// count is told the length of each message; it may be nil.
	count ByteCounter
	// silent is told of each silent connection; it may be nil.
	silent SilenceObserver
	// dial opens a TCP connection. Tests may replace it.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// SilenceObserver is told of a call that ended after the given time without any data from
// the process at address, and how many idle connections to it were closed besides its own.
type SilenceObserver func(address string, after time.Duration, idleClosed int)

// New returns a connector without connections. Its connections use the given source IP
// address, unless it is nil, so that peers see the address that the process is known by.
// count, unless it is nil, is told the length of each message, and silent of each
// connection that is given up since nothing arrives on it.
func New(source net.IP, count ByteCounter, silent SilenceObserver) *Connector {
	start := time.Now()
	return &Connector{
		pool: drpcpool.New[string, *conn](drpcpool.Options{
			Expiration:  idleExpiry,
			KeyCapacity: maxIdlePerGuard,
		}),
		dial:   dialer.New(source, dialTimeout, silence).DialContext,
		now:    func() time.Duration { return time.Since(start) },
		count:  count,
		silent: silent,
	}
}

// GuardClient returns a client of the guard at an IP:port. Concurrent calls use separate
// connections, since a connection carries one call at a time.
func (c *Connector) GuardClient(ctx context.Context, address string) messenger.DRPCGuardClient {
	conn := c.pool.Get(ctx, address, c.open)
	if c.count == nil {
		return messenger.NewDRPCGuardClient(conn)
	}
	return messenger.NewDRPCGuardClient(&countingConn{Conn: conn, address: address, count: c.count})
}

func (c *Connector) open(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", address, err)
	}
	tracked := &socket{Conn: raw, now: c.now}
	return &conn{
		Conn:   drpcconn.NewWithOptions(tracked, drpcconn.Options{Manager: Options()}),
		socket: tracked,
		silent: func(since time.Duration) { c.dropSilent(address, since) },
	}, nil
}

// Listen listens on an IP:port for connections of other processes' connectors.
func Listen(address string) (net.Listener, error) {
	listener, err := dialer.Listen(address, silence)
	if err != nil {
		return nil, fmt.Errorf("listening for other processes: %w", err)
	}
	return listener, nil
}

// Close closes all idle connections.
func (c *Connector) Close() error {
	if err := c.pool.Close(); err != nil {
		return fmt.Errorf("closing connections: %w", err)
	}
	return nil
}
