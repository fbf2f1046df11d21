package router

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// resultKind is how an attempt ended.
type resultKind uint8

const (
	// resultAnswered means that the head of the backend server's answer has arrived.
	resultAnswered resultKind = iota + 1
	// resultRefused means that the attempt did not run and never will.
	resultRefused
	// resultAlreadyRan means that a request with the same key ran before and that
	// its answer is no longer cached.
	resultAlreadyRan
	// resultUnknown means that the guard does not know the outcome.
	resultUnknown
	// resultLost means that the connection failed before the guard told the outcome.
	resultLost
)

// result is the outcome of one attempt, with the answer stream if it was answered.
type result struct {
	kind      resultKind
	entry     tracker.Entry
	attemptID deduplicator.AttemptID
	issuedMs  int64
	reason    string
	// verdict is set if the guard sent its decision instead of an answer.
	verdict *messenger.Verdict
	head    *messenger.AnswerHead
	// bodyPrefix holds the first bytes of the body, or all of it if bodyComplete is set.
	bodyPrefix   []byte
	bodyComplete bool
	// body counts the bytes of the body that have arrived.
	body    bodyCounter
	stream  messenger.DRPCGuard_ForwardClient
	cancel  context.CancelFunc
	latency time.Duration
	// expected is the service time that the request is expected to need at the server, 0
	// if its service is not balanced by work.
	expected time.Duration
	// told is what the guard is told that its server said of itself to an earlier process.
	told witness.Statement
	// responded is set once any frame has arrived from the guard.
	responded bool
	// released is set once the guard has been allowed to run the attempt.
	released bool
	// bodyConsumed is set once bytes of a streamed body were read, which rules out
	// another attempt.
	bodyConsumed bool
}

// failed reports whether the attempt brought no answer or a 5xx status.
func (r *result) failed() bool {
	return r.kind != resultAnswered || r.head.Status >= serverErrorStatus
}

// mayHaveArrived reports whether the attempt may have reached the backend server.
func (r *result) mayHaveArrived() bool {
	if r.kind == resultRefused {
		return r.verdict != nil && r.verdict.Arrived
	}
	return true
}

// retryFunded reports whether the guard has paid for the request's next attempt.
func (r *result) retryFunded() bool {
	return r.head.GetRetryFunded() || r.verdict.GetRetryFunded()
}

// temporaryRefusal reports whether the guard refused because it had no free slot
// or doubts the health of its server. The request may insist at the same guard.
func (r *result) temporaryRefusal() bool {
	return r.kind == resultRefused && r.verdict != nil && (r.verdict.Doubtful || r.verdict.Busy)
}

const (
	serverErrorStatus = 500
	// admissionTimeout is the maximum wait for a guard's first frame. It covers the
	// retransmission of a lost packet and a throttled core.
	admissionTimeout = 300 * time.Millisecond
)

// pick chooses the server of the next attempt, without logging it. The Server of the
// entry is nil if none qualifies.
func (r *Router) pick(request *callerRequest, want searcher.Constraints) (tracker.Entry, picker.Reason) {
	state := r.deps.ServiceTable.ServiceState(request.service.Name)
	if state == nil {
		return tracker.Entry{}, picker.ReasonNone
	}
	self := r.deps.Self()
	query := picker.Query{
		Self:         self.Incarnation,
		Zone:         self.Zone,
		Now:          r.deps.Now().Mono,
		Random:       r.deps.Random(),
		Idempotent:   request.idempotent,
		SkipAvoided:  want.SkipAvoided,
		SameZoneOnly: want.SameZone,
	}
	for _, incarnation := range want.Exclude {
		query = query.WithTried(incarnation)
	}
	r.balanceByWork(&query, request, state, want)
	return picker.Pick(state.Pool, query)
}

// send runs one attempt at a server, until the head of its answer has arrived or
// the attempt has failed.
func (r *Router) send(ctx context.Context, request *callerRequest, entry tracker.Entry, reason string, insist bool) result {
	request.attempts++
	expected := r.expectedWork(r.deps.Now().Mono, request, entry.Server)
	r.logRouted(request, entry, reason, insist, expected)
	ctx, cancel := context.WithCancel(ctx)
	start := r.deps.Now()
	outcome := result{
		entry: entry, cancel: cancel, issuedMs: start.UnixMilli(), attemptID: r.newAttemptID(), expected: expected,
		told: r.deps.Statements.UnknownTo(entry.Member),
	}
	entry.Server.Begin(start.Mono)
	entry.Server.BeginWork(expected)
	r.forward(ctx, request, &outcome, insist)
	entry.Server.End()
	entry.Server.EndWork(expected)
	now := r.deps.Now()
	outcome.latency = now.Since(start)
	if !outcome.responded {
		request.unanswered += outcome.latency
	}
	r.recordResult(ctx, request, &outcome, now.Mono, insist)
	if outcome.kind != resultAnswered {
		cancel()
	}
	return outcome
}

func (r *Router) logRouted(
	request *callerRequest, entry tracker.Entry, reason string, insist bool, expected time.Duration,
) {
	r.deps.Meter.CountAttempt(request.service.Name, reason)
	now := r.deps.Now().Mono
	r.deps.Log.Info("Routed", append([]any{
		"Request", request.id, "Route", request.route.Name,
		"Service", request.service.Name, "Attempt", request.attempts, "Server", entry.Member.Address,
		"Incarnation", entry.Member.Incarnation,
		"Zone", entry.Member.Zone, "Reason", reason, "Insist", insist, "Load", entry.Server.Load(now),
		"MemberVersion", entry.Member.Version,
	}, logEstimate(request, entry.Server, now, expected)...)...)
}

func (r *Router) newAttemptID() deduplicator.AttemptID {
	var id deduplicator.AttemptID
	binary.BigEndian.PutUint64(id[:8], r.deps.Random())
	binary.BigEndian.PutUint64(id[8:], r.deps.Random())
	return id
}

// applyVerdict sets the result from a guard's verdict.
func (r *result) applyVerdict(verdict *messenger.Verdict) {
	r.verdict = verdict
	r.reason = verdict.Reason
	switch answerer.Outcome(verdict.Outcome) {
	case answerer.OutcomeNotRun:
		r.kind = resultRefused
	case answerer.OutcomeRan:
		r.kind = resultAlreadyRan
	default:
		r.kind = resultUnknown
	}
}

// readBodyPrefix reads the first bytes of the body, or all of a short one.
func (r *result) readBodyPrefix() {
	for {
		frame, err := r.stream.Recv()
		if err != nil {
			r.reason = "Receive"
			return
		}
		if verdict := frame.GetVerdict(); verdict != nil {
			r.applyVerdict(verdict)
			return
		}
		if !r.body.add(frame.GetData()) || frame.GetEnd() && !r.body.whole() {
			r.kind, r.reason = resultUnknown, reasonMalformedAnswer
			return
		}
		if frame.GetEnd() {
			r.bodyComplete = true
			r.kind = resultAnswered
			return
		}
		r.bodyPrefix = append(r.bodyPrefix, frame.GetData()...)
		if len(r.bodyPrefix) >= bodyPrefixBytes || r.head.Length > bodyPrefixBytes {
			r.kind = resultAnswered
			return
		}
	}
}

// reasonMalformedAnswer is that of an answer that its process should not have passed on.
const reasonMalformedAnswer = "MalformedAnswer"

// bodyPrefixBytes is how much of an answer is buffered before the caller gets any of it.
const bodyPrefixBytes = 64 << 10
