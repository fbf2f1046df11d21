package caller_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"path"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/caller"
	"github.com/foxtailhall/foxtailhall/standins/garbler"
)

// load sends reads to a server that gives one answer to each, and returns how they ended.
func load(t *testing.T, answer garbler.Answer) caller.Summary {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go garbler.Serve(listener, func(request *http.Request) string {
		sum := fnv.New64a().Sum64()
		return answer.Render("", fmt.Sprintf(`{"Key": %q, "Bytes": 0, "Sum": %d}`, path.Base(request.URL.Path), sum))
	})
	return caller.New(caller.Options{
		Targets: []string{listener.Addr().String()}, Rate: 100, Duration: 30 * time.Millisecond, Timeout: 5 * time.Second,
		Paths: map[caller.Kind]string{caller.KindRead: "/sheets"},
	}).Run(context.Background())
}

// TestGarbledAnswersAreNotWhole guards against a load generator that is too kind to tell a
// garbled answer.
func TestGarbledAnswersAreNotWhole(t *testing.T) {
	for _, garbled := range garbler.Garbled() {
		t.Run(garbled.Name, func(t *testing.T) {
			t.Parallel()
			require.Zero(t, load(t, garbled).Results[caller.ResultWhole])
		})
	}
	for _, sound := range garbler.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			t.Parallel()
			summary := load(t, sound)
			require.Positive(t, summary.Sent)
			require.Equal(t, summary.Sent, summary.Results[caller.ResultWhole])
		})
	}
}
