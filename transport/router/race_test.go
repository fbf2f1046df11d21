package router

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

// hangingGuard admits each attempt and never answers it.
type hangingGuard struct {
	messenger.DRPCGuardClient
}

func (g *hangingGuard) Forward(ctx context.Context) (messenger.DRPCGuard_ForwardClient, error) {
	return &hangingStream{ctx: ctx}, nil
}

type hangingStream struct {
	messenger.DRPCGuard_ForwardClient
	ctx      context.Context //nolint:containedctx // A stream has a context.
	received int
}

func (s *hangingStream) Send(*messenger.Frame) error { return nil }

func (s *hangingStream) Recv() (*messenger.Frame, error) {
	if s.received++; s.received > 1 {
		<-s.ctx.Done()
		return nil, s.ctx.Err()
	}
	return &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{Admitted: true}}}, nil
}

// TestHedgesGoToAnotherServer guards against a caller that gets a late copy of one attempt's
// answer as that of the other, when both were sent to one server under the same ID.
func TestHedgesGoToAnotherServer(t *testing.T) {
	roster, table := registrar.New(), NewServiceTable()
	for i, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		roster = roster.WithMember(registrar.Member{
			Incarnation: uint64(i + 1), Address: address, Service: "billing", Slots: 4, State: registrar.StateServing,
		})
	}
	table.Update(0, roster)
	var mu sync.Mutex
	var asked []string
	r := &Router{deps: Dependencies{
		Log:          slog.New(slog.DiscardHandler),
		Now:          func() clocker.Instant { return clocker.Instant{} },
		Random:       func() uint64 { return 1 },
		Self:         func() registrar.Member { return registrar.Member{Incarnation: 1} },
		Origin:       func() string { return "billing" },
		Meter:        meter.New(),
		ServiceTable: table,
		GuardClient: func(_ context.Context, address string) messenger.DRPCGuardClient {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, address)
			return &hangingGuard{}
		},
	}}
	request := &callerRequest{service: cataloger.Service{Name: "billing"}, timeout: 300 * time.Millisecond, idempotent: true}
	ctx, cancel := context.WithTimeout(context.Background(), request.timeout)
	defer cancel()
	_, refused := r.handleIdempotent(ctx, request, table.ServiceState("billing"))
	require.NotNil(t, refused)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, asked)
}
