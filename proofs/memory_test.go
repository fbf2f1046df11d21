package proofs

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// memoryLimitMb and descriptorLimit are the limits given to the processes of these tests. A process
	// must stay below them whatever its callers send.
	memoryLimitMb   = 128
	descriptorLimit = 400
	// memoryClients and headClients are the connections opened at the same time. The bodies of
	// memoryClients together exceed memoryLimitMb, and headClients exceed descriptorLimit.
	memoryClients = 300
	headClients   = 600
	// largeBodyBytes is below the length from which the acceptor streams bodies.
	largeBodyBytes = 500_000
	smallBodyBytes = 60_000
	// clientTimeout ends the writes of a client whose connection is not read.
	clientTimeout = 8 * time.Second
	// holdTime is how long the connections stay open after the last write.
	holdTime = time.Second
)

// pattern is what one client sends before it leaves its connection open.
type pattern struct {
	name    string
	clients int
	send    func(conn net.Conn) error
}

func wholeBody(conn net.Conn) error {
	_, err := conn.Write(append(lengthHead(), make([]byte, largeBodyBytes-1)...))
	return err
}

func piecewiseBody(conn net.Conn) error {
	const pieceBytes, pause = 20_000, 20 * time.Millisecond
	if _, err := conn.Write(lengthHead()); err != nil {
		return err
	}
	for sent := 0; sent < largeBodyBytes-1; sent += pieceBytes {
		if _, err := conn.Write(make([]byte, min(pieceBytes, largeBodyBytes-1-sent))); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

func lengthHead() []byte {
	return []byte(postHead("/billing/x", fmt.Sprintf("Content-Length: %d", largeBodyBytes)))
}

func chunkedHead() []byte { return []byte(postHead("/billing/x", "Transfer-Encoding: chunked")) }

func largeChunks(conn net.Conn) error {
	const chunkBytes = 64 << 10
	request := chunkedHead()
	for sent := 0; sent < largeBodyBytes; sent += chunkBytes {
		request = append(append(request, fmt.Sprintf("%x\r\n", chunkBytes)...), make([]byte, chunkBytes)...)
		request = append(request, "\r\n"...)
	}
	_, err := conn.Write(request)
	return err
}

func smallChunks(conn net.Conn) error {
	_, err := conn.Write(append(chunkedHead(), bytes.Repeat([]byte("1\r\nx\r\n"), smallBodyBytes)...))
	return err
}

func hugeChunk(conn net.Conn) error {
	request := append(chunkedHead(), fmt.Sprintf("%x\r\n", largeBodyBytes)...)
	_, err := conn.Write(append(request, make([]byte, largeBodyBytes-1)...))
	return err
}

func endlessHead(conn net.Conn) error {
	const headBytes = 15_000
	_, err := conn.Write([]byte("GET /sheets/x HTTP/1.1\r\nHost: x\r\nPadding: " + strings.Repeat("x", headBytes)))
	return err
}

// unreadAnswers asks for answers that are longer than the socket buffers and reads none of them.
func unreadAnswers(conn net.Conn) error {
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	const pipelined, answerBytes = 4, 900_000
	request := fmt.Sprintf("GET /sheets/x HTTP/1.1\r\nHost: x\r\nStandin-Key: k\r\nStandin-Answer-Bytes: %d\r\n\r\n", answerBytes)
	_, err := conn.Write(bytes.Repeat([]byte(request), pipelined))
	return err
}

var patterns = []pattern{
	{"WholeBodies", memoryClients, wholeBody},
	{"PiecewiseBodies", memoryClients, piecewiseBody},
	{"LargeChunks", memoryClients, largeChunks},
	{"VerySmallChunks", memoryClients, smallChunks},
	{"OneHugeChunk", memoryClients, hugeChunk},
	{"HeadsWithoutEnd", headClients, endlessHead},
	{"UnreadAnswers", memoryClients, unreadAnswers},
}

// TestNoCallerExhaustsMemory guards against callers that end a process by the memory or descriptors that
// their unfinished requests and unread answers hold.
func TestNoCallerExhaustsMemory(t *testing.T) {
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			f := startLimitedFleet(t)
			f.requireWithinLimits(f.openClients(p))
		})
	}
	t.Run("SeveralAtOnceAndASecondWave", func(t *testing.T) {
		f := startLimitedFleet(t)
		for range 2 {
			connections := make([]net.Conn, 0, len(patterns)*memoryClients/3)
			for _, p := range patterns {
				p.clients = memoryClients / 3
				connections = append(connections, f.openClients(p)...)
			}
			f.requireWithinLimits(connections)
		}
	})
}

