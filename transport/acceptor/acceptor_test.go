package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
)

// chunked is the head of a request with a chunked body.
const chunked = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

// testTimeout bounds each wait. No test depends on how long a wait takes.
const testTimeout = 10 * time.Second

// testServer is an acceptor whose handler can be blocked by path.
type testServer struct {
	t        testing.TB
	acceptor *acceptor.Acceptor
	address  string

	mu     sync.Mutex
	limits cataloger.Limits
	gates  map[string]chan struct{}
	bodies map[string]string
	// streamed holds the bodies of answers that are streamed, by path.
	streamed map[string]io.Reader
	canceled chan string
	started  chan string
	// ended receives the path of each streamed answer whose context has ended.
	ended chan string
}

func startServer(t testing.TB) *testServer {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{
		t: t, address: free.Addr().String(), limits: cataloger.DefaultLimits(),
		gates: map[string]chan struct{}{}, bodies: map[string]string{}, streamed: map[string]io.Reader{},
		canceled: make(chan string, 100), started: make(chan string, 100),
		ended: make(chan string, 100),
	}
	require.NoError(t, free.Close())
	s.acceptor = acceptor.New(s.address, acceptor.Dependencies{
		Memory: account(), MaxConnections: maxConnections, MaxRequests: maxRequests,

		Log: slog.New(slog.DiscardHandler), Limits: s.currentLimits, Handle: s.handle,
		Malformed: func(_ *protocol.RequestHeader, status int, reason string) *protocol.Response {
			return answer(status, reason)
		},
		Broken: func(*protocol.RequestHeader) *protocol.Response { return answer(http.StatusBadGateway, "Broken") },
	})
	require.NoError(t, s.acceptor.Listen())
	go func() { _ = s.acceptor.Run() }()
	t.Cleanup(s.acceptor.Close)
	return s
}

func (s *testServer) currentLimits() cataloger.Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits
}

func (s *testServer) setLimits(change func(*cataloger.Limits)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.limits)
}

// block makes requests for a path wait until the returned function is called.
func (s *testServer) block(path string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := make(chan struct{})
	s.gates[path] = gate
	return func() { close(gate) }
}

func answer(status int, body string) *protocol.Response {
	response := &protocol.Response{}
	response.SetStatusCode(status)
	response.SetBodyString(body)
	return response
}

func (s *testServer) handle(ctx context.Context, request *acceptor.Request) *protocol.Response {
	path := string(request.Header.RequestURI())
	body := string(request.Body)
	if request.Stream != nil {
		rest, err := io.ReadAll(request.Stream)
		if err != nil {
			return answer(http.StatusBadRequest, "Broken")
		}
		body = string(rest)
	}
	s.mu.Lock()
	gate, stream := s.gates[path], s.streamed[path]
	s.bodies[path] = body
	s.mu.Unlock()
	s.started <- path
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			s.canceled <- path
			return answer(http.StatusBadGateway, "Gone")
		}
	}
	if stream != nil {
		context.AfterFunc(ctx, func() { s.ended <- path })
		response := answer(http.StatusOK, "")
		response.SetBodyStream(stream, -1)
		return response
	}
	return answer(http.StatusOK, "to "+path)
}

func (s *testServer) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// requireNext waits for the path /a to be received from a channel.
func (s *testServer) requireNext(from chan string) {
	s.t.Helper()
	select {
	case got := <-from:
		require.Equal(s.t, "/a", got)
	case <-time.After(testTimeout):
		require.Fail(s.t, "no path received")
	}
}

func requireAnswer(t *testing.T, in *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, body, string(got))
	return response
}

