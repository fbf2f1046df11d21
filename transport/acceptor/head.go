package acceptor

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

// Errors of reading a request's head, which is its request line and header fields.
var (
	// ErrMalformed means that a head is not valid HTTP/1, so that the bytes that follow
	// it on the connection can't be interpreted either.
	ErrMalformed = eris.New("request head is malformed")
	// ErrHeadTooLong means that a head exceeds the limit.
	ErrHeadTooLong = eris.New("request head is too long")
)

// framing is what a head says about the length of the body and the connection.
type framing struct {
	// length is that of the body in bytes, -1 if it is chunked.
	length int64
	// close is set if the connection closes after this request.
	close bool
	// expectContinue is set if the caller waits for 100 Continue before it sends the body.
	expectContinue bool
}

// readHead waits for a complete head, validates it and parses it.
func readHead(in *reader.Reader, limit int, header *protocol.RequestHeader) (framing, error) {
	raw, err := peekHead(in, limit)
	if err != nil {
		return framing{}, err
	}
	frame, err := checkHead(raw)
	if err != nil {
		return framing{}, err
	}
	if err := req.ReadHeader(header, in); err != nil {
		return framing{}, fmt.Errorf("parsing a request head: %w: %w", ErrMalformed, err)
	}
	return frame, nil
}

var headEnd = []byte("\r\n\r\n")

// peekHead returns the bytes up to and including the empty line without consuming them.
func peekHead(in *reader.Reader, limit int) ([]byte, error) {
	for wanted := 1; ; {
		_, err := in.Peek(wanted)
		raw, _ := in.Peek(in.Buffered())
		if end := bytes.Index(raw, headEnd); end >= 0 && end+len(headEnd) <= limit {
			return raw[:end+len(headEnd)], nil
		}
		if len(raw) >= limit {
			return nil, ErrHeadTooLong
		}
		if err != nil {
			if len(raw) > 0 && errors.Is(err, io.EOF) {
				return nil, fmt.Errorf("reading a request head: %w", io.ErrUnexpectedEOF)
			}
			return nil, fmt.Errorf("reading a request head: %w", err)
		}
		wanted = len(raw) + 1
	}
}

// checkHead validates a head. It rejects whatever two HTTP implementations could
// interpret differently, which would allow request smuggling.
func checkHead(raw []byte) (framing, error) {
	lines := strings.Split(strings.TrimSuffix(string(raw), "\r\n\r\n"), "\r\n")
	if err := checkRequestLine(lines[0]); err != nil {
		return framing{}, err
	}
	framingFields := framingFields{http10: strings.HasSuffix(lines[0], "HTTP/1.0"), length: -1}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return framing{}, fmt.Errorf("%w: invalid header line", ErrMalformed)
		}
		if err := framingFields.parse(strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return framing{}, err
		}
	}
	return framingFields.framing()
}

func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return fmt.Errorf("%w: invalid request line", ErrMalformed)
	}
	if parts[2] != consts.HTTP11 && parts[2] != consts.HTTP10 {
		return fmt.Errorf("%w: unsupported protocol version", ErrMalformed)
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c == 0x7F {
			return fmt.Errorf("%w: invalid request target", ErrMalformed)
		}
	}
	return nil
}

// framingFields collects the header fields that determine the framing of a request.
type framingFields struct {
	http10    bool
	hostCount int
	// length is -1 until a Content-Length is parsed.
	length          int64
	chunked         bool
	connectionClose bool
	expectContinue  bool
}

func (f *framingFields) parse(name, value string) error {
	switch name {
	case "host":
		f.hostCount++
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 62)
		if err != nil || f.length >= 0 || strings.HasPrefix(value, "+") {
			return fmt.Errorf("%w: invalid or repeated Content-Length", ErrMalformed)
		}
		f.length = int64(length)
	case "transfer-encoding":
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: unsupported or repeated Transfer-Encoding", ErrMalformed)
		}
		f.chunked = true
	case "connection":
		for _, token := range strings.Split(value, ",") {
			f.connectionClose = f.connectionClose || strings.EqualFold(strings.TrimSpace(token), "close")
		}
	case "expect":
		f.expectContinue = strings.EqualFold(value, "100-continue")
	}
	return nil
}

func (f *framingFields) framing() (framing, error) {
	switch {
	case f.hostCount > 1 || f.hostCount == 0 && !f.http10:
		return framing{}, fmt.Errorf("%w: missing or repeated Host", ErrMalformed)
	case f.chunked && (f.length >= 0 || f.http10):
		return framing{}, fmt.Errorf("%w: Transfer-Encoding conflicts with Content-Length or HTTP/1.0", ErrMalformed)
	}
	frame := framing{length: max(f.length, 0), close: f.connectionClose || f.http10, expectContinue: f.expectContinue}
	if f.chunked {
		frame.length = -1
	}
	return frame, nil
}

func isToken(text string) bool {
	if text == "" {
		return false
	}
	for _, c := range []byte(text) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return true
}

func isFieldValue(text string) bool {
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7F {
			return false
		}
	}
	return true
}
