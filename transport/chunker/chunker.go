// Package chunker writes HTTP/1.1 bodies of unknown length in chunks. The HTTP library's
// own function writes the last chunk also when its reader fails, so that a truncated body
// looks whole.
package chunker

import (
	"fmt"
	"io"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
)

// chunkBytes is the maximum length of a chunk.
const chunkBytes = 32 << 10

// Write writes a body in chunks and flushes each. The last chunk, which tells the receiver
// that the body is whole, is written only if the reader returns io.EOF itself: an error
// that wraps io.EOF is that of a source that ended early. After an error the connection
// must be closed.
func Write(w network.Writer, body io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if writeErr := ext.WriteChunk(w, buffer[:n], true); writeErr != nil {
				return fmt.Errorf("writing a chunk: %w", writeErr)
			}
		}
		switch {
		case err == io.EOF:
			return writeEnd(w)
		case err != nil:
			return fmt.Errorf("reading the body: %w", err)
		}
	}
}

// writeEnd writes the last chunk and an empty trailer.
func writeEnd(w network.Writer) error {
	if err := ext.WriteChunk(w, nil, false); err != nil {
		return fmt.Errorf("writing the last chunk: %w", err)
	}
	if _, err := w.WriteBinary([]byte("\r\n")); err != nil {
		return fmt.Errorf("writing the end of the body: %w", err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the end of the body: %w", err)
	}
	return nil
}
