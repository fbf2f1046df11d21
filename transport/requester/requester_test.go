package requester_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/repeater"
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
