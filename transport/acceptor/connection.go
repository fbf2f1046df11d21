package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

// headBufferBytes is the least buffer of a connection; it grows with the limits.
const headBufferBytes = 4 << 10

// turn is the place of one answer in the order of a connection.
type turn struct {
	// response is set before ready is closed; nil ends the connection.
	response *protocol.Response
	ready    chan struct{}
	request  *protocol.RequestHeader
	// interim is written as it is, in place of a response.
	interim []byte
	// last ends the connection after the answer.
	last bool
	// oldProtocol is set for requests of HTTP/1.0.
	oldProtocol bool
}

// connection is one connection of a caller: a loop that reads and one that writes.
type connection struct {
	acceptor *Acceptor
	raw      net.Conn
	in       *reader.Reader
	out      network.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	turns    chan *turn
	remote   string
	// pending counts requests that are read but not yet answered.
	pending atomic.Int64
	// quietSince is when the last answer was written, as Unix time in ns.
	quietSince atomic.Int64
	// mu guards reading, so that an idle connection is closed only between requests.
	mu sync.Mutex
	// busy is set from the first byte of a head until its turn is taken.
	busy bool
	// served is set once a request was read. Only the reader uses it.
	served bool
}

func newConnection(a *Acceptor, raw net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())
	host, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		host = raw.RemoteAddr().String()
	}
	c := &connection{
		acceptor: a,
		raw:      raw,
		in:       reader.New(raw, max(headBufferBytes, a.deps.Limits().HeaderBytes)),
		out:      network.NewWriter(raw),
		ctx:      ctx,
		cancel:   cancel,
		turns:    make(chan *turn, maxAhead),
		remote:   host,
	}
	c.quietSince.Store(time.Now().UnixNano())
	return c
}

// run reads until the caller or the process ends the connection.
func (c *connection) run() {
	defer c.acceptor.remove(c)
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	if c.read() {
		c.cancel()
	}
	close(c.turns)
	<-written
	c.cancel()
	_ = c.raw.Close()
}

// read takes requests one by one. It returns true if the caller has gone.
func (c *connection) read() bool {
	for {
		if err := c.await(); err != nil {
			return !errors.Is(err, errIdle)
		}
		last, err := c.readOne()
		if err != nil {
			return true
		}
		if last {
			return c.awaitClose()
		}
	}
}

var errIdle = errors.New("connection was idle for too long")

// await waits for the first byte of a request. It returns errIdle once the
// connection has been idle for as long as the limits allow.
func (c *connection) await() error {
	for {
		c.mu.Lock()
		c.busy = false
		c.mu.Unlock()
		if c.served && c.acceptor.closing.Load() && c.in.Buffered() == 0 && c.pending.Load() == 0 {
			return errIdle
		}
		_ = c.raw.SetReadDeadline(c.idleUntil())
		_, err := c.in.Peek(1)
		if err == nil {
			c.mu.Lock()
			c.busy = true
			c.mu.Unlock()
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err //nolint:wrapcheck // only its presence counts
		}
		if c.pending.Load() == 0 && !time.Now().Before(c.idleUntil()) {
			return errIdle
		}
	}
}

func (c *connection) idleUntil() time.Time {
	idle := c.acceptor.deps.Limits().IdleTimeout
	if c.acceptor.closing.Load() {
		idle = min(idle, firstRequestTime)
	}
	if c.pending.Load() > 0 {
		return time.Now().Add(idle)
	}
	return time.Unix(0, c.quietSince.Load()).Add(idle)
}

// firstRequestTime is how long a connection that comes while the acceptor
// drains may take to its first request.
const firstRequestTime = time.Second

// closeIfIdle wakes a waiting reader, so that it ends an idle connection.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && c.pending.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

// abort ends the connection and its requests.
func (c *connection) abort() {
	c.cancel()
	_ = c.raw.Close()
}

// readOne reads one request and starts it. It returns true if the connection
// takes no further request.
func (c *connection) readOne() (bool, error) {
	limits := c.acceptor.deps.Limits()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	header := &protocol.RequestHeader{}
	header.SetNoDefaultContentType(true)
	frame, err := readHead(c.in, limits.HeaderBytes, header)
	if err != nil {
		return true, c.refuseHead(err)
	}
	c.served = true
	c.acceptor.active.Add(1)
	c.pending.Add(1)
	last := frame.close || c.acceptor.closing.Load()
	place := &turn{
		ready:       make(chan struct{}),
		request:     header,
		last:        last,
		oldProtocol: header.GetProtocol() == consts.HTTP10,
	}
	request := &Request{Header: header, Length: frame.length, Remote: c.remote, Came: time.Now()}
	if frame.expects && frame.length != 0 {
		c.turns <- &turn{interim: []byte("HTTP/1.1 100 Continue\r\n\r\n")}
	}
	if status, reason := c.readBody(request, limits.BodyBytes); status != 0 {
		place.last = true
		c.turns <- place
		place.end(c.acceptor.deps.Malformed(header, status, reason))
		return true, nil
	}
	c.turns <- place
	go c.handle(request, place)
	if request.Stream != nil {
		<-request.Stream.done
		return last || !request.Stream.whole, nil
	}
	return last, nil
}

