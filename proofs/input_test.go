package proofs

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/worker"
)

// sendRaw sends raw bytes to the caller address of the first process and returns the status line and
// headers of the response.
func (f *fleet) sendRaw(raw string) (string, textproto.MIMEHeader) {
	conn, err := net.Dial("tcp", f.address(0, 8000))
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprint(conn, raw)
	require.NoError(f.t, err)
	reader := textproto.NewReader(bufio.NewReader(conn))
	line, err := reader.ReadLine()
	require.NoError(f.t, err, raw)
	header, err := reader.ReadMIMEHeader()
	require.NoError(f.t, err)
	return line, header
}

// requireRefusal asserts that a request is refused with a status and a reason, and reported as not run.
func (f *fleet) requireRefusal(raw, status, reason string) {
	f.t.Helper()
	line, header := f.sendRaw(raw)
	require.Contains(f.t, line, status)
	require.Equal(f.t, "NotRun", header.Get("Foxtailhall-Outcome"))
	require.Contains(f.t, header.Get("Foxtailhall-Reason"), reason)
}

func postHead(path string, headers ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

func TestBadInputIsRefusedAndTheProcessGoesOn(t *testing.T) {
	f := startFleet(t, 3, 4, false)
	t.Run("UnknownRoute", func(*testing.T) {
		f.requireRefusal(postHead("/nowhere", "Content-Length: 0"), "404", "UnknownRoute")
	})
	t.Run("MalformedDeadline", func(*testing.T) {
		f.requireRefusal(postHead("/billing/x", "Content-Length: 0", "Foxtailhall-Deadline-Ms: soon"), "400", "Deadline")
	})
	t.Run("MalformedMark", func(*testing.T) {
		f.requireRefusal(postHead("/billing/x", "Content-Length: 0", "Foxtailhall-Idempotent: maybe"), "400", "Idempotent")
	})
	t.Run("KeyWithoutTime", func(*testing.T) {
		f.requireRefusal(postHead("/billing/x", "Content-Length: 0", "Idempotency-Key: abc"), "400", "carries no time")
	})
	t.Run("OldKey", func(*testing.T) {
		f.requireRefusal(postHead("/billing/x", "Content-Length: 0", "Idempotency-Key: abc", "Foxtailhall-Key-Time: 1000"),
			"400", "older than keys are remembered")
	})
	t.Run("MalformedBoundKey", func(*testing.T) {
		f.requireRefusal(postHead("/billing/x", "Content-Length: 0", "Idempotency-Key: fh1.zz"), "400", "malformed")
	})
	t.Run("OversizedBody", func(*testing.T) {
		body := strings.Repeat("x", 10000)
		f.requireRefusal(postHead("/billing/x", "Content-Length: 99999999")+body, "413", "BodyTooLarge")
	})
	t.Run("HalfSentRequest", func(t *testing.T) {
		conn, err := net.Dial("tcp", f.address(0, 8000))
		require.NoError(t, err)
		part := strings.Repeat("x", 10000)
		_, err = fmt.Fprint(conn, postHead("/billing/half", "Content-Length: 20000")+part)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		f.waitFor("the log line", func() bool { return strings.Contains(f.logs("process0"), "Reason=HalfRequest") })
	})
	t.Run("GarbageOnThePeerPort", func(t *testing.T) {
		conn, err := net.Dial("tcp", f.address(0, 8001))
		require.NoError(t, err)
		_, err = conn.Write([]byte(strings.Repeat("\xff\x00garbage", 1000)))
		require.NoError(t, err)
		_ = conn.Close()
		f.waitFor("the log line", func() bool { return strings.Contains(f.logs("process0"), "Event=PeerConnectionEnded") })
	})
	t.Run("GoesOn", func(t *testing.T) {
		line, header := f.sendRaw("GET /sheets/x HTTP/1.1\r\nHost: x\r\n\r\n")
		require.Contains(t, line, "200")
		require.Equal(t, "Answered", header.Get("Foxtailhall-Outcome"))
	})
	f.requireNoInvariantViolation()
}

func TestCutLongAnswerBreaksTheTransfer(t *testing.T) {
	f := startFleet(t, 3, 12, false)
	for i := range 3 {
		f.serverFault(i, worker.Fault{Mode: worker.ModeCutOff})
	}
	const length = 1 << 20
	conn, err := net.Dial("tcp", f.address(0, 8000))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "GET /sheets/x HTTP/1.1\r\nHost: x\r\nStandin-Key: k\r\nStandin-Answer-Bytes: %d\r\n\r\n", length)
	require.NoError(t, err)
	reader := textproto.NewReader(bufio.NewReader(conn))
	_, err = reader.ReadLine()
	require.NoError(t, err)
	header, err := reader.ReadMIMEHeader()
	require.NoError(t, err)
	require.Equal(t, fmt.Sprint(length), header.Get("Content-Length"), "the Content-Length must be that of the complete response")
	body, _ := io.ReadAll(reader.R)
	require.Less(t, len(body), length, "a truncated response must not look complete")
	f.waitFor("the log line", func() bool { return strings.Contains(f.logs("process0"), "Outcome=Broken") })
}
