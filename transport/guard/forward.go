package guard

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/dispatcher"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/deliverer"
)

const (
	// ShortBodyBytes is the longest body that travels in one piece with its head.
	ShortBodyBytes = 64 << 10
	// chunkBytes is the size of the pieces of longer bodies.
	chunkBytes = 32 << 10
	// serverErrorStatus is the least status that counts as a bad answer.
	serverErrorStatus = 500
	okStatus          = 200
)

// Errors of forwarded requests.
var (
	ErrProtocol = eris.New("stream does not start with a request's head")
	errCutShort = eris.New("request body ended early")
)

// task is one attempt at this guard.
type task struct {
	head     *messenger.RequestHead
	id       uint64
	attempt  dispatcher.AttemptID
	deadline clocker.Instant
	// remembered is set if the attempt stands in the dispatcher's memory.
	remembered bool
	origin     detector.Origin
	service    cataloger.Service
}

// refusal is a truthful word that an attempt has not run, or the word on its key.
type refusal struct {
	outcome answerer.Outcome
	reason  string
	// answer is the kept answer of the same key, if there is one.
	answer *dispatcher.Answer
}

// Forward carries one attempt.
func (g *Guard) Forward(stream messenger.DRPCGuard_ForwardStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receiving a request's head: %w", err)
	}
	head := frame.GetRequest()
	if head == nil || len(head.Attempt) != len(dispatcher.AttemptID{}) {
		return ErrProtocol
	}
	budget := time.Duration(head.BudgetUs) * time.Microsecond
	ctx, cancel := context.WithTimeout(stream.Context(), budget)
	defer cancel()
	work, refused := g.admit(ctx, head, budget)
	if refused != nil {
		return g.refuse(stream, head, *refused)
	}
	defer g.release(work)
	return g.run(ctx, stream, work)
}

// admit rules on the attempt and waits until it holds a slot.
func (g *Guard) admit(ctx context.Context, head *messenger.RequestHead, budget time.Duration) (*task, *refusal) {
	g.mu.Lock()
	work, decision, refused := g.enter(head, budget)
	if refused != nil {
		g.mu.Unlock()
		return nil, refused
	}
	if decision == limiter.Started {
		g.active++
		g.mu.Unlock()
		return work, nil
	}
	started := make(chan bool, 1)
	g.waiters[work.id] = started
	g.mu.Unlock()
	return g.wait(ctx, work, started)
}

func (g *Guard) enter(head *messenger.RequestHead, budget time.Duration) (*task, limiter.Decision, *refusal) {
	now := g.deps.Now()
	if head.Incarnation != g.deps.Incarnation {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: "OtherIncarnation"}
	}
	if !g.controller.Present() || head.Service != g.service.Name {
		return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: "OtherService"}
	}
	g.nextID++
	work := &task{
		head:       head,
		id:         g.nextID,
		deadline:   now.Add(budget),
		remembered: !head.Idempotent,
		origin:     detector.Origin{Caller: head.Caller, Route: head.Route},
		service:    g.service,
	}
	copy(work.attempt[:], head.Attempt)
	if refused := g.rule(now, work); refused != nil {
		return nil, 0, refused
	}
	reason := g.closedReason()
	if reason == "" {
		decision := g.limiter.Admit(now, work.id, work.deadline)
		if decision == limiter.Started || decision == limiter.Queued {
			return work, decision, nil
		}
		reason = decision.String()
	}
	g.withdraw(work)
	return nil, 0, &refusal{outcome: answerer.OutcomeNotRun, reason: reason}
}

// rule consults the memory of attempts and keys.
func (g *Guard) rule(now clocker.Instant, work *task) *refusal {
	if !work.remembered {
		return nil
	}
	ruling, answer := g.dispatcher.Begin(now, work.attempt, work.head.Key, work.head.IssuedMs)
	switch ruling {
	case dispatcher.RulingRun:
		return nil
	case dispatcher.RulingRepeat:
		return &refusal{outcome: answerer.OutcomeAnswered, reason: ruling.String(), answer: answer}
	case dispatcher.RulingRan:
		return &refusal{outcome: answerer.OutcomeRan, reason: ruling.String()}
	case dispatcher.RulingRunning, dispatcher.RulingDuplicate:
		return &refusal{outcome: answerer.OutcomeUnknown, reason: ruling.String()}
	default:
		return &refusal{outcome: answerer.OutcomeNotRun, reason: ruling.String()}
	}
}

