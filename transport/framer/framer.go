// Package framer reads the framing of HTTP/1.1 messages strictly. Whatever two recipients
// could read differently is an error: the length of a body that follows it is a guess.
package framer

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

var (
	// ErrMalformed means that bytes are not a valid HTTP/1.1 message, so that the bytes that
	// follow them on the connection can't be interpreted either.
	ErrMalformed = eris.New("malformed message")
	// ErrHeadTooLong means that a head exceeds its limit.
	ErrHeadTooLong = eris.New("message head is too long")
)

// Lengths of bodies whose head gives no length in bytes.
const (
	// LengthChunked is that of a body in chunks.
	LengthChunked = -1
	// LengthUntilClose is that of an answer's body that ends with its connection.
	LengthUntilClose = -2
)

// StartLine is called with the first line of a head. It reports whether that names HTTP/1.0.
type StartLine func(line []byte) (http10 bool, err error)

// Visitor is called with each field. It may change the name, but not the value, and must not
// keep them.
type Visitor func(name, value []byte)

// PeekHead waits for a whole head, which is a start line, header fields and an empty line, and
// reads it without consuming it. It returns what the fields say, and the length of the head. It
// passes the fields to visit, unless that is nil, as they arrive, and fails at the first line
// that is malformed.
func PeekHead(in *reader.Reader, limit int, start StartLine, visit Visitor) (Fields, int, error) {
	h := head{fields: Fields{Length: -1}, start: start, visit: visit}
	for scanned := 0; ; {
		_, err := in.Peek(scanned + 1)
		raw, _ := in.Peek(in.Buffered())
		if err := h.parse(raw[:min(len(raw), limit)]); err != nil {
			return Fields{}, 0, err
		}
		if h.complete {
			return h.fields, h.end, h.fields.check()
		}
		scanned = len(raw)
		if scanned >= limit {
			return Fields{}, 0, ErrHeadTooLong
		}
		if err != nil {
			if scanned > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Fields{}, 0, fmt.Errorf("reading a message head: %w", err)
		}
	}
}

// head is a head of which a part has arrived.
type head struct {
	start  StartLine
	visit  Visitor
	fields Fields
	// end is the length of the lines that were parsed.
	end int
	// complete is set once the empty line was parsed.
	complete bool
}

// parse parses the lines that have arrived of a head that begins with raw.
func (h *head) parse(raw []byte) error {
	for !h.complete {
		length := bytes.IndexByte(raw[h.end:], '\n')
		if length < 0 {
			return nil
		}
		line := raw[h.end : h.end+length]
		if length == 0 || line[length-1] != '\r' {
			return fmt.Errorf("%w: line ends without CR", ErrMalformed)
		}
		if err := h.parseLine(line[:length-1]); err != nil {
			return err
		}
		h.end += length + 1
	}
	return nil
}

func (h *head) parseLine(line []byte) (err error) {
	switch {
	case h.end == 0:
		h.fields.HTTP10, err = h.start(line)
	case len(line) == 0:
		h.complete = true
	default:
		err = h.fields.parseLine(line, h.visit)
	}
	return err
}
