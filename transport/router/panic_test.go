package router

import (
	"context"
	"log/slog"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/tracker"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

// panicking returns a router whose configuration and connections panic.
func panicking() *Router {
	return &Router{deps: Dependencies{
		Log:          slog.New(slog.DiscardHandler),
		Now:          func() clocker.Instant { return clocker.Instant{} },
		Random:       func() uint64 { return 1 },
		Origin:       func() string { return "billing" },
		Callers:      interpreter.NativeCallers(),
		Meter:        meter.New(),
		ServiceTable: NewServiceTable(),
		Ready:        func() bool { return true },
		Catalog:      func() cataloger.Catalog { panic("malformed") },
		GuardClient:  func(context.Context, string) messenger.DRPCGuardClient { panic("malformed") },
	}}
}

func TestPanicsEndTheirRequestAlone(t *testing.T) {
	t.Run("TheOutcomeIsUnknown", func(t *testing.T) {
		header := &protocol.RequestHeader{}
		header.SetHost("x")
		header.SetRequestURI("/")
		response := panicking().serveContained(context.Background(), &acceptor.Request{Header: header})
		require.Equal(t, 502, response.StatusCode())
		require.Equal(t, "Unknown", string(response.Header.Peek("Foxtailhall-Outcome")))
	})
	t.Run("AnAttemptMayHaveRun", func(t *testing.T) {
		request := &callerRequest{}
		choice := searcher.Choice{Entry: tracker.Entry{Server: tracker.New(1, 0, 0)}}
		outcome := panicking().sendContained(context.Background(), request, choice)
		require.Equal(t, resultUnknown, outcome.kind)
		require.Equal(t, 1, request.arrivals)
		outcome.cancel()
	})
}
