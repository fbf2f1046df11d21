package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/garbler"
)

// garbledConfiguration has a route of each type that matters for repeats.
const garbledConfiguration = `{"version":"00000002","resources":[
{"entryType":"services","metadata":{"name":"writing"},"spec":{"healthPath":"/healthz"}},
{"entryType":"routes","metadata":{"name":"write"},"spec":{"host":"soak","pathPrefix":"/write/","type":"non_idempotent",
 "timeout":"4000ms","targetLatency":"500ms","priority":1,"service":"writing","maxAttempts":2}},
{"entryType":"routes","metadata":{"name":"upload"},"spec":{"host":"soak","pathPrefix":"/upload/","type":"upload",
 "timeout":"9000ms","targetLatency":"500ms","priority":1,"service":"writing","maxAttempts":2}},
{"entryType":"routes","metadata":{"name":"read"},"spec":{"host":"soak","pathPrefix":"/read/","type":"idempotent",
 "timeout":"4000ms","targetLatency":"500ms","priority":1,"service":"writing","maxAttempts":2}}]}`

const (
	soundBody = "the body of the server"
	sealLine  = "Foxtailhall-Response-Seal: s\r\n"
	// garbledPath is the part of a path before the number of the garbled answer.
	garbledPath = "/garbled/"
)

// rawServer is a backend server that writes the bytes of its answers itself.
type rawServer struct {
	served, reused atomic.Int64
	answer         answerer
}

// answerer writes the answer to a request and reports whether the connection stays in use.
type answerer func(conn net.Conn, in *bufio.Reader, request *http.Request) bool

// serveRaw starts a server beside process i.
func (f *leavingFleet) serveRaw(i int, answer answerer) *rawServer {
	listener, err := net.Listen("tcp", f.address(i+1, 9000))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	s := &rawServer{answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// serve answers the requests of one connection. It counts requests that follow an answer after
// which the connection must not be used.
func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.served.Add(1)
		if s.answer(conn, in, request) {
			continue
		}
		if _, err := http.ReadRequest(in); err == nil {
			s.reused.Add(1)
		}
		return
	}
}

// writeAnswer answers a request with the garbled answer whose number is in its path, else with
// a sound one.
func writeAnswer(conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
	_, _ = io.Copy(io.Discard, request.Body)
	answer, sound := garbler.Sound()[0], true
	if _, number, ok := strings.Cut(request.URL.Path, garbledPath); ok {
		var i int
		if _, err := fmt.Sscan(number, &i); err == nil {
			answer, sound = garbler.Garbled()[i], false
		}
	}
	_, _ = io.WriteString(conn, answer.Render(echoed(request), soundBody))
	return sound
}

// echoed returns the header lines by which a server proves its answer.
func echoed(request *http.Request) string {
	return "Foxtailhall-Request-Id: " + request.Header.Get("Foxtailhall-Request-Id") + "\r\n" + sealLine
}

// startGarbled starts a fleet with a raw server beside process 0 and waits until it is in service.
func startGarbled(t *testing.T, network int, answer answerer) (*leavingFleet, *rawServer) {
	t.Helper()
	f := newLeavingFleet(t, network)
	s := f.serveRaw(0, answer)
	f.startAll()
	f.store.Publish([]byte(garbledConfiguration))
	f.putInService(0)
	require.Eventually(t, func() bool {
		status, _, err := f.exchange("GET", "/read/sound", "")
		return err == nil && status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
	return f, s
}

// exchange sends a request to process 1, which has no server, and returns the status and the
// body as its client reads them.
func (f *leavingFleet) exchange(method, path, body string) (status int, got string, err error) {
	conn, err := net.DialTimeout("tcp", f.address(2, 8000), time.Second)
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: soak\r\nFoxtailhall-Request-Id: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, time.Now().UnixNano(), len(body), body)
	require.NoError(f.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", fmt.Errorf("reading the answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// exchangeServed is exchange until a request is not refused: a server whose answers failed gets
// few requests for a while.
func (f *leavingFleet) exchangeServed(method, path string) (status int, body string, err error) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		status, body, err = f.exchange(method, path, "")
		if status != http.StatusServiceUnavailable {
			break
		}
	}
	return status, body, err
}

// log returns what process i has logged so far.
func (f *leavingFleet) log(i int) string {
	text, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)))
	require.NoError(f.t, err)
	return string(text)
}

// TestGarbledAnswersReachNoClient guards against a success for an answer that can be read in two
// ways. Each garbled answer is followed by a sound one.
func TestGarbledAnswersReachNoClient(t *testing.T) {
	f, s := startGarbled(t, 170, writeAnswer)
	for method, prefix := range map[string]string{"POST": "/write", "GET": "/read"} {
		for i, garbled := range garbler.Garbled() {
			t.Run(method+garbled.Name, func(t *testing.T) {
				f.t = t
				served := s.served.Load()
				status, body, err := f.exchangeServed(method, prefix+garbledPath+fmt.Sprint(i))
				require.NoError(t, err)
				require.Equal(t, http.StatusBadGateway, status, "body %q", body)
				require.Greater(t, s.served.Load(), served)
				status, body, err = f.exchangeServed(method, prefix+"/sound")
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, soundBody, body)
			})
		}
	}
	f.t = t
	require.Zero(t, s.reused.Load(), "connections used again after a garbled answer")
	require.Contains(t, f.log(0), "BreakerOpened", "the server's health")
}

// longAnswer writes an answer in chunks that is too long to be checked whole, with the number of
// the garbled end in the path.
func longAnswer(conn net.Conn, in *bufio.Reader, request *http.Request) bool {
	var i int
	if _, err := fmt.Sscanf(request.URL.Path, "/read/long/%d", &i); err != nil {
		return writeAnswer(conn, in, request)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+echoed(request)+"\r\n")
	for sent := 0; sent < longBytes; sent += len(longChunk) {
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(longChunk), longChunk)
	}
	_, _ = io.WriteString(conn, longEnds[i])
	return i == 0
}

const longBytes = 300_000

var longChunk = strings.Repeat("x", 10_000)

// longEnds are the ends of chunked bodies, first a sound one.
var longEnds = []string{
	"0\r\n\r\n", "x\r\n\r\n", "0 \r\n\r\n", "0\n\r\n", "0\r\nno field\r\n\r\n", "0\r\nBlank : x\r\n\r\n", "0\r\n: x\r\n\r\n",
	"0\r\nNul: \x00\r\n\r\n", "0\r\nReturn: x\ry\r\n\r\n", "0\r\nFolded: x\r\n y\r\n\r\n", "0\r\nSum: x\n\r\n", "0\r\nSum: x\r\n\n",
	"0\r\nContent-Length: 5\r\n\r\n",
}

// TestGarbledEndsOfLongAnswersLookCut guards against the last chunk for a body whose own end is
// garbled, when a part of it was passed on already.
func TestGarbledEndsOfLongAnswersLookCut(t *testing.T) {
	f, s := startGarbled(t, 171, longAnswer)
	for i, end := range longEnds {
		t.Run(fmt.Sprintf("%q", end), func(t *testing.T) {
			f.t = t
			status, body, err := f.exchangeServed("GET", fmt.Sprintf("/read/long/%d", i))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, i > 0, err != nil, "%d bytes, error %v", len(body), err)
		})
	}
	f.t = t
	require.Zero(t, s.reused.Load(), "connections used again after a garbled answer")
}
