package framer_test

import (
	"bytes"
	"io"
	"net/http/httputil"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/framer"
	"github.com/foxtailhall/foxtailhall/transport/reader"
)

// FuzzChunks checks that a body that is accepted ends with its trailer, and that another reader
// finds the same bytes in it.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		chunkedText, chunkedText + "next", "1\r\na\r\n0\r\n\r\n", "1;x\r\na\r\n0;y\r\nA: b\r\n\r\n", "1 \r\na\r\n0\r\n\r\n", "0\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		in := reader.New(bytes.NewReader(text), limit)
		got, err := io.ReadAll(framer.NewChunks(in))
		if err != nil {
			return
		}
		rest, err := io.ReadAll(in.Reader)
		require.NoError(t, err)
		require.True(t, bytes.HasSuffix(text[:len(text)-len(rest)], []byte("\r\n\r\n")), "%q", text)
		other, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		require.NoError(t, err)
		require.Equal(t, other, got)
	})
}