func (g *Guard) closedReason() string {
	switch g.controller.State() {
	case registrar.StateEjected:
		return "Ejected"
	case registrar.StateLeaving, registrar.StateGone:
		return "Leaving"
	default:
		return ""
	}
}

func (g *Guard) withdraw(work *task) {
	if work.remembered {
		g.dispatcher.Withdraw(work.attempt, work.head.Key)
	}
}

func (g *Guard) wait(ctx context.Context, work *task, started chan bool) (*task, *refusal) {
	select {
	case ok := <-started:
		if ok {
			return work, nil
		}
	case <-ctx.Done():
		if g.abandon(work, started) {
			break
		}
		g.release(work)
	}
	g.mu.Lock()
	g.withdraw(work)
	g.mu.Unlock()
	return nil, &refusal{outcome: answerer.OutcomeNotRun, reason: "QueueTimeout"}
}

// abandon takes a waiting request out of the queue. It returns false if the
// request was started in the meantime and holds a slot.
func (g *Guard) abandon(work *task, started chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waiting := g.waiters[work.id]; waiting {
		delete(g.waiters, work.id)
		g.limiter.Remove(work.id)
		return true
	}
	return !<-started
}

// wake tells a waiting request whether it starts. The lock is held.
func (g *Guard) wake(id uint64, start bool) {
	waiter, ok := g.waiters[id]
	if !ok {
		return
	}
	delete(g.waiters, id)
	if start {
		g.active++
	}
	waiter <- start
}

// release frees the slot and starts waiting requests.
func (g *Guard) release(*task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	started, refused := g.limiter.Release(g.deps.Now())
	for _, id := range refused {
		g.wake(id, false)
	}
	for _, id := range started {
		g.wake(id, true)
	}
}

func (g *Guard) refuse(stream messenger.DRPCGuard_ForwardStream, head *messenger.RequestHead, refused refusal) error {
	g.deps.Log.Info("Refused", "Request", fmt.Sprintf("%x", head.Attempt), "Service", head.Service,
		"Outcome", refused.outcome.String(), "Reason", refused.reason)
	if refused.answer != nil {
		return g.sendKept(stream, refused.answer)
	}
	outcome := refused.outcome
	if outcome == answerer.OutcomeNotRun && !head.Idempotent {
		outcome = g.fenced(head)
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome: uint32(outcome),
		Reason:  refused.reason,
		Leaving: refused.reason == "Leaving",
		Ejected: refused.reason == "Ejected",
	}}})
}

// fenced puts a tombstone on a refused attempt. Without one the outcome stays unknown.
func (g *Guard) fenced(head *messenger.RequestHead) answerer.Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dispatcher.Fence(g.deps.Now(), dispatcher.AttemptID(head.Attempt)) {
		return answerer.OutcomeNotRun
	}
	return answerer.OutcomeUnknown
}

func (g *Guard) sendKept(stream messenger.DRPCGuard_ForwardStream, answer *dispatcher.Answer) error {
	head := &messenger.AnswerHead{
		Status:         uint32(answer.Status),
		Length:         int64(len(answer.Body)),
		RepeatedAnswer: true,
	}
	for _, field := range answer.Headers {
		head.Headers = append(head.Headers, &messenger.Header{Name: field.Name, Value: field.Value})
	}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Answer{Answer: head}}); err != nil {
		return err
	}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Data{Data: answer.Body}}); err != nil {
		return err
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
}

func send(stream messenger.DRPCGuard_ForwardStream, frame *messenger.Frame) error {
	if err := stream.Send(frame); err != nil {
		return fmt.Errorf("sending a frame: %w", err)
	}
	return nil
}

// run hands the request to the backend server and streams the answer back.
func (g *Guard) run(ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task) error {
	request := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(request)
	body := &upload{stream: stream, left: work.head.BodyLength, ended: !work.head.BodyFollows}
	defer body.drain()
	if err := g.fill(request, stream, work, body); err != nil {
		return err
	}
	began := g.deps.Now()
	exchange, err := g.deliverer.Send(ctx, request, func() { g.startClock(work) })
	if err != nil {
		return g.failed(ctx, stream, work, err)
	}
	defer exchange.Close()
	return g.answer(ctx, stream, work, exchange, began)
}

