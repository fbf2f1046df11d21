package forwarder

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"time"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/foxtailhall/foxtailhall/transport/chunker"
)

const (
	// maxMismatched bounds the answers to other requests that are skipped, and
	// maxSkippedBytes the body of each.
	maxMismatched   = 3
	maxSkippedBytes = 1 << 20
	// lingerTimeout is how long a request may still be written after the server has ended an
	// answer by closing the connection.
	lingerTimeout = 2 * time.Second
	// maxInterim bounds the interim answers, such as 100 Continue, before the final one.
	maxInterim = 8
	// maxEmptyLineBytes bounds the empty lines before an answer.
	maxEmptyLineBytes = 8
	// statusLineBytes is the length of the part of an answer that statusLine matches.
	statusLineBytes = len("HTTP/1.1 200 ")
)

// statusLine matches the beginning of a valid answer.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9][ \r\n]$`)

// Values of a body length that is not known in advance.
const (
	lengthChunked = -1
	// lengthUntilClose is that of a body that ends when the server closes the connection.
	lengthUntilClose = -2
)

// Exchange is one request to the backend server and its answer. It must be closed.
type Exchange struct {
	forwarder *Forwarder
	conn      *connection
	inspect   HeadInspector
	Response  *protocol.Response
	// body reads the part of the answer's body that has not been read.
	body io.Reader
	// stopWatch keeps the end of the context from closing the connection. It reports
	// whether the context had not ended before.
	stopWatch func() bool
	// complete is set once the body was read to its end.
	complete bool
	// remaining is the number of bytes of the body still to be read, negative if the
	// length is not known in advance.
	remaining int64
	// length is that of the body in bytes, lengthChunked or lengthUntilClose.
	length int64
	// idleTimeout is how long the server keeps an idle connection, 0 if not announced.
	idleTimeout time.Duration
	// requestWritten is closed once the write of the request has ended, with its error
	// in writeErr.
	requestWritten chan struct{}
	writeErr       error
}

// run writes the request and reads the head of the answer. A streamed body is written
// concurrently, since a server may answer before it has read all of it.
func (e *Exchange) run(request *protocol.Request, sent func()) error {
	if request.IsBodyStream() {
		go e.write(request)
	} else {
		e.write(request)
		if e.writeErr != nil {
			return fmt.Errorf("sending the request: %w", e.writeErr)
		}
	}
	sent()
	if err := e.readHead(request.Header.IsHead()); err != nil {
		select {
		case <-e.requestWritten:
			err = errors.Join(err, e.writeErr)
		default:
		}
		return err
	}
	return nil
}

func (e *Exchange) write(request *protocol.Request) {
	defer close(e.requestWritten)
	if request.IsBodyStream() {
		e.writeErr = e.writeStream(request)
	} else {
		e.writeErr = req.Write(request, e.conn.writer)
	}
	if e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
}

// writeStream writes a request with a streamed body. It closes the connection if the body
// ends early, so that the server neither takes a part for the whole nor waits for the rest.
func (e *Exchange) writeStream(request *protocol.Request) error {
	body := &failureReader{source: request.BodyStream()}
	length := max(request.Header.ContentLength(), lengthChunked)
	request.Header.SetContentLength(length)
	err := req.WriteHeader(&request.Header, e.conn.writer)
	switch {
	case err != nil:
	case length == lengthChunked:
		err = chunker.Write(e.conn.writer, body)
	default:
		err = ext.WriteBodyFixedSize(e.conn.writer, body, int64(length))
	}
	if body.failed {
		_ = e.conn.raw.Close()
	}
	if err != nil {
		return fmt.Errorf("writing a streamed body: %w", err)
	}
	return nil
}

// failureReader remembers whether its source ended early.
type failureReader struct {
	source io.Reader
	failed bool
}

// Read implements io.Reader.
func (f *failureReader) Read(buffer []byte) (int, error) {
	n, err := f.source.Read(buffer)
	f.failed = f.failed || err != nil && err != io.EOF
	return n, err //nolint:wrapcheck // a reader returns its source's errors
}

// readHead reads the head of the answer to the request and skips answers to others.
func (e *Exchange) readHead(headOnly bool) error {
	for range maxMismatched {
		if err := e.readFinalHead(); err != nil {
			return err
		}
		mismatched, idleTimeout := e.inspect(&e.Response.Header)
		e.idleTimeout = idleTimeout
		e.openBody(headOnly)
		if !mismatched {
			return nil
		}
		if e.length == lengthUntilClose {
			break
		}
		if _, err := io.CopyN(io.Discard, e, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return fmt.Errorf("skipping an answer to another request: %w", errors.Join(ErrMismatchedAnswer, err))
		}
		e.Response.Reset()
		e.complete = false
	}
	return ErrMismatchedAnswer
}

