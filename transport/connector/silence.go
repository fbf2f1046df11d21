package connector

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcpool"
)

// minSilence is how long a call must last before an unanswered one counts against its
// connection. It covers a throttled core of the other process.
const minSilence = 100 * time.Millisecond

// socket records when data last arrived.
type socket struct {
	net.Conn
	// received is the time of the last data as a duration since the connector's start.
	received atomic.Int64
	now      func() time.Duration
}

// Read reads from the connection.
func (s *socket) Read(buffer []byte) (int, error) {
	n, err := s.Conn.Read(buffer)
	if n > 0 {
		s.received.Store(int64(s.now()))
	}
	return n, err //nolint:wrapcheck // The library compares the connection's own errors.
}

// conn is a pooled connection. It is not used again after a call that ended without
// any data from the other process.
type conn struct {
	drpcpool.Conn
	socket *socket
	// silent is called with the time since which nothing has been received.
	silent func(since time.Duration)
}

// Invoke makes a call with one message in each direction.
func (c *conn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	check := &silenceCheck{ctx: ctx, conn: c, start: c.socket.now()}
	if err := c.Conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		check.run()
		return fmt.Errorf("invoking: %w", err)
	}
	return nil
}

// NewStream makes a call with any number of messages in each direction.
func (c *conn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	check := &silenceCheck{ctx: ctx, conn: c, start: c.socket.now()}
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		check.run()
		return nil, fmt.Errorf("opening a stream: %w", err)
	}
	context.AfterFunc(ctx, check.run)
	return &checkedStream{Stream: stream, check: check}, nil
}

// checkedStream checks the connection before the call's failure is known, so that the
// caller's next call does not get a silent connection.
type checkedStream struct {
	drpc.Stream
	check *silenceCheck
}

// MsgRecv receives a message.
func (s *checkedStream) MsgRecv(message drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(message, enc)
	if err != nil {
		s.check.run()
	}
	return err //nolint:wrapcheck // Callers compare the stream's own errors.
}

// silenceCheck closes the connection of a call whose context ended minSilence or later
// after its start, if nothing had been received until then. A cancelled call otherwise
// leaves its connection to the next one.
type silenceCheck struct {
	ctx   context.Context //nolint:containedctx // It is that of the call.
	conn  *conn
	start time.Duration
	once  sync.Once
}

func (s *silenceCheck) run() {
	if s.ctx.Err() == nil || s.conn.receivedAt() >= s.start || s.conn.socket.now()-s.start < minSilence {
		return
	}
	s.once.Do(func() {
		_ = s.conn.Close()
		s.conn.silent(s.start)
	})
}

func (c *conn) receivedAt() time.Duration { return time.Duration(c.socket.received.Load()) }

// dropSilent closes the idle connections to an address on which nothing has been received
// since a time, and reports their number and that time.
func (c *Connector) dropSilent(address string, since time.Duration) {
	var heard []*conn
	closed := 0
	for {
		idle, ok := c.pool.Take(address)
		if !ok {
			break
		}
		if idle.receivedAt() >= since {
			heard = append(heard, idle)
			continue
		}
		_ = idle.Close()
		closed++
	}
	for _, idle := range heard {
		c.pool.Put(address, idle)
	}
	if c.silent != nil {
		c.silent(address, c.now()-since, closed)
	}
}
