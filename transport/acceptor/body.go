package acceptor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
	"github.com/foxtailhall/foxtailhall/transport/reader"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
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
	// pace bounds the time in which the body arrives.
	pace   pace
	memory *reserver.Reservation
}

// Read implements io.Reader. It returns io.EOF only at the end of a complete body.
func (s *Stream) Read(buffer []byte) (int, error) {
	start := time.Now()
	_ = s.raw.SetReadDeadline(start.Add(s.pace.left()))
	n, err := s.source.Read(buffer)
	s.pace.record(time.Since(start), n)
	s.memory.Progress(n)
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

// readBody buffers a short body, or the first bytes of a longer one, which it leaves to the
// handler as a stream. A status other than 0 means that the request must be refused with it.
func (c *connection) readBody(request *Request, slot *answerSlot, limit int64) (status int, reason string, err error) {
	if request.Length == 0 {
		return 0, "", nil
	}
	if request.Length > limit {
		return consts.StatusRequestEntityTooLarge, "BodyTooLarge", nil
	}
	stream := &Stream{
		source: c.bodyReader(request.Length), raw: c.raw, remaining: limit, done: make(chan struct{}),
		memory: c.memory, pace: pace{slack: bodyTimeout, limit: bodyTimeout},
	}
	if c.memory == nil && request.Length > MaxBufferedBodyBytes {
		request.Stream = stream
		return 0, "", nil
	}
	if c.memory != nil {
		stream.pace = newPace(bodyTimeout, bodyRate)
	}
	first, err := c.readFirst(stream, slot, request.Length)
	switch {
	case errors.Is(err, errNoMemory):
		return 0, "", err
	case errors.Is(err, ErrBodyTooLong):
		return consts.StatusRequestEntityTooLarge, "BodyTooLarge", nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.acceptor.deps.Memory.Count(reserver.ReasonSlowBody)
		return consts.StatusRequestTimeout, "BodyTimeout", nil
	case err != nil:
		return consts.StatusBadRequest, "HalfRequest", nil
	case len(first) <= MaxBufferedBodyBytes && stream.complete:
		request.Body, request.Length = first, int64(len(first))
		return 0, "", nil
	}
	stream.source = io.MultiReader(bytes.NewReader(first), stream.source)
	stream.remaining += int64(len(first))
	request.Stream = stream
	return 0, "", nil
}

// firstBodyBytes is the size of the buffer that the first bytes of a body are read into.
const firstBodyBytes = 16 << 10

// streamedFirstBytes is the part of a body of known length beyond MaxBufferedBodyBytes that
// must have arrived before its request is handled.
const streamedFirstBytes = 64 << 10

// readFirst reads a body up to one byte beyond MaxBufferedBodyBytes, or the first bytes of a
// body that is known to be longer. Its buffer grows with what arrives.
func (c *connection) readFirst(stream *Stream, slot *answerSlot, length int64) ([]byte, error) {
	most := MaxBufferedBodyBytes + 1
	switch {
	case length > MaxBufferedBodyBytes:
		most = streamedFirstBytes
	case length >= 0:
		most = int(length)
	}
	var body []byte
	for len(body) < most {
		if len(body) == cap(body) {
			size := min(max(firstBodyBytes, 2*cap(body)), most)
			if !c.reserve(slot, allocator.KindBody, int64(size-cap(body))) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) && stream.complete {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	if int64(len(body)) == length {
		stream.complete = true
		stream.finish()
	}
	return body, nil
}

func (c *connection) bodyReader(length int64) io.Reader {
	if length >= 0 {
		return &fixedLengthReader{source: c.in, remaining: length}
	}
	return &chunkedReader{in: c.in, chunks: httputil.NewChunkedReader(c.in.Reader)}
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

// chunkedReader reads a chunked body and its trailer, which it discards. Any number of
// chunks is read into one buffer.
type chunkedReader struct {
	in     *reader.Reader
	chunks io.Reader
	err    error
}

// errTrailerTooLong means that the trailer does not fit into the read buffer.
var errTrailerTooLong = eris.New("trailer is too long")

// Read returns io.EOF only at the end of the trailer.
func (r *chunkedReader) Read(buffer []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.chunks.Read(buffer)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		err = r.skipTrailer()
	}
	r.err = err
	return n, err
}

// skipTrailer returns io.EOF after the empty line that ends the trailer.
func (r *chunkedReader) skipTrailer() error {
	for left := r.in.Size(); left > 0; {
		line, err := r.in.ReadSlice('\n')
		if err != nil {
			return errors.Join(io.ErrUnexpectedEOF, err)
		}
		if string(line) == "\r\n" {
			return io.EOF
		}
		left -= len(line)
	}
	return errTrailerTooLong
}
