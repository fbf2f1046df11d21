package guard_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/guard"
)

// needyServer is a backend server that can name a limit, with the guard before it. The
// guard's clock advances with each attempt.
type needyServer struct {
	guard *guard.Guard
	url   string
	clock atomic.Int64
	// limit is the value of the header X-Limit, "" for none.
	limit    atomic.Value
	arrivals atomic.Int64
	// serviceTime is how far each request advances the clock.
	serviceTime atomic.Int64
	// displaced counts the attempts that lost their places in the queue.
	displaced atomic.Int64
	// leaving is set while the server says that it leaves, and left holds the runs that
	// the guard was told of.
	leaving atomic.Bool
	left    []string
	// told holds what routers told the guard that the server had said.
	told []witness.Statement
	// statement is sent along with attempts, and retireOnStatement makes the process retire the
	// run that it names.
	statement         *messenger.Statement
	retireOnStatement bool
	// key is the idempotency key of attempts, "" for none, and attempts counts them.
	key      string
	attempts byte
	// refusing is set while the server refuses requests.
	refusing atomic.Bool
	// stopping is set while a planned stop lets only attempts below maxDuringStop begin.
	stopping atomic.Bool
	catalog  cataloger.Catalog
	// dispatched holds an entry for each request whose dispatch the guard has recorded. The
	// server waits for it before the clock advances, since a request may arrive earlier.
	dispatched dispatches
}

// dispatches is a log handler that passes on that a request was dispatched.
type dispatches chan struct{}

// Enabled implements slog.Handler.
func (dispatches) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (d dispatches) Handle(_ context.Context, record slog.Record) error {
	if record.Message == "Dispatched" {
		d <- struct{}{}
	}
	return nil
}

// WithAttrs implements slog.Handler.
func (d dispatches) WithAttrs([]slog.Attr) slog.Handler { return d }

// WithGroup implements slog.Handler.
func (d dispatches) WithGroup(string) slog.Handler { return d }

const (
	maxDuringStop = time.Second
	leftMs        = 7
)

func newNeedyServer(t *testing.T) *needyServer {
	t.Helper()
	const maxWaiting = 100
	s := &needyServer{catalog: cataloger.New(), dispatched: make(dispatches, maxWaiting)}
	s.limit.Store("")
	served := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.arrivals.Add(1)
		<-s.dispatched
		s.clock.Add(s.serviceTime.Load())
		if limit, _ := s.limit.Load().(string); limit != "" {
			w.Header().Set("X-Limit", limit)
		}
		if s.leaving.Load() {
			w.Header().Set("X-Leaving", "1")
		}
		if s.refusing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(served.Close)
	s.guard = guard.New(guard.Dependencies{
		Incarnation: 1,
		Log:         slog.New(s.dispatched),
		Now: func() clocker.Instant {
			return clocker.Instant{Mono: time.Duration(s.clock.Load()), Wall: time.Duration(s.clock.Load())}
		},
		Catalog:  func() cataloger.Catalog { return s.catalog },
		OnChange: func() {},
		OnLeaving: func(run string, startedMs int64) enroller.Departure {
			s.left = append(s.left, run)
			return enroller.Departure{ID: run, StartedMs: startedMs, LeftMs: leftMs}
		},
		OnStatement: func(said witness.Statement) {
			s.told = append(s.told, said)
			if s.retireOnStatement {
				require.NoError(t, s.guard.Retire(said.Departure.ID))
			}
		},
		FinishesBeforeStop:    func(expected time.Duration) bool { return !s.stopping.Load() || expected < maxDuringStop },
		OnDisplaced:           func(string) { s.displaced.Add(1) },
		EjectionRoundLifetime: ejector.RoundLifetime,
		Limits:                deduplicator.Limits{Attempts: 1000, Keys: 1000, KeyLifetime: time.Hour},
		Servers: interpreter.Servers{
			Annotate: func(*protocol.RequestHeader, interpreter.RequestInfo) {},
			Inspect: func(header *protocol.ResponseHeader, _ interpreter.RequestInfo) interpreter.AnswerInfo {
				limit, err := strconv.ParseFloat(string(header.Peek("X-Limit")), 64)
				return interpreter.AnswerInfo{
					Limit: limit, Limited: err == nil, Leaving: len(header.Peek("X-Leaving")) > 0,
					NotRun: header.StatusCode() == http.StatusServiceUnavailable,
				}
			},
		},
	})
	s.url = served.URL
	s.announce(t, s.url, "first")
	return s
}

func (s *needyServer) announce(t *testing.T, url, run string) {
	t.Helper()
	require.NoError(t, s.guard.Announce(guard.Announcement{
		Address: strings.TrimPrefix(url, "http://"), Run: run, Service: "billing", Slots: 8,
	}))
}

// attemptStream is the stream of one attempt whose router releases it at once.
type attemptStream struct {
	drpc.Stream
	ctx      context.Context //nolint:containedctx // A stream has a context.
	toGuard  chan *messenger.Frame
	refused  *messenger.Verdict
	answered bool
	head     *messenger.AnswerHead
}

