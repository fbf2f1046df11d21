package router

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
	"github.com/foxtailhall/foxtailhall/transport/meter"
	"github.com/foxtailhall/foxtailhall/transport/rememberer"
)

// statementRouter is a router with a guard that sends the same frames for each attempt.
type statementRouter struct {
	*Router
	guard recordingGuard
}

// recordingGuard keeps the head of each attempt.
type recordingGuard struct {
	answeringGuard
	heads []*messenger.RequestHead
	// silent is set while the guard sends nothing.
	silent bool
}

func (g *recordingGuard) Forward(ctx context.Context) (messenger.DRPCGuard_ForwardClient, error) {
	stream, err := g.answeringGuard.Forward(ctx)
	if g.silent {
		stream = &answeringStream{}
	}
	return &recordingStream{DRPCGuard_ForwardClient: stream, guard: g}, err
}

type recordingStream struct {
	messenger.DRPCGuard_ForwardClient
	guard *recordingGuard
	began bool
}

func (s *recordingStream) Send(frame *messenger.Frame) error {
	if head := frame.GetRequest(); head != nil && !s.began {
		s.began = true
		s.guard.heads = append(s.guard.heads, head)
	}
	return s.DRPCGuard_ForwardClient.Send(frame)
}

func newStatementRouter(frames []*messenger.Frame) *statementRouter {
	now := func() clocker.Instant { return clocker.Instant{} }
	log := slog.New(slog.DiscardHandler)
	r := &statementRouter{guard: recordingGuard{answeringGuard: answeringGuard{frames: frames}}}
	r.Router = &Router{deps: Dependencies{
		Log: log, Now: now, Random: func() uint64 { return 1 }, Origin: func() string { return "billing" },
		Meter: meter.New(), ServiceTable: NewServiceTable(), Statements: rememberer.New(now, log),
		GuardClient: func(context.Context, string) messenger.DRPCGuardClient { return &r.guard },
	}}
	return r
}

// attempt sends one attempt to a process at the guard's address.
func (r *statementRouter) attempt(ctx context.Context, incarnation uint64) {
	member := registrar.Member{Incarnation: incarnation, Address: "127.0.0.1:1", Service: "billing", Slots: 4}
	request := &callerRequest{service: cataloger.Service{Name: "billing"}, timeout: time.Minute}
	r.send(ctx, request, tracker.Entry{Member: member, Server: tracker.New(incarnation, 0, 0)}, "Test", false)
}

// requireCarried requires that the last attempt carried a statement that names a run, "" for none.
func (r *statementRouter) requireCarried(t *testing.T, run string) {
	t.Helper()
	require.Equal(t, run, r.guard.heads[len(r.guard.heads)-1].Statement.GetLeftRun())
}

// TestRoutersRememberWhatServersSaid guards against a router that passes on an answer which says
// that its server leaves, and sends requests to that server once the process beside it was killed.
func TestRoutersRememberWhatServersSaid(t *testing.T) {
	left := &messenger.Statement{LeftRun: "a", LeftRunStartedMs: 3, LeftMs: 5}
	refused := &messenger.Verdict{Outcome: uint32(answerer.OutcomeNotRun), Reason: "ServerRefused", Arrived: true, Statement: left}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for _, heard := range []struct {
		name   string
		ctx    context.Context //nolint:containedctx // Each case has its own.
		frames []*messenger.Frame
	}{
		{"GoodAnswer", context.Background(), frames(&messenger.AnswerHead{Status: 200, Length: 4, Statement: left}, "body")},
		{"FailedAnswer", context.Background(), frames(&messenger.AnswerHead{Status: 500, Length: 4, Statement: left}, "body")},
		{"MalformedAnswer", context.Background(), frames(&messenger.AnswerHead{Status: 200, Length: -2, Statement: left})},
		{"BrokenAnswer", context.Background(), frames(&messenger.AnswerHead{Status: 200, Length: 9, Statement: left}, "body")[:1]},
		{"Refusal", context.Background(), []*messenger.Frame{{Part: &messenger.Frame_Verdict{Verdict: refused}}}},
		{"AnswerThatNobodyWaitsFor", gone, frames(&messenger.AnswerHead{Status: 200, Length: 4, Statement: left}, "body")},
	} {
		t.Run(heard.name, func(t *testing.T) {
			r := newStatementRouter(heard.frames)
			r.attempt(heard.ctx, 1)
			r.requireCarried(t, "")
			r.guard.frames = frames(&messenger.AnswerHead{Status: 200, Length: 4}, "body")
			r.attempt(context.Background(), 1)
			r.requireCarried(t, "")
			r.attempt(context.Background(), 2)
			r.requireCarried(t, "a")
			r.attempt(context.Background(), 2)
			r.requireCarried(t, "")
			r.attempt(context.Background(), 3)
			r.requireCarried(t, "a")
		})
	}
	t.Run("LimitUntilAnAnswerWithoutOne", func(t *testing.T) {
		limited := &messenger.Statement{LimitedRun: "a", LimitedRunStartedMs: 3, PerSecond: 2}
		r := newStatementRouter(frames(&messenger.AnswerHead{Status: 200, Length: 4, Statement: limited}, "body"))
		requireLimit := func(incarnation uint64, want float64) {
			t.Helper()
			r.attempt(context.Background(), incarnation)
			require.InDelta(t, want, r.guard.heads[len(r.guard.heads)-1].Statement.GetPerSecond(), 0)
		}
		requireLimit(1, 0)
		requireLimit(2, 2)
		requireLimit(2, 0)
		r.guard.frames = []*messenger.Frame{{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
			Outcome: uint32(answerer.OutcomeNotRun), Reason: "Busy", Busy: true,
		}}}}
		requireLimit(3, 2)
		r.guard.frames = frames(&messenger.AnswerHead{Status: 200, Length: 4}, "body")
		requireLimit(4, 2)
		requireLimit(5, 0)
	})
	t.Run("StoredAnswersLiftNoLimit", func(t *testing.T) {
		limited := &messenger.Statement{LimitedRun: "a", LimitedRunStartedMs: 3, PerSecond: 2}
		r := newStatementRouter(frames(&messenger.AnswerHead{Status: 200, Length: 4, Statement: limited}, "body"))
		r.attempt(context.Background(), 1)
		r.guard.frames = frames(&messenger.AnswerHead{Status: 200, Length: 4, RepeatedAnswer: true, Statement: left}, "body")
		r.attempt(context.Background(), 1)
		r.attempt(context.Background(), 2)
		require.InDelta(t, 2, r.guard.heads[len(r.guard.heads)-1].Statement.GetPerSecond(), 0)
		r.requireCarried(t, "a")
	})
	t.Run("UnansweredAttempt", func(t *testing.T) {
		r := newStatementRouter(frames(&messenger.AnswerHead{Status: 200, Length: 4, Statement: left}, "body"))
		r.attempt(context.Background(), 1)
		r.guard.silent = true
		r.attempt(context.Background(), 2)
		r.requireCarried(t, "a")
		r.attempt(context.Background(), 2)
		r.requireCarried(t, "a")
	})
}
