package proofs

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessAnswers are the begin of an answer and what a faulty server repeats after it until
// the caller closes.
var endlessAnswers = []struct{ name, start, part string }{
	{"HeaderFields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"OneHeaderField", "HTTP/1.1 200 OK\r\nA: ", "b"},
	{"NoHTTP", "", "garbage"},
	{"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"BodyUntilClose", "HTTP/1.1 200 OK\r\nFoxtailhall-Response-Seal: s\r\n\r\n", "x"},
	{"Chunks", "HTTP/1.1 200 OK\r\nFoxtailhall-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"OneChunk", "HTTP/1.1 200 OK\r\nFoxtailhall-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"},
	{"Refusal", "HTTP/1.1 503 Full\r\nFoxtailhall-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
}

const (
	// endlessCallers is the number of requests at the faulty server at the same time.
	endlessCallers = 60
	// endlessTime is how long they last.
	endlessTime = 2 * time.Second
)

// TestNoServerExhaustsMemory guards against a process that keeps what a faulty server sends
// without end, until it is ended for its memory with the requests of all its callers.
func TestNoServerExhaustsMemory(t *testing.T) {
	for i, answer := range endlessAnswers {
		t.Run(answer.name, func(t *testing.T) {
			f := newLeavingFleet(t, 150+i)
			f.settings, f.slots = fmt.Sprintf("MemoryLimit: %d\n", memoryLimitMb), endlessCallers
			sent, served := f.serveEndless(answer.start, answer.part)
			f.startAll()
			require.Eventually(t, func() bool {
				f.announce("ready", int(time.Now().UnixMilli()-f.bornMs))
				return sent.Load() > 0 || f.write() != http.StatusServiceUnavailable
			}, 10*time.Second, 200*time.Millisecond)
			var callers sync.WaitGroup
			for range endlessCallers {
				callers.Go(f.readSlowly)
			}
			callers.Wait()
			require.Positive(t, served.Load())
			for process := range f.procs {
				require.NoError(t, f.procs[process].Process.Signal(syscall.Signal(0)), "the process must live")
				peak := memoryMb(t, f.procs[process].Process.Pid, "VmHWM:")
				t.Logf("process %d: peak of resident memory %d MB, %d requests, %d MB sent", process, peak, served.Load(), sent.Load()>>20)
				require.LessOrEqual(t, peak, memoryLimitMb)
			}
		})
	}
}

// serveEndless starts a faulty server at the address of process 0's server and returns the
// numbers of bytes that it has sent and of requests that it got.
func (f *leavingFleet) serveEndless(start, part string) (sent, served *atomic.Int64) {
	listener, err := net.Listen("tcp", f.address(1, 9000))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	sent, served = &atomic.Int64{}, &atomic.Int64{}
	block := strings.Repeat(part, max(1, 32<<10/len(part)))
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		if _, err := conn.Read(make([]byte, 4096)); err != nil {
			return
		}
		served.Add(1)
		_, err := io.WriteString(conn, start)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, block)
			sent.Add(int64(n))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return sent, served
}

// readSlowly sends a request to process 1 and reads a little of its answer for endlessTime.
func (f *leavingFleet) readSlowly() {
	conn, err := net.DialTimeout("tcp", f.address(2, 8000), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, err = io.WriteString(conn, "POST /write/a HTTP/1.1\r\nHost: soak\r\nContent-Length: 1\r\n"+
		"Foxtailhall-Deadline-Ms: 2000\r\n\r\nx")
	for end := time.Now().Add(endlessTime); err == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		_ = conn.SetReadDeadline(end)
		_, err = conn.Read(make([]byte, 1024))
	}
}
