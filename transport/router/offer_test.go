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
	request := &callerRequest{idempotent: idempotent, body: []byte("body"), bodyLength: 4, timeout: time.Second}
	outcome := &result{entry: tracker.Entry{}}
	return r.requestHead(request, outcome, false)
}

// TestEveryAttemptIsOffered checks that the guard must wait for a release before it runs
// an attempt. Otherwise a request that a slow link delivers late could run after its
// router has given it up.
func TestEveryAttemptIsOffered(t *testing.T) {
	for name, idempotent := range map[string]bool{"Idempotent": true, "Once": false} {
		t.Run(name, func(t *testing.T) {
			head := headOf(idempotent)
			require.True(t, head.Offer)
			require.Empty(t, head.Body, "the body is not sent before the guard admits the attempt")
			require.Equal(t, "billing", head.Origin)
		})
	}
}

func TestMaxQueueWait(t *testing.T) {
	request := &callerRequest{timeout: 4 * time.Second, route: cataloger.Route{Objective: time.Second, Priority: 2}}
	t.Run("HalfOfTheObjective", func(t *testing.T) {
		require.Equal(t, 500*time.Millisecond, request.maxQueueWait())
		require.EqualValues(t, 3, request.rank())
	})
	t.Run("CallsWaitLongerAndGoFirst", func(t *testing.T) {
		nested := *request
		nested.nested = true
		require.Equal(t, 2400*time.Millisecond, nested.maxQueueWait())
		require.Zero(t, nested.rank())
	})
	t.Run("WithoutAnObjectiveNothingBounds", func(t *testing.T) {
		require.Zero(t, (&callerRequest{timeout: time.Second}).maxQueueWait())
	})
}
