package framer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

// ErrTrailerTooLong means that a trailer does not fit into the read buffer.
var ErrTrailerTooLong = eris.New("trailer is too long")

// chunkState is the part of a chunked body that is read next.
type chunkState uint8

const (
	stateSize chunkState = iota
	stateData
	stateDataEnd
	stateTrailer
)

var (
	lineEnd   = []byte("\r\n")
	semicolon = []byte(";")
)

// Chunks reads a chunked body and its trailer, which it discards. Any number of chunks that
// have arrived is read into one buffer.
type Chunks struct {
	in    *reader.Reader
	state chunkState
	// left is the number of bytes of the chunk still to be read.
	left int64
	// trailerBytes is the length of the trailer so far.
	trailerBytes int
	// err is what ended the body.
	err error
}

// NewChunks returns a reader of the chunked body that follows on a connection.
func NewChunks(in *reader.Reader) *Chunks { return &Chunks{in: in} }

// Read implements io.Reader. It returns io.EOF itself only at the end of the trailer. It waits
// only for the first bytes that it returns.
func (c *Chunks) Read(buffer []byte) (int, error) {
	n := 0
	for c.err == nil && n < len(buffer) && (n == 0 || c.ready()) {
		if c.state != stateData {
			c.err = c.readLine()
			continue
		}
		got, err := c.in.Read(buffer[n:][:min(int64(len(buffer)-n), c.left)])
		n += got
		c.left -= int64(got)
		if c.left == 0 {
			c.state = stateDataEnd
		}
		c.err = unexpected(err)
	}
	return n, c.err
}

// ready reports whether the next step needs no further bytes of the connection.
func (c *Chunks) ready() bool {
	buffered := c.in.Buffered()
	if c.state == stateData || buffered == 0 {
		return buffered > 0
	}
	raw, err := c.in.Peek(buffered)
	return err == nil && bytes.IndexByte(raw, '\n') >= 0
}

// readLine reads the line that is due. It returns io.EOF after the one that ends the trailer.
func (c *Chunks) readLine() error {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return fmt.Errorf("reading a line of a chunked body: %w", unexpected(err))
	}
	text, ok := bytes.CutSuffix(line, lineEnd)
	if !ok {
		return fmt.Errorf("%w: line of a chunked body ends without CR", ErrMalformed)
	}
	switch c.state {
	case stateSize:
		return c.beginChunk(text)
	case stateDataEnd:
		c.state = stateSize
		if len(text) > 0 {
			return fmt.Errorf("%w: chunk is longer than its size", ErrMalformed)
		}
		return nil
	default:
		return c.readTrailer(text)
	}
}

// beginChunk reads the size of a chunk. Extensions are ignored.
func (c *Chunks) beginChunk(line []byte) error {
	digits, extensions, _ := bytes.Cut(line, semicolon)
	size, ok := parseSize(digits)
	if !ok || !isFieldValue(extensions) {
		return fmt.Errorf("%w: invalid size of a chunk %.100q", ErrMalformed, line)
	}
	c.left, c.state = size, stateData
	if size == 0 {
		c.state = stateTrailer
	}
	return nil
}

// maxSizeDigits bounds the size of a chunk, with leading zeros.
const maxSizeDigits = 16

func parseSize(digits []byte) (size int64, ok bool) {
	if len(digits) == 0 || len(digits) > maxSizeDigits {
		return 0, false
	}
	for _, c := range digits {
		var digit byte
		switch {
		case c >= '0' && c <= '9':
			digit = c - '0'
		case c >= 'a' && c <= 'f':
			digit = c - 'a' + 10
		case c >= 'A' && c <= 'F':
			digit = c - 'A' + 10
		default:
			return 0, false
		}
		if size > math.MaxInt64>>4 {
			return 0, false
		}
		size = size<<4 | int64(digit)
	}
	return size, true
}

// readTrailer checks a line of the trailer. A trailer can't change the framing.
func (c *Chunks) readTrailer(line []byte) error {
	if len(line) == 0 {
		return io.EOF
	}
	c.trailerBytes += len(line)
	if c.trailerBytes > c.in.Size() {
		return ErrTrailerTooLong
	}
	fields := Fields{Length: -1}
	if err := fields.parseLine(line, nil); err != nil {
		return err
	}
	if fields.Chunked || fields.Length >= 0 {
		return fmt.Errorf("%w: trailer with the length of a body", ErrMalformed)
	}
	return nil
}

// unexpected returns the error of a source that must not end yet.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
