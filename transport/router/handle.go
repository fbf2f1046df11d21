package router

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"golang.org/x/sys/unix"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// reply is what a caller gets: a begun answer or a refusal.
type reply struct {
	answer  *result
	refused *refusal
	// cancel ends the request's work once the answer has been sent.
	cancel context.CancelFunc
}

// handle finds the answer to a request within its deadline.
func (r *Router) handle(parent context.Context, request *call) reply {
	left := -r.deps.Now().Since(request.deadline())
	ctx, cancel := context.WithTimeout(parent, left)
	if request.conn != nil {
		go watchCaller(ctx, request.conn, cancel)
	}
	lane := r.deps.Lanes.Lane(request.service.Name)
	if lane != nil {
		lane.Budget.First()
	}
	switch {
	case lane == nil:
		return reply{refused: notRun(consts.StatusServiceUnavailable, "NoBackendServer"), cancel: cancel}
	case request.key != "":
		return reply{cancel: cancel}.with(r.handleKeyed(ctx, request))
	case request.idempotent:
		return reply{cancel: cancel}.with(r.handleIdempotent(ctx, request, lane))
	default:
		return reply{cancel: cancel}.with(r.handleOnce(ctx, request, lane))
	}
}

func (r reply) with(answer *result, refused *refusal) reply {
	r.answer, r.refused = answer, refused
	return r
}

// watchCaller cancels a request whose caller has closed the connection.
func watchCaller(ctx context.Context, conn net.Conn, cancel context.CancelFunc) {
	ticker := time.NewTicker(goneProbe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if closedByCaller(conn) {
				cancel()
				return
			}
		}
	}
}

func closedByCaller(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = peekErr == nil && n == 0 || peekErr != nil && peekErr != unix.EAGAIN && peekErr != unix.EINTR
	})
	return err != nil || closed
}

func unknown(ctx context.Context, reason string) *refusal {
	status := consts.StatusBadGateway
	if ctx.Err() != nil {
		status = consts.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: answerer.OutcomeUnknown, reason: reason}
}

func ran(reason string) *refusal {
	return &refusal{status: consts.StatusConflict, outcome: answerer.OutcomeRan, reason: reason}
}

// end classifies the end of an attempt.
func (r result) end() retrier.End {
	switch r.kind {
	case resultAnswered:
		if r.head.Status >= serverErrorStatus {
			return retrier.EndBadAnswer
		}
		return retrier.EndAnswered
	case resultRefused:
		return retrier.EndRefused
	case resultRan:
		return retrier.EndRan
	case resultLost:
		return retrier.EndLost
	default:
		return retrier.EndUnknown
	}
}

// conclude turns a last step into what the caller gets.
func conclude(ctx context.Context, step retrier.Step, outcome *result) (*result, *refusal) {
	switch step {
	case retrier.StepAnswer:
		return outcome, nil
	case retrier.StepNotRun:
		return nil, notRun(consts.StatusServiceUnavailable, outcome.reason)
	case retrier.StepRan:
		return nil, ran(outcome.reason)
	default:
		return nil, unknown(ctx, outcome.reason)
	}
}

// handleOnce runs a non-idempotent request without a key. It is sent again only
// after a refusal that fences the attempt before.
func (r *Router) handleOnce(ctx context.Context, request *call, lane *Lane) (*result, *refusal) {
	var tried []uint64
	for {
		entry, why := r.pick(request, tried)
		if entry.Server == nil {
			return nil, notRun(consts.StatusServiceUnavailable, "NoBackendServer")
		}
		outcome := r.send(ctx, request, entry, why.String())
		tried = append(tried, entry.Member.Incarnation)
		more := len(tried) < retrier.MaxAttempts && !outcome.touched && ctx.Err() == nil
		history := retrier.History{Kind: retrier.KindOnce, More: more && r.mayRetry(lane, outcome)}
		step := history.AfterAttempt(outcome.end())
		if step == retrier.StepResolve {
			step = history.AfterResolve(r.resolve(ctx, request, outcome))
		}
		if step != retrier.StepRetry {
			return conclude(ctx, step, &outcome)
		}
	}
}

