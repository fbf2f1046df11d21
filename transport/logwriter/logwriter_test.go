package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// output collects what was written.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(lines []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(lines)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &output{}
	w := New(out)
	for i := range 100 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		require.NoError(t, err)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
}

func TestBlockedStreamDoesNotBlockWrite(t *testing.T) {
	stuck, writer := io.Pipe()
	w := New(writer)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3000 {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	w.mu.Lock()
	dropped := w.dropped
	w.mu.Unlock()
	require.Positive(t, dropped, "lines above the bound are dropped and counted")
	require.NoError(t, stuck.Close())
	w.Close()
}

func TestLineRateIsLimited(t *testing.T) {
	out := &output{}
	w := New(out)
	w.mu.Lock()
	w.now = func() time.Time { return time.Unix(1, 0) }
	w.mu.Unlock()
	for range MaxLinesPerSecond + 10 {
		_, err := w.Write([]byte("x\n"))
		require.NoError(t, err)
	}
	w.Close()
	require.Equal(t, MaxLinesPerSecond, strings.Count(out.text.String(), "x\n"))
	require.Contains(t, out.text.String(), "Event=LinesDropped Count=10")
	require.Equal(t, 1, strings.Count(out.text.String(), "LinesDropped"))
}

func TestDroppedLinesAreReportedOncePerSecond(t *testing.T) {
	out := &output{}
	w := New(out)
	second := int64(1)
	w.mu.Lock()
	w.now = func() time.Time { return time.Unix(second, 0) }
	w.mu.Unlock()
	for _, dropped := range []int{3, 0, 5} {
		for range MaxLinesPerSecond + dropped {
			_, err := w.Write([]byte("x\n"))
			require.NoError(t, err)
		}
		w.mu.Lock()
		second++
		w.mu.Unlock()
	}
	w.Close()
	text := out.text.String()
	require.Equal(t, 3*MaxLinesPerSecond, strings.Count(text, "x\n"))
	require.Equal(t, 2, strings.Count(text, "LinesDropped"))
	require.Contains(t, text, "Event=LinesDropped Count=3\n")
	require.Contains(t, text, "Event=LinesDropped Count=5\n")
}
