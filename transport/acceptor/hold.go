package acceptor

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
)

const (
	// maxHeldBytes is the longest streamed answer that is buffered whole because requests
	// behind it on its connection have been started.
	maxHeldBytes = 1 << 20
	// maxHeldAnswers bounds the answers that are buffered so at the same time in an acceptor.
	maxHeldAnswers = 16
)

// beginStream keeps further requests of the connection from being started until endStream,
// and reports whether any behind the answer that is written next has been.
func (c *connection) beginStream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = true
	return c.pending.Load() > 1 || c.taking
}

// endStream lets requests start again.
func (c *connection) endStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = false
}

// beginTaking waits until no answer is streamed before the next request is taken: HTTP/1.1
// can end an answer that breaks off only with its connection, and a request that was
// started behind it would be lost. It returns an error if the caller closes the connection
// meanwhile.
func (c *connection) beginTaking() error {
	for !c.tryBeginTaking() {
		if c.in.Buffered() >= minReadBufferBytes {
			time.Sleep(pipelinedPollInterval)
			continue
		}
		_ = c.raw.SetReadDeadline(time.Now().Add(pipelinedPollInterval))
		if _, err := c.in.Peek(c.in.Buffered() + 1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err //nolint:wrapcheck // only its presence counts
		}
	}
	return nil
}

// tryBeginTaking reports whether no answer is streamed, or the connection's requests are
// canceled in any case.
func (c *connection) tryBeginTaking() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streaming && c.ctx.Err() == nil {
		return false
	}
	c.taking = true
	return true
}

// hold returns an answer to write in place of a streamed one, so that requests behind it
// are answered also if it breaks off: the same answer buffered, or another one if it broke
// off. An answer that is too long to be buffered is streamed all the same.
func (c *connection) hold(slot *answerSlot) *protocol.Response {
	response := slot.response
	if c.acceptor.held.Add(1) > maxHeldAnswers {
		c.acceptor.held.Add(-1)
		return response
	}
	defer c.acceptor.held.Add(-1)
	length := response.Header.ContentLength()
	if !c.reserve(slot, allocator.KindAnswer, maxHeldBytes) {
		return response
	}
	body, err := io.ReadAll(io.LimitReader(response.BodyStream(), maxHeldBytes+1))
	if err == nil && len(body) > maxHeldBytes {
		return withBody(response, io.MultiReader(bytes.NewReader(body), response.BodyStream()), length)
	}
	_ = response.CloseBodyStream()
	if err != nil || length >= 0 && len(body) != length {
		c.acceptor.deps.Log.Info("HeldAnswerBroken", "Caller", c.remoteIP, "Bytes", len(body), "Error", err)
		return c.acceptor.deps.Broken(slot.request)
	}
	return withBody(response, bytes.NewReader(body), len(body))
}

// withBody returns an answer with the header of another one.
func withBody(response *protocol.Response, body io.Reader, length int) *protocol.Response {
	changed := &protocol.Response{}
	response.Header.CopyTo(&changed.Header)
	changed.SetBodyStream(&heldBody{Reader: body, original: response}, length)
	return changed
}

// heldBody is the body of an answer that replaces another one.
type heldBody struct {
	io.Reader
	original *protocol.Response
}

// Close ends the answer that was replaced.
func (b *heldBody) Close() error {
	return b.original.CloseBodyStream() //nolint:wrapcheck // a closer returns its source's errors
}