func requireClosed(t *testing.T, in *bufio.Reader) {
	t.Helper()
	_, err := in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func get(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(append(fields, "", ""), "\r\n")
}

func TestPipelinedRequests(t *testing.T) {
	s := startServer(t)
	release := s.block("/slow")
	conn, in := s.dial()
	_, err := io.WriteString(conn, get("/slow")+get("/quick"))
	require.NoError(t, err)
	started := map[string]bool{<-s.started: true, <-s.started: true}
	require.Equal(t, map[string]bool{"/slow": true, "/quick": true}, started, "both run concurrently")
	release()
	requireAnswer(t, in, http.StatusOK, "to /slow")
	requireAnswer(t, in, http.StatusOK, "to /quick")
}

func TestCloseOfTheCallerEndsItsRequests(t *testing.T) {
	s := startServer(t)
	s.block("/a")
	conn, _ := s.dial()
	_, err := io.WriteString(conn, get("/a"))
	require.NoError(t, err)
	s.requireNext(s.started)
	require.NoError(t, conn.Close())
	s.requireNext(s.canceled)
}

func TestCloseAfterTheLastRequestIsSeen(t *testing.T) {
	s := startServer(t)
	s.block("/a")
	conn, _ := s.dial()
	_, err := io.WriteString(conn, get("/a", "Connection: close"))
	require.NoError(t, err)
	s.requireNext(s.started)
	require.NoError(t, conn.Close())
	s.requireNext(s.canceled)
}

func TestConnectionClose(t *testing.T) {
	s := startServer(t)
	conn, in := s.dial()
	_, err := io.WriteString(conn, get("/a", "Connection: close")+get("/never"))
	require.NoError(t, err)
	response := requireAnswer(t, in, http.StatusOK, "to /a")
	require.True(t, response.Close)
	requireClosed(t, in)
	require.NotContains(t, s.bodies, "/never", "a request after Connection: close is not read")
}

func TestIdleConnections(t *testing.T) {
	t.Run("AreClosed", func(t *testing.T) {
		s := startServer(t)
		s.setLimits(func(l *cataloger.Limits) { l.IdleTimeout = 50 * time.Millisecond })
		_, in := s.dial()
		requireClosed(t, in)
	})
	t.Run("AreKeptWhileARequestRuns", func(t *testing.T) {
		s := startServer(t)
		s.setLimits(func(l *cataloger.Limits) { l.IdleTimeout = 20 * time.Millisecond })
		release := s.block("/a")
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/a"))
		require.NoError(t, err)
		s.requireNext(s.started)
		time.Sleep(100 * time.Millisecond)
		release()
		requireAnswer(t, in, http.StatusOK, "to /a")
	})
}

func TestSlowHeadIsRefused(t *testing.T) {
	s := startServer(t)
	s.setLimits(func(l *cataloger.Limits) { l.HeaderTimeout = 50 * time.Millisecond })
	conn, in := s.dial()
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHos")
	require.NoError(t, err)
	requireAnswer(t, in, http.StatusRequestTimeout, "HeadTimeout")
	requireClosed(t, in)
}

func TestMalformedHeadsReachNoHandler(t *testing.T) {
	for name, head := range map[string]string{
		"TwoLengths":           "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"LengthAndChunks":      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"ChunkedTwice":         strings.Replace(chunked, "Host", "Transfer-Encoding: chunked\r\nHost", 1) + "0\r\n\r\n",
		"OtherEncoding":        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"SignedLength":         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc",
		"SpaceBeforeColon":     "GET /a HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc",
		"FoldedLine":           "GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
		"BareLineFeed":         "GET /a HTTP/1.1\nHost: x\r\n\r\n",
		"BareLineFeedInField":  "GET /a HTTP/1.1\r\nHost: x\r\nA: b\nContent-Length: 3\r\n\r\n",
		"NulInField":           "GET /a HTTP/1.1\r\nHost: x\r\nA: b\x00\r\n\r\n",
		"NoHost":               "GET /a HTTP/1.1\r\n\r\n",
		"TwoHosts":             "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"NoColon":              "GET /a HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n",
		"OtherProtocol":        "GET /a HTTP/3.0\r\nHost: x\r\n\r\n",
		"ThreeSpaces":          "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
		"AbsoluteTarget":       "GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n",
		"ChunksOfOldProtocol":  "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"ControlCharInTarget":  "GET /a\tb HTTP/1.1\r\nHost: x\r\n\r\n",
		"EmptyFieldName":       "GET /a HTTP/1.1\r\nHost: x\r\n: b\r\n\r\n",
		"ListedContentLengths": "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			conn, in := s.dial()
			_, err := io.WriteString(conn, head+get("/smuggled"))
			require.NoError(t, err)
			requireAnswer(t, in, http.StatusBadRequest, "MalformedHead")
			require.Empty(t, s.bodies)
		})
	}
}

