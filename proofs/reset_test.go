package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// uploadBytes is more than the sockets between caller and server hold.
	uploadBytes = 8 << 20
	// readBytes is the part of an upload that a server reads before it fails.
	readBytes = 1 << 20
)

// endings are the ways in which a server ends an answer without a length to an upload that it has
// begun to read. Those with whole set end the answer as HTTP/1.1 says.
var endings = []struct {
	name  string
	whole bool
	end   func(conn *net.TCPConn, upload io.Reader)
}{
	{"Reset", false, func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }},
	{"ResetWhileItReads", false, func(conn *net.TCPConn, upload io.Reader) {
		_, _ = io.CopyN(io.Discard, upload, readBytes)
		_ = conn.SetLinger(0)
	}},
	{"ResetLater", false, func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(200 * time.Millisecond)
		_ = conn.SetLinger(0)
	}},
	// The kernel resets a connection that is closed with bytes that were not read.
	{"ClosedUnread", false, func(*net.TCPConn, io.Reader) {}},
	{"EndedAndReset", false, func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(200 * time.Millisecond)
		_ = conn.SetLinger(0)
	}},
	{"ResetBehindTheUpload", false, func(conn *net.TCPConn, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		_ = conn.SetLinger(0)
	}},
	{"EndedBeforeTheUpload", true, func(conn *net.TCPConn, upload io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
	}},
	{"EndedBehindTheUpload", true, func(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }},
}

// endEarly answers a request for /upload/LENGTH/N at once with a body of LENGTH bytes and ends it
// in way N.
func endEarly(conn net.Conn, in *bufio.Reader, request *http.Request) bool {
	var length, i int
	if _, err := fmt.Sscanf(request.URL.Path, "/upload/%d/%d", &length, &i); err != nil {
		return writeAnswer(conn, in, request)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+echoed(request)+"\r\n"+strings.Repeat("x", length))
	endings[i].end(conn.(*net.TCPConn), request.Body)
	_ = conn.Close()
	return false
}

// upload sends a long upload and reads the answer at the same time. It returns the status and the
// body as the client reads them.
func (f *leavingFleet) upload(path string, chunked bool, pause time.Duration) (status, length int, err error) {
	conn, err := net.DialTimeout("tcp", f.address(2, 8000), time.Second)
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	body := io.LimitReader(&slowZeros{pause: pause}, uploadBytes)
	request, err := http.NewRequest(http.MethodPost, "http://soak"+path, body)
	require.NoError(f.t, err)
	if !chunked {
		request.ContentLength = uploadBytes
	}
	go func() { _ = request.Write(conn) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		return 0, 0, fmt.Errorf("reading the answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, len(text), err
}

// slowZeros is an endless reader that pauses at times.
type slowZeros struct {
	pause time.Duration
	read  int
}

// Read implements io.Reader.
func (s *slowZeros) Read(buffer []byte) (int, error) {
	const pieceBytes = 1 << 20
	if s.read/pieceBytes != (s.read+len(buffer))/pieceBytes {
		time.Sleep(s.pause)
	}
	s.read += len(buffer)
	clear(buffer)
	return len(buffer), nil
}

// TestResetAnswersLookCut guards against a part of an answer without a length that its client gets
// as a whole one, when the server resets the connection while the upload is still written.
func TestResetAnswersLookCut(t *testing.T) {
	f, _ := startGarbled(t, 172, endEarly)
	const shortBytes = 100
	for i, ending := range endings {
		for _, length := range []int{shortBytes, longBytes} {
			for _, chunked := range []bool{false, true} {
				for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
					t.Run(fmt.Sprintf("%s/%d/Chunked=%t/%s", ending.name, length, chunked, pause), func(t *testing.T) {
						f.t = t
						status, got, err := 0, 0, error(nil)
						for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							status, got, err = f.upload(fmt.Sprintf("/upload/%d/%d", length, i), chunked, pause)
							if status != http.StatusServiceUnavailable {
								break
							}
						}
						t.Logf("status %d, %d bytes, error %v", status, got, err)
						looksWhole := err == nil && status == http.StatusOK
						require.Equal(t, ending.whole, looksWhole, "status %d, %d bytes, error %v", status, got, err)
						if looksWhole {
							require.Equal(t, length, got)
						}
						if err == nil && !looksWhole {
							require.Equal(t, http.StatusBadGateway, status)
						}
					})
				}
			}
		}
	}
}
