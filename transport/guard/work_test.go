package guard_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// holdingServer returns a guard with a balance whose server holds its first request for a
// second of the guard's clock and then on until the returned function is called.
func holdingServer(t *testing.T, balance cataloger.Balance) (s *needyServer, release func()) {
	t.Helper()
	s = newNeedyServer(t)
	s.catalog = cataloger.New().WithObjects(cataloger.Objects{
		Policies: []cataloger.Policy{{Kind: cataloger.KindPolicy, Name: "p", Balance: balance, Caution: 200}},
		Services: []cataloger.Service{{Kind: cataloger.KindService, Name: "billing", Policy: "p"}},
	})
	arrived, released := make(chan struct{}), make(chan struct{})
	var first atomic.Bool
	served := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		<-s.dispatched
		if first.CompareAndSwap(false, true) {
			close(arrived)
			<-released
		}
	}))
	t.Cleanup(served.Close)
	var once sync.Once
	let := func() { once.Do(func() { close(released) }) }
	t.Cleanup(let) // The server can't be closed before.
	s.announce(t, served.URL, "second")
	ended := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	go func() { ended <- s.guard.Forward(s.stream(ctx, 1)) }()
	<-arrived
	s.clock.Add(int64(time.Second))
	return s, func() {
		let()
		require.NoError(t, <-ended)
	}
}

func (s *needyServer) stream(ctx context.Context, incarnation uint64) *attemptStream {
	stream := &attemptStream{ctx: ctx, toGuard: make(chan *messenger.Frame, 2)}
	stream.toGuard <- &messenger.Frame{Part: &messenger.Frame_Request{Request: &messenger.RequestHead{
		Attempt: make([]byte, 16), Incarnation: incarnation, Service: "billing", Idempotent: true, Offer: true, Insist: true,
		BudgetUs: (10 * time.Second).Microseconds(),
	}}}
	return stream
}

// refused sends an attempt that is meant for another process and returns the refusal.
func (s *needyServer) refused(t *testing.T) *messenger.Verdict {
	t.Helper()
	stream := s.stream(t.Context(), 2)
	require.NoError(t, s.guard.Forward(stream))
	require.NotNil(t, stream.refused)
	return stream.refused
}

// TestWorkLeftIsReported answers heavy tails: routers must see in answers and refusals
// that a request which has run for long is likely to run on.
func TestWorkLeftIsReported(t *testing.T) {
	s, release := holdingServer(t, cataloger.BalanceWork)
	const expected = time.Second
	require.Greater(t, s.guard.WorkLeft(), expected)
	t.Run("InRefusals", func(t *testing.T) {
		require.Greater(t, s.refused(t).WorkUs, expected.Microseconds())
	})
	t.Run("InAnswersWithoutTheirOwn", func(t *testing.T) {
		head := s.attempt(t, 0).head
		require.EqualValues(t, 1, head.InFlight)
		require.Greater(t, head.WorkUs, expected.Microseconds())
		require.LessOrEqual(t, head.WorkUs, s.guard.WorkLeft().Microseconds())
	})
	release()
	t.Run("NoneWhenAllHaveEnded", func(t *testing.T) {
		require.Zero(t, s.guard.WorkLeft())
		require.Zero(t, s.attempt(t, 0).head.WorkUs)
	})
}

// TestNoWorkByRequests guards against a change for services that are not balanced by work.
func TestNoWorkByRequests(t *testing.T) {
	for _, balance := range []cataloger.Balance{"", cataloger.BalanceRequests} {
		t.Run("Balance"+string(balance), func(t *testing.T) {
			s, release := holdingServer(t, balance)
			defer release()
			require.Zero(t, s.refused(t).WorkUs)
			require.Zero(t, s.attempt(t, 0).head.WorkUs)
		})
	}
}
