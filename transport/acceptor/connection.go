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

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
	"github.com/foxtailhall/foxtailhall/transport/chunker"
	"github.com/foxtailhall/foxtailhall/transport/framer"
	"github.com/foxtailhall/foxtailhall/transport/reader"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

// minReadBufferBytes is the minimum read buffer of a connection. The buffer is larger if
// the limit of a head requires it.
const minReadBufferBytes = 4 << 10

// answerSlot is one answer, written in the order in which its connection's requests came.
type answerSlot struct {
	// response is set before ready is closed; nil closes the connection.
	response *protocol.Response
	ready    chan struct{}
	request  *protocol.RequestHeader
	// interim is an informational response, written verbatim instead of response.
	interim []byte
	// closeAfter closes the connection after the answer.
	closeAfter bool
	// http10 is set for requests of HTTP/1.0.
	http10 bool
	// answer and body are the memory that is reserved for the answer and the body, in bytes.
	answer, body atomic.Int64
	// released is set once that memory is returned.
	released atomic.Bool
	// begun is set while the request counts toward MaxRequests.
	begun bool
}

// connection is one connection of a caller. One goroutine reads requests and one writes
// answers.
type connection struct {
	acceptor *Acceptor
	raw      net.Conn
	// in is nil while the connection waits for a request without a buffer.
	in *reader.Reader
	// first receives the first bytes of a request that arrives without a buffer.
	first  [firstReadBytes]byte
	memory *reserver.Reservation
	// unsent is what the kernel holds of answers that the caller has not taken.
	unsent   unsent
	out      network.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	answers  chan *answerSlot
	remoteIP string
	// pending counts requests that were read but not answered yet.
	pending atomic.Int64
	// idleSince is when the last answer was written, as a Unix time in ns.
	idleSince atomic.Int64
	// mu guards the fields up to waits, so that an idle connection is closed only between
	// requests, no request is started behind an answer that is being streamed, and the account
	// is told in their order which of the caller and the process waits.
	mu sync.Mutex
	// reading is set from the first byte of a request until the next one is awaited.
	reading bool
	// taking is set from when a request may be started until it was started.
	taking bool
	// streaming is set while a streamed answer is being written.
	streaming bool
	// waits tells for whom the connection waits.
	waits waits
	// served is set once a request was read. Only the reading goroutine uses it.
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
		ctx:      ctx,
		cancel:   cancel,
		answers:  make(chan *answerSlot, maxPipelined),
		remoteIP: host,
	}
	c.memory = a.deps.Memory.Open(c.abort)
	c.memory.SetIdle(true)
	c.boundBuffer()
	c.out = network.NewWriter(&progressWriter{Conn: raw, memory: c.memory, written: &c.unsent.written})
	c.idleSince.Store(time.Now().UnixNano())
	return c
}

// run serves the connection until the caller or the process closes it.
func (c *connection) run() {
	defer c.acceptor.remove(c)
	defer c.memory.Close()
	if !c.memory.Reserve(allocator.KindConnection, connectionBytes) {
		c.abort()
		return
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	if c.read() {
		c.cancel()
	}
	close(c.answers)
	<-written
	c.cancel()
	_ = c.raw.Close()
}

// read reads and starts requests one by one. It reports whether it ended because the
// caller closed the connection or the connection failed.
func (c *connection) read() bool {
	for {
		if err := c.awaitRequest(); err != nil {
			return !errors.Is(err, errIdle)
		}
		closeAfter, err := c.readOne()
		if err != nil {
			return true
		}
		if closeAfter {
			return c.awaitClose()
		}
	}
}

var errIdle = errors.New("connection was idle for too long")

// awaitRequest waits for the first byte of a request. It returns errIdle once the idle
// timeout has passed, or without a wait if the acceptor drains and the connection has
// answered all of its requests.
func (c *connection) awaitRequest() error {
	for {
		c.mu.Lock()
		c.reading, c.taking = false, false
		c.mu.Unlock()
		if c.served && c.acceptor.draining.Load() && c.buffered() == 0 && c.pending.Load() == 0 {
			return errIdle
		}
		c.dropBuffer()
		if c.pending.Load() == 0 {
			c.chargeUnsent()
		}
		_ = c.raw.SetReadDeadline(c.checkDeadline(c.idleDeadline()))
		err := c.awaitByte()
		if err == nil {
			c.mu.Lock()
			c.reading = true
			c.mu.Unlock()
			return c.beginTaking()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.pending.Load() == 0 && !time.Now().Before(c.idleDeadline()) {
			return errIdle
		}
	}
}

func (c *connection) idleDeadline() time.Time {
	idle := c.acceptor.deps.Limits().IdleTimeout
	if c.acceptor.draining.Load() {
		idle = min(idle, firstRequestTimeout)
	}
	if c.pending.Load() > 0 {
		return time.Now().Add(idle)
	}
	return time.Unix(0, c.idleSince.Load()).Add(idle)
}

// firstRequestTimeout is the maximum wait for the first request of a connection that was
// opened while the acceptor drains.
const firstRequestTimeout = time.Second

// closeIfIdle wakes the reading goroutine of an idle connection, so that it closes it.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading && c.pending.Load() == 0 {
		_ = c.raw.SetReadDeadline(time.Now())
	}
}