// mayRetry tells whether another attempt is allowed. One that was refused by a
// leaving or ejected server costs nothing.
func (r *Router) mayRetry(lane *Lane, outcome result) bool {
	switch outcome.kind {
	case resultAnswered, resultRan, resultUnknown:
		if !outcome.bad() {
			return false
		}
	case resultRefused:
		if outcome.verdict.Leaving || outcome.verdict.Ejected {
			return true
		}
	}
	return lane.Budget.Take()
}

// handleKeyed runs a request with a key at the one guard that may run it.
func (r *Router) handleKeyed(ctx context.Context, request *call) (*result, *refusal) {
	binding, refused := r.bind(ctx, request)
	if refused != nil {
		return nil, refused
	}
	knownToRun := false
	for {
		entry, refused := r.bound(ctx, binding)
		if refused != nil {
			return nil, refused
		}
		outcome := r.send(ctx, request, entry, "Key")
		more := !outcome.touched && ctx.Err() == nil
		history := retrier.History{Kind: retrier.KindKeyed, More: more, Ran: knownToRun}
		step := history.AfterAttempt(outcome.end())
		if step == retrier.StepResolve {
			step = history.AfterResolve(r.resolve(ctx, request, outcome))
		}
		if step != retrier.StepRepeat {
			return conclude(ctx, step, &outcome)
		}
		knownToRun = true
	}
}

// bind returns which guard may run the key.
func (r *Router) bind(ctx context.Context, request *call) (claimer.Binding, *refusal) {
	if claimer.IsBound(request.key) {
		return r.deps.Fate(request.bound.Guard, request.key, request.keyMs), nil
	}
	binding := r.deps.Binding(request.key)
	if binding.Fate != claimer.FateFree && binding.Fate != claimer.FateNeverRan {
		return binding, nil
	}
	entry, _ := r.pick(request, nil)
	if entry.Server == nil {
		return binding, notRun(consts.StatusServiceUnavailable, "NoBackendServer")
	}
	binding, err := r.deps.Claim(ctx, claimer.Claim{
		Key:     request.key,
		Service: request.service.Name,
		Guard:   entry.Member.Incarnation,
	})
	if err != nil {
		r.deps.Log.Info("ClaimFailed", "Request", request.id, "Error", err)
		return binding, r.unclaimed(ctx, request)
	}
	return binding, nil
}

// unclaimed is the word on a key that could not be claimed. This request was
// not run, but the log would have told of an earlier one with the same key; a
// key that is not fresh may have had one.
func (r *Router) unclaimed(ctx context.Context, request *call) *refusal {
	age := request.began.UnixMilli() - request.keyMs
	if age > freshKey.Milliseconds() {
		return unknown(ctx, "LogUnavailable")
	}
	return notRun(consts.StatusServiceUnavailable, "LogUnavailable")
}

// freshKey is the age up to which a key counts as used for the first time.
const freshKey = time.Second

// bound returns the server of a binding, or the word on a key whose guard is gone.
func (r *Router) bound(ctx context.Context, binding claimer.Binding) (tracker.Entry, *refusal) {
	switch binding.Fate {
	case claimer.FateRan:
		return tracker.Entry{}, ran(fmt.Sprintf("RanBeforeStop Status %d", binding.Status))
	case claimer.FateNeverRan:
		return tracker.Entry{}, notRun(consts.StatusServiceUnavailable, "GuardLeft")
	case claimer.FateUnknown, claimer.FateFree:
		return tracker.Entry{}, unknown(ctx, "GuardGone")
	}
	member, ok := r.deps.Roster().Member(binding.Guard)
	if !ok || member.State == registrar.StateGone {
		return tracker.Entry{}, unknown(ctx, "GuardGone")
	}
	if lane := r.deps.Lanes.Lane(member.Service); lane != nil {
		if entry, ok := lane.Pool.Find(binding.Guard); ok {
			return entry, nil
		}
	}
	return tracker.Entry{Member: member, Server: tracker.New(member.Incarnation, 0, 0)}, nil
}

