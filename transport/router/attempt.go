package router

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/dispatcher"
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
	attempt dispatcher.AttemptID
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
	admissionTimeout = 500 * time.Millisecond
)

var errUnframed = eris.New("guard sent an unexpected frame")

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
	lane := r.deps.Lanes.Lane(request.service.Name)
	if lane == nil {
		return tracker.Entry{}, picker.ReasonNone
	}
	self := r.deps.Self()
	query := picker.Query{
		Self:        self.Incarnation,
		Zone:        self.Zone,
		Now:         r.deps.Now().Mono,
		Random:      r.deps.Random(),
		Idempotent:  request.idempotent,
		SkipAvoided: want.sound,
		NearOnly:    want.near,
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
	r.deps.Meter.Attempt(request.service.Name, reason)
	r.deps.Log.Info("Routed", "Request", request.id, "Route", request.route.Name,
		"Service", request.service.Name, "Attempt", request.attempts, "Server", entry.Member.Address,
		"Zone", entry.Member.Zone, "Reason", reason, "Insist", insist, "Load", entry.Server.Load(r.deps.Now().Mono),
		"MemberVersion", entry.Member.Version)
}

func (r *Router) newAttempt() dispatcher.AttemptID {
	var id dispatcher.AttemptID
	binary.BigEndian.PutUint64(id[:8], r.deps.Random())
	binary.BigEndian.PutUint64(id[8:], r.deps.Random())
	return id
}

// exchange speaks with the guard and fills in how the attempt went. An attempt
// that was offered and not released has not run and never will.
func (r *Router) exchange(ctx context.Context, request *call, outcome *result, insist bool) {
	ctx, silence := context.WithCancel(ctx)
	outcome.cancel = joined(outcome.cancel, silence)
	watch := time.AfterFunc(admissionTimeout, silence)
	defer watch.Stop()
	outcome.kind = resultLost
	r.converse(ctx, request, outcome, insist, watch)
	if outcome.kind == resultLost && !outcome.released {
		outcome.kind = resultRefused
	}
}

func joined(first, second context.CancelFunc) context.CancelFunc {
	return func() {
		first()
		second()
	}
}

func (r *Router) converse(ctx context.Context, request *call, outcome *result, insist bool, watch *time.Timer) {
	stream, err := r.deps.Guard(ctx, outcome.entry.Member.Address).Forward(ctx)
	if err != nil {
		outcome.reason = "Connect"
		return
	}
	outcome.stream = stream
	head := r.requestHead(request, outcome, insist)
	outcome.released = !head.Offer
	if err := stream.Send(&messenger.Frame{Part: &messenger.Frame_Request{Request: head}}); err != nil {
		outcome.reason = "Send"
		return
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			outcome.reason = "Receive"
			return
		}
		watch.Stop()
		outcome.heard = true
		if verdict := frame.GetVerdict(); verdict != nil {
			if verdict.Admitted {
				r.release(request, outcome, head)
				continue
			}
			if verdict.Queued {
				continue
			}
			outcome.take(verdict)
			return
		}
		if answer := frame.GetAnswer(); answer != nil {
			outcome.head = answer
			outcome.readFirst()
			return
		}
		outcome.reason = errUnframed.Error()
		return
	}
}

func (r *Router) requestHead(request *call, outcome *result, insist bool) *messenger.RequestHead {
	left := -r.deps.Now().Since(request.deadline())
	head := &messenger.RequestHead{
		Attempt:     outcome.attempt[:],
		Incarnation: outcome.entry.Member.Incarnation,
		Key:         request.key,
		Idempotent:  request.idempotent,
		IssuedMs:    outcome.issued,
		BudgetUs:    left.Microseconds(),
		Method:      request.method,
		Uri:         request.uri,
		BodyLength:  request.length,
		Service:     request.service.Name,
		Caller:      request.caller,
		Route:       request.routeHash,
		RequestId:   request.id,
		Origin:      r.deps.Origin(),
		Rank:        request.rank(),
		HoldUs:      max(0, request.hold()-r.deps.Now().Since(request.began)).Microseconds(),
		Insist:      insist,
		Earlier:     uint32(request.arrivals),
		Derived:     float32(request.derived),
		Offer:       true,
	}
	if !head.Offer {
		r.fill(request, head)
	}
	return head
}

// fill adds what a guard needs to run the attempt, with the body if it is short.
func (r *Router) fill(request *call, head *messenger.RequestHead) {
	head.Headers = request.headers
	head.BodyFollows = request.long != nil || len(request.body) > inlineBodyBytes
	if !head.BodyFollows {
		head.Body = request.body
	}
}