// TestLongestBodyIsServedWithinTheMemoryLimit guards against an account that has no room for a single
// body of legal size.
func TestLongestBodyIsServedWithinTheMemoryLimit(t *testing.T) {
	f := startLimitedFleet(t)
	const bodyBytes = 64 << 20
	conn, err := net.Dial("tcp", f.address(0, 8000))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = conn.Write([]byte(postHead("/sheets/x", fmt.Sprintf("Content-Length: %d", bodyBytes),
		fmt.Sprintf("Foxtailhall-Deadline-Ms: %d", waitTimeout.Milliseconds()))))
	require.NoError(t, err)
	_, err = io.CopyN(conn, zeros{}, bodyBytes)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusOK, response.StatusCode, response.Header)
	for i := range f.count {
		require.LessOrEqual(t, f.peakMemoryMb(i), memoryLimitMb, "resident memory in MB")
	}
}

// zeros is an endless reader.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(buffer []byte) (int, error) {
	clear(buffer)
	return len(buffer), nil
}

func startLimitedFleet(t *testing.T) *fleet {
	t.Helper()
	settings := fmt.Sprintf("MemoryLimit: %d\nDescriptorLimit: %d\n", memoryLimitMb, descriptorLimit)
	return startFleetWith(t, settings, 2, 4, false)
}

// openClients runs a pattern on all its connections to the first process and returns them, still open.
func (f *fleet) openClients(p pattern) []net.Conn {
	connections := make([]net.Conn, p.clients)
	var group sync.WaitGroup
	for i := range connections {
		group.Add(1)
		go func() {
			defer group.Done()
			conn, err := net.DialTimeout("tcp", f.address(0, 8000), clientTimeout)
			if err != nil {
				return // A connection may be refused.
			}
			connections[i] = conn
			_ = conn.SetDeadline(time.Now().Add(clientTimeout))
			_ = p.send(conn) // A connection may be closed at any time.
		}()
	}
	group.Wait()
	time.Sleep(holdTime)
	return connections
}

// requireWithinLimits asserts that all processes live and stayed within their limits, and that one
// ordinary request is answered, first while the connections are open and again after they were closed.
func (f *fleet) requireWithinLimits(connections []net.Conn) {
	f.t.Helper()
	descriptors := f.descriptors(0)
	var held []net.Conn
	for _, conn := range connections {
		if conn != nil {
			held = append(held, conn)
		}
	}
	answered := f.answersOrdinaryRequest()
	for _, conn := range held {
		_ = conn.Close()
	}
	answeredAfter := f.answersOrdinaryRequest()
	f.t.Logf("%s: peak of resident memory %d MB, %d descriptors, answered %t, afterwards %t",
		f.t.Name(), f.peakMemoryMb(0), descriptors, answered, answeredAfter)
	for i := range f.count {
		require.NoError(f.t, f.procs[f.processName(i)].Process.Signal(syscall.Signal(0)), "the process must live")
		require.LessOrEqual(f.t, f.peakMemoryMb(i), memoryLimitMb, "resident memory in MB")
	}
	require.LessOrEqual(f.t, descriptors, descriptorLimit, "open descriptors")
	require.True(f.t, answered, "an ordinary request must be answered while the connections are open")
	require.True(f.t, answeredAfter, "an ordinary request must be answered afterwards")
}

// peakMemoryMb returns the highest resident memory of a process so far.
func (f *fleet) peakMemoryMb(i int) int { return f.memoryMb(i, "VmHWM:") }

// memoryMb returns a field of the process's status, such as VmRSS, in MB.
func (f *fleet) memoryMb(i int, field string) int {
	return memoryMb(f.t, f.procs[f.processName(i)].Process.Pid, field)
}

// memoryMb returns a field of a process's status, such as VmRSS, in MB.
func memoryMb(t *testing.T, pid int, field string) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, ok := strings.Cut(string(status), field)
	require.True(t, ok, "the process must live")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes >> 10
}

func (f *fleet) descriptors(i int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.procs[f.processName(i)].Process.Pid))
	require.NoError(f.t, err)
	return len(entries)
}

// answersOrdinaryRequest sends ordinary requests one by one until one is answered.
func (f *fleet) answersOrdinaryRequest() bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.tryOrdinaryRequest() {
			return true
		}
	}
	return false
}

func (f *fleet) tryOrdinaryRequest() bool {
	conn, err := net.DialTimeout("tcp", f.address(0, 8000), clientTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := fmt.Fprint(conn, "GET /sheets/x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
