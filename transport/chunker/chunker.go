// Package chunker writes HTTP/1.1 bodies of unknown length, mostly in chunks. The HTTP library's
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
	err := copyBody(body, func(part []byte) error { return ext.WriteChunk(w, part, true) })
	if err != nil {
		return err
	}
	return writeEnd(w)
}

// WritePlain writes a body as it is and flushes each part. After an error the receiver must not
// see an orderly end of the connection.
func WritePlain(w network.Writer, body io.Reader) error {
	return copyBody(body, func(part []byte) error {
		if _, err := w.WriteBinary(part); err != nil {
			return err //nolint:wrapcheck // wrapped by copyBody
		}
		return w.Flush()
	})
}

// copyBody writes a body in parts, and returns nil only once the reader returns io.EOF itself.
func copyBody(body io.Reader, write func(part []byte) error) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if writeErr := write(buffer[:n]); writeErr != nil {
				return fmt.Errorf("writing a part of the body: %w", writeErr)
			}
		}
		switch {
		case err == io.EOF:
			return nil
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