func (g *Guard) fill(
	request *protocol.Request, stream messenger.DRPCGuard_ForwardStream, work *task, body *upload,
) error {
	head := work.head
	request.Header.SetMethod(head.Method)
	request.Header.SetRequestURI(head.Uri)
	for _, header := range head.Headers {
		if strings.EqualFold(header.Name, "Host") {
			request.Header.SetHost(header.Value)
			continue
		}
		request.Header.Add(header.Name, header.Value)
	}
	deadline := work.deadline.UnixMilli()
	request.Header.Set(answerer.HeaderServerDeadline, strconv.FormatInt(deadline, 10))
	if !head.BodyFollows {
		request.SetBody(head.Body)
		return nil
	}
	admitted := &messenger.Verdict{Admitted: true}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: admitted}}); err != nil {
		return err
	}
	request.SetBodyStream(body, int(head.BodyLength))
	return nil
}

func (g *Guard) startClock(work *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Detector().Start(g.deps.Now(), work.id)
}

// failed handles a request without an answer's head.
func (g *Guard) failed(ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, cause error) error {
	g.mu.Lock()
	now := g.deps.Now()
	censored := ctx.Err() != nil
	g.controller.Detector().Finish(now, work.id, true, censored, work.origin)
	if errors.Is(cause, deliverer.ErrNotSent) {
		g.withdraw(work)
		g.controller.Detector().Fault(work.origin)
		g.mu.Unlock()
		return g.refuse(stream, work.head, refusal{outcome: answerer.OutcomeNotRun, reason: "ServerUnreachable"})
	}
	g.finish(now, work, dispatcher.StateBroken, 0, nil)
	g.observe(now, false)
	g.mu.Unlock()
	g.deps.Log.Info("Broken", "Request", fmt.Sprintf("%x", work.head.Attempt), "Error", cause)
	return g.unknown(stream, "NoAnswer")
}

func (g *Guard) unknown(stream messenger.DRPCGuard_ForwardStream, reason string) error {
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{
		Outcome: uint32(answerer.OutcomeUnknown),
		Reason:  reason,
	}}})
}

func (g *Guard) finish(now clocker.Instant, work *task, state dispatcher.State, status int, answer *dispatcher.Answer) {
	if work.remembered {
		g.dispatcher.Finish(now, work.attempt, work.head.Key, state, status, answer)
	}
}

func (g *Guard) observe(now clocker.Instant, good bool) {
	if err := g.controller.Observe(now, good); err != nil {
		g.deps.Log.Error("ObserveFailed", "Error", err)
	}
}

// answer checks and streams the backend server's answer.
func (g *Guard) answer(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream,
	work *task, exchange *deliverer.Exchange, began clocker.Instant,
) error {
	first := make([]byte, firstSize(exchange.Length()))
	n, err := io.ReadFull(exchange, first)
	first = first[:n]
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && exchange.Whole()
	if err == nil && int64(n) == exchange.Length() {
		ended = true
	}
	if err != nil && !ended {
		return g.failed(ctx, stream, work, err)
	}
	status := exchange.Response.StatusCode()
	if reason := violation(work, exchange, n, ended); reason != "" {
		return g.violated(ctx, stream, work, reason)
	}
	now := g.deps.Now()
	service := now.Since(began)
	inFlight, queued := g.note(ctx, now, work, exchange, first, ended, service)
	head := &messenger.AnswerHead{
		Status:    uint32(status),
		Headers:   headersOf(exchange.Response),
		Length:    exchange.Length(),
		InFlight:  uint32(inFlight),
		Queued:    uint32(queued),
		ServiceUs: service.Microseconds(),
	}
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Answer{Answer: head}}); err != nil {
		return err
	}
	if n > 0 {
		if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Data{Data: first}}); err != nil {
			return err
		}
	}
	if !ended {
		return g.stream(ctx, stream, work, exchange)
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
}

// firstSize is the size of the first piece: a short body wholly, else ShortBodyBytes.
func firstSize(length int64) int64 {
	if length < 0 || length > ShortBodyBytes {
		return ShortBodyBytes
	}
	return length
}

// note records the answer in detector, limiter and memory.
func (g *Guard) note(
	ctx context.Context, now clocker.Instant, work *task, exchange *deliverer.Exchange,
	first []byte, ended bool, service time.Duration,
) (inFlight, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := exchange.Response.StatusCode()
	bad := status >= serverErrorStatus
	g.controller.Detector().Finish(now, work.id, bad, ctx.Err() != nil, work.origin)
	if !work.head.BodyFollows {
		g.limiter.Observe(service)
	}
	g.observe(now, !bad)
	if ended {
		g.finish(now, work, dispatcher.StateDone, status, kept(work, exchange, first))
	}
	return max(0, g.limiter.InFlight()-1), g.limiter.Waiting()
}

