package deliverer

import (
	"bufio"
	"fmt"
	"io"
	"net"
)

// maxHeadBytes bounds the head of an answer.
const maxHeadBytes = 64 << 10

// bufferedReader lets the HTTP library read from a connection that stays ours.
type bufferedReader struct {
	*bufio.Reader
}

func newBufferedReader(conn net.Conn) *bufferedReader {
	return &bufferedReader{Reader: bufio.NewReaderSize(conn, maxHeadBytes)}
}

// Skip drops the next n bytes.
func (r *bufferedReader) Skip(n int) error {
	if _, err := r.Discard(n); err != nil {
		return fmt.Errorf("skipping %d bytes: %w", n, err)
	}
	return nil
}

// Release does nothing, since the buffer is used again.
func (r *bufferedReader) Release() error { return nil }

// Len returns the number of bytes that can be read without waiting.
func (r *bufferedReader) Len() int { return r.Buffered() }

// ReadBinary returns the next n bytes in a slice of their own.
func (r *bufferedReader) ReadBinary(n int) ([]byte, error) {
	bytes := make([]byte, n)
	if _, err := io.ReadFull(r.Reader, bytes); err != nil {
		return nil, fmt.Errorf("reading %d bytes: %w", n, err)
	}
	return bytes, nil
}
