package acceptor

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
	"github.com/foxtailhall/foxtailhall/transport/reader"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

const (
	// firstReadBytes is the part of a head that is read before the connection gets a read
	// buffer. Most heads are shorter, so that they take no second read.
	firstReadBytes = 1 << 10
	// connectionBytes is the memory of a connection without a read buffer: two goroutines,
	// the first bytes of a head, the write buffer and the kernel's own record.
	connectionBytes = 12 << 10
	// requestBytes is the memory of a request without its body and a long answer: its
	// header fields, its goroutine and the buffers of one attempt.
	requestBytes = 16 << 10
	// uploadBytes is the memory of a body that is passed on while it arrives: the frames in
	// transit and what the kernel holds of both connections.
	uploadBytes = 128 << 10
	// socketBytes is the size of the kernel's buffer for requests, which may use twice as much.
	// It holds an upload of average size, which is then not slowed down by the round trips of
	// a slow link.
	socketBytes = 64 << 10
	// sendBytes is the size of the kernel's buffer for a streamed answer where more than
	// fewAnswerBytes are reserved for answers.
	sendBytes      = 128 << 10
	fewAnswerBytes = 2 << 20
	// maxUploads bounds the streamed bodies that are handled at the same time, each of which
	// occupies a slot of a server. The others wait for their turn.
	maxUploads = 4
	// beginTimeout is how long a request waits for the end of others before it is refused.
	beginTimeout = 500 * time.Millisecond
	// maxDiscardedBytes is the longest body of a refused request that is read so that the
	// connection can be used again.
	maxDiscardedBytes = 64 << 10
)

var (
	errNoMemory = eris.New("no memory for the request")
	errNoUpload = eris.New("too many uploads at the same time")
)

// boundBuffer bounds what the kernel holds of requests: bytes that were received and not
// read count toward the memory of the VM.
func (c *connection) boundBuffer() {
	tcp, ok := c.raw.(*net.TCPConn)
	if c.memory == nil || !ok {
		return
	}
	if err := tcp.SetReadBuffer(socketBytes); err != nil {
		c.acceptor.deps.Log.Debug("BufferNotBounded", "Caller", c.remoteIP, "Error", err)
	}
}

// boundSendBuffer bounds what the kernel holds of a streamed answer while there are many
// answers. A bound takes a tenth of the throughput from a single one.
func (c *connection) boundSendBuffer() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok || c.acceptor.deps.Memory.Held(allocator.KindAnswer) <= fewAnswerBytes {
		return
	}
	if err := tcp.SetWriteBuffer(sendBytes); err != nil {
		c.acceptor.deps.Log.Debug("BufferNotBounded", "Caller", c.remoteIP, "Error", err)
	}
}

// progressWriter reports what a caller takes of its answers.
type progressWriter struct {
	net.Conn
	memory *reserver.Reservation
	// written counts the bytes written.
	written *atomic.Int64
}

// Write implements io.Writer.
func (w *progressWriter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.memory.Progress(n)
	w.written.Add(int64(n))
	return n, err //nolint:wrapcheck // a writer returns its target's errors
}

// firstReader reads bytes that were read before, and then the connection.
type firstReader struct {
	first []byte
	raw   net.Conn
}

// Read implements io.Reader.
func (r *firstReader) Read(buffer []byte) (int, error) {
	if len(r.first) > 0 {
		n := copy(buffer, r.first)
		r.first = r.first[n:]
		return n, nil
	}
	return r.raw.Read(buffer) //nolint:wrapcheck // a reader returns its source's errors
}

// awaitByte waits for the first byte of a request.
func (c *connection) awaitByte() error {
	if c.in != nil {
		_, err := c.in.Peek(1)
		return err //nolint:wrapcheck // compared by awaitRequest
	}
	n, err := c.raw.Read(c.first[:])
	if n == 0 {
		return err //nolint:wrapcheck // compared by awaitRequest
	}
	return c.takeBuffer(c.first[:n])
}

// takeBuffer gives the connection a read buffer.
func (c *connection) takeBuffer(first []byte) error {
	size := max(minReadBufferBytes, c.acceptor.deps.Limits().HeaderBytes)
	if !c.memory.Reserve(allocator.KindConnection, int64(size)) {
		return errNoMemory
	}
	c.restartLag()
	in, ok := c.acceptor.buffers.Get().(*reader.Reader)
	if !ok || in.Size() != size {
		in = reader.New(nil, size)
	}
	in.Reset(&firstReader{first: first, raw: c.raw})
	c.in = in
	return nil
}

// dropBuffer returns the read buffer if nothing is in it.
func (c *connection) dropBuffer() {
	if c.in == nil || c.in.Buffered() > 0 {
		return
	}
	size := int64(c.in.Size())
	c.in.Reset(nil)
	c.acceptor.buffers.Put(c.in)
	c.in = nil
	c.memory.Release(allocator.KindConnection, size)
}

// waits is what a connection waits for.
type waits struct {
	// unanswered counts the requests that were read and not answered.
	unanswered int
	// writing is set while an answer is written, uploading while a streamed body arrives.
	writing, uploading bool
}

// forCaller reports whether the process waits for the caller and not for a server. Requests
// behind an answer or a body that the caller holds up don't change that.
func (w *waits) forCaller() bool { return w.writing || w.uploading || w.unanswered == 0 }

