package interpreter

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
)

// maxTimeout is the maximum of RequestOptions.Timeout; higher values are malformed.
const maxTimeout = 10 * time.Minute

// Errors that Callers.Read returns.
var (
	errDeadline   = eris.New("Malformed " + answerer.HeaderDeadline)
	errIdempotent = eris.New("Malformed " + answerer.HeaderIdempotent)
)

// NativeCallers implements Callers with the headers of package answerer.
func NativeCallers() Callers {
	return Callers{Read: readNative, Strips: stripsNative, Annotate: annotateNative, AnnotateRefusal: annotateNativeRefusal}
}

// NativeServers implements Servers with the headers of package answerer.
func NativeServers() Servers {
	return Servers{Annotate: annotateNativeRequest, Inspect: inspectNative}
}

func readNative(header *protocol.RequestHeader) (RequestOptions, error) {
	options := RequestOptions{
		ID:      string(header.Peek(answerer.HeaderRequestID)),
		Key:     string(header.Peek(answerer.HeaderKey)),
		KeyTime: string(header.Peek(answerer.HeaderKeyTime)),
	}
	if text := string(header.Peek(answerer.HeaderDeadline)); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
			return options, errDeadline
		}
		options.Timeout = time.Duration(millis) * time.Millisecond
	}
	if text := string(header.Peek(answerer.HeaderIdempotent)); text != "" {
		idempotent, err := strconv.ParseBool(text)
		if err != nil {
			return options, errIdempotent
		}
		options.Idempotent, options.NonIdempotent = idempotent, !idempotent
	}
	return options, nil
}

func stripsNative(lower string) bool {
	switch lower {
	case strings.ToLower(answerer.HeaderRequestID), strings.ToLower(answerer.HeaderServerDeadline),
		strings.ToLower(answerer.HeaderCustomer):
		return true
	}
	return false
}

func annotateNative(header *protocol.ResponseHeader, id string, repeated bool) {
	header.Set(answerer.HeaderOutcome, answerer.OutcomeAnswered.String())
	header.Set(answerer.HeaderRequestID, id)
	if repeated {
		header.Set(answerer.HeaderRepeated, "true")
	}
}

func annotateNativeRefusal(header *protocol.ResponseHeader, refusal Refusal) {
	header.Set(answerer.HeaderOutcome, refusal.Outcome.String())
	header.Set(answerer.HeaderReason, refusal.Reason)
	header.Set(answerer.HeaderRequestID, refusal.ID)
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

func annotateNativeRequest(header *protocol.RequestHeader, info RequestInfo) {
	header.Set(answerer.HeaderRequestID, info.ID)
	header.Set(answerer.HeaderServerDeadline, strconv.FormatInt(info.DeadlineMs, 10))
	if info.Customer != "" {
		header.Set(answerer.HeaderCustomer, info.Customer)
	}
}

func inspectNative(header *protocol.ResponseHeader, info RequestInfo) AnswerInfo {
	echoed, ok := Single(header, answerer.HeaderRequestID)
	return AnswerInfo{
		IDEchoed:   ok && echoed == info.ID,
		IDMismatch: ok && echoed != "" && echoed != info.ID,
		Unproven:   !ok,
	}
}
