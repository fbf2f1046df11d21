package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

const testTimeout = 10 * time.Second

// server runs a scripted handler for each connection.
// silence is longer than any exchange of these tests.
const silence = 30 * time.Second

type server struct {
	t        *testing.T
	listener net.Listener
	// connections holds the accepted connections. Tests check its length after the
	// exchanges.
	connections chan net.Conn
}

func serve(t *testing.T, script func(conn net.Conn, in *bufio.Reader)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{t: t, listener: listener, connections: make(chan net.Conn, 10)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections <- conn
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return s
}

func readRequest(in *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(in)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request, err == nil
}

func (s *server) forwarder() *forwarder.Forwarder {
	f := forwarder.New(4, silence)
	f.SetAddress(s.listener.Addr().String())
	return f
}

// inspectID skips answers whose Id field names another request.
func inspectID(id string) forwarder.HeadInspector {
	return func(header *protocol.ResponseHeader) (bool, time.Duration) {
		got := string(header.Peek("Id"))
		return got != "" && got != id, 0
	}
}

func send(t *testing.T, f *forwarder.Forwarder, id string, body io.Reader, length int) (*forwarder.Exchange, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	request := &protocol.Request{}
	request.SetMethod("POST")
	request.Header.SetHost("x")
	request.Header.SetRequestURI("/" + id)
	if body != nil {
		request.SetBodyStream(body, length)
	}
	return f.Send(ctx, request, inspectID(id), func() {})
}

func requireBody(t *testing.T, f *forwarder.Forwarder, id, want string) {
	t.Helper()
	exchange, err := send(t, f, id, nil, 0)
	require.NoError(t, err)
	got, err := io.ReadAll(exchange)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
	exchange.Close()
}

func TestIdleConnections(t *testing.T) {
	t.Run("AreUsedAgain", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, in *bufio.Reader) {
			for {
				request, ok := readRequest(in)
				if !ok {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+request.URL.Path)
			}
		})
		f := s.forwarder()
		requireBody(t, f, "a", "/a")
		requireBody(t, f, "b", "/b")
		require.Len(t, s.connections, 1)
	})
	t.Run("AreDroppedWithBytesLeftOver", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, in *bufio.Reader) {
			for {
				request, ok := readRequest(in)
				if !ok {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+request.URL.Path+"surplus")
			}
		})
		f := s.forwarder()
		requireBody(t, f, "a", "/a")
		requireBody(t, f, "b", "/b")
		require.Len(t, s.connections, 2)
	})
}

func TestAnswersToOtherRequestsAreSkipped(t *testing.T) {
	s := serve(t, func(conn net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); !ok {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"+
			"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nright")
		_, _ = in.ReadByte()
	})
	requireBody(t, s.forwarder(), "a", "right")
}

// TestRepeatedRefusalsAreSkipped guards against "not run" for a request that a server runs, when
// the server writes an earlier refusal once more on a kept connection.
func TestRepeatedRefusalsAreSkipped(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: a\r\nRefused: 1\r\nContent-Length: 4\r\n\r\nfull"
	s := serve(t, func(conn net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			_, _ = io.WriteString(conn, refusal)
		}
		if _, ok := readRequest(in); ok {
			_, _ = io.WriteString(conn, refusal+"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 3\r\n\r\nran")
		}
	})
	f := s.forwarder()
	requireBody(t, f, "a", "full")
	requireBody(t, f, "b", "ran")
	require.Len(t, s.connections, 1, "both requests used one connection")
}

func TestBodiesThatEndWithTheConnection(t *testing.T) {
	s := serve(t, func(conn net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nall of it")
		}
	})
	f := s.forwarder()
	requireBody(t, f, "a", "all of it")
	requireBody(t, f, "b", "all of it")
}

func TestCutAnswersNeverLookWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"ByLength":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf",
		"ByChunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"LastChunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); ok {
					_, _ = io.WriteString(conn, answer)
				}
			})
			exchange, err := send(t, s.forwarder(), "a", nil, 0)
			require.NoError(t, err)
			defer exchange.Close()
			_, err = io.ReadAll(exchange)
			require.Error(t, err)
			require.False(t, exchange.Complete())
		})
	}
	t.Run("ByReset", func(t *testing.T) {
		s := serve(t, func(conn net.Conn, in *bufio.Reader) {
			if _, ok := readRequest(in); ok {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		exchange, err := send(t, s.forwarder(), "a", nil, 0)
		if err != nil {
			return
		}
		defer exchange.Close()
		_, err = io.ReadAll(exchange)
		require.Error(t, err)
	})
}

// TestResetAnswersToUploadsNeverLookWhole guards against a part of an answer that is taken for
// all of it, because the reset of the connection was reported to the writer of the upload.
func TestResetAnswersToUploadsNeverLookWhole(t *testing.T) {
	const part = 1 << 20
	// answer starts an upload and returns its exchange once the start of the answer was read.
	answer := func(
		t *testing.T, end func(conn *net.TCPConn, in *bufio.Reader),
	) (*forwarder.Exchange, *io.PipeWriter, chan struct{}) {
		ending := make(chan struct{})
		s := serve(t, func(conn net.Conn, in *bufio.Reader) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				<-ending
				end(conn.(*net.TCPConn), in)
			}
		})
		upload, feed := io.Pipe()
		exchange, err := send(t, s.forwarder(), "a", upload, part)
		require.NoError(t, err)
		_, err = io.ReadFull(exchange, make([]byte, len("part")))
		require.NoError(t, err)
		return exchange, feed, ending
	}
	t.Run("Reset", func(t *testing.T) {
		exchange, feed, ending := answer(t, func(conn *net.TCPConn, _ *bufio.Reader) { _ = conn.SetLinger(0) })
		close(ending)
		// The writer meets the reset before the connection is read again.
		go func() { _, _ = io.WriteString(feed, strings.Repeat("x", part)) }()
		time.Sleep(100 * time.Millisecond)
		_, err := io.ReadAll(exchange)
		require.Error(t, err)
		require.False(t, exchange.Complete())
		_ = feed.CloseWithError(io.ErrUnexpectedEOF)
		exchange.Close()
	})
	t.Run("Closed", func(t *testing.T) {
		exchange, feed, ending := answer(t, func(conn *net.TCPConn, in *bufio.Reader) {
			_ = conn.CloseWrite()
			_, _ = io.CopyN(io.Discard, in, part)
		})
		close(ending)
		go func() {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(feed, strings.Repeat("x", part))
		}()
		_, err := io.ReadAll(exchange)
		require.NoError(t, err)
		require.True(t, exchange.Complete())
		exchange.Close()
	})
}

