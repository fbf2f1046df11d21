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
	"github.com/foxtailhall/foxtailhall/transport/deliverer"
)

// answer checks and streams the backend server's answer.
func (g *Guard) answer(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream,
	work *task, exchange *deliverer.Exchange, judged interpreter.AnswerInfo,
) error {
	first := make([]byte, firstSize(exchange.Length()))
	n, err := io.ReadFull(exchange, first)
	first = first[:n]
	ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && exchange.Complete()
	if err == nil && int64(n) == exchange.Length() {
		ended = true
	}
	if err != nil && !ended {
		return g.failed(ctx, stream, work, err)
	}
	status := exchange.Response.StatusCode()
	if reason := violation(work, exchange, judged, n, ended); reason != "" {
		return g.violated(ctx, stream, work, reason)
	}
	now := g.deps.Now()
	service := now.Since(work.sent)
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
	late := ctx.Err() != nil
	delete(g.running, work.id)
	g.controller.Detector().Finish(now, work.id, bad, late, work.origin)
	g.observe(now, !bad)
	switch {
	case !bad:
		g.limiter.Observe(service)
		g.usual.Observe(work.head.Route, service)
		g.breaker.RecordSuccess(now)
		g.heard = now
	case !late:
		g.noteFailure(now, work, reasonErrorAnswer)
	}
	if ended {
		g.finish(now, work, deduplicator.StateDone, status, kept(work, exchange, first))
	}
	return max(0, g.limiter.InFlight()-1), g.limiter.Waiting()
}

func kept(work *task, exchange *deliverer.Exchange, body []byte) *deduplicator.Answer {
	if work.head.Key == "" {
		return nil
	}
	answer := &deduplicator.Answer{Status: exchange.Response.StatusCode(), Body: body}
	for _, header := range headersOf(exchange.Response) {
		answer.Headers = append(answer.Headers, deduplicator.Field{Name: header.Name, Value: header.Value})
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
		g.finish(g.deps.Now(), work, deduplicator.StateDone, exchange.Response.StatusCode(), nil)
		g.mu.Unlock()
		return send(stream, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
	}
}

// broken notes a long body that did not reach its end.
func (g *Guard) broken(work *task, callerGone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.deps.Now()
	delete(g.running, work.id)
	g.finish(now, work, deduplicator.StateBroken, 0, nil)
	if callerGone {
		return
	}
	g.noteFailure(now, work, "CutOff")
	g.controller.Detector().RecordLateFailure(work.origin)
	g.observe(now, false)
}

// violated handles an answer that breaks what the service declares.
func (g *Guard) violated(
	ctx context.Context, stream messenger.DRPCGuard_ForwardStream, work *task, reason string,
) error {
	g.mu.Lock()
	now := g.deps.Now()
	g.controller.Detector().Finish(now, work.id, true, ctx.Err() != nil, work.origin)
	delete(g.running, work.id)
	g.finish(now, work, deduplicator.StateBroken, 0, nil)
	g.noteFailure(now, work, reason)
	g.observe(now, false)
	g.mu.Unlock()
	g.deps.Log.Info("WrongAnswer", "Request", work.head.RequestId, "Reason", reason)
	return g.unknown(stream, reason)
}

// violation tells how an answer breaks what the service declares, if it does.
func violation(work *task, exchange *deliverer.Exchange, judged interpreter.AnswerInfo, n int, ended bool) string {
	response := exchange.Response
	if judged.Unsealed {
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
	if work.service.EchoesRequestID && !judged.IDEchoed {
		return "OtherRequestId"
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