func (s *attemptStream) Context() context.Context { return s.ctx }

func (s *attemptStream) Recv() (*messenger.Frame, error) {
	select {
	case frame := <-s.toGuard:
		return frame, nil
	case <-s.ctx.Done():
		return nil, io.EOF
	}
}

func (s *attemptStream) Send(frame *messenger.Frame) error {
	switch verdict := frame.GetVerdict(); {
	case verdict.GetAdmitted():
		head := &messenger.RequestHead{
			Method: http.MethodGet, Uri: "/", Headers: []*messenger.Header{{Name: "Host", Value: "billing.example"}},
		}
		s.toGuard <- &messenger.Frame{Part: &messenger.Frame_Request{Request: head}}
	case verdict != nil:
		s.refused = verdict
	case frame.GetAnswer() != nil:
		s.answered, s.head = true, frame.GetAnswer()
	}
	return nil
}

// attempt sends one attempt, after the clock has advanced, and returns its end.
func (s *needyServer) attempt(t *testing.T, after time.Duration) *attemptStream {
	t.Helper()
	s.clock.Add(int64(after))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stream := &attemptStream{ctx: ctx, toGuard: make(chan *messenger.Frame, 2)}
	s.attempts++
	stream.toGuard <- &messenger.Frame{Part: &messenger.Frame_Request{Request: &messenger.RequestHead{
		Attempt: append(make([]byte, 15), s.attempts), Incarnation: 1, Service: "billing", Idempotent: s.key == "", Offer: true,
		Insist: true, BudgetUs: (10 * time.Second).Microseconds(), Statement: s.statement, Key: s.key,
		IssuedMs: time.Duration(s.clock.Load()).Milliseconds(),
	}}}
	require.NoError(t, s.guard.Forward(stream))
	require.True(t, stream.answered != (stream.refused != nil), "an attempt is answered or refused")
	return stream
}

// TestLimitedServersGetWhatTheyTake guards against a server that names a limit in its
// answers and gets far more requests than that.
func TestLimitedServersGetWhatTheyTake(t *testing.T) {
	const (
		step   = 10 * time.Millisecond
		window = 4 * time.Second
	)
	t.Run("WhileItNamesTheLimit", func(t *testing.T) {
		s := newNeedyServer(t)
		s.limit.Store("2")
		s.attempt(t, step)
		before := s.arrivals.Load()
		var refused *messenger.Verdict
		for range int(window / step) {
			if end := s.attempt(t, step); end.refused != nil {
				refused = end.refused
			}
		}
		require.NotNil(t, refused)
		require.Equal(t, "Limited", refused.Reason)
		require.False(t, refused.Arrived)
		require.Positive(t, refused.AvoidMs, "routers learn when the server takes requests again")
		require.InDelta(t, 2*window.Seconds(), s.arrivals.Load()-before, 1.5)
	})
	t.Run("NotAfterAnAnswerWithoutIt", func(t *testing.T) {
		s := newNeedyServer(t)
		s.limit.Store("2")
		s.attempt(t, step)
		s.limit.Store("")
		require.True(t, s.attempt(t, time.Second).answered)
		for range 100 {
			require.True(t, s.attempt(t, step).answered)
		}
	})
	t.Run("NotInItsNextRun", func(t *testing.T) {
		s := newNeedyServer(t)
		s.limit.Store("0.5")
		s.attempt(t, step)
		require.NotNil(t, s.attempt(t, step).refused)
		s.limit.Store("")
		served := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		t.Cleanup(served.Close)
		s.announce(t, served.URL, "second")
		require.True(t, s.attempt(t, step).answered)
	})
}

// TestRecalledLimitsHoldForTheirRun guards against a limit that is forgotten by a restart, or
// while the server does not count as present, and against one that outlasts its run.
func TestRecalledLimitsHoldForTheirRun(t *testing.T) {
	limit := witness.Limit{ID: "second", PerSecond: 2}
	served := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(served.Close)
	requireLimited := func(t *testing.T, s *needyServer) {
		t.Helper()
		end := s.attempt(t, time.Millisecond)
		require.NotNil(t, end.refused)
		require.Equal(t, "Limited", end.refused.Reason)
	}
	t.Run("ToldBeforeItIsAnnounced", func(t *testing.T) {
		s := newNeedyServer(t)
		s.guard.RecallLimit(limit)
		require.True(t, s.attempt(t, time.Millisecond).answered, "another run is in service")
		s.announce(t, served.URL, "second")
		requireLimited(t, s)
		s.announce(t, served.URL, "third")
		require.True(t, s.attempt(t, time.Millisecond).answered)
	})
	t.Run("ToldAfterwards", func(t *testing.T) {
		s := newNeedyServer(t)
		s.announce(t, served.URL, "second")
		s.guard.RecallLimit(limit)
		requireLimited(t, s)
		require.True(t, s.attempt(t, time.Second).answered)
		require.True(t, s.attempt(t, time.Millisecond).answered, "an answer names no limit")
		s.guard.RecallLimit(limit)
		require.True(t, s.attempt(t, time.Millisecond).answered)
	})
	t.Run("AnnouncedAgainAfterASilence", func(t *testing.T) {
		s := newNeedyServer(t)
		s.limit.Store("2")
		require.True(t, s.attempt(t, time.Millisecond).answered)
		require.NoError(t, s.guard.Retire("first"))
		s.guard.Tick(func(string) uint32 { return 8 })
		s.announce(t, s.url, "first")
		requireLimited(t, s)
	})
}