// release sends what the guard waits for after it has admitted the attempt. A
// failure ends the stream, which the guard sees.
func (r *Router) release(request *call, outcome *result, head *messenger.RequestHead) {
	outcome.released = true
	if head.Offer {
		r.fill(request, head)
		rest := &messenger.RequestHead{Headers: head.Headers, Body: head.Body, BodyFollows: head.BodyFollows}
		if err := outcome.stream.Send(&messenger.Frame{Part: &messenger.Frame_Request{Request: rest}}); err != nil {
			r.deps.Log.Info("ReleaseBroken", "Request", request.id, "Error", err)
			return
		}
	}
	if !head.BodyFollows {
		return
	}
	var err error
	if request.long != nil {
		outcome.touched = true
		err = copyBody(outcome.stream, request.long)
	} else {
		err = sendBody(outcome.stream, request.body)
	}
	if err != nil {
		r.deps.Log.Info("UploadBroken", "Request", request.id, "Error", err)
		if outcome.touched {
			outcome.cancel()
		}
	}
}

func sendBody(stream messenger.DRPCGuard_ForwardClient, body []byte) error {
	for len(body) > 0 {
		n := min(len(body), chunkBytes)
		data := &messenger.Frame{Part: &messenger.Frame_Data{Data: body[:n]}}
		if err := stream.Send(data); err != nil {
			return fmt.Errorf("sending the body: %w", err)
		}
		body = body[n:]
	}
	return endBody(stream)
}

func copyBody(stream messenger.DRPCGuard_ForwardClient, body io.Reader) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			data := &messenger.Frame{Part: &messenger.Frame_Data{Data: buffer[:n]}}
			if sendErr := stream.Send(data); sendErr != nil {
				return fmt.Errorf("sending the body: %w", sendErr)
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return endBody(stream)
		}
		if err != nil {
			return fmt.Errorf("reading the caller's body: %w", err)
		}
	}
}

func endBody(stream messenger.DRPCGuard_ForwardClient) error {
	if err := stream.Send(&messenger.Frame{Part: &messenger.Frame_End{End: true}}); err != nil {
		return fmt.Errorf("ending the body: %w", err)
	}
	return nil
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

// learn updates the router's view of the server.
func (r *Router) learn(ctx context.Context, request *call, outcome *result, now time.Duration, insist bool) {
	server := outcome.entry.Server
	if outcome.arrived() {
		request.arrivals++
	}
	lane := r.deps.Lanes.Lane(request.service.Name)
	if lane != nil && !insist {
		lane.Refusing.Observe(outcome.soft() && outcome.verdict.Busy)
	}
	switch outcome.kind {
	case resultAnswered:
		took := outcome.took
		if outcome.bad() {
			took += badAnswerPenalty
		}
		server.Answered(now, took, int64(outcome.head.InFlight+outcome.head.Queued))
		if lane != nil && request.long == nil {
			lane.Pool.Typical.Observe(outcome.took)
			lane.Late.Observe(request.routeHash, outcome.took)
		}
	case resultRefused:
		r.learnRefusal(ctx, outcome, now)
	case resultUnknown, resultRan:
		server.Heard(now)
		server.Observe(outcome.took + badAnswerPenalty)
	case resultLost:
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			server.Failed(now)
		}
	}
}

func (r *Router) learnRefusal(ctx context.Context, outcome *result, now time.Duration) {
	server := outcome.entry.Server
	if !outcome.heard {
		if ctx.Err() == nil {
			server.Failed(now)
		}
		return
	}
	server.Heard(now)
	verdict := outcome.verdict
	switch {
	case verdict == nil:
	case verdict.Leaving || verdict.Ejected || verdict.Doubtful:
		server.Refused(now)
	case verdict.Load > 0:
		server.Busy(now, int64(verdict.Load))
	}
}

// badAnswerPenalty is added to the time of a bad answer, so that a server that
// fails fast does not look quick.
const badAnswerPenalty = 500 * time.Millisecond

// resolve asks a guard what became of an attempt whose answer was lost, until
// it says or the context ends.
func (r *Router) resolve(ctx context.Context, request *call, lost result) dispatcher.State {
	for {
		state, err := r.resolveOnce(ctx, request.key, lost)
		if err == nil && state != dispatcher.StateRunning {
			r.deps.Log.Info("Resolved", "Request", request.id, "Server", lost.entry.Member.Address, "State", state.String())
			return state
		}
		if waitErr := pause(ctx, resolvePeriod); waitErr != nil {
			r.deps.Log.Info("Unresolved", "Request", request.id, "Server", lost.entry.Member.Address, "Error", err)
			return dispatcher.StateUnseen
		}
	}
}

const (
	resolvePeriod  = 50 * time.Millisecond
	resolveTimeout = time.Second
)

func (r *Router) resolveOnce(ctx context.Context, key string, lost result) (dispatcher.State, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := r.deps.Guard(ctx, lost.entry.Member.Address).Resolve(ctx, &messenger.ResolveRequest{
		Attempt:     lost.attempt[:],
		Incarnation: lost.entry.Member.Incarnation,
		IssuedMs:    lost.issued,
		Key:         key,
	})
	if err != nil {
		return dispatcher.StateUnseen, fmt.Errorf("resolving an attempt: %w", err)
	}
	return dispatcher.State(reply.State), nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return fmt.Errorf("pausing: %w", ctx.Err())
	case <-timer.C:
		return nil
	}
}
