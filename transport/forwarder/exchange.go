package forwarder

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/common/utils"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/foxtailhall/foxtailhall/transport/chunker"
	"github.com/foxtailhall/foxtailhall/transport/framer"
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
	// maxEmptyLines bounds the empty lines before an answer.
	maxEmptyLines = 4
	emptyLine     = "\r\n"
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
	// keepsConnection is set if the server takes another request after the answer.
	keepsConnection bool
	// remaining is the number of bytes of the body still to be read, negative if the
	// length is not known in advance.
	remaining int64
	// length is that of the body in bytes, framer.LengthChunked or framer.LengthUntilClose.
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
	length := max(request.Header.ContentLength(), framer.LengthChunked)
	request.Header.SetContentLength(length)
	err := req.WriteHeader(&request.Header, e.conn.writer)
	switch {
	case err != nil:
	case length == framer.LengthChunked:
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
		head, err := e.readFinalHead()
		if err != nil {
			return err
		}
		mismatched, idleTimeout := e.inspect(&e.Response.Header)
		e.idleTimeout = idleTimeout
		e.openBody(head, headOnly)
		if !mismatched {
			return nil
		}
		if e.length == framer.LengthUntilClose {
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

// readFinalHead reads the next head of a final answer and skips interim ones. The HTTP library's
// parser is too lenient for that: it accepts invalid lines, unfolds others and guesses lengths.
func (e *Exchange) readFinalHead() (framer.Answer, error) {
	for range maxInterim {
		if err := e.skipEmptyLines(); err != nil {
			return framer.Answer{}, err
		}
		head, err := framer.PeekAnswer(e.conn.reader, maxHeadBytes, e.addField)
		if err == nil {
			err = e.conn.reader.Skip(head.HeadBytes)
		}
		if err != nil {
			return framer.Answer{}, fmt.Errorf("reading the answer's head: %w", err)
		}
		if !head.Interim() {
			e.Response.SetStatusCode(head.Status)
			return head, nil
		}
	}
	return framer.Answer{}, ErrTooManyInterim
}

// addField adds a field of the answer to Response, except those that concern its framing.
func (e *Exchange) addField(name, value []byte) {
	header := &e.Response.Header
	utils.NormalizeHeaderKey(name, false)
	switch string(name) {
	case consts.HeaderContentLength, consts.HeaderTransferEncoding, consts.HeaderConnection, consts.HeaderTrailer:
	case consts.HeaderContentType:
		header.SetContentTypeBytes(value)
	case consts.HeaderContentEncoding:
		header.SetContentEncodingBytes(value)
	case consts.HeaderServer:
		header.SetServerBytes(value)
	case consts.HeaderSetCookie:
		header.ParseSetCookie(value)
	default:
		header.AddArgBytes(name, value, protocol.ArgsHasValue)
	}
}

// skipEmptyLines skips a few empty lines before an answer.
func (e *Exchange) skipEmptyLines() error {
	for range maxEmptyLines {
		first, err := e.conn.reader.Peek(1)
		if err != nil || first[0] != '\r' {
			break
		}
		line, err := e.conn.reader.Peek(len(emptyLine))
		if err != nil || string(line) != emptyLine {
			break
		}
		if err := e.conn.reader.Skip(len(emptyLine)); err != nil {
			return fmt.Errorf("reading the answer's head: %w", err)
		}
	}
	return nil
}

func (e *Exchange) openBody(head framer.Answer, headOnly bool) {
	e.keepsConnection = head.KeepsConnection()
	e.length = head.BodyLength(headOnly)
	e.remaining = e.length
	e.complete = e.length == 0
	e.body = e.conn.reader
	if e.length == framer.LengthChunked {
		e.body = framer.NewChunks(e.conn.reader)
	}
}

// Length returns the body's length in bytes, -1 if it is not known in advance.
func (e *Exchange) Length() int64 { return max(e.length, framer.LengthChunked) }

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
		e.complete = ended && (e.length != framer.LengthUntilClose || e.requestWhole())
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
	return e.writeErr == nil && e.complete && e.length != framer.LengthUntilClose &&
		e.keepsConnection && e.conn.reader.Buffered() == 0
}
