package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

// benchmarkExchange measures exchanges on one connection with a server that always writes the
// same answer.
func benchmarkExchange(b *testing.B, answer string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		for in, end := bufio.NewReader(conn), "\r\n"; err == nil; {
			for line := ""; err == nil && line != end; {
				line, err = in.ReadString('\n')
			}
			if err == nil {
				_, err = io.WriteString(conn, answer)
			}
		}
	}()
	f := forwarder.New(1, silence)
	f.SetAddress(listener.Addr().String())
	request := &protocol.Request{}
	request.Header.SetHost("x")
	request.Header.SetRequestURI("/a")
	b.ReportAllocs()
	for b.Loop() {
		exchange, err := f.Send(context.Background(), request, inspectID("a"), func() {})
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, exchange)
		require.NoError(b, err)
		exchange.Close()
	}
}

func BenchmarkExchange(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\nServer: example\r\nContent-Type: application/json\r\n" +
		"Cache-Control: no-store\r\nId: a\r\nSeal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nVary: Accept\r\n"
	body := strings.Repeat("x", 1000)
	b.Run("Length", func(b *testing.B) { benchmarkExchange(b, head+"Content-Length: 1000\r\n\r\n"+body) })
	b.Run("Chunks", func(b *testing.B) {
		benchmarkExchange(b, head+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("64\r\n"+body[:100]+"\r\n", 10)+"0\r\n\r\n")
	})
}