// abort closes the connection and cancels its requests.
func (c *connection) abort() {
	c.cancel()
	_ = c.raw.Close()
}

// readOne reads one request and starts its handler. It reports whether the
// connection accepts no further request.
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
	closeAfter := frame.close || c.acceptor.draining.Load()
	slot := &answerSlot{
		ready:      make(chan struct{}),
		request:    header,
		closeAfter: closeAfter,
		http10:     header.GetProtocol() == consts.HTTP10,
	}
	request := &Request{
		Header: header, Length: frame.length, Remote: c.remoteIP, ReceivedAt: time.Now(),
		ReserveAnswer: func(bytes int64) bool { return c.reserve(slot, allocator.KindAnswer, bytes) },
	}
	if refusal := c.refuseAtHead(request, slot); refusal != nil {
		// A caller that waits for 100 Continue may or may not send the body.
		slot.closeAfter = slot.closeAfter || frame.expectContinue
		return c.answerAtHead(request, slot, refusal)
	}
	if frame.expectContinue && frame.length != 0 {
		c.answers <- &answerSlot{interim: []byte("HTTP/1.1 100 Continue\r\n\r\n")}
	}
	status, reason, err := c.readBody(request, slot, limits.BodyBytes)
	if err == nil && status == 0 {
		status, reason, err = c.begin(request, slot)
	}
	if err != nil {
		c.endUnanswered(slot)
		return true, err
	}
	if status != 0 {
		slot.closeAfter = true
		c.enqueue(slot)
		slot.setResponse(c.acceptor.deps.Malformed(header, status, reason))
		return true, nil
	}
	c.updateWaits(func(w *waits) { w.uploading = request.Stream != nil })
	c.enqueue(slot)
	go c.handle(request, slot)
	if request.Stream != nil {
		<-request.Stream.done
		c.endUpload()
		c.updateWaits(func(w *waits) { w.uploading = false })
		return closeAfter || !request.Stream.complete, nil
	}
	return closeAfter, nil
}

// enqueue lets the slot's answer be written after those before it.
func (c *connection) enqueue(slot *answerSlot) {
	// An answer that is written before the next request is awaited must not seem to have this
	// request behind it.
	c.mu.Lock()
	c.taking = false
	c.mu.Unlock()
	c.updateWaits(func(w *waits) { w.unanswered++ })
	c.answers <- slot
}

// handle runs the request's handler. The connection closes after the answer if the body
// was not read to its end.
func (c *connection) handle(request *Request, slot *answerSlot) {
	response := c.acceptor.deps.Handle(c.ctx, request)
	if request.Stream != nil {
		request.Stream.finish()
		if !request.Stream.complete {
			slot.closeAfter = true
		}
	}
	c.releaseBody(slot)
	slot.setResponse(response)
}

func (s *answerSlot) setResponse(response *protocol.Response) {
	s.response = response
	close(s.ready)
}

// refuseHead answers a head that was malformed, too long or late. It returns the error
// if the connection failed instead.
func (c *connection) refuseHead(err error) error {
	var status int
	var reason string
	switch {
	case errors.Is(err, framer.ErrMalformed):
		status, reason = consts.StatusBadRequest, "MalformedHead"
	case errors.Is(err, framer.ErrHeadTooLong):
		status, reason = consts.StatusRequestHeaderFieldsTooLarge, "HeadTooLong"
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, reason = consts.StatusRequestTimeout, "HeadTimeout"
	default:
		return err
	}
	c.acceptor.deps.Log.Info("HeadRefused", "Caller", c.remoteIP, "Error", err)
	c.acceptor.active.Add(1)
	c.pending.Add(1)
	slot := &answerSlot{ready: make(chan struct{}), closeAfter: true}
	c.enqueue(slot)
	slot.setResponse(c.acceptor.deps.Malformed(nil, status, reason))
	return nil
}

