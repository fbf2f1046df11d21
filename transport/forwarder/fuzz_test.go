package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"regexp"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

// soundHead matches the head of a final answer, with interim answers before it.
var soundHead = func() *regexp.Regexp {
	const (
		text   = `[^\x00-\x08\x0a-\x1f\x7f]*`
		reason = `(?: ` + text + `)?\r\n`
		fields = "(?:[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:" + text + `\r\n)*\r\n`
		begin  = `(?:\r\n)*HTTP/1\.[01] `
	)
	return regexp.MustCompile(`^(?:` + begin + `1[0-9][0-9]` + reason + fields + `)*` + begin + `[2-5][0-9][0-9]` + reason + fields)
}()

// FuzzAnswer lets a server send any bytes. The exchange must end, without a panic, a body that
// is cut off must not look whole, and an answer must have a head that can be read in one way.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 x\r\nConnection: close\r\n\r\nfull",
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	} {
		f.Add([]byte(seed))
	}
	answers := make(chan []byte, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, ok := readRequest(bufio.NewReader(conn)); ok {
				_, _ = conn.Write(<-answers)
			}
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, answer []byte) {
		sender := forwarder.New(0, silence)
		sender.SetAddress(listener.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		answers <- answer
		request := &protocol.Request{}
		request.Header.SetHost("x")
		request.Header.SetRequestURI("/a")
		exchange, err := sender.Send(ctx, request, inspectID("a"), func() {})
		if err != nil {
			return
		}
		defer exchange.Close()
		require.Regexp(t, soundHead, string(answer))
		_, err = io.Copy(io.Discard, exchange)
		require.Equal(t, err == nil, exchange.Complete())
		require.GreaterOrEqual(t, exchange.Response.StatusCode(), 200)
	})
}
