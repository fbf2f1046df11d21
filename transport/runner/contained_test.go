package runner

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc"
)

// handler handles every call with a function.
type handler func() error

// HandleRPC calls the function.
func (h handler) HandleRPC(drpc.Stream, string) error { return h() }

func TestPanicsEndTheirCallAlone(t *testing.T) {
	handle := func(h handler) error {
		contained := &containedHandler{Handler: h, log: slog.New(slog.DiscardHandler)}
		return contained.HandleRPC(nil, "/messenger.Guard/Gossip")
	}
	require.NoError(t, handle(func() error { return nil }))
	require.ErrorIs(t, handle(func() error { panic("malformed") }), errPanicked)
}
