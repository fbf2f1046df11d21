package router

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// resultKind is how an attempt ended.
type resultKind uint8

const (
	// resultAnswered means that the backend server's answer has begun.
	resultAnswered resultKind = iota + 1
	// resultRefused means that the attempt has not run and never will.
	resultRefused
	// resultRan means that the key ran before and its answer is not kept.
	resultRan
	// resultUnknown means that the guard does not know the outcome.
	resultUnknown
	// resultLost means that the path failed and the guard was not heard.
	resultLost
)

// result is the end, or the begun answer, of one attempt.
type result struct {
	kind    resultKind
	entry   tracker.Entry
	attempt deduplicator.AttemptID
	issued  int64
	reason  string
	// verdict is set for refusals and unknown outcomes of the guard.
	verdict *messenger.Verdict
	head    *messenger.AnswerHead
	// first holds the body's first bytes, the whole body if ended.
	first  []byte
	ended  bool
	stream messenger.DRPCGuard_ForwardClient
	cancel context.CancelFunc
	took   time.Duration
	// heard is set once the guard has answered anything.
	heard bool
	// released is set once the guard was allowed to run the attempt.
	released bool
	// touched is set once bytes of a body that can't be kept were read.
	touched bool
}

// bad tells whether an idempotent request is worth another try.
func (r *result) bad() bool {
	return r.kind != resultAnswered || r.head.Status >= serverErrorStatus
}

// arrived tells whether the attempt may have reached the backend server.
func (r *result) arrived() bool {
	if r.kind == resultRefused {
		return r.verdict != nil && r.verdict.Arrived
	}
	return true
}

// soft tells whether the server refused for want of a slot or in doubt of its
// own health, and may be asked again with more weight.
func (r *result) soft() bool {
	return r.kind == resultRefused && r.verdict != nil && (r.verdict.Doubtful || r.verdict.Busy)
}

const (
	serverErrorStatus = 500
	// admissionTimeout is how long a guard may take to its first word. It covers
	// a lost packet's retransmission and a throttled core.
	admissionTimeout = 300 * time.Millisecond
)

// wish narrows a choice of servers.
type wish struct {
	// without holds the servers to leave out.
	without []uint64
	// sound leaves out servers that are passed over for now.
	sound bool
	// near leaves out servers of other availability zones.
	near bool
}

// pick chooses the server of the next attempt and logs nothing.
func (r *Router) pick(request *call, want wish) (tracker.Entry, picker.Reason) {
	lane := r.deps.ServiceTable.ServiceState(request.service.Name)
	if lane == nil {
		return tracker.Entry{}, picker.ReasonNone
	}
	self := r.deps.Self()
	query := picker.Query{
		Self:         self.Incarnation,
		Zone:         self.Zone,
		Now:          r.deps.Now().Mono,
		Random:       r.deps.Random(),
		Idempotent:   request.idempotent,
		SkipAvoided:  want.sound,
		SameZoneOnly: want.near,
	}
	for _, incarnation := range want.without {
		query = query.WithTried(incarnation)
	}
	return picker.Pick(lane.Pool, query)
}

// send runs one attempt at a server until its answer has begun or it has failed.
func (r *Router) send(ctx context.Context, request *call, entry tracker.Entry, reason string, insist bool) result {
	request.attempts++
	r.logRouted(request, entry, reason, insist)
	ctx, cancel := context.WithCancel(ctx)
	began := r.deps.Now()
	outcome := result{entry: entry, cancel: cancel, issued: began.UnixMilli(), attempt: r.newAttempt()}
	entry.Server.Begin(began.Mono)
	r.exchange(ctx, request, &outcome, insist)
	entry.Server.End()
	now := r.deps.Now()
	outcome.took = now.Since(began)
	r.learn(ctx, request, &outcome, now.Mono, insist)
	if outcome.kind != resultAnswered {
		cancel()
	}
	return outcome
}

func (r *Router) logRouted(request *call, entry tracker.Entry, reason string, insist bool) {
	r.deps.Meter.CountAttempt(request.service.Name, reason)
	r.deps.Log.Info("Routed", "Request", request.id, "Route", request.route.Name,
		"Service", request.service.Name, "Attempt", request.attempts, "Server", entry.Member.Address,
		"Zone", entry.Member.Zone, "Reason", reason, "Insist", insist, "Load", entry.Server.Load(r.deps.Now().Mono),
		"MemberVersion", entry.Member.Version)
}

func (r *Router) newAttempt() deduplicator.AttemptID {
	var id deduplicator.AttemptID
	binary.BigEndian.PutUint64(id[:8], r.deps.Random())
	binary.BigEndian.PutUint64(id[8:], r.deps.Random())
	return id
}

// take turns a guard's verdict into the attempt's end.
func (r *result) take(verdict *messenger.Verdict) {
	r.verdict = verdict
	r.reason = verdict.Reason
	switch answerer.Outcome(verdict.Outcome) {
	case answerer.OutcomeNotRun:
		r.kind = resultRefused
	case answerer.OutcomeRan:
		r.kind = resultRan
	default:
		r.kind = resultUnknown
	}
}

// readFirst reads the body's beginning: all of a short one.
func (r *result) readFirst() {
	for {
		frame, err := r.stream.Recv()
		if err != nil {
			r.reason = "Receive"
			return
		}
		if frame.GetEnd() {
			r.ended = true
			r.kind = resultAnswered
			return
		}
		if verdict := frame.GetVerdict(); verdict != nil {
			r.take(verdict)
			return
		}
		r.first = append(r.first, frame.GetData()...)
		if len(r.first) >= answerHoldBytes || r.head.Length > answerHoldBytes {
			r.kind = resultAnswered
			return
		}
	}
}

// answerHoldBytes is how much of an answer is read before the caller gets any.
const answerHoldBytes = 64 << 10
