package proofs

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnswersToHTTP10 guards against chunks in answers to callers that know none, and against a
// part of an answer that ends like a whole one: for such callers, the end of the connection is
// that of a body of unknown length.
func TestAnswersToHTTP10(t *testing.T) {
	f, _ := startGarbled(t, 173, longAnswer)
	for i, end := range longEnds[:2] {
		t.Run(fmt.Sprintf("%q", end), func(t *testing.T) {
			f.t = t
			head, body, err := f.exchangeHTTP10(fmt.Sprintf("/read/long/%d", i))
			require.Contains(t, head, " 200 ")
			require.NotContains(t, strings.ToLower(head), "transfer-encoding")
			require.NotContains(t, body, "\r\n", "the body contains no chunks")
			if i == 0 {
				require.NoError(t, err)
				require.Len(t, body, longBytes)
				return
			}
			require.True(t, errors.Is(err, syscall.ECONNRESET), "%d bytes, error %v", len(body), err)
		})
	}
	t.Run("Short", func(t *testing.T) {
		f.t = t
		head, body, err := f.exchangeHTTP10("/read/sound")
		require.NoError(t, err)
		require.Contains(t, head, " 200 ")
		require.Equal(t, soundBody, body)
	})
}

// exchangeHTTP10 sends a request of HTTP/1.0 to process 1 and returns the head of the answer, and
// what follows it up to the end of the connection or an error.
func (f *leavingFleet) exchangeHTTP10(path string) (head, body string, err error) {
	conn, err := net.DialTimeout("tcp", f.address(2, 8000), time.Second)
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: soak\r\nFoxtailhall-Request-Id: %d\r\n\r\n", path, time.Now().UnixNano())
	require.NoError(f.t, err)
	text, err := io.ReadAll(conn)
	before, after, _ := bytes.Cut(text, []byte("\r\n\r\n"))
	return string(before), string(after), err
}