// updateWaits changes what the connection waits for and tells the account. The lag starts
// anew only if that changes: further requests must not restore it.
func (c *connection) updateWaits(change func(w *waits)) {
	if c.memory == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.waits.forCaller()
	change(&c.waits)
	if after := c.waits.forCaller(); after != before {
		c.memory.SetIdle(after)
	}
}

// restartLag starts the lag anew at the first byte of a request after idle time.
func (c *connection) restartLag() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits.unanswered == 0 {
		c.memory.SetIdle(true)
	}
}

func (c *connection) buffered() int {
	if c.in == nil {
		return 0
	}
	return c.in.Buffered()
}

// reserve asks for memory that is released once the slot's answer was written.
func (c *connection) reserve(slot *answerSlot, kind allocator.Kind, bytes int64) bool {
	if !c.memory.Reserve(kind, bytes) {
		return false
	}
	if kind == allocator.KindBody {
		slot.body.Add(bytes)
	} else {
		slot.answer.Add(bytes)
	}
	if slot.released.Load() {
		// An attempt that lost a race asks after the answer was written.
		c.release(slot)
	}
	return true
}

// release returns the memory of a request and its answer.
func (c *connection) release(slot *answerSlot) {
	slot.released.Store(true)
	c.memory.Release(allocator.KindAnswer, slot.answer.Swap(0))
	c.releaseBody(slot)
}

func (c *connection) releaseBody(slot *answerSlot) {
	c.memory.Release(allocator.KindBody, slot.body.Swap(0))
}

// refuseAtHead returns the answer to a request that is refused before its body is read, or
// nil.
func (c *connection) refuseAtHead(request *Request, slot *answerSlot) *protocol.Response {
	if !c.reserve(slot, allocator.KindAnswer, requestBytes) {
		slot.closeAfter = true
		return c.acceptor.deps.Malformed(request.Header, consts.StatusServiceUnavailable, reserver.ReasonRefused)
	}
	if c.memory == nil || request.Length == 0 || c.acceptor.deps.Refuse == nil {
		return nil
	}
	return c.acceptor.deps.Refuse(request)
}

// answerAtHead answers a refused request. It reads a short body, so that the connection can
// be used again, and closes the connection otherwise.
func (c *connection) answerAtHead(request *Request, slot *answerSlot, refusal *protocol.Response) (bool, error) {
	if request.Length < 0 || request.Length > maxDiscardedBytes {
		slot.closeAfter = true
	}
	closeAfter := slot.closeAfter
	c.enqueue(slot)
	slot.setResponse(refusal)
	if closeAfter || request.Length == 0 {
		return closeAfter, nil
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	_, err := c.in.Discard(int(request.Length))
	return false, err //nolint:wrapcheck // only its presence counts
}

// endUnanswered releases a request whose connection is closed without an answer.
func (c *connection) endUnanswered(slot *answerSlot) {
	c.end(slot)
	c.release(slot)
	c.pending.Add(-1)
	c.acceptor.active.Add(-1)
	c.abort()
}

// begin waits until the request may be handled. A status other than 0 means that it must be
// refused with it.
func (c *connection) begin(request *Request, slot *answerSlot) (status int, reason string, err error) {
	if err := c.beginUpload(request); err != nil {
		return 0, "", err
	}
	if c.beginHandling(slot) {
		return 0, "", nil
	}
	if request.Stream != nil {
		c.endUpload()
	}
	return consts.StatusServiceUnavailable, reserver.ReasonRequests, nil
}

// beginHandling waits until another request may be handled, and reports whether it may.
func (c *connection) beginHandling(slot *answerSlot) bool {
	a := c.acceptor
	if a.requests == nil {
		return true
	}
	select {
	case a.requests <- struct{}{}:
		slot.begun = true
		return true
	default:
	}
	a.deps.Memory.CloseStalled()
	timer := time.NewTimer(beginTimeout)
	defer timer.Stop()
	select {
	case a.requests <- struct{}{}:
		slot.begun = true
		return true
	case <-c.ctx.Done():
	case <-timer.C:
		a.deps.Memory.Count(reserver.ReasonRequests)
	}
	return false
}

// end lets the next request be handled.
func (c *connection) end(slot *answerSlot) {
	if slot.begun {
		slot.begun = false
		<-c.acceptor.requests
	}
}

// beginUpload waits until a streamed body may be passed on, which occupies a slot of a
// server.
func (c *connection) beginUpload(request *Request) error {
	if request.Stream == nil || c.memory == nil {
		return nil
	}
	if !c.memory.Reserve(allocator.KindUpload, uploadBytes) {
		return errNoMemory
	}
	timer := time.NewTimer(bodyTimeout)
	defer timer.Stop()
	select {
	case c.acceptor.uploads <- struct{}{}:
	case <-c.ctx.Done():
		return errNoUpload
	case <-timer.C:
		// The connection is closed, which returns all of its memory.
		c.acceptor.deps.Memory.Count(reserver.ReasonUploads)
		return errNoUpload
	}
	request.Stream.pace = newPace(streamSlack, streamRate)
	return nil
}

// endUpload lets the next streamed body be passed on.
func (c *connection) endUpload() {
	if c.memory == nil {
		return
	}
	<-c.acceptor.uploads
	c.memory.Release(allocator.KindUpload, uploadBytes)
}
