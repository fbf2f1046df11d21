// Package logwriter writes log lines to a stream in the background, so that no
// request waits for the stream. Lines above a limit are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBytes is the maximum size of the lines not yet written.
	maxBufferedBytes = 1 << 20
	// MaxLinesPerSecond is the maximum number of lines accepted in one second of
	// wall time. Each request logs a few lines.
	MaxLinesPerSecond = 4000
	// closeTimeout bounds how long Close waits for a blocked stream.
	closeTimeout = time.Second
)

// Writer is a non-blocking io.Writer for log lines. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// now is the clock; tests replace it.
	now func() time.Time

	mu       sync.Mutex
	buffered []byte
	// second is the Unix time of the last call of Write, and linesInSecond the
	// number of calls in that second.
	second        int64
	linesInSecond int
	closed        bool
	// dropped is the number of lines dropped since the last LinesDropped event.
	dropped atomic.Int64
	wake    chan struct{}
	done    chan struct{}
}

// New returns a writer to a stream. Close ends its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write accepts one line or drops it. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	second := w.now().Unix()
	if second != w.second {
		w.second, w.linesInSecond = second, 0
	}
	w.linesInSecond++
	if w.closed || w.linesInSecond > MaxLinesPerSecond || len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes all buffered lines at each wake-up.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		lines, closed := w.buffered, w.closed
		w.buffered = nil
		w.mu.Unlock()
		if dropped := w.dropped.Swap(0); dropped > 0 {
			lines = fmt.Appendf(lines, "Time=%s Level=WARN Event=LinesDropped Count=%d\n",
				w.now().UTC().Format(time.RFC3339Nano), dropped)
		}
		_, _ = w.out.Write(lines)
		if closed {
			return
		}
	}
}

// Close writes the buffered lines and stops the writer. It gives up after
// closeTimeout.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