func TestHeadTooLong(t *testing.T) {
	s := startServer(t)
	s.setLimits(func(l *cataloger.Limits) { l.HeaderBytes = 1024 })
	conn, in := s.dial()
	_, err := io.WriteString(conn, get("/a", "Long: "+strings.Repeat("x", 2000)))
	require.NoError(t, err)
	requireAnswer(t, in, http.StatusRequestHeaderFieldsTooLarge, "HeadTooLong")
}

func TestBodies(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", acceptor.MaxBufferedBodyBytes/8)
	t.Run("Buffered", func(t *testing.T) {
		requireBody(t, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "abc")
	})
	t.Run("Chunked", func(t *testing.T) {
		requireBody(t, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "abc")
	})
	t.Run("StreamedByLength", func(t *testing.T) {
		requireBody(t, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(long), long), long)
	})
	t.Run("StreamedInChunks", func(t *testing.T) {
		requireBody(t, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			len(long), long), long)
	})
	t.Run("BadChunkReachesNoHandler", func(t *testing.T) {
		s := startServer(t)
		conn, in := s.dial()
		_, err := io.WriteString(conn, chunked+"zz\r\nab\r\n0\r\n\r\n"+get("/b"))
		require.NoError(t, err)
		requireAnswer(t, in, http.StatusBadRequest, "HalfRequest")
		requireClosed(t, in)
		require.Empty(t, s.bodies)
	})
	t.Run("TooLong", func(t *testing.T) {
		s := startServer(t)
		s.setLimits(func(l *cataloger.Limits) { l.BodyBytes = 10 })
		conn, in := s.dial()
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n")
		require.NoError(t, err)
		requireAnswer(t, in, http.StatusRequestEntityTooLarge, "BodyTooLarge")
	})
	t.Run("ChunksTooLong", func(t *testing.T) {
		s := startServer(t)
		s.setLimits(func(l *cataloger.Limits) { l.BodyBytes = 3 })
		conn, in := s.dial()
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n")
		require.NoError(t, err)
		requireAnswer(t, in, http.StatusRequestEntityTooLarge, "BodyTooLarge")
	})
	t.Run("ContinueIsSentFirst", func(t *testing.T) {
		s := startServer(t)
		conn, in := s.dial()
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		require.NoError(t, err)
		line, err := in.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
		_, err = in.ReadString('\n')
		require.NoError(t, err)
		_, err = io.WriteString(conn, "abc")
		require.NoError(t, err)
		requireAnswer(t, in, http.StatusOK, "to /a")
	})
	t.Run("ContinueIsNotSentToHTTP10", func(t *testing.T) {
		s := startServer(t)
		conn, in := s.dial()
		_, err := io.WriteString(conn, "POST /a HTTP/1.0\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc")
		require.NoError(t, err)
		requireAnswer(t, in, http.StatusOK, "to /a")
	})
}

// requireBody checks the body of a request to /a that a handler receives, and that a
// second request on the same connection is answered.
func requireBody(t *testing.T, request, body string) {
	t.Helper()
	s := startServer(t)
	conn, in := s.dial()
	go func() { _, _ = io.WriteString(conn, request+get("/next")) }()
	requireAnswer(t, in, http.StatusOK, "to /a")
	requireAnswer(t, in, http.StatusOK, "to /next")
	require.Equal(t, body, s.bodies["/a"])
}

