// Package reader lets the HTTP library read from connections that stay the
// process's own.
package reader

import (
	"bufio"
	"fmt"
	"io"
)

// Reader reads from one connection. It is not safe for concurrent use.
type Reader struct {
	*bufio.Reader
}

// New returns a reader that buffers up to size bytes, the longest head it can peek at.
func New(source io.Reader, size int) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, size)}
}

// Skip drops the next n bytes.
func (r *Reader) Skip(n int) error {
	if _, err := r.Discard(n); err != nil {
		return fmt.Errorf("skipping %d bytes: %w", n, err)
	}
	return nil
}

// Release does nothing, since the buffer is used again.
func (r *Reader) Release() error { return nil }

// Len returns the number of bytes that can be read without waiting.
func (r *Reader) Len() int { return r.Buffered() }

// ReadBinary returns the next n bytes in a slice of their own.
func (r *Reader) ReadBinary(n int) ([]byte, error) {
	bytes := make([]byte, n)
	if _, err := io.ReadFull(r.Reader, bytes); err != nil {
		return nil, fmt.Errorf("reading %d bytes: %w", n, err)
	}
	return bytes, nil
}
