package router

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

// losingGuard admits each attempt, loses its connection after the release, and then says
// that the attempt ended in a given state.
type losingGuard struct {
	messenger.DRPCGuardClient
	state deduplicator.State
}

func (g *losingGuard) Forward(context.Context) (messenger.DRPCGuard_ForwardClient, error) {
	return &losingStream{}, nil
}

func (g *losingGuard) Resolve(context.Context, *messenger.ResolveRequest) (*messenger.ResolveReply, error) {
	return &messenger.ResolveReply{State: uint32(g.state)}, nil
}

type losingStream struct {
	messenger.DRPCGuard_ForwardClient
	received int
}

func (s *losingStream) Send(*messenger.Frame) error { return nil }

func (s *losingStream) Recv() (*messenger.Frame, error) {
	if s.received++; s.received > 1 {
		return nil, io.ErrUnexpectedEOF
	}
	return &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{Admitted: true}}}, nil
}

// TestLostAnswersAreNoConflict guards against a client error for a proper request without a
// key that ran and whose answer was lost between two processes.
func TestLostAnswersAreNoConflict(t *testing.T) {
	roster := registrar.New().WithMember(registrar.Member{
		Incarnation: 1, Address: "127.0.0.1:1", Service: "billing", Slots: 4, State: registrar.StateServing,
	})
	table := NewServiceTable()
	table.Update(0, roster)
	r := &Router{deps: Dependencies{
		Log:          slog.New(slog.DiscardHandler),
		Now:          func() clocker.Instant { return clocker.Instant{} },
		Random:       func() uint64 { return 1 },
		Self:         func() registrar.Member { return registrar.Member{Incarnation: 2} },
		Origin:       func() string { return "billing" },
		Meter:        meter.New(),
		ServiceTable: table,
		GuardClient: func(context.Context, string) messenger.DRPCGuardClient {
			return &losingGuard{state: deduplicator.StateDone}
		},
	}}
	request := &callerRequest{service: cataloger.Service{Name: "billing"}, timeout: time.Minute}
	answer, refused := r.handleNonIdempotent(context.Background(), request)
	require.Nil(t, answer)
	require.Equal(t, 502, refused.status)
	require.Equal(t, answerer.OutcomeRan, refused.outcome)
}
