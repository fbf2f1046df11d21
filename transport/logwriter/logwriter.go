// Package logwriter writes log lines to a stream in the background, so that no
// request waits for the stream. Lines above a limit are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync"
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
	dropped int
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
		if len(w.buffered) < maxBufferedBytes {
			w.reportDropped()
		}
		w.second, w.linesInSecond = second, 0
	}
	w.linesInSecond++
	if w.closed || w.linesInSecond > MaxLinesPerSecond || len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// reportDropped appends one event for all lines dropped since the previous event.
// It is called once per second and at the end, so that drops don't flood the log.
// The caller holds the lock.
func (w *Writer) reportDropped() {
	if w.dropped == 0 || w.closed {
		return
	}
	w.buffered = fmt.Appendf(w.buffered, "Time=%s Level=WARN Event=LinesDropped Count=%d\n",
		w.now().UTC().Format(time.RFC3339Nano), w.dropped)
	w.dropped = 0
}

// run writes all buffered lines at each wake-up.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		lines, closed := w.buffered, w.closed
		w.buffered = nil
		w.mu.Unlock()
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
	w.reportDropped()
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
