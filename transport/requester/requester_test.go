package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/repeater"
	"github.com/foxtailhall/foxtailhall/standins/garbler"
	"github.com/foxtailhall/foxtailhall/transport/requester"
)

// TestAnswersThatArriveSlowly guards against long answers that are requested again while they
// arrive, and share the link with their own repetitions.
func TestAnswersThatArriveSlowly(t *testing.T) {
	const parts, partPause = 20, 50 * time.Millisecond
	patience := repeater.Patience{Overdue: 300 * time.Millisecond, Period: 400 * time.Millisecond, Limit: 10 * time.Second}
	// call returns the answer of a server, and how many requests it got.
	call := func(t *testing.T, write func(w io.Writer, flush func(), request int32)) (string, int32) {
		var requests atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			write(w, w.(http.Flusher).Flush, requests.Add(1))
		}))
		t.Cleanup(server.Close)
		request := &protocol.Request{}
		request.SetRequestURI(server.URL + "/")
		caller := requester.New(server.Listener.Addr().String(), 1, 5*time.Second)
		answer, err := caller.Do(context.Background(), request, request, patience)
		require.NoError(t, err)
		return string(answer.Body()), requests.Load()
	}
	t.Run("AreRequestedOnce", func(t *testing.T) {
		body, requests := call(t, func(w io.Writer, flush func(), _ int32) {
			for range parts {
				_, _ = io.WriteString(w, "part")
				flush()
				time.Sleep(partPause)
			}
		})
		require.Equal(t, strings.Repeat("part", parts), body)
		require.EqualValues(t, 1, requests)
	})
	t.Run("AreRequestedAgainOnceTheyStop", func(t *testing.T) {
		body, requests := call(t, func(w io.Writer, flush func(), request int32) {
			if request > 1 {
				_, _ = io.WriteString(w, "whole")
				return
			}
			_, _ = io.WriteString(w, "part")
			flush()
			time.Sleep(2 * time.Second)
		})
		require.Equal(t, "whole", body)
		require.EqualValues(t, 2, requests)
	})
}

// TestGarbledAnswersAreErrors guards against the store's state being read from an answer that can
// be read in two ways.
func TestGarbledAnswersAreErrors(t *testing.T) {
	const body = "0123456789abcdef"
	patience := repeater.Patience{Overdue: time.Second, Period: time.Second, Limit: 5 * time.Second}
	call := func(t *testing.T, answer garbler.Answer) (*protocol.Response, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go garbler.Serve(listener, func(*http.Request) string { return answer.Render("Store-Era: 3\r\n", body) })
		request := &protocol.Request{}
		request.SetRequestURI("http://" + listener.Addr().String() + "/")
		return requester.New(listener.Addr().String(), 1, 5*time.Second).Do(context.Background(), request, request, patience)
	}
	for _, garbled := range garbler.Garbled() {
		t.Run(garbled.Name, func(t *testing.T) {
			t.Parallel()
			_, err := call(t, garbled)
			require.Error(t, err)
		})
	}
	for _, sound := range garbler.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			t.Parallel()
			answer, err := call(t, sound)
			require.NoError(t, err)
			require.Equal(t, body, string(answer.Body()))
			require.Equal(t, "3", string(answer.Header.Peek("Store-Era")))
		})
	}
}
