package interpreter_test

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
)

// TestAnswersWithTwoIDsAreUnproven guards against a success for an answer that names two requests.
func TestAnswersWithTwoIDsAreUnproven(t *testing.T) {
	judge := func(ids ...string) interpreter.AnswerInfo {
		header := &protocol.ResponseHeader{}
		for _, id := range ids {
			header.Add(answerer.HeaderRequestID, id)
		}
		return interpreter.NativeServers().Inspect(header, interpreter.RequestInfo{ID: "a"})
	}
	require.Equal(t, interpreter.AnswerInfo{}, judge())
	require.Equal(t, interpreter.AnswerInfo{IDEchoed: true}, judge("a"))
	require.Equal(t, interpreter.AnswerInfo{IDMismatch: true}, judge("b"))
	require.Equal(t, interpreter.AnswerInfo{IDEchoed: true}, judge("a", "a"))
	require.Equal(t, interpreter.AnswerInfo{Unproven: true}, judge("a", "b"))
	require.Equal(t, interpreter.AnswerInfo{Unproven: true}, judge("b", "a"))
}