func kept(work *task, exchange *deliverer.Exchange, body []byte) *dispatcher.Answer {
	if work.head.Key == "" {
		return nil
	}
	answer := &dispatcher.Answer{Status: exchange.Response.StatusCode(), Body: body}
	for _, header := range headersOf(exchange.Response) {
		answer.Headers = append(answer.Headers, dispatcher.Field{Name: header.Name, Value: header.Value})
	}
	return answer
}

// stream sends the rest of a long body.
func (g *Guard) stream(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, exchange *deliverer.Exchange,
) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := exchange.Read(buffer)
		if n > 0 {
			frame := &messenger.Frame{Part: &messenger.Frame_Data{Data: buffer[:n]}}
			if sendErr := send(stream, frame); sendErr != nil {
				g.broken(work, true)
				return sendErr
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			g.broken(work, ctx.Err() != nil)
			return g.unknown(stream, "CutOff")
		}
		g.mu.Lock()
		g.finish(g.deps.Now(), work, dispatcher.StateDone, exchange.Response.StatusCode(), nil)
		g.mu.Unlock()
		return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
	}
}

// broken notes a long body that did not reach its end.
func (g *Guard) broken(work *task, callerGone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.finish(now, work, dispatcher.StateBroken, 0, nil)
	if callerGone {
		return
	}
	g.controller.Detector().Fault(work.origin)
	g.observe(now, false)
}

// violated handles an answer that breaks what the service declares.
func (g *Guard) violated(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, reason string,
) error {
	g.mu.Lock()
	now := g.deps.Now()
	g.controller.Detector().Finish(now, work.id, true, ctx.Err() != nil, work.origin)
	g.finish(now, work, dispatcher.StateBroken, 0, nil)
	g.observe(now, false)
	g.mu.Unlock()
	g.deps.Log.Info("WrongAnswer", "Request", fmt.Sprintf("%x", work.head.Attempt), "Reason", reason)
	return g.unknown(stream, reason)
}

// violation tells how an answer breaks what the service declares, if it does.
func violation(work *task, exchange *deliverer.Exchange, n int, ended bool) string {
	response := exchange.Response
	if response.StatusCode() != okStatus {
		return ""
	}
	if want := work.service.AnswerContentType; want != "" {
		got, _, _ := strings.Cut(string(response.Header.ContentType()), ";")
		if !strings.EqualFold(strings.TrimSpace(got), want) {
			return "WrongContentType"
		}
	}
	if ended && int64(n) < work.service.MinAnswerBytes {
		return "AnswerTooShort"
	}
	if !work.service.EchoesRequestID {
		return ""
	}
	if string(response.Header.Peek(answerer.HeaderRequestID)) != requestID(work.head) {
		return "OtherRequestId"
	}
	return ""
}

func requestID(head *messenger.RequestHead) string {
	for _, header := range head.Headers {
		if strings.EqualFold(header.Name, answerer.HeaderRequestID) {
			return header.Value
		}
	}
	return ""
}

func headersOf(response *protocol.Response) []*messenger.Header {
	var headers []*messenger.Header
	response.Header.VisitAll(func(name, value []byte) {
		if !endToEnd(string(name)) {
			return
		}
		headers = append(headers, &messenger.Header{Name: string(name), Value: string(value)})
	})
	return headers
}

// endToEnd tells whether a header field concerns more than one connection.
func endToEnd(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length":
		return false
	}
	return true
}

// upload reads a request's body from the frames that follow its head.
type upload struct {
	stream messenger.DRPCGuard_ForwardStream
	rest   []byte
	// left is the number of bytes still due, -1 if the length was not told.
	left  int64
	ended bool
}

// Read returns io.EOF only after the frame that ends the body.
func (u *upload) Read(buffer []byte) (int, error) {
	for len(u.rest) == 0 {
		if u.ended || u.left == 0 {
			return 0, io.EOF
		}
		frame, err := u.stream.Recv()
		if err != nil {
			return 0, fmt.Errorf("receiving the body: %w", errors.Join(errCutShort, err))
		}
		u.rest = frame.GetData()
		u.ended = frame.GetEnd()
		if u.ended && u.left > 0 {
			return 0, errCutShort
		}
	}
	n := copy(buffer, u.rest)
	u.rest = u.rest[n:]
	if u.left > 0 {
		u.left -= int64(n)
	}
	return n, nil
}

// drain reads on to the frame that ends the body. Frames that nobody reads
// would keep the connection from carrying another call.
func (u *upload) drain() {
	for !u.ended {
		frame, err := u.stream.Recv()
		if err != nil {
			return
		}
		u.ended = frame.GetEnd()
	}
}
