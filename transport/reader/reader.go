// Package reader adapts a buffered connection to the reader interface of the HTTP
// library. The process keeps ownership of the connection.
package reader

import (
	"bufio"
	"fmt"
	"io"
)

// Reader is a buffered reader of one connection. It is not safe for concurrent use.
type Reader struct {
	*bufio.Reader
}

// New returns a reader with a buffer of size bytes, which bounds the longest message
// head that it can peek at.
func New(source io.Reader, size int) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, size)}
}

// Skip discards the next n bytes.
func (r *Reader) Skip(n int) error {
	if _, err := r.Discard(n); err != nil {
		return fmt.Errorf("skipping %d bytes: %w", n, err)
	}
	return nil
}

// Release does nothing: the buffer belongs to the connection and is reused.
func (r *Reader) Release() error { return nil }

// Len returns the number of buffered bytes.
func (r *Reader) Len() int { return r.Buffered() }

// ReadBinary returns a copy of the next n bytes.
func (r *Reader) ReadBinary(n int) ([]byte, error) {
	bytes := make([]byte, n)
	if _, err := io.ReadFull(r.Reader, bytes); err != nil {
		return nil, fmt.Errorf("reading %d bytes: %w", n, err)
	}
	return bytes, nil
}
