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

// KeptBodyBytes is the longest body that is read before its request is handled.
const KeptBodyBytes = 512 << 10

// ErrBodyTooLong means that a body is longer than the limits allow.
var ErrBodyTooLong = eris.New("request body is longer than allowed")

// Stream reads a long body from its connection. Only one goroutine may read.
type Stream struct {
	source io.Reader
	raw    net.Conn
	// left is how many more bytes the limits allow.
	left int64
	// whole is set once the body was read to its end. It is final once done is closed.
	whole bool
	done  chan struct{}
	once  sync.Once
}

// Read returns io.EOF only at the body's true end.
func (s *Stream) Read(buffer []byte) (int, error) {
	_ = s.raw.SetReadDeadline(time.Now().Add(bodyTimeout))
	if len(buffer) > headBufferBytes {
		// The chunk reader peeks at as many bytes as it is asked for.
		buffer = buffer[:headBufferBytes]
	}
	n, err := s.source.Read(buffer)
	s.left -= int64(n)
	switch {
	case s.left < 0:
		s.finish()
		return 0, ErrBodyTooLong
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		s.whole = true
		s.finish()
		return n, io.EOF
	case err != nil:
		s.finish()
	}
	return n, err //nolint:wrapcheck // a reader returns its source's errors
}

// finish lets the connection go on.
func (s *Stream) finish() {
	s.once.Do(func() { close(s.done) })
}

// readBody keeps a short body and leaves a longer one to be read by the
// handler. A status other than 0 refuses the request.
func (c *connection) readBody(request *Request, limit int64) (status int, reason string) {
	if request.Length == 0 {
		return 0, ""
	}
	if request.Length > limit {
		return consts.StatusRequestEntityTooLarge, "BodyTooLarge"
	}
	stream := &Stream{source: c.bodyOf(request.Length), raw: c.raw, left: limit, done: make(chan struct{})}
	if request.Length > KeptBodyBytes {
		request.Stream = stream
		return 0, ""
	}
	first, err := io.ReadAll(io.LimitReader(stream, KeptBodyBytes+1))
	switch {
	case errors.Is(err, ErrBodyTooLong):
		return consts.StatusRequestEntityTooLarge, "BodyTooLarge"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return consts.StatusRequestTimeout, "BodyTimeout"
	case err != nil:
		return consts.StatusBadRequest, "HalfRequest"
	case len(first) <= KeptBodyBytes && stream.whole:
		request.Body, request.Length = first, int64(len(first))
		return 0, ""
	}
	stream.source = io.MultiReader(bytes.NewReader(first), stream.source)
	stream.left += int64(len(first))
	request.Stream = stream
	return 0, ""
}

func (c *connection) bodyOf(length int64) io.Reader {
	if length >= 0 {
		return &exactReader{source: c.in, left: length}
	}
	return ext.AcquireBodyStream(&bytebufferpool.ByteBuffer{}, c.in, &protocol.Trailer{}, -1)
}

// exactReader reads a body of known length and fails if it ends early.
type exactReader struct {
	source io.Reader
	left   int64
}

// Read returns io.EOF after exactly the body's length.
func (e *exactReader) Read(buffer []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > e.left {
		buffer = buffer[:e.left]
	}
	n, err := e.source.Read(buffer)
	e.left -= int64(n)
	if e.left > 0 && errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err //nolint:wrapcheck // a reader returns its source's errors
}
