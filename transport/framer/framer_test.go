package framer_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/garbler"
	"github.com/foxtailhall/foxtailhall/transport/framer"
	"github.com/foxtailhall/foxtailhall/transport/reader"
)

const (
	limit = 4 << 10
	body  = "0123456789abcdef"
)

func peek(source io.Reader) (framer.Answer, *reader.Reader, error) {
	in := reader.New(source, limit)
	answer, err := framer.PeekAnswer(in, limit, nil)
	if err != nil {
		return answer, in, fmt.Errorf("peeking: %w", err)
	}
	return answer, in, nil
}

// TestAnswersByteByByte shows that a head is read in the same way however it is split.
func TestAnswersByteByByte(t *testing.T) {
	for _, sound := range garbler.Sound() {
		raw := strings.TrimPrefix(sound.Render("", body), "\r\n")
		whole, _, err := peek(strings.NewReader(raw))
		require.NoError(t, err, sound.Name)
		split, in, err := peek(iotest.OneByteReader(strings.NewReader(raw)))
		require.NoError(t, err, sound.Name)
		require.Equal(t, whole, split, sound.Name)
		require.Equal(t, whole.HeadBytes, in.Buffered(), "%s: bytes behind the head were awaited", sound.Name)
	}
}

// TestMalformedHeadsAreNotAwaited guards against a wait for the rest of what can't become a head.
func TestMalformedHeadsAreNotAwaited(t *testing.T) {
	for _, start := range []string{"garbage", "HTTX", "HTTP/2", "HTTP/1.1 200 OK\n", "HTTP/1.1 200 OK\r\nA: b\n"} {
		t.Run(start, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _, _ = near.Close(), far.Close() }()
			go func() { _, _ = io.WriteString(far, start) }()
			require.NoError(t, near.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, _, err := peek(near)
			require.ErrorIs(t, err, framer.ErrMalformed)
		})
	}
}

func TestHeadLimits(t *testing.T) {
	for name, head := range map[string]string{
		"OneLine":     "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", limit),
		"ManyLines":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", limit),
		"WholeButToo": "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", limit) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := peek(strings.NewReader(head))
			require.ErrorIs(t, err, framer.ErrHeadTooLong)
		})
	}
	t.Run("EndsEarly", func(t *testing.T) {
		_, _, err := peek(strings.NewReader("HTTP/1.1 200 OK\r\nA: b\r\n"))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}
