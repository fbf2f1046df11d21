package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

func headOf(idempotent bool) *messenger.RequestHead {
	r := &Router{deps: Dependencies{
		Now:    func() clocker.Instant { return clocker.Instant{} },
		Origin: func() string { return "billing" },
	}}
	request := &call{idempotent: idempotent, body: []byte("body"), length: 4, patience: time.Second}
	outcome := &result{entry: tracker.Entry{}}
	return r.requestHead(request, outcome, false)
}

// TestEveryAttemptIsOffered checks that a request that a slow link delivers late
// can't run once its router has gone: the guard waits for the release.
func TestEveryAttemptIsOffered(t *testing.T) {
	for name, idempotent := range map[string]bool{"Idempotent": true, "Once": false} {
		t.Run(name, func(t *testing.T) {
			head := headOf(idempotent)
			require.True(t, head.Offer)
			require.Empty(t, head.Body, "nothing but the offer is sent before the admission")
			require.Equal(t, "billing", head.Origin)
		})
	}
}

func TestHold(t *testing.T) {
	request := &call{patience: 4 * time.Second, route: cataloger.Route{Objective: time.Second, Priority: 2}}
	t.Run("HalfOfTheObjective", func(t *testing.T) {
		require.Equal(t, 500*time.Millisecond, request.hold())
		require.EqualValues(t, 3, request.rank())
	})
	t.Run("CallsWaitLongerAndGoFirst", func(t *testing.T) {
		called := *request
		called.called = true
		require.Equal(t, 2400*time.Millisecond, called.hold())
		require.Zero(t, called.rank())
	})
	t.Run("WithoutAnObjectiveNothingBounds", func(t *testing.T) {
		require.Zero(t, (&call{patience: time.Second}).hold())
	})
}