// handle runs the request, and marks its answer as last if its body was not read to the end.
func (c *connection) handle(request *Request, place *turn) {
	response := c.acceptor.deps.Handle(c.ctx, request)
	if request.Stream != nil {
		request.Stream.finish()
		if !request.Stream.whole {
			place.last = true
		}
	}
	place.end(response)
}

func (t *turn) end(response *protocol.Response) {
	t.response = response
	close(t.ready)
}

// refuseHead answers a head that could not be read, if its caller is still there.
func (c *connection) refuseHead(err error) error {
	var status int
	var reason string
	switch {
	case errors.Is(err, ErrMalformed):
		status, reason = consts.StatusBadRequest, "MalformedHead"
	case errors.Is(err, ErrHeadTooLong):
		status, reason = consts.StatusRequestHeaderFieldsTooLarge, "HeadTooLong"
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason = consts.StatusRequestTimeout, "HeadTimeout"
	default:
		return err
	}
	c.acceptor.deps.Log.Info("HeadRefused", "Caller", c.remote, "Error", err)
	c.acceptor.active.Add(1)
	c.pending.Add(1)
	place := &turn{ready: make(chan struct{}), last: true}
	c.turns <- place
	place.end(c.acceptor.deps.Malformed(nil, status, reason))
	return nil
}

// awaitClose waits, after the last request, for the caller to go or for the
// last answer. It returns true if the caller went first.
func (c *connection) awaitClose() bool {
	for c.pending.Load() > 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		if _, err := c.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		} else if err == nil {
			time.Sleep(pipelinedPause)
		}
	}
	return false
}

// pipelinedPause spaces the looks at a connection whose caller has sent more than is read.
const pipelinedPause = 20 * time.Millisecond

// write writes the answers in order.
func (c *connection) write() {
	open := true
	for place := range c.turns {
		if place.interim != nil {
			open = open && c.flush(func() error { return c.writeInterim(place.interim) })
			continue
		}
		<-place.ready
		if open {
			open = c.flush(func() error { return c.writeAnswer(place) })
		} else {
			_ = place.response.CloseBodyStream()
		}
		if !open || place.last {
			c.end(open)
			open = false
		}
		c.quietSince.Store(time.Now().UnixNano())
		c.pending.Add(-1)
		c.acceptor.active.Add(-1)
		c.wake()
	}
}

// wake lets a reader that waits reckon its idle time anew.
func (c *connection) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.pending.Load() > 0 {
		return
	}
	until := time.Now()
	if !c.acceptor.closing.Load() {
		until = until.Add(c.acceptor.deps.Limits().IdleTimeout)
	}
	_ = c.raw.SetReadDeadline(until)
}

func (c *connection) flush(write func() error) bool {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := write(); err != nil {
		c.acceptor.deps.Log.Info("AnswerNotWritten", "Caller", c.remote, "Error", err)
		return false
	}
	return true
}

func (c *connection) writeInterim(text []byte) error {
	if _, err := c.out.WriteBinary(text); err != nil {
		return err //nolint:wrapcheck // logged with its context by flush
	}
	return c.out.Flush() //nolint:wrapcheck // logged with its context by flush
}

func (c *connection) writeAnswer(place *turn) error {
	response := place.response
	response.SkipBody = place.request != nil && place.request.IsHead()
	response.Header.SetNoDefaultContentType(true)
	response.Header.SetNoDefaultDate(true)
	if place.last {
		response.Header.SetConnectionClose(true)
	}
	if place.oldProtocol && response.Header.ContentLength() < 0 {
		place.last = true
	}
	if err := resp.Write(response, c.out); err != nil {
		return err //nolint:wrapcheck // logged with its context by flush
	}
	return c.out.Flush() //nolint:wrapcheck // logged with its context by flush
}

// end closes the connection: in order after a last answer, abruptly after a broken one.
func (c *connection) end(inOrder bool) {
	if !inOrder {
		c.abort()
		return
	}
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		c.abort()
		return
	}
	_ = tcp.CloseWrite()
	go func() {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.raw)
		c.abort()
	}()
}
