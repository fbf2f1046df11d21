package framer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
)

// Fields is what the header fields of a head say about the body and the connection.
type Fields struct {
	// HTTP10 is set for messages of HTTP/1.0, which have no chunks.
	HTTP10 bool
	// Length is the value of Content-Length, -1 without it.
	Length int64
	// Chunked is set by Transfer-Encoding. Length is then -1.
	Chunked bool
	// Close and KeepAlive are set if Connection says so.
	Close     bool
	KeepAlive bool
	// Hosts counts the Host fields.
	Hosts int
	// ExpectContinue is set if the sender waits for 100 Continue before it sends the body.
	ExpectContinue bool
	// paddedLength is set if the value of Content-Length has leading zeros.
	paddedLength bool
	// contentTypes and contentEncodings count the fields of these names.
	contentTypes, contentEncodings int
}

// check rejects two lengths of one body.
func (f *Fields) check() error {
	if f.Chunked && (f.Length >= 0 || f.HTTP10) {
		return fmt.Errorf("%w: Transfer-Encoding conflicts with Content-Length or HTTP/1.0", ErrMalformed)
	}
	return nil
}

func (f *Fields) parseLine(line []byte, visit Visitor) error {
	end := tokenLength(line)
	if end == 0 || end == len(line) || line[end] != ':' || !isFieldValue(line[end+1:]) {
		return fmt.Errorf("%w: invalid header line %.100q", ErrMalformed, line)
	}
	name, value := line[:end], trim(line[end+1:])
	if err := f.parse(name, value); err != nil {
		return err
	}
	if visit != nil {
		visit(name, value)
	}
	return nil
}

var comma = []byte(",")

// framingNames holds the names of the fields that concern the framing, by their length.
var framingNames = [...]string{
	4: "Host", 6: "Expect", 10: "Connection", 12: "Content-Type", 14: "Content-Length", 16: "Content-Encoding",
	17: "Transfer-Encoding",
}

// parse reads the fields that concern the framing.
func (f *Fields) parse(name, value []byte) error {
	if len(name) >= len(framingNames) || !isName(name, framingNames[len(name)]) {
		return nil
	}
	switch framingNames[len(name)] {
	case "Host":
		f.Hosts++
	case "Expect":
		f.ExpectContinue = isName(value, "100-continue")
	case "Connection":
		f.parseConnection(value)
	case "Content-Type":
		f.contentTypes++
	case "Content-Encoding":
		f.contentEncodings++
	case "Content-Length":
		return f.parseLength(value)
	case "Transfer-Encoding":
		return f.parseTransferEncoding(value)
	}
	return nil
}

// isName compares names, and values of the same kind, regardless of case.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// trim returns a value without the blanks around it.
func trim(value []byte) []byte {
	for len(value) > 0 && isBlank(value[0]) {
		value = value[1:]
	}
	for len(value) > 0 && isBlank(value[len(value)-1]) {
		value = value[:len(value)-1]
	}
	return value
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func (f *Fields) parseConnection(options []byte) {
	for more := true; more; {
		var option []byte
		option, options, more = bytes.Cut(options, comma)
		option = trim(option)
		f.Close = f.Close || isName(option, "close")
		f.KeepAlive = f.KeepAlive || isName(option, "keep-alive")
	}
}

// maxLengthDigits bounds Content-Length far above any body, so that sums of lengths don't
// overflow.
const maxLengthDigits = 18

// parseLength takes digits only: recipients differ in what else they take for a number.
func (f *Fields) parseLength(value []byte) error {
	if len(value) == 0 || len(value) > maxLengthDigits || f.Length >= 0 {
		return fmt.Errorf("%w: invalid or repeated Content-Length", ErrMalformed)
	}
	length := int64(0)
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return fmt.Errorf("%w: Content-Length is no number", ErrMalformed)
		}
		length = length*10 + int64(digit-'0')
	}
	f.Length, f.paddedLength = length, len(value) > 1 && value[0] == '0'
	return nil
}

func (f *Fields) parseTransferEncoding(value []byte) error {
	if f.Chunked || !isName(value, "chunked") {
		return fmt.Errorf("%w: unsupported or repeated Transfer-Encoding", ErrMalformed)
	}
	f.Chunked = true
	return nil
}

const (
	// token marks the bytes of which names consist, and text those of values.
	token = 1 << iota
	text
)

// classes holds the classes of each byte.
var classes = func() (classes [256]uint8) {
	for c := range classes {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if letter || strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0 {
			classes[c] |= token
		}
		if c >= ' ' && c != 0x7F || c == '\t' {
			classes[c] |= text
		}
	}
	return classes
}()

// IsToken reports whether a text can be the name of a field.
func IsToken(name []byte) bool { return len(name) > 0 && tokenLength(name) == len(name) }

// tokenLength returns how many bytes at the begin of a line can be those of a name.
func tokenLength(line []byte) int {
	for i, c := range line {
		if classes[c]&token == 0 {
			return i
		}
	}
	return len(line)
}

// IsField reports whether a name and a value can stand in a head.
func IsField(name, value string) bool {
	for i := range len(name) {
		if classes[name[i]]&token == 0 {
			return false
		}
	}
	for i := range len(value) {
		if classes[value[i]]&text == 0 {
			return false
		}
	}
	return name != ""
}

// isFieldValue reports whether a text can be the value of a field: it has no control bytes.
func isFieldValue(value []byte) bool {
	for ; len(value) >= wordBytes; value = value[wordBytes:] {
		if mayHaveControl(binary.LittleEndian.Uint64(value)) && !isText(value[:wordBytes]) {
			return false
		}
	}
	return isText(value)
}

func isText(value []byte) bool {
	for _, c := range value {
		if classes[c]&text == 0 {
			return false
		}
	}
	return true
}

const (
	wordBytes = 8
	// ones and highBits have the lowest and the highest bit of each byte of a word set.
	ones     = 0x0101010101010101
	highBits = 0x8080808080808080
)

// mayHaveControl reports whether a word may have a control byte: a byte below ' ' or DEL. It
// never misses one.
func mayHaveControl(word uint64) bool {
	toDelete := word ^ 0x7F*ones
	return ((word-' '*ones)&^word|(toDelete-ones)&^toDelete)&highBits != 0
}
