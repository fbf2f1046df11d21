package acceptor

import (
	"fmt"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/foxtailhall/foxtailhall/transport/framer"
	"github.com/foxtailhall/foxtailhall/transport/reader"
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

// readHead waits for a complete head, validates it and parses it. It rejects whatever two HTTP
// implementations could interpret differently, which would allow request smuggling.
func readHead(in *reader.Reader, limit int, header *protocol.RequestHeader) (framing, error) {
	fields, _, err := framer.PeekHead(in, limit, checkRequestLine, nil)
	if err != nil {
		return framing{}, fmt.Errorf("reading a request head: %w", err)
	}
	if fields.Hosts > 1 || fields.Hosts == 0 && !fields.HTTP10 {
		return framing{}, fmt.Errorf("%w: missing or repeated Host", framer.ErrMalformed)
	}
	if err := req.ReadHeader(header, in); err != nil {
		return framing{}, fmt.Errorf("parsing a request head: %w: %w", framer.ErrMalformed, err)
	}
	frame := framing{
		length: max(fields.Length, 0), close: fields.Close || fields.HTTP10,
		expectContinue: fields.ExpectContinue && !fields.HTTP10,
	}
	if fields.Chunked {
		frame.length = framer.LengthChunked
	}
	return frame, nil
}

// checkRequestLine validates a request line and reports whether it names HTTP/1.0.
func checkRequestLine(line []byte) (http10 bool, err error) {
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 || !framer.IsToken([]byte(parts[0])) || !strings.HasPrefix(parts[1], "/") {
		return false, fmt.Errorf("%w: invalid request line", framer.ErrMalformed)
	}
	if parts[2] != consts.HTTP11 && parts[2] != consts.HTTP10 {
		return false, fmt.Errorf("%w: unsupported protocol version", framer.ErrMalformed)
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c == 0x7F {
			return false, fmt.Errorf("%w: invalid request target", framer.ErrMalformed)
		}
	}
	return parts[2] == consts.HTTP10, nil
}