// race runs the attempts of one idempotent request.
type race struct {
	router  *Router
	lane    *Lane
	request *call
	results chan result
	tried   []uint64
	pending int
	// cancels ends each attempt that was launched.
	cancels []context.CancelFunc
	// mayHaveRun is set by the first attempt that may have run.
	mayHaveRun bool
	// last is the step after the latest attempt that ended.
	last retrier.Step
	// fallback is a bad answer to give if no attempt does better.
	fallback *result
	reason   string
}

// handleIdempotent runs a request that may run more than once: bad answers are
// tried again, late ones are hedged, all within the retry budget.
func (r *Router) handleIdempotent(ctx context.Context, request *call, lane *Lane) (*result, *refusal) {
	contest := &race{
		router:  r,
		lane:    lane,
		request: request,
		results: make(chan result, retrier.MaxAttempts),
		last:    retrier.StepNotRun,
		reason:  "NoBackendServer",
	}
	contest.launch(ctx)
	hedge := time.NewTimer(hedgeDelay(request, lane))
	defer hedge.Stop()
	for contest.pending > 0 {
		select {
		case outcome := <-contest.results:
			if winner := contest.take(ctx, outcome); winner != nil {
				contest.drop(winner)
				return winner, nil
			}
		case <-hedge.C:
			if request.long == nil && lane.Budget.Take() {
				contest.launch(ctx)
			}
		case <-ctx.Done():
			contest.drop(nil)
			return nil, unknown(ctx, "DeadlinePassed")
		}
	}
	if contest.fallback != nil {
		return contest.fallback, nil
	}
	return conclude(ctx, contest.last, &result{reason: contest.reason})
}

// hedgeDelay is the pool's own late time, or a share of the patience without hedging.
func hedgeDelay(request *call, lane *Lane) time.Duration {
	const patienceShare = 3
	delay := request.patience / patienceShare
	if late := lane.Late.Delay(); request.policy.Hedge && late > 0 {
		return min(delay, late)
	}
	return delay
}

// launch starts one more attempt and tells whether there was a server for it.
func (c *race) launch(ctx context.Context) bool {
	if len(c.tried) >= retrier.MaxAttempts || ctx.Err() != nil {
		return false
	}
	entry, why := c.router.pick(c.request, c.tried)
	if entry.Server == nil {
		return false
	}
	c.tried = append(c.tried, entry.Member.Incarnation)
	c.pending++
	ctx, cancel := context.WithCancel(ctx)
	c.cancels = append(c.cancels, cancel)
	copied := *c.request
	c.request.attempts++
	go func() {
		outcome := c.router.send(ctx, &copied, entry, why.String())
		outcome.cancel = cancel
		c.results <- outcome
	}()
	return true
}

// take handles the end of one attempt and returns it if it wins.
func (c *race) take(ctx context.Context, outcome result) *result {
	c.pending--
	end := outcome.end()
	if end == retrier.EndAnswered {
		return &outcome
	}
	c.reason = outcome.reason
	if end == retrier.EndBadAnswer {
		c.keepFallback(&outcome)
	}
	c.mayHaveRun = c.mayHaveRun || end != retrier.EndRefused
	spent := outcome.touched || c.request.long != nil && end != retrier.EndRefused
	more := !spent && len(c.tried) < retrier.MaxAttempts && ctx.Err() == nil
	history := retrier.History{
		Kind:       retrier.KindIdempotent,
		More:       more && c.router.mayRetry(c.lane, outcome),
		MayHaveRun: c.mayHaveRun,
	}
	c.last = history.AfterAttempt(end)
	if c.last == retrier.StepRetry && !c.launch(ctx) {
		history.More = false
		c.last = history.AfterAttempt(end)
	}
	return nil
}

func (c *race) keepFallback(outcome *result) {
	if c.fallback != nil {
		outcome.cancel()
		return
	}
	c.fallback = outcome
}

