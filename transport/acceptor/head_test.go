package acceptor

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

var headEnd = []byte("\r\n\r\n")

// FuzzHead checks that an accepted head is unambiguous, and that reading it consumes
// exactly its own bytes.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, head []byte) {
		const limit = 8 << 10
		in := reader.New(bytes.NewReader(head), limit)
		header := &protocol.RequestHeader{}
		frame, err := readHead(in, limit, header)
		if err != nil {
			return
		}
		end := bytes.Index(head, headEnd)
		require.GreaterOrEqual(t, end, 0)
		rest := make([]byte, in.Buffered())
		_, err = in.Read(rest)
		if len(rest) > 0 {
			require.NoError(t, err)
		}
		require.Equal(t, string(head[end+len(headEnd):]), string(rest))
		lower := strings.ToLower(string(head[:end]))
		if frame.length == -1 {
			require.NotContains(t, lower, "\r\ncontent-length:")
		}
		require.True(t, strings.HasPrefix(string(header.RequestURI()), "/"))
	})
}
