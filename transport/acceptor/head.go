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

// Errors of request heads.
var (
	// ErrMalformed means that a head is not one request in the protocol, so that
	// what follows it on the connection can't be told apart either.
	ErrMalformed = eris.New("request head is malformed")
	// ErrHeadTooLong means that a head is longer than the limits allow.
	ErrHeadTooLong = eris.New("request head is too long")
)

// framing says where a request's body ends.
type framing struct {
	// length is that of the body in bytes, -1 if it is chunked.
	length int64
	// close is set if the connection ends with this request.
	close bool
	// expects is set if the caller waits for a word before it sends the body.
	expects bool
}

// readHead waits for a whole head, checks it byte by byte, and parses it.
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

// peekHead returns the bytes up to the empty line, without taking them.
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

// checkHead refuses whatever two readers could understand in two ways.
func checkHead(raw []byte) (framing, error) {
	lines := strings.Split(strings.TrimSuffix(string(raw), "\r\n\r\n"), "\r\n")
	if err := checkRequestLine(lines[0]); err != nil {
		return framing{}, err
	}
	fields := fields{oldProtocol: strings.HasSuffix(lines[0], "HTTP/1.0"), length: -1}
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return framing{}, fmt.Errorf("%w: odd header line", ErrMalformed)
		}
		if err := fields.take(strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return framing{}, err
		}
	}
	return fields.framing()
}

func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !strings.HasPrefix(parts[1], "/") {
		return fmt.Errorf("%w: odd request line", ErrMalformed)
	}
	if parts[2] != consts.HTTP11 && parts[2] != consts.HTTP10 {
		return fmt.Errorf("%w: unknown protocol version", ErrMalformed)
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c == 0x7F {
			return fmt.Errorf("%w: odd request target", ErrMalformed)
		}
	}
	return nil
}

// fields gathers the header fields that frame a request.
type fields struct {
	oldProtocol bool
	hosts       int
	// length is -1 until a Content-Length was seen.
	length  int64
	chunked bool
	closes  bool
	expects bool
}

func (f *fields) take(name, value string) error {
	switch name {
	case "host":
		f.hosts++
	case "content-length":
		length, err := strconv.ParseUint(value, 10, 62)
		if err != nil || f.length >= 0 || strings.HasPrefix(value, "+") {
			return fmt.Errorf("%w: odd Content-Length", ErrMalformed)
		}
		f.length = int64(length)
	case "transfer-encoding":
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return fmt.Errorf("%w: odd Transfer-Encoding", ErrMalformed)
		}
		f.chunked = true
	case "connection":
		for _, token := range strings.Split(value, ",") {
			f.closes = f.closes || strings.EqualFold(strings.TrimSpace(token), "close")
		}
	case "expect":
		f.expects = strings.EqualFold(value, "100-continue")
	}
	return nil
}

func (f *fields) framing() (framing, error) {
	switch {
	case f.hosts > 1 || f.hosts == 0 && !f.oldProtocol:
		return framing{}, fmt.Errorf("%w: not exactly one Host", ErrMalformed)
	case f.chunked && (f.length >= 0 || f.oldProtocol):
		return framing{}, fmt.Errorf("%w: conflicting lengths", ErrMalformed)
	}
	frame := framing{length: max(f.length, 0), close: f.closes || f.oldProtocol, expects: f.expects}
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