// TestHeadsThatEndEarlyAreNoAnswer guards against a success with an empty or short body for a
// server that stopped in the middle of its answer's head and closed.
func TestHeadsThatEndEarlyAreNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"ByLength": "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nContent-Length: 20\r\n\r\n",
		"ByChunks": "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"ByClose":  "HTTP/1.1 200 OK\r\nId: a\r\nSeal: x\r\nConnection: close\r\n\r\n",
		"BareLF":   "HTTP/1.1 200 OK\nId: a\nSeal: x\nContent-Length: 20\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(head) {
				s := serve(t, func(conn net.Conn, in *bufio.Reader) {
					if _, ok := readRequest(in); ok {
						_, _ = io.WriteString(conn, head[:cut])
					}
				})
				exchange, err := send(t, s.forwarder(), "a", nil, 0)
				if err == nil {
					exchange.Close()
				}
				require.Error(t, err, "head ends after %q", head[:cut])
			}
		})
	}
}

// TestInvalidStatusLinesAreNoAnswer guards against a success for an answer whose status is 000.
func TestInvalidStatusLinesAreNoAnswer(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK", "garbage 200 OK", "200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); ok {
					_, _ = io.WriteString(conn, line+"\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			exchange, err := send(t, s.forwarder(), "a", nil, 0)
			if err == nil {
				exchange.Close()
			}
			require.Error(t, err)
		})
	}
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.0 200 OK", "\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
	} {
		t.Run("Valid"+line, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, in *bufio.Reader) {
				if _, ok := readRequest(in); ok {
					_, _ = io.WriteString(conn, line+"\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			requireBody(t, s.forwarder(), "a", "ok")
		})
	}
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	s := serve(t, func(conn net.Conn, in *bufio.Reader) {
		_, err := http.ReadRequest(in)
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nearly")
		}
		_, _ = io.Copy(io.Discard, in)
	})
	f := s.forwarder()
	stalled, feed := io.Pipe()
	go func() { _, _ = io.WriteString(feed, strings.Repeat("x", 1000)) }()
	exchange, err := send(t, f, "a", stalled, 1<<20)
	require.NoError(t, err, "the answer is read before the body is sent")
	require.Equal(t, http.StatusRequestEntityTooLarge, exchange.Response.StatusCode())
	_ = feed.CloseWithError(io.ErrUnexpectedEOF)
	exchange.Close()
	exchange, err = send(t, f, "b", strings.NewReader("y"), 1)
	require.NoError(t, err)
	exchange.Close()
	require.Len(t, s.connections, 2, "a connection with a partly sent body is not reused")
}

// TestTruncatedUploadsNeverLookWhole guards against servers that run an upload of which they
// got a part, and against servers that wait for the rest of one.
func TestTruncatedUploadsNeverLookWhole(t *testing.T) {
	const part = 700_000
	lost := fmt.Errorf("the stream of the router: %w", io.EOF)
	for _, c := range []struct {
		name   string
		length int
		end    error
		whole  bool
	}{
		{"InChunks", -1, io.EOF, true},
		{"ByLength", part, io.EOF, true},
		{"InChunksReset", -1, errors.New("canceled"), false},
		{"InChunksLost", -1, lost, false},
		{"ByLengthReset", part + 1, errors.New("canceled"), false},
		{"ByLengthLost", part + 1, lost, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			received := make(chan error, 1)
			s := serve(t, func(conn net.Conn, in *bufio.Reader) {
				request, err := http.ReadRequest(in)
				if err == nil {
					_, err = io.Copy(io.Discard, request.Body)
				}
				received <- err
				if err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", part)), iotest.ErrReader(c.end))
			started := time.Now()
			exchange, err := send(t, s.forwarder(), "a", body, c.length)
			require.Less(t, time.Since(started), testTimeout, "the exchange ended by its time limit")
			if c.whole {
				require.NoError(t, err)
				exchange.Close()
				require.NoError(t, <-received)
				return
			}
			require.Error(t, err)
			require.ErrorIs(t, <-received, io.ErrUnexpectedEOF)
		})
	}
}

func TestUnreachableServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	f := forwarder.New(1, silence)
	f.SetAddress(address)
	_, err = send(t, f, "a", nil, 0)
	require.ErrorIs(t, err, forwarder.ErrNotSent)
}
