// Package compressor compresses texts that are sent between processes.
package compressor

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLong means that a decompressed text exceeds its limit.
var ErrTooLong = eris.New("decompressed text is too long")

// Compress returns a text in the deflate format.
func Compress(text []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if _, err := writer.Write(text); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compressing: %w", err)
	}
	return compressed.Bytes(), nil
}

// Decompress returns the text of which Compress returned compressed, or an error if it has
// more than maxBytes bytes.
func Decompress(compressed []byte, maxBytes int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	text, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	if len(text) > maxBytes {
		return nil, ErrTooLong
	}
	return text, nil
}