// awaitClose waits, after the last request, for the caller to close the connection or
// for the last answer to be written. It reports whether the caller closed first.
func (c *connection) awaitClose() bool {
	for c.pending.Load() > 0 {
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		if _, err := c.in.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		} else if err == nil {
			time.Sleep(pipelinedPollInterval)
		}
	}
	return false
}

// pipelinedPollInterval is how often a connection is checked whose caller has sent data
// beyond the last request.
const pipelinedPollInterval = 20 * time.Millisecond

// write writes the answers in the order of their requests.
func (c *connection) write() {
	open := true
	for slot := range c.answers {
		if slot.interim != nil {
			open = open && c.flush(func() error { return c.writeInterim(slot.interim) })
			continue
		}
		<-slot.ready
		if open {
			c.updateWaits(func(w *waits) { w.writing = true })
			open = c.writeSlot(slot)
		} else {
			_ = slot.response.CloseBodyStream()
		}
		c.end(slot)
		c.release(slot)
		c.chargeUnsent()
		if !open || slot.closeAfter {
			c.shutDown(open)
			open = false
		}
		c.idleSince.Store(time.Now().UnixNano())
		c.pending.Add(-1)
		c.updateWaits(func(w *waits) {
			w.writing = false
			w.unanswered--
		})
		c.acceptor.active.Add(-1)
		c.updateIdleDeadline()
	}
}

// writeSlot writes one answer and reports whether the connection is still open.
func (c *connection) writeSlot(slot *answerSlot) bool {
	if slot.response.IsBodyStream() {
		c.boundSendBuffer()
		if c.beginStream() {
			slot.response = c.hold(slot)
		}
		defer c.endStream()
	}
	return c.flush(func() error { return c.writeAnswer(slot) })
}

// updateIdleDeadline resets the read deadline of a connection that has become idle, which
// makes a waiting reader recompute its idle time.
func (c *connection) updateIdleDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading || c.pending.Load() > 0 {
		return
	}
	until := time.Now()
	if !c.acceptor.draining.Load() {
		until = until.Add(c.acceptor.deps.Limits().IdleTimeout)
	}
	_ = c.raw.SetReadDeadline(c.checkDeadline(until))
}

func (c *connection) flush(write func() error) bool {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := write(); err != nil {
		c.acceptor.deps.Log.Info("AnswerNotWritten", "Caller", c.remoteIP, "Error", err)
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

func (c *connection) writeAnswer(slot *answerSlot) error {
	response := slot.response
	response.SkipBody = slot.request != nil && slot.request.IsHead()
	response.Header.SetNoDefaultContentType(true)
	response.Header.SetNoDefaultDate(true)
	if slot.closeAfter {
		response.Header.SetConnectionClose(true)
	}
	if response.IsBodyStream() && response.Header.ContentLength() < 0 && !response.MustSkipBody() {
		if slot.http10 {
			slot.closeAfter = true
			return c.writeUntilClose(response)
		}
		return c.writeChunked(response)
	}
	if err := resp.Write(response, c.out); err != nil {
		return err //nolint:wrapcheck // logged with its context by flush
	}
	return c.out.Flush() //nolint:wrapcheck // logged with its context by flush
}

// writeChunked writes an answer of unknown length. It ends the body only if all of it was
// read from its source.
func (c *connection) writeChunked(response *protocol.Response) error {
	response.Header.SetContentLength(-1)
	if err := resp.WriteHeader(&response.Header, c.out); err != nil {
		return err //nolint:wrapcheck // logged with its context by flush
	}
	err := chunker.Write(c.out, response.BodyStream())
	return errors.Join(err, response.CloseBodyStream())
}

// writeUntilClose writes an answer of unknown length to a caller that knows no chunks. If the body
// breaks off, the connection is reset, since its orderly end would be that of the body.
func (c *connection) writeUntilClose(response *protocol.Response) error {
	response.Header.SetContentLength(identityLength)
	response.Header.Del(consts.HeaderTransferEncoding)
	if err := resp.WriteHeader(&response.Header, c.out); err != nil {
		return err //nolint:wrapcheck // logged with its context by flush
	}
	err := chunker.WritePlain(c.out, response.BodyStream())
	if tcp, ok := c.raw.(*net.TCPConn); ok && err != nil {
		_ = tcp.SetLinger(0)
	}
	return errors.Join(err, response.CloseBodyStream())
}

// identityLength is the HTTP library's length of a body that ends with the connection.
const identityLength = -2

// shutDown closes the connection: gracefully after a last answer, at once after a failed
// write.
func (c *connection) shutDown(graceful bool) {
	if !graceful {
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
		_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.raw)
		c.abort()
	}()
}
