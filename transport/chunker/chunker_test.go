package chunker_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/chunker"
)

// receive returns what a receiver reads of a body, and its error.
func receive(t *testing.T, body io.Reader) (text string, readErr, writeErr error) {
	t.Helper()
	var wire bytes.Buffer
	writeErr = chunker.Write(network.NewWriter(&wire), body)
	received, readErr := io.ReadAll(httputil.NewChunkedReader(&wire))
	return string(received), readErr, writeErr
}

// TestTruncatedBodiesNeverLookWhole guards against the last chunk behind a body whose
// source failed.
func TestTruncatedBodiesNeverLookWhole(t *testing.T) {
	long := strings.Repeat("0123456789", 20_000)
	t.Run("WholeBody", func(t *testing.T) {
		for _, body := range []io.Reader{
			strings.NewReader(long), iotest.DataErrReader(strings.NewReader(long)), iotest.HalfReader(strings.NewReader(long)),
		} {
			text, readErr, writeErr := receive(t, body)
			require.NoError(t, writeErr)
			require.NoError(t, readErr)
			require.Equal(t, long, text)
		}
	})
	t.Run("EmptyBody", func(t *testing.T) {
		text, readErr, writeErr := receive(t, strings.NewReader(""))
		require.NoError(t, writeErr)
		require.NoError(t, readErr)
		require.Empty(t, text)
	})
	for _, cause := range []error{
		errors.New("reset"), io.ErrUnexpectedEOF, fmt.Errorf("the stream of another process: %w", io.EOF),
		errors.Join(errors.New("truncated"), io.EOF),
	} {
		t.Run(cause.Error(), func(t *testing.T) {
			for _, read := range []int{0, 1, 100_000} {
				_, readErr, writeErr := receive(t, io.MultiReader(strings.NewReader(long[:read]), iotest.ErrReader(cause)))
				require.ErrorIs(t, writeErr, cause)
				require.ErrorIs(t, readErr, io.ErrUnexpectedEOF)
			}
		})
	}
}
