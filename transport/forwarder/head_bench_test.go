package forwarder

import (
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/foxtailhall/foxtailhall/transport/reader"
)

// BenchmarkReadHead measures what it costs to read and check the head of an answer.
func BenchmarkReadHead(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\nServer: example\r\nContent-Type: application/json\r\n" +
		"Cache-Control: no-store\r\nId: a\r\nSeal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\nVary: Accept\r\n" +
		"Content-Length: 1000\r\n\r\n"
	source := strings.NewReader(head)
	e := &Exchange{conn: &connection{reader: reader.New(source, maxHeadBytes)}, Response: protocol.AcquireResponse()}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.readFinalHead(); err != nil {
			b.Fatal(err)
		}
		e.Response.Reset()
		source.Reset(head)
	}
}
