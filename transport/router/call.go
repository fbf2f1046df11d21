package router

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// call is one request of a caller.
type call struct {
	id       string
	began    clocker.Instant
	patience time.Duration
	method   string
	uri      string
	headers  []*messenger.Header
	// body is the whole body if long is nil.
	body []byte
	// long reads a body too long to be kept. It can be read once.
	long io.Reader
	// length is that of the body in bytes, -1 if it was not told.
	length     int64
	route      cataloger.Route
	routeHash  uint64
	service    cataloger.Service
	policy     cataloger.Policy
	idempotent bool
	key        string
	keyMs      int64
	// bound is set if key is a bound key.
	bound    claimer.BoundKey
	caller   uint64
	conn     net.Conn
	attempts int
	// unread is set while bytes of the body may still be on the connection.
	unread bool
}

// deadline is when the caller's patience ends.
func (c *call) deadline() clocker.Instant {
	return c.began.Add(c.patience)
}

var errTooLong = eris.New("request body is longer than the service takes")

// readBody keeps a short body, and leaves a longer one to be read on the way.
func (c *call) readBody(ctx *app.RequestContext) *refusal {
	c.length = int64(ctx.Request.Header.ContentLength())
	if c.length > c.service.MaxBodyBytes {
		return notRun(consts.StatusRequestEntityTooLarge, "BodyTooLarge")
	}
	stream := ctx.RequestBodyStream()
	if c.length == 0 || c.length < -1 || stream == nil {
		c.length = 0
		c.unread = false
		return nil
	}
	first := make([]byte, firstSize(c.length))
	n, err := readUpTo(limited(stream, c.length), first)
	c.body = first[:n]
	switch {
	case int64(n) == c.length, c.length < 0 && errors.Is(err, io.EOF):
		return c.keepShort()
	case err != nil:
		return notRun(consts.StatusBadRequest, "HalfRequest")
	}
	rest := io.MultiReader(bytes.NewReader(c.body), limited(stream, c.rest(n)))
	c.long = &boundedReader{reader: rest, left: c.service.MaxBodyBytes}
	c.body = nil
	return nil
}

func (c *call) keepShort() *refusal {
	c.unread = false
	c.length = int64(len(c.body))
	if c.length > c.service.MaxBodyBytes {
		return notRun(consts.StatusRequestEntityTooLarge, "BodyTooLarge")
	}
	return nil
}

// readUpTo fills the buffer and returns the reader's own error if it ends before.
func readUpTo(reader io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		read, err := reader.Read(buffer[n:])
		n += read
		if err != nil {
			return n, err //nolint:wrapcheck // io.Reader returns io.EOF as it is
		}
	}
	return n, nil
}

func (c *call) rest(n int) int64 {
	if c.length < 0 {
		return -1
	}
	return c.length - int64(n)
}

func firstSize(length int64) int64 {
	if length < 0 || length > ShortBodyBytes {
		return ShortBodyBytes
	}
	return length
}

// limited keeps a reader from running into the next request on the connection.
func limited(reader io.Reader, length int64) io.Reader {
	if length < 0 {
		return reader
	}
	return io.LimitReader(reader, length)
}

// boundedReader fails once more than left bytes were read.
type boundedReader struct {
	reader io.Reader
	left   int64
}

// Read returns errTooLong instead of bytes above the bound.
func (b *boundedReader) Read(buffer []byte) (int, error) {
	n, err := b.reader.Read(buffer)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errTooLong
	}
	return n, err //nolint:wrapcheck // io.Reader returns io.EOF as it is
}

// headersOf returns the fields that go on to the backend server.
func headersOf(c *app.RequestContext, request *call) []*messenger.Header {
	named := connectionTokens(string(c.GetHeader("Connection")))
	var headers []*messenger.Header
	c.Request.Header.VisitAll(func(name, value []byte) {
		lower := strings.ToLower(string(name))
		if hopByHop(lower) || named[lower] {
			return
		}
		headers = append(headers, &messenger.Header{Name: string(name), Value: string(value)})
	})
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err == nil {
		headers = append(headers, &messenger.Header{Name: "X-Forwarded-For", Value: host})
	}
	return append(headers, &messenger.Header{Name: answerer.HeaderRequestID, Value: request.id})
}

func connectionTokens(field string) map[string]bool {
	tokens := map[string]bool{}
	for _, token := range strings.Split(field, ",") {
		tokens[strings.ToLower(strings.TrimSpace(token))] = true
	}
	return tokens
}

// hopByHop tells whether a field concerns one connection only or is replaced.
func hopByHop(lower string) bool {
	switch lower {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
		"upgrade", "content-length", "expect",
		strings.ToLower(answerer.HeaderRequestID), strings.ToLower(answerer.HeaderServerDeadline):
		return true
	}
	return false
}