// TestLeavingAnswersAreReported guards against new work for a server that says in its
// answers that it leaves.
func TestLeavingAnswersAreReported(t *testing.T) {
	s := newNeedyServer(t)
	s.attempt(t, time.Millisecond)
	require.Empty(t, s.left)
	s.leaving.Store(true)
	s.limit.Store("2")
	end := s.attempt(t, time.Millisecond)
	require.True(t, end.answered, "the answer itself is passed on")
	require.Equal(t, "first", end.head.Statement.GetLimitedRun())
	require.InDelta(t, 2, end.head.Statement.GetPerSecond(), 0)
	require.Equal(t, []string{"first"}, s.left)
	require.Equal(t, "first", end.head.Statement.GetLeftRun(), "its router learns it")
	require.EqualValues(t, leftMs, end.head.Statement.GetLeftMs())
}

// TestStoredAnswersKeepTheirStatement guards against a router that passes on a stored answer which
// says that its server leaves, and does not learn it.
func TestStoredAnswersKeepTheirStatement(t *testing.T) {
	s := newNeedyServer(t)
	s.key = "k"
	s.leaving.Store(true)
	require.True(t, s.attempt(t, time.Millisecond).answered)
	end := s.attempt(t, time.Millisecond)
	require.True(t, end.answered)
	require.True(t, end.head.RepeatedAnswer)
	require.EqualValues(t, 1, s.arrivals.Load())
	require.Equal(t, "first", end.head.Statement.GetLeftRun())
	require.EqualValues(t, leftMs, end.head.Statement.GetLeftMs())
}

// TestLeavingRefusalsAreReported guards against a router that does not learn of a leave that the
// server says as it refuses a request.
func TestLeavingRefusalsAreReported(t *testing.T) {
	s := newNeedyServer(t)
	s.leaving.Store(true)
	s.refusing.Store(true)
	end := s.attempt(t, time.Millisecond)
	require.NotNil(t, end.refused)
	require.Equal(t, []string{"first"}, s.left)
	require.Equal(t, "first", end.refused.Statement.GetLeftRun())
}

// TestGuardsLearnFromRouters guards against an attempt that a guard decides about before it has
// learned what the attempt's router knows of the server.
func TestGuardsLearnFromRouters(t *testing.T) {
	s := newNeedyServer(t)
	require.True(t, s.attempt(t, time.Millisecond).answered)
	require.Empty(t, s.told)
	s.retireOnStatement = true
	s.statement = &messenger.Statement{LeftRun: "first", LeftRunStartedMs: 3, LeftMs: 5}
	before := s.arrivals.Load()
	end := s.attempt(t, time.Millisecond)
	require.NotNil(t, end.refused)
	require.True(t, end.refused.Leaving)
	require.Equal(t, before, s.arrivals.Load())
	require.Equal(t, []witness.Statement{{Departure: enroller.Departure{ID: "first", StartedMs: 3, LeftMs: 5}}}, s.told)
}

// TestAttemptsThatEndBeforeTheStop guards against a server that stands idle from the
// beginning of a planned stop, and against attempts that the stop cuts off.
func TestAttemptsThatEndBeforeTheStop(t *testing.T) {
	requireRefused := func(t *testing.T, end *attemptStream) {
		t.Helper()
		require.NotNil(t, end.refused)
		require.Equal(t, "StoppingBeforeItsEnd", end.refused.Reason)
		require.False(t, end.refused.Arrived)
		require.False(t, end.refused.Leaving, "shorter requests still find the server")
	}
	s := newNeedyServer(t)
	t.Run("UnknownDuration", func(t *testing.T) {
		s.stopping.Store(true)
		requireRefused(t, s.attempt(t, time.Millisecond))
		s.stopping.Store(false)
	})
	learn := func(t *testing.T, serviceTime time.Duration) {
		t.Helper()
		s.serviceTime.Store(int64(serviceTime))
		for range 200 {
			require.True(t, s.attempt(t, time.Millisecond).answered)
		}
	}
	t.Run("Short", func(t *testing.T) {
		learn(t, 100*time.Millisecond)
		s.stopping.Store(true)
		require.True(t, s.attempt(t, time.Millisecond).answered)
		s.stopping.Store(false)
	})
	t.Run("Long", func(t *testing.T) {
		learn(t, 900*time.Millisecond)
		s.stopping.Store(true)
		requireRefused(t, s.attempt(t, time.Millisecond))
	})
}
