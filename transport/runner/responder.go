package runner

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

var (
	errOtherIncarnation = eris.New("process has another incarnation")
	errMalformed        = eris.New("message is malformed")
)

// responder implements the RPC service Guard for other processes.
type responder struct {
	messenger.DRPCGuardUnimplementedServer
	runner *Runner
}

// Forward handles one attempt of a request to the backend server.
func (s *responder) Forward(stream messenger.DRPCGuard_ForwardStream) error {
	if err := s.runner.guard.Forward(stream); err != nil {
		s.runner.deps.Log.Debug("ForwardBroken", "Error", err)
		return fmt.Errorf("forwarding: %w", err)
	}
	return nil
}

// Resolve returns the state of an attempt whose response was lost.
func (s *responder) Resolve(_ context.Context, request *messenger.ResolveRequest) (*messenger.ResolveReply, error) {
	if request.Incarnation != s.runner.incarnation {
		return nil, errOtherIncarnation
	}
	var id deduplicator.AttemptID
	if copy(id[:], request.Attempt) != len(id) {
		return nil, errMalformed
	}
	state, status := s.runner.guard.Resolve(id, request.Key, request.IssuedMs)
	return &messenger.ResolveReply{State: uint32(state), Status: uint32(status)}, nil
}

// Lock locks the guard for one ejection round.
func (s *responder) Lock(_ context.Context, request *messenger.LockRequest) (*messenger.LockReply, error) {
	if request.Incarnation != 0 && request.Incarnation != s.runner.incarnation {
		return nil, errOtherIncarnation
	}
	reply := s.runner.guard.Lock(converter.TermFromProto(request.Term), request.Service)
	return &messenger.LockReply{
		Locked:      reply.Locked,
		Highest:     converter.TermToProto(reply.Highest),
		Incarnation: s.runner.incarnation,
		Slots:       reply.Slots,
		State:       uint32(reply.State),
		Evidence:    converter.EvidenceToProto(s.runner.incarnation, request.Service, reply.Evidence),
	}, nil
}

// Order ejects the backend server or lifts its ejection.
func (s *responder) Order(_ context.Context, request *messenger.OrderRequest) (*messenger.OrderReply, error) {
	kind := ejector.OrderKind(min(request.Kind, uint32(ejector.OrderLift)+1))
	if kind != ejector.OrderEject && kind != ejector.OrderLift {
		return nil, errMalformed
	}
	err := s.runner.guard.Order(converter.TermFromProto(request.Term), request.Incarnation, kind)
	if err != nil {
		return &messenger.OrderReply{Reason: err.Error()}, nil
	}
	return &messenger.OrderReply{Done: true}, nil
}

// Report handles a guard's evidence and returns the pool's baseline.
func (s *responder) Report(_ context.Context, evidence *messenger.Evidence) (*messenger.Baseline, error) {
	return s.runner.handleReport(evidence), nil
}

// Gossip merges a member's gossip message and returns the reply.
func (s *responder) Gossip(ctx context.Context, message *messenger.GossipMessage) (*messenger.GossipMessage, error) {
	received := converter.GossipFromProto(message)
	if received.Sender.Incarnation == 0 || received.Sender.Address == "" {
		return nil, errMalformed
	}
	r := s.runner
	r.statements.Hear(received.Sender, received.Own, "Way", "Ping")
	r.receiveStatement(received.Sender, received.Heard)
	r.gossipMu.Lock()
	reply := r.gossip.Receive(r.now(), received)
	warnings := r.gossip.TakeWarnings()
	r.publishRoster()
	r.gossipMu.Unlock()
	r.recordWarnings(warnings)
	r.applyEra()
	if received.ConfigVersion > r.catalog().Version() {
		go r.fetchIfNewer(context.WithoutCancel(ctx), received.Sender.Address, received.ConfigVersion)
	}
	if reply.Heard = r.statements.UnknownTo(received.Sender); !reply.Heard.Empty() {
		r.deps.Log.Info("StatementReplied", append([]any{
			"Server", received.Sender.Address, "Incarnation", received.Sender.Incarnation,
		}, reply.Heard.LogFields()...)...)
	}
	return converter.GossipToProto(reply), nil
}

// Relay pings a member on behalf of another process.
func (s *responder) Relay(ctx context.Context, request *messenger.RelayRequest) (*messenger.RelayReply, error) {
	r := s.runner
	target := registrar.Member{Address: request.Address, Incarnation: request.Incarnation}
	reply, err := r.exchangeGossip(ctx, r.pingTo(target))
	if err != nil || reply.Sender.Incarnation != request.Incarnation {
		return &messenger.RelayReply{}, nil
	}
	r.handleAck(ctx, gossiper.Ping{Address: request.Address, Incarnation: request.Incarnation}, reply)
	return &messenger.RelayReply{Reached: true}, nil
}

// Fetch returns the current configuration.
func (s *responder) Fetch(_ context.Context, request *messenger.FetchRequest) (*messenger.Configuration, error) {
	return s.runner.configurationFor(request)
}

// AcquireQuota decides about quota as the home of a customer. It passes a request on that is
// meant for another process, which the sender can't reach.
func (s *responder) AcquireQuota(ctx context.Context, request *messenger.QuotaRequest) (*messenger.QuotaReply, error) {
	r := s.runner
	if request.Incarnation == r.incarnation {
		return r.quotas.Serve(request), nil
	}
	reply, err := r.quotas.relay(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("relaying a request for quota: %w", err)
	}
	return reply, nil
}
