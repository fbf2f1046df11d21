package guard

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/transport/converter"
	"github.com/foxtailhall/foxtailhall/transport/forwarder"
)

// forwardResponse checks the backend server's response and streams it to the
// router. A body of up to MaxBufferedBytes is checked whole before any of it is sent.
func (g *Guard) forwardResponse(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream,
	work *task, exchange *forwarder.Exchange, info interpreter.AnswerInfo,
) error {
	first := make([]byte, firstChunkSize(exchange.Length()))
	n, err := io.ReadFull(exchange, first)
	first = first[:n]
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && exchange.Complete()
	if err == nil && int64(n) == exchange.Length() {
		ended = true
	}
	if err != nil && !ended {
		return g.handleFailure(ctx, stream, work, err)
	}
	status := exchange.Response.StatusCode()
	if reason := violation(work, exchange, info, n, ended); reason != "" {
		return g.handleViolation(ctx, stream, work, reason)
	}
	now := g.deps.Now()
	service := now.Since(work.sent)
	inFlight, queued, funded := g.recordCompletion(ctx, now, work, exchange, first, ended, service)
	head := &messenger.AnswerHead{
		Status:    uint32(status),
		Headers:   endToEndHeaders(exchange.Response),
		Length:    exchange.Length(),
		InFlight:  uint32(inFlight),
		Queued:    uint32(queued),
		ServiceUs: service.Microseconds(),
		WorkUs:    g.workLeftWithout(work.head).Microseconds(),

		RetryFunded: funded,
		Statement:   converter.StatementToProto(work.said),
	}
	if err := sendStart(stream, head, first); err != nil {
		if !ended {
			g.recordBrokenBody(work, true)
		}
		return err
	}
	if !ended {
		return g.stream(ctx, stream, work, exchange)
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
}

// sendStart sends the head of an answer and the first bytes of its body.
func sendStart(stream messenger.DRPCGuard_ForwardStream, head *messenger.AnswerHead, first []byte) error {
	if err := send(stream, &messenger.Frame{Part: &messenger.Frame_Answer{Answer: head}}); err != nil {
		return err
	}
	if len(first) == 0 {
		return nil
	}
	return send(stream, &messenger.Frame{Part: &messenger.Frame_Data{Data: first}})
}

// firstChunkSize is the whole length of a short body, otherwise MaxBufferedBytes.
func firstChunkSize(length int64) int64 {
	if length < 0 || length > MaxBufferedBytes {
		return MaxBufferedBytes
	}
	return length
}

// recordCompletion records a response that passed the checks in the detector, the
// limiter, the breaker and, if its body has ended, the deduplicator. It returns
// the server's load without this attempt, and whether the next attempt is funded.
func (g *Guard) recordCompletion(
	ctx context.Context, now clocker.Instant, work *task, exchange *forwarder.Exchange,
	first []byte, ended bool, service time.Duration,
) (inFlight, queued int, funded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	status := exchange.Response.StatusCode()
	bad := status >= serverErrorStatus
	censored := ctx.Err() != nil
	g.endRun(work)
	g.controller.Detector().Finish(now, work.id, bad, censored, work.origin)
	g.recordResponse(now, !bad)
	switch {
	case !bad:
		g.admitter.Limiter.Observe(service)
		g.typical.Observe(work.head.Route, service)
		g.observeWork(now, work, service)
		g.admitter.Breaker.RecordSuccess(now)
		g.lastHeard = now
		if work.sent.Since(g.lastGoodSent) > 0 {
			g.lastGoodSent = work.sent
		}
	case !censored:
		g.recordFailure(now, work, reasonErrorAnswer)
		funded = g.fundRetry(work, true)
	}
	if ended {
		g.finishAttempt(now, work, deduplicator.StateDone, status, storedAnswer(work, exchange, first))
	}
	return max(0, g.admitter.Limiter.InFlight()-1), g.admitter.Limiter.Waiting(), funded
}

// storedAnswer returns the response in the form that the deduplicator stores for
// the request's idempotency key, or nil without a key.
func storedAnswer(work *task, exchange *forwarder.Exchange, body []byte) *deduplicator.Answer {
	if work.head.Key == "" {
		return nil
	}
	answer := &deduplicator.Answer{Status: exchange.Response.StatusCode(), Body: body, Departure: work.said.Departure}
	for _, header := range endToEndHeaders(exchange.Response) {
		answer.Headers = append(answer.Headers, deduplicator.Field{Name: header.Name, Value: header.Value})
	}
	return answer
}

// stream sends the rest of a body that is longer than MaxBufferedBytes.
func (g *Guard) stream(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, exchange *forwarder.Exchange,
) error {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := exchange.Read(buffer)
		if n > 0 {
			frame := &messenger.Frame{Part: &messenger.Frame_Data{Data: buffer[:n]}}
			if sendErr := send(stream, frame); sendErr != nil {
				g.recordBrokenBody(work, true)
				return sendErr
			}
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			g.recordBrokenBody(work, ctx.Err() != nil)
			return g.sendUnknown(stream, "CutOff", false)
		}
		g.mu.Lock()
		g.finishAttempt(g.deps.Now(), work, deduplicator.StateDone, exchange.Response.StatusCode(), nil)
		g.mu.Unlock()
		return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
	}
}

// recordBrokenBody records a long body that ended early. It counts against the
// server unless the caller is gone.
func (g *Guard) recordBrokenBody(work *task, callerGone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	g.endRun(work)
	g.finishAttempt(now, work, deduplicator.StateBroken, 0, nil)
	if callerGone {
		return
	}
	g.recordFailure(now, work, "CutOff")
	g.controller.Detector().RecordLateFailure(work.origin)
	g.recordResponse(now, false)
}

// handleViolation records a response that violates the service's declaration and
// tells the router that the outcome is unknown.
func (g *Guard) handleViolation(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, reason string,
) error {
	g.mu.Lock()
	now := g.deps.Now()
	g.controller.Detector().Finish(now, work.id, true, ctx.Err() != nil, work.origin)
	g.endRun(work)
	g.finishAttempt(now, work, deduplicator.StateBroken, 0, nil)
	g.recordFailure(now, work, reason)
	g.recordResponse(now, false)
	funded := g.fundRetry(work, true)
	g.mu.Unlock()
	g.deps.Log.Info("WrongAnswer", "Request", work.head.RequestId, "Reason", reason)
	return g.sendUnknown(stream, reason, funded)
}

// violation returns how a response violates the service's declaration, or "".
// n is the number of body bytes read so far; ended is set if they are the whole body.
func violation(work *task, exchange *forwarder.Exchange, info interpreter.AnswerInfo, n int, ended bool) string {
	response := exchange.Response
	if info.Unproven {
		return "Unproven"
	}
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
	if work.service.EchoesRequestID && !info.IDEchoed {
		return "OtherRequestId"
	}
	return ""
}

func endToEndHeaders(response *protocol.Response) []*messenger.Header {
	var headers []*messenger.Header
	response.Header.VisitAll(func(name, value []byte) {
		if !isEndToEnd(string(name)) {
			return
		}
		headers = append(headers, &messenger.Header{Name: string(name), Value: string(value)})
	})
	return headers
}

// isEndToEnd reports whether a header field is end-to-end rather than hop-by-hop.
func isEndToEnd(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length":
		return false
	}
	return true
}
