package router

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

// answeringGuard sends the same frames for each attempt, after it has admitted it.
type answeringGuard struct {
	messenger.DRPCGuardClient
	frames []*messenger.Frame
}

func (g *answeringGuard) Forward(context.Context) (messenger.DRPCGuard_ForwardClient, error) {
	admitted := &messenger.Frame{Part: &messenger.Frame_Verdict{Verdict: &messenger.Verdict{Admitted: true}}}
	return &answeringStream{left: append([]*messenger.Frame{admitted}, g.frames...)}, nil
}

type answeringStream struct {
	messenger.DRPCGuard_ForwardClient
	left []*messenger.Frame
}

func (s *answeringStream) Send(*messenger.Frame) error { return nil }
func (s *answeringStream) CloseSend() error            { return nil }

func (s *answeringStream) Recv() (*messenger.Frame, error) {
	if len(s.left) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	frame := s.left[0]
	s.left = s.left[1:]
	return frame, nil
}

// frames returns those of an answer, with its body in parts.
func frames(head *messenger.AnswerHead, parts ...string) []*messenger.Frame {
	all := []*messenger.Frame{{Part: &messenger.Frame_Answer{Answer: head}}}
	for _, part := range parts {
		all = append(all, &messenger.Frame{Part: &messenger.Frame_Data{Data: []byte(part)}})
	}
	return append(all, &messenger.Frame{Part: &messenger.Frame_End{End: true}})
}

// exchangeWith sends a request that must not run twice to a guard and returns the status and the
// body that its caller gets.
func exchangeWith(t *testing.T, frames []*messenger.Frame) (status int, body string, err error) {
	t.Helper()
	table := NewServiceTable()
	table.Update(0, registrar.New().WithMember(registrar.Member{
		Incarnation: 1, Address: "127.0.0.1:1", Service: "billing", Slots: 4, State: registrar.StateServing,
	}))
	r := &Router{deps: Dependencies{
		Log:          slog.New(slog.DiscardHandler),
		Now:          func() clocker.Instant { return clocker.Instant{} },
		Random:       func() uint64 { return 1 },
		Self:         func() registrar.Member { return registrar.Member{Incarnation: 2} },
		Origin:       func() string { return "billing" },
		Catalog:      cataloger.New,
		Callers:      interpreter.NativeCallers(),
		Meter:        meter.New(),
		ServiceTable: table,
		GuardClient: func(context.Context, string) messenger.DRPCGuardClient {
			return &answeringGuard{frames: frames}
		},
	}}
	request := &callerRequest{service: cataloger.Service{Name: "billing"}, timeout: time.Minute}
	answer, refused := r.handleNonIdempotent(context.Background(), request)
	response := r.respond(request, reply{answer: answer, refused: refused, cancel: func() {}})
	if response.IsBodyStream() {
		text, err := io.ReadAll(response.BodyStream())
		return response.StatusCode(), string(text), err
	}
	return response.StatusCode(), string(response.Body()), nil
}

// TestMalformedAnswersOfProcessesAreNoAnswer guards against a success for an answer that another
// process passes on though it could not have read it in one way.
func TestMalformedAnswersOfProcessesAreNoAnswer(t *testing.T) {
	long := strings.Repeat("x", bodyPrefixBytes)
	field := func(name, value string) *messenger.AnswerHead {
		return &messenger.AnswerHead{Status: 200, Length: 4, Headers: []*messenger.Header{{Name: name, Value: value}}}
	}
	for name, answer := range map[string][]*messenger.Frame{
		"Status0":          frames(&messenger.AnswerHead{Length: 4}, "body"),
		"Status100":        frames(&messenger.AnswerHead{Status: 100, Length: 4}, "body"),
		"Status600":        frames(&messenger.AnswerHead{Status: 600, Length: 4}, "body"),
		"NegativeLength":   frames(&messenger.AnswerHead{Status: 200, Length: -2}, "body"),
		"BodyTooShort":     frames(&messenger.AnswerHead{Status: 200, Length: 5}, "body"),
		"BodyTooLong":      frames(&messenger.AnswerHead{Status: 200, Length: 3}, "body"),
		"BodyTooLongLater": frames(&messenger.AnswerHead{Status: 200, Length: 4}, "body", "s"),
		"NameWithBlank":    frames(field("A b", "c"), "body"),
		"NameWithControl":  frames(field("A\x00", "c"), "body"),
		"NoName":           frames(field("", "c"), "body"),
		"ValueWithReturn":  frames(field("A", "b\rc"), "body"),
		"ValueWithFold":    frames(field("A", "b\r\n c"), "body"),
		"OtherLength":      frames(field("content-length", "2"), "body"),
		"OtherFraming":     frames(field("Transfer-Encoding", "chunked"), "body"),
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := exchangeWith(t, answer)
			require.NoError(t, err)
			require.Equal(t, 502, status, "body %q", body)
		})
	}
	for name, answer := range map[string][]*messenger.Frame{
		"LongBodyTooShort": frames(&messenger.AnswerHead{Status: 200, Length: bodyPrefixBytes + 2}, long, "x"),
		"LongBodyTooLong":  frames(&messenger.AnswerHead{Status: 200, Length: bodyPrefixBytes + 1}, long, "xx"),
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := exchangeWith(t, answer)
			require.ErrorIs(t, err, errTruncated)
		})
	}
	for name, c := range map[string]struct {
		frames []*messenger.Frame
		body   string
	}{
		"Sound":       {frames(field("A", "b \tc"), "bo", "dy"), "body"},
		"SoundOfAny":  {frames(&messenger.AnswerHead{Status: 200, Length: -1}, "body"), "body"},
		"SoundEmpty":  {frames(&messenger.AnswerHead{Status: 200}), ""},
		"SoundLong":   {frames(&messenger.AnswerHead{Status: 200, Length: bodyPrefixBytes + 1}, long, "x"), long + "x"},
		"SoundStream": {frames(&messenger.AnswerHead{Status: 200, Length: -1}, long, "x"), long + "x"},
	} {
		t.Run(name, func(t *testing.T) {
			status, body, err := exchangeWith(t, c.frames)
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, c.body, body)
		})
	}
}