// TestTruncatedAnswersNeverLookWhole guards against answers of unknown length that end
// properly although their source failed.
func TestTruncatedAnswersNeverLookWhole(t *testing.T) {
	const part = 200_000
	source := func(end error) io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", part)), iotest.ErrReader(end))
	}
	t.Run("Whole", func(t *testing.T) {
		s := startServer(t)
		s.streamed["/long"] = source(io.EOF)
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/long")+get("/next"))
		require.NoError(t, err)
		response, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, body, part)
		requireAnswer(t, in, http.StatusOK, "to /next")
	})
	for _, cause := range []error{errors.New("reset"), fmt.Errorf("the stream of the attempt: %w", io.EOF)} {
		t.Run(cause.Error(), func(t *testing.T) {
			s := startServer(t)
			s.streamed["/long"] = source(cause)
			conn, in := s.dial()
			_, err := io.WriteString(conn, get("/long"))
			require.NoError(t, err)
			response, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// TestBrokenAnswersLoseNoRequestsBehindThem guards against requests that were started behind
// an answer that broke off, and got none.
func TestBrokenAnswersLoseNoRequestsBehindThem(t *testing.T) {
	const part = 200_000
	source := func(bytes int, end error) io.Reader {
		return io.MultiReader(strings.NewReader(strings.Repeat("x", bytes)), iotest.ErrReader(end))
	}
	t.Run("TheBrokenOneIsAnswered", func(t *testing.T) {
		s := startServer(t)
		s.streamed["/long"] = source(part, errors.New("reset"))
		release := s.block("/long")
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/long")+get("/b")+get("/c"))
		require.NoError(t, err)
		for range 3 {
			<-s.started
		}
		release()
		requireAnswer(t, in, http.StatusBadGateway, "Broken")
		requireAnswer(t, in, http.StatusOK, "to /b")
		requireAnswer(t, in, http.StatusOK, "to /c")
	})
	t.Run("NoneIsStartedBehindOneThatIsStreamed", func(t *testing.T) {
		s := startServer(t)
		body, feed := io.Pipe()
		s.streamed["/long"] = body
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/long"))
		require.NoError(t, err)
		_, err = io.WriteString(feed, "x")
		require.NoError(t, err)
		response, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.WriteString(conn, get("/b"))
		require.NoError(t, err)
		require.Equal(t, "/long", <-s.started)
		require.Never(t, func() bool { return len(s.started) > 0 }, 100*time.Millisecond, 5*time.Millisecond)
		require.NoError(t, feed.Close())
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "x", string(text))
		requireAnswer(t, in, http.StatusOK, "to /b")
	})
	t.Run("CloseBehindOneThatIsStreamedIsSeen", func(t *testing.T) {
		s := startServer(t)
		body, feed := io.Pipe()
		s.streamed["/long"] = body
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/long"))
		require.NoError(t, err)
		_, err = io.WriteString(feed, "x")
		require.NoError(t, err)
		_, err = http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.WriteString(conn, get("/b"))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.Equal(t, "/long", <-s.started)
		require.Equal(t, "/long", <-s.ended)
		_ = feed.Close()
	})
	t.Run("TooLongToBeHeld", func(t *testing.T) {
		const long = 3 << 20
		s := startServer(t)
		s.streamed["/long"] = source(long, io.EOF)
		release := s.block("/long")
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/long")+get("/b"))
		require.NoError(t, err)
		<-s.started
		<-s.started
		release()
		response, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Len(t, text, long)
		requireAnswer(t, in, http.StatusOK, "to /b")
	})
}

func TestDrain(t *testing.T) {
	t.Run("IdleConnectionsEnd", func(t *testing.T) {
		s := startServer(t)
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/a"))
		require.NoError(t, err)
		requireAnswer(t, in, http.StatusOK, "to /a")
		s.acceptor.Drain()
		requireClosed(t, in)
	})
	t.Run("ARunningRequestIsAnswered", func(t *testing.T) {
		s := startServer(t)
		release := s.block("/a")
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/a"))
		require.NoError(t, err)
		s.requireNext(s.started)
		s.acceptor.Drain()
		release()
		requireAnswer(t, in, http.StatusOK, "to /a")
		requireClosed(t, in)
	})
	t.Run("ANewConnectionIsServedOnce", func(t *testing.T) {
		s := startServer(t)
		s.acceptor.Drain()
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/a"))
		require.NoError(t, err)
		require.True(t, requireAnswer(t, in, http.StatusOK, "to /a").Close)
	})
	t.Run("CanceledRequestsAreStillAnswered", func(t *testing.T) {
		s := startServer(t)
		s.block("/a")
		conn, in := s.dial()
		_, err := io.WriteString(conn, get("/a"))
		require.NoError(t, err)
		s.requireNext(s.started)
		s.acceptor.Cancel()
		requireAnswer(t, in, http.StatusBadGateway, "Gone")
	})
}

func TestCloseLetsWhatWasReadEnd(t *testing.T) {
	s := startServer(t)
	release := s.block("/a")
	conn, in := s.dial()
	_, err := io.WriteString(conn, get("/a"))
	require.NoError(t, err)
	s.requireNext(s.started)
	closed := make(chan struct{})
	go func() {
		s.acceptor.Close()
		close(closed)
	}()
	select {
	case path := <-s.canceled:
		require.Fail(t, "a request that was read was cut off", path)
	case <-time.After(50 * time.Millisecond):
	}
	release()
	requireAnswer(t, in, http.StatusOK, "to /a")
	<-closed
}
