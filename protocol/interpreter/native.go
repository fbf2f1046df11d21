package interpreter

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
)

// maxPatience bounds a caller's deadline.
const maxPatience = 10 * time.Minute

// Errors of marks.
var (
	errDeadline   = eris.New("Malformed " + answerer.HeaderDeadline)
	errIdempotent = eris.New("Malformed " + answerer.HeaderIdempotent)
)

// NativeCallers speaks the system's own interface with callers.
func NativeCallers() Callers {
	return Callers{Read: readOwn, Strips: ownConsumed, Annotate: markOwn, AnnotateRefusal: refuseOwn}
}

// NativeServers speaks the system's own interface with backend servers.
func NativeServers() Servers {
	return Servers{Annotate: offerOwn, Inspect: judgeOwn}
}

func readOwn(header *protocol.RequestHeader) (RequestOptions, error) {
	marks := RequestOptions{
		ID:      string(header.Peek(answerer.HeaderRequestID)),
		Key:     string(header.Peek(answerer.HeaderKey)),
		KeyTime: string(header.Peek(answerer.HeaderKeyTime)),
	}
	if text := string(header.Peek(answerer.HeaderDeadline)); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 1 || millis > maxPatience.Milliseconds() {
			return marks, errDeadline
		}
		marks.Timeout = time.Duration(millis) * time.Millisecond
	}
	if text := string(header.Peek(answerer.HeaderIdempotent)); text != "" {
		mark, err := strconv.ParseBool(text)
		if err != nil {
			return marks, errIdempotent
		}
		marks.Idempotent, marks.NonIdempotent = mark, !mark
	}
	return marks, nil
}

func ownConsumed(lower string) bool {
	switch lower {
	case strings.ToLower(answerer.HeaderRequestID), strings.ToLower(answerer.HeaderServerDeadline):
		return true
	}
	return false
}

func markOwn(header *protocol.ResponseHeader, id string, repeated bool) {
	header.Set(answerer.HeaderOutcome, answerer.OutcomeAnswered.String())
	header.Set(answerer.HeaderRequestID, id)
	if repeated {
		header.Set(answerer.HeaderRepeated, "true")
	}
}

func refuseOwn(header *protocol.ResponseHeader, word Refusal) {
	header.Set(answerer.HeaderOutcome, word.Outcome.String())
	header.Set(answerer.HeaderReason, word.Reason)
	header.Set(answerer.HeaderRequestID, word.ID)
	if word.RetryAfter > 0 {
		seconds := (word.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

func offerOwn(header *protocol.RequestHeader, offer RequestInfo) {
	header.Set(answerer.HeaderRequestID, offer.ID)
	header.Set(answerer.HeaderServerDeadline, strconv.FormatInt(offer.DeadlineMs, 10))
}

func judgeOwn(header *protocol.ResponseHeader, offer RequestInfo) AnswerInfo {
	echoed := string(header.Peek(answerer.HeaderRequestID))
	return AnswerInfo{
		IDEchoed:   echoed == offer.ID,
		IDMismatch: echoed != "" && echoed != offer.ID,
	}
}
