package deliverer

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// maxForeign bounds the answers to other requests that are skipped.
const maxForeign = 3

// Lengths of a body that are not a number of bytes.
const (
	lengthChunked = -1
	// lengthOpen is that of a body that ends with its connection.
	lengthOpen = -2
)

// Exchange is one request at the backend server and its answer.
type Exchange struct {
	deliverer *Deliverer
	conn      *connection
	judge     Judge
	Response  *protocol.Response
	// body reads the rest of the answer.
	body io.Reader
	// stop ends the watch over the context.
	stop func() bool
	// whole is set once the body was read to its end.
	whole bool
	left  int64
	// length is that of the body in bytes, lengthChunked or lengthOpen.
	length int64
	// idle is how long the server keeps the connection.
	idle time.Duration
	// written is closed once the request was written, with its error in writeErr.
	written  chan struct{}
	writeErr error
}

// run writes the request while it waits for the answer, since a server may
// answer before it has read a long body.
func (e *Exchange) run(request *protocol.Request, sent func()) error {
	if request.IsBodyStream() {
		go e.write(request)
	} else {
		e.write(request)
		if e.writeErr != nil {
			return fmt.Errorf("sending the request: %w", e.writeErr)
		}
	}
	sent()
	if err := e.readHead(request.Header.IsHead()); err != nil {
		select {
		case <-e.written:
			err = errors.Join(err, e.writeErr)
		default:
		}
		return err
	}
	return nil
}

func (e *Exchange) write(request *protocol.Request) {
	defer close(e.written)
	if e.writeErr = req.Write(request, e.conn.writer); e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
}

// readHead reads the head of the answer that is due and skips foreign ones.
func (e *Exchange) readHead(headOnly bool) error {
	for range maxForeign {
		if err := resp.ReadHeaders(e.Response, e.conn.reader); err != nil {
			return fmt.Errorf("reading the answer's head: %w", err)
		}
		foreign, idle := e.judge(&e.Response.Header)
		e.idle = idle
		e.openBody(headOnly)
		if !foreign {
			return nil
		}
		if e.length == lengthOpen {
			break
		}
		if _, err := io.Copy(io.Discard, e); err != nil {
			return fmt.Errorf("skipping an answer to another request: %w", err)
		}
		e.Response.Reset()
		e.whole = false
	}
	return ErrForeign
}

func (e *Exchange) openBody(headOnly bool) {
	if headOnly || e.Response.MustSkipBody() {
		e.whole = true
		e.length = 0
		return
	}
	e.length = int64(e.Response.Header.ContentLength())
	e.left = e.length
	e.whole = e.length == 0
	switch e.length {
	case lengthChunked:
		e.body = ext.AcquireBodyStream(&bytebufferpool.ByteBuffer{}, e.conn.reader, &protocol.Trailer{}, lengthChunked)
	default:
		e.body = e.conn.reader
	}
}

// Length returns the body's length in bytes, -1 if it is not told ahead.
func (e *Exchange) Length() int64 { return max(e.length, lengthChunked) }

// Complete tells whether the body was read to its true end.
func (e *Exchange) Complete() bool { return e.whole }

// Read reads the body. It returns io.EOF only at the body's true end.
func (e *Exchange) Read(buffer []byte) (int, error) {
	if e.whole {
		return 0, io.EOF
	}
	if e.left >= 0 && int64(len(buffer)) > e.left {
		buffer = buffer[:e.left]
	}
	n, err := e.body.Read(buffer)
	ended := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if e.left >= 0 {
		e.left -= int64(n)
		e.whole = e.left == 0
	} else {
		e.whole = ended
	}
	switch {
	case e.whole:
		return n, io.EOF
	case ended:
		return n, io.ErrUnexpectedEOF
	case err != nil:
		return n, fmt.Errorf("reading the answer's body: %w", err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept only if request and answer
// were carried to their ends and the server will take another request on it.
func (e *Exchange) Close() {
	stopped := e.stop()
	if stopped && e.reusable() {
		idle := e.idle
		if idle == 0 {
			idle = defaultIdle
		}
		e.conn.until = time.Now().Add(time.Duration(idleShare * float64(idle)))
		e.deliverer.put(e.conn)
	} else {
		_ = e.conn.raw.Close()
	}
	<-e.written
	protocol.ReleaseResponse(e.Response)
}

func (e *Exchange) reusable() bool {
	select {
	case <-e.written:
	default:
		return false
	}
	return e.writeErr == nil && e.whole && e.length != lengthOpen &&
		!e.Response.ConnectionClose() && e.conn.reader.Buffered() == 0
}
