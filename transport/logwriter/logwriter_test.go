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
	require.Positive(t, w.dropped.Load(), "lines above the bound are dropped and counted")
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
}