// drop ends all attempts but the winner.
func (c *race) drop(winner *result) {
	if c.fallback != nil && c.fallback != winner {
		c.fallback.cancel()
	}
	pending := c.pending
	cancels := c.cancels
	results := c.results
	keep := -1
	if winner != nil {
		for i, incarnation := range c.tried {
			if incarnation == winner.entry.Member.Incarnation {
				keep = i
			}
		}
	}
	for i, cancel := range cancels {
		if i != keep {
			cancel()
		}
	}
	for range pending {
		go func() { (<-results).cancel() }()
	}
}

// respond sends the reply to the caller.
func (r *Router) respond(c *app.RequestContext, request *call, reply reply) {
	if reply.refused != nil {
		r.refuse(c, request, *reply.refused)
		reply.cancel()
		r.active.Add(-1)
		return
	}
	answer := reply.answer
	c.SetStatusCode(int(answer.head.Status))
	for _, header := range answer.head.Headers {
		addHeader(c, header)
	}
	c.Response.Header.Set(answerer.HeaderOutcome, answerer.OutcomeAnswered.String())
	c.Response.Header.Set(answerer.HeaderRequestID, request.id)
	if answer.head.RepeatedAnswer {
		c.Response.Header.Set(answerer.HeaderRepeated, "true")
	}
	if request.unread {
		c.SetConnectionClose()
	}
	body := &download{router: r, request: request, answer: answer, cancel: reply.cancel, rest: answer.first, ended: answer.ended}
	if answer.ended {
		c.Response.SetBody(answer.first)
		body.finish(true)
		return
	}
	c.Response.SetBodyStream(body, int(answer.head.Length))
}

func addHeader(c *app.RequestContext, header *messenger.Header) {
	switch header.Name {
	case consts.HeaderContentType:
		c.Response.Header.SetContentType(header.Value)
	case consts.HeaderServer:
		c.Response.Header.SetServerBytes([]byte(header.Value))
	default:
		c.Response.Header.Add(header.Name, header.Value)
	}
}

// download reads a long answer's body for the caller.
type download struct {
	router  *Router
	request *call
	answer  *result
	cancel  context.CancelFunc
	rest    []byte
	ended   bool
	// sent counts the bytes given to the HTTP server.
	sent int64
	// done is set once the end was accounted for.
	done bool
}

// Read returns io.EOF only at the answer's true end; any other error makes the
// HTTP server break the transfer.
func (d *download) Read(buffer []byte) (int, error) {
	for len(d.rest) == 0 {
		if d.ended {
			d.finish(true)
			return 0, io.EOF
		}
		frame, err := d.answer.stream.Recv()
		if err != nil {
			d.finish(false)
			return 0, fmt.Errorf("reading the answer: %w: %w", errCutOff, err)
		}
		if frame.GetVerdict() != nil {
			d.finish(false)
			return 0, errCutOff
		}
		d.rest = frame.GetData()
		d.ended = frame.GetEnd()
	}
	n := copy(buffer, d.rest)
	d.rest = d.rest[n:]
	d.sent += int64(n)
	return n, nil
}

// Close ends the attempt, whether or not the body was read to its end.
func (d *download) Close() error {
	d.finish(d.ended && len(d.rest) == 0 || d.sent == d.answer.head.Length)
	return nil
}

func (d *download) finish(whole bool) {
	if d.done {
		return
	}
	d.done = true
	if d.answer.ended || whole {
		_ = d.answer.stream.CloseSend()
	}
	d.answer.cancel()
	d.cancel()
	r := d.router
	outcome := answerer.OutcomeAnswered.String()
	if !whole {
		outcome = "Broken"
	}
	took := r.deps.Now().Since(d.request.began)
	r.deps.Meter.Outcome(d.request.service.Name, outcome)
	r.deps.Meter.Latency(d.request.service.Name, took)
	r.deps.Log.Info("Finished", "Request", d.request.id, "Service", d.request.service.Name,
		"Outcome", outcome, "Status", d.answer.head.Status, "Attempts", d.request.attempts,
		"Server", d.answer.entry.Member.Address, "TookUs", took.Microseconds())
	r.active.Add(-1)
}
