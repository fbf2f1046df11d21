package framer

import (
	"bytes"
	"fmt"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

// statusLineBytes is the length of a status line up to its status, and statusDigits that of
// the status.
const (
	statusLineBytes = len("HTTP/1.1 200")
	statusDigits    = len("200")
)

// MinStatus and MaxStatus bound the status of an answer, MinFinalStatus that of a final one.
const (
	MinStatus      = 100
	MinFinalStatus = 200
	MaxStatus      = 599
)

const (
	statusSwitching   = 101
	statusNoContent   = 204
	statusNotModified = 304
)

// Answer is the head of an answer.
type Answer struct {
	// Status is between MinStatus and MaxStatus.
	Status int
	Fields Fields
	// HeadBytes is the length of the head.
	HeadBytes int
}

// PeekAnswer waits for the whole head of an answer and reads it without consuming it. It passes
// the fields of a final answer to visit, also those before an error.
func PeekAnswer(in *reader.Reader, limit int, visit Visitor) (Answer, error) {
	if err := peekProtocol(in); err != nil {
		return Answer{}, err
	}
	answer := Answer{}
	start := func(line []byte) (http10 bool, err error) {
		answer.Status, http10, err = parseStatusLine(line)
		return http10, err
	}
	visitFinal := func(name, value []byte) {
		if visit != nil && !answer.Interim() {
			visit(name, value)
		}
	}
	var err error
	if answer.Fields, answer.HeadBytes, err = PeekHead(in, limit, start, visitFinal); err != nil {
		return Answer{}, err
	}
	return answer, answer.check()
}

// protocol begins each answer.
var protocol = []byte("HTTP/1.")

// peekProtocol fails as soon as a byte arrives that does not begin an answer: there may be no
// end of a line to wait for.
func peekProtocol(in *reader.Reader) error {
	for seen := 0; seen < len(protocol); {
		if _, err := in.Peek(seen + 1); err != nil {
			return fmt.Errorf("reading a status line: %w", err)
		}
		raw, _ := in.Peek(min(in.Buffered(), len(protocol)))
		if !bytes.HasPrefix(protocol, raw) {
			return fmt.Errorf("%w: no answer begins with %q", ErrMalformed, raw)
		}
		seen = len(raw)
	}
	return nil
}

// parseStatusLine reads a line such as "HTTP/1.1 200 OK". The reason phrase may be missing.
func parseStatusLine(line []byte) (status int, http10 bool, err error) {
	beforeStatus, ok := bytes.CutPrefix(line, protocol)
	if !ok || len(line) < statusLineBytes || len(line) > statusLineBytes && line[statusLineBytes] != ' ' {
		return 0, false, statusLineError(line)
	}
	minor := beforeStatus[0]
	if minor != '0' && minor != '1' || beforeStatus[1] != ' ' || !isFieldValue(line) {
		return 0, false, statusLineError(line)
	}
	for _, digit := range line[statusLineBytes-statusDigits : statusLineBytes] {
		if digit < '0' || digit > '9' {
			return 0, false, statusLineError(line)
		}
		status = status*10 + int(digit-'0')
	}
	if status < MinStatus || status > MaxStatus {
		return 0, false, statusLineError(line)
	}
	return status, minor == '0', nil
}

func statusLineError(line []byte) error {
	return fmt.Errorf("%w: invalid status line %.100q", ErrMalformed, line)
}

// check rejects an answer whose fields do not fit its status, stand twice though a recipient
// uses only one of them, or give a length that some read as an octal number.
func (a Answer) check() error {
	switch {
	case a.Fields.contentTypes > 1 || a.Fields.contentEncodings > 1:
		return fmt.Errorf("%w: repeated Content-Type or Content-Encoding", ErrMalformed)
	case a.Fields.paddedLength:
		return fmt.Errorf("%w: Content-Length with leading zeros", ErrMalformed)
	case a.Status == statusSwitching:
		return fmt.Errorf("%w: switch of protocols that was not asked for", ErrMalformed)
	case (a.Interim() || a.Status == statusNoContent) && (a.Fields.Chunked || a.Fields.Length > 0):
		return fmt.Errorf("%w: status %d with a body", ErrMalformed, a.Status)
	}
	return nil
}

// Interim reports whether the final answer is still to come.
func (a Answer) Interim() bool { return a.Status < MinFinalStatus }

// KeepsConnection reports whether the sender takes another request on the connection.
func (a Answer) KeepsConnection() bool {
	return !a.Fields.Close && (!a.Fields.HTTP10 || a.Fields.KeepAlive)
}

// BodyLength returns the length of the body in bytes, LengthChunked or LengthUntilClose.
// headOnly is set for the answer to a HEAD request.
func (a Answer) BodyLength(headOnly bool) int64 {
	switch {
	case headOnly || a.Interim() || a.Status == statusNoContent || a.Status == statusNotModified:
		return 0
	case a.Fields.Chunked:
		return LengthChunked
	case a.Fields.Length >= 0:
		return a.Fields.Length
	}
	return LengthUntilClose
}
