package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/garbler"
	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

const garbledBody = "0123456789abcdef"

// promptly bounds the time in which an answer that has arrived is judged.
const promptly = 2 * time.Second

// serveAnswers starts a server that answers the request for /ID as answers say, and keeps its
// connections open.
func serveAnswers(t *testing.T, answers map[string]garbler.Answer) *server {
	t.Helper()
	return serve(t, func(conn net.Conn, in *bufio.Reader) {
		for {
			request, ok := readRequest(in)
			if !ok {
				return
			}
			id := strings.TrimPrefix(request.URL.Path, "/")
			_, _ = io.WriteString(conn, answers[id].Render("Id: "+id+"\r\nSeal: x\r\n", garbledBody))
		}
	})
}

// requireNoAnswer sends a request and asserts that it fails without a complete answer.
func requireNoAnswer(t *testing.T, f *forwarder.Forwarder, id string) {
	t.Helper()
	started := time.Now()
	exchange, err := send(t, f, id, nil, 0)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(exchange)
		require.Error(t, err, "status %d, body %q", exchange.Response.StatusCode(), body)
		require.False(t, exchange.Complete())
		exchange.Close()
	}
	require.Error(t, err)
	require.Less(t, time.Since(started), promptly)
}

// TestGarbledAnswersAreNoAnswer guards against a success for an answer that two recipients can
// read differently. Each one is followed by a sound answer, on a connection of its own.
func TestGarbledAnswersAreNoAnswer(t *testing.T) {
	for _, garbled := range garbler.Garbled() {
		t.Run(garbled.Name, func(t *testing.T) {
			t.Parallel()
			s := serveAnswers(t, map[string]garbler.Answer{"a": garbled, "b": garbler.Sound()[0]})
			f := s.forwarder()
			requireNoAnswer(t, f, "a")
			requireBody(t, f, "b", garbledBody)
			require.Len(t, s.connections, 2, "the connection of a garbled answer is not reused")
		})
	}
}

// TestSoundAnswersAreRead guards against a check that refuses what HTTP/1.1 allows.
func TestSoundAnswersAreRead(t *testing.T) {
	for _, sound := range garbler.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			t.Parallel()
			f := serveAnswers(t, map[string]garbler.Answer{"a": sound, "b": sound}).forwarder()
			requireBody(t, f, "a", garbledBody)
			requireBody(t, f, "b", garbledBody)
		})
	}
}
