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

// page keeps what was written.
type page struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (p *page) Write(lines []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(lines)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &page{}
	s := New(out)
	for i := range 100 {
		_, err := fmt.Fprintf(s, "line %d\n", i)
		require.NoError(t, err)
	}
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	require.Len(t, lines, 100)
	require.Equal(t, "line 99", lines[99])
}

func TestAStreamThatIsStuckStopsNobody(t *testing.T) {
	stuck, writer := io.Pipe()
	s := New(writer)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3000 {
		_, err := s.Write(line)
		require.NoError(t, err)
	}
	require.Positive(t, s.dropped.Load(), "lines above the bound are dropped and counted")
	require.NoError(t, stuck.Close())
	s.Close()
}

func TestVolumeIsBounded(t *testing.T) {
	out := &page{}
	s := New(out)
	s.mu.Lock()
	s.now = func() time.Time { return time.Unix(1, 0) }
	s.mu.Unlock()
	for range MaxLinesPerSecond + 10 {
		_, err := s.Write([]byte("x\n"))
		require.NoError(t, err)
	}
	s.Close()
	require.Equal(t, MaxLinesPerSecond, strings.Count(out.text.String(), "x\n"))
	require.Contains(t, out.text.String(), "Event=LinesDropped Count=10")
}
