// Package scribe writes log lines to a stream without ever making a request
// wait for it. Lines above a bound are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxWaiting bounds the bytes that wait for the stream.
	maxWaiting = 1 << 20
	// MaxLinesPerSecond bounds the lines taken in one second. A request takes a few.
	MaxLinesPerSecond = 4000
	// closeTime bounds the wait for a stream that does not take the last lines.
	closeTime = time.Second
)

// Writer takes log lines. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// now is replaced by tests.
	now func() time.Time

	mu      sync.Mutex
	waiting []byte
	// second and lines count the lines of the running second.
	second int64
	lines  int
	closed bool
	// dropped counts lines since the stream was last told of them.
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}
}

// New returns a scribe that writes to a stream until it is closed.
func New(out io.Writer) *Writer {
	s := &Writer{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line, or drops it. It never waits and never fails.
func (s *Writer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := s.now().Unix()
	if second != s.second {
		s.second, s.lines = second, 0
	}
	s.lines++
	if s.closed || s.lines > MaxLinesPerSecond || len(s.waiting)+len(line) > maxWaiting {
		s.dropped.Add(1)
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes what waits, all of it at once.
func (s *Writer) run() {
	defer close(s.done)
	for range s.wake {
		s.mu.Lock()
		lines, closed := s.waiting, s.closed
		s.waiting = nil
		s.mu.Unlock()
		if dropped := s.dropped.Swap(0); dropped > 0 {
			lines = fmt.Appendf(lines, "Time=%s Level=WARN Event=LinesDropped Count=%d\n",
				s.now().UTC().Format(time.RFC3339Nano), dropped)
		}
		_, _ = s.out.Write(lines)
		if closed {
			return
		}
	}
}

// Close writes what waits and ends the scribe.
func (s *Writer) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(closeTime):
	}
}
