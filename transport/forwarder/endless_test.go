package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"
)

// endless is a server that sends start and then repeats part until the caller closes
// the connection. It reports the number of repeated bytes on sent.
func endless(start, part string, sent chan<- int) func(conn net.Conn, in *bufio.Reader) {
	return func(conn net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); !ok {
			return
		}
		block := strings.Repeat(part, max(1, 4096/len(part)))
		_, err := io.WriteString(conn, start)
		total := 0
		for err == nil {
			var n int
			n, err = io.WriteString(conn, block)
			total += n
		}
		sent <- total
	}
}

// maxEndlessBytes bounds what is read of an answer that is no answer: the longest head,
// or what is skipped of a body, beside the buffers of the sockets.
const maxEndlessBytes = 16 << 20

// requireGivenUp sends a request to an endless server and asserts that it fails by
// itself, long before the deadline, after a bounded number of bytes.
func requireGivenUp(t *testing.T, start, part string) {
	t.Helper()
	sent := make(chan int, 1)
	f := serve(t, endless(start, part, sent)).forwarder()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	failed := make(chan error, 1)
	go func() {
		request := &protocol.Request{}
		request.Header.SetHost("x")
		request.Header.SetRequestURI("/a")
		exchange, err := f.Send(ctx, request, inspectID("a"), func() {})
		if err == nil {
			_, err = io.Copy(io.Discard, exchange)
			exchange.Close()
		}
		failed <- err
	}()
	select {
	case err := <-failed:
		require.Error(t, err)
	case <-time.After(testTimeout):
		require.FailNow(t, "the exchange goes on")
	}
	require.Less(t, <-sent, maxEndlessBytes)
}

func TestEndlessBytesAreGivenUp(t *testing.T) {
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, server := range map[string][2]string{
		"HeaderFields":     {ok, "A: b\r\n"},
		"OneHeaderField":   {ok + "A: ", "b"},
		"StatusLine":       {"HTTP/1.1 200 ", "x"},
		"NoHTTP":           {"", "garbage"},
		"EmptyLines":       {"", "\r\n"},
		"InterimResponses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"ChunkSize":        {chunked, "0"},
		"ChunkExtension":   {chunked + "1;", "x"},
		"Trailer":          {chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
		"TrailerField":     {chunked + "1\r\nx\r\n0\r\nA: ", "b"},
		"OtherAnswers":     {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"OtherAnswersBody": {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"OtherAnswersLong": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			requireGivenUp(t, server[0], server[1])
		})
	}
}

// TestEndlessBodyEndsWithTheContext shows that a body without end is passed on in
// pieces, never looks whole, and ends with the context.
func TestEndlessBodyEndsWithTheContext(t *testing.T) {
	for name, start := range map[string]string{
		"UntilClose": "HTTP/1.1 200 OK\r\n\r\n",
		"Chunked":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int, 1)
			f := serve(t, endless(start, "1\r\nx\r\n", sent)).forwarder()
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			request := &protocol.Request{}
			request.Header.SetHost("x")
			request.Header.SetRequestURI("/a")
			exchange, err := f.Send(ctx, request, inspectID("a"), func() {})
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, exchange)
			require.Error(t, err)
			require.False(t, exchange.Complete())
			exchange.Close()
			require.Positive(t, <-sent)
		})
	}
}

func TestDrain(t *testing.T) {
	drained := func(t *testing.T, answer, repeated string) bool {
		sent := make(chan int, 2)
		s := serve(t, func(conn net.Conn, in *bufio.Reader) {
			if repeated != "" {
				endless(answer, repeated, sent)(conn, in)
				return
			}
			for {
				if _, ok := readRequest(in); !ok {
					return
				}
				_, _ = io.WriteString(conn, answer)
			}
		})
		f := s.forwarder()
		for range 2 {
			exchange, err := send(t, f, "a", nil, 0)
			require.NoError(t, err)
			started := time.Now()
			exchange.Drain()
			require.Less(t, time.Since(started), time.Second)
			exchange.Close()
		}
		return len(s.connections) == 1
	}
	t.Run("ShortBodyFreesTheConnection", func(t *testing.T) {
		require.True(t, drained(t, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nfull", ""))
	})
	t.Run("EndlessBodyEndsIt", func(t *testing.T) {
		require.False(t, drained(t, "HTTP/1.1 503 Busy\r\n\r\n", "x"))
	})
	t.Run("MissingBodyEndsIt", func(t *testing.T) {
		require.False(t, drained(t, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\n", ""))
	})
}
