package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/rotisserie/eris"
)

// MaxBufferedBodyBytes is the longest body that is read completely before its request
// is handled. Longer ones are streamed.
const MaxBufferedBodyBytes = 512 << 10

// ErrBodyTooLong means that a body exceeds the limit.
var ErrBodyTooLong = eris.New("request body is longer than allowed")

// Stream reads a long body from its connection. It is not safe for concurrent use.
type Stream struct {
	source io.Reader
	raw    net.Conn
	// remaining is how many more bytes the limit allows.
	remaining int64
	// complete is set once the body was read to its end. It does not change after done
	// is closed.
	complete bool
	done     chan struct{}
	once     sync.Once
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (s *Stream) Read(buffer []byte) (int, error) {
	_ = s.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	if len(buffer) > minReadBufferBytes {
		// The chunk reader peeks at as many bytes as are requested, which must fit into
		// the connection's buffer.
		buffer = buffer[:minReadBufferBytes]
	}
	n, err := s.source.Read(buffer)
	s.remaining -= int64(n)
	switch {
	case s.remaining < 0:
		s.finish()
		return 0, ErrBodyTooLong
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		s.complete = true
		s.finish()
		return n, io.EOF
	case err != nil:
		s.finish()
	}
	return n, err //nolint:wrapcheck // a reader returns its source's errors
}

// finish ends the stream, so that the connection can read its next request.
func (s *Stream) finish() {
	s.once.Do(func() { close(s.done) })
}

// readBody buffers a short body and leaves a longer one to the handler as a stream. A
// status other than 0 means that the request must be refused with it.
func (c *connection) readBody(request *Request, limit int64) (status int, reason string) {
	if request.Length == 0 {
		return 0, ""
	}
	if request.Length > limit {
		return consts.StatusRequestEntityTooLarge, "BodyTooLarge"
	}
	stream := &Stream{source: c.bodyReader(request.Length), raw: c.raw, remaining: limit, done: make(chan struct{})}
	if request.Length > MaxBufferedBodyBytes {
		request.Stream = stream
		return 0, ""
	}
	first, err := io.ReadAll(io.LimitReader(stream, MaxBufferedBodyBytes+1))
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return consts.StatusRequestEntityTooLarge, "BodyTooLarge"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return consts.StatusRequestTimeout, "BodyTimeout"
	case err != nil:
		return consts.StatusBadRequest, "HalfRequest"
	case len(first) <= MaxBufferedBodyBytes && stream.complete:
		request.Body, request.Length = first, int64(len(first))
		return 0, ""
	}
	stream.source = io.MultiReader(bytes.NewReader(first), stream.source)
	stream.remaining += int64(len(first))
	request.Stream = stream
	return 0, ""
}

func (c *connection) bodyReader(length int64) io.Reader {
	if length >= 0 {
		return &fixedLengthReader{source: c.in, remaining: length}
	}
	return ext.AcquireBodyStream(&bytebufferpool.ByteBuffer{}, c.in, &protocol.Trailer{}, -1)
}

// fixedLengthReader reads a body of known length. It returns io.ErrUnexpectedEOF if the
// source ends early.
type fixedLengthReader struct {
	source    io.Reader
	remaining int64
}

// Read returns io.EOF once exactly the body's length has been read.
func (e *fixedLengthReader) Read(buffer []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > e.remaining {
		buffer = buffer[:e.remaining]
	}
	n, err := e.source.Read(buffer)
	e.remaining -= int64(n)
	if e.remaining > 0 && errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // a reader returns its source's errors
}