// readFinalHead reads the next head of a final answer and skips interim ones.
func (e *Exchange) readFinalHead() error {
	for range maxInterim {
		if err := e.checkStatusLine(); err != nil {
			return err
		}
		if err := resp.ReadHeaders(e.Response, e.conn.reader); err != nil {
			return fmt.Errorf("reading the answer's head: %w", err)
		}
		if e.Response.StatusCode() >= consts.StatusOK {
			return nil
		}
		e.Response.Reset()
	}
	return ErrTooManyInterim
}

// checkStatusLine checks the beginning of the next head, and skips empty lines before it. The
// HTTP library takes any protocol, and the status 000 for 200.
func (e *Exchange) checkStatusLine() error {
	for range maxEmptyLineBytes {
		first, err := e.conn.reader.Peek(1)
		if err != nil || first[0] != '\r' && first[0] != '\n' {
			break
		}
		if err := e.conn.reader.Skip(1); err != nil {
			return fmt.Errorf("reading the answer's head: %w", err)
		}
	}
	line, err := e.conn.reader.Peek(statusLineBytes)
	if err != nil {
		return fmt.Errorf("reading the answer's head: %w", err)
	}
	if !statusLine.Match(line) {
		return fmt.Errorf("%w: %q", ErrInvalidStatusLine, line)
	}
	return nil
}

func (e *Exchange) openBody(headOnly bool) {
	if headOnly || e.Response.MustSkipBody() {
		e.complete = true
		e.length = 0
		return
	}
	e.length = int64(e.Response.Header.ContentLength())
	e.remaining = e.length
	e.complete = e.length == 0
	switch e.length {
	case lengthChunked:
		e.body = ext.AcquireBodyStream(&bytebufferpool.ByteBuffer{}, e.conn.reader, &protocol.Trailer{}, lengthChunked)
	default:
		e.body = e.conn.reader
	}
}

// Length returns the body's length in bytes, -1 if it is not known in advance.
func (e *Exchange) Length() int64 { return max(e.length, lengthChunked) }

// Complete reports whether the body was read to its true end.
func (e *Exchange) Complete() bool { return e.complete }

// Read reads the body. It returns io.EOF only at the body's true end.
func (e *Exchange) Read(buffer []byte) (int, error) {
	if e.complete {
		return 0, io.EOF
	}
	if e.remaining >= 0 && int64(len(buffer)) > e.remaining {
		buffer = buffer[:e.remaining]
	}
	n, err := e.body.Read(buffer)
	ended := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if e.remaining >= 0 {
		e.remaining -= int64(n)
		e.complete = e.remaining == 0
	} else {
		e.complete = ended && (e.length != lengthUntilClose || e.requestWhole())
	}
	switch {
	case e.complete:
		return n, io.EOF
	case ended:
		return n, io.ErrUnexpectedEOF
	case err != nil:
		return n, fmt.Errorf("reading the answer's body: %w", err)
	}
	return n, nil
}

// requestWhole reports whether the whole request was written. It waits up to lingerTimeout for
// the rest of it. The kernel reports a reset of the connection only once: if the writer of the
// request gets that error, the reader sees an orderly end.
func (e *Exchange) requestWhole() bool {
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-e.requestWritten:
		return e.writeErr == nil
	case <-timer.C:
		return false
	}
}

// Drain reads the rest of the body so that the connection can be reused, unless that
// takes more than drainTimeout or drainBytes. It must not be called after a read failed.
func (e *Exchange) Drain() {
	if err := e.conn.raw.SetReadDeadline(time.Now().Add(drainTimeout)); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, e, drainBytes); !errors.Is(err, io.EOF) {
		e.complete = false
		return
	}
	if err := e.conn.raw.SetReadDeadline(time.Time{}); err != nil {
		e.complete = false
	}
}

const (
	drainTimeout = 50 * time.Millisecond
	drainBytes   = 64 << 10
)

// Close ends the exchange. The connection is reused only if the request was written and
// the answer read completely, and the server accepts another request on it.
func (e *Exchange) Close() {
	stopped := e.stopWatch()
	if stopped && e.reusable() {
		idleTimeout := e.idleTimeout
		if idleTimeout == 0 {
			idleTimeout = defaultIdleTimeout
		}
		e.conn.reuseDeadline = time.Now().Add(time.Duration(idleTimeoutFraction * float64(idleTimeout)))
		e.forwarder.release(e.conn)
	} else {
		_ = e.conn.raw.Close()
	}
	<-e.requestWritten
	protocol.ReleaseResponse(e.Response)
}

func (e *Exchange) reusable() bool {
	select {
	case <-e.requestWritten:
	default:
		return false
	}
	return e.writeErr == nil && e.complete && e.length != lengthUntilClose &&
		!e.Response.ConnectionClose() && e.conn.reader.Buffered() == 0
}
