package repeater_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/repeater"
)

var patience = repeater.Patience{Overdue: 1500 * time.Millisecond, Period: 800 * time.Millisecond, Limit: 4 * time.Second}

// TestAttemptsGoOnWhileNoneIsAnswered guards against a call that waits for one attempt only,
// which may hang though the other side answers new ones.
func TestAttemptsGoOnWhileNoneIsAnswered(t *testing.T) {
	call := repeater.New(patience)
	var due []time.Duration
	for {
		at, ok := call.NextAt()
		if !ok {
			break
		}
		due = append(due, at)
		call = call.WithAttempt()
	}
	require.Equal(t, []time.Duration{
		0, 1500 * time.Millisecond, 2300 * time.Millisecond, 3100 * time.Millisecond, 3900 * time.Millisecond,
	}, due)
	require.Equal(t, len(due), call.Made())
}

// TestAnswersThatArriveAreNotOverdue guards against long answers that are requested again while
// they arrive over a slow link, and arrive later for it.
func TestAnswersThatArriveAreNotOverdue(t *testing.T) {
	call := repeater.New(patience).WithAttempt()
	for at := time.Second; at < patience.Limit-patience.Period; at += 100 * time.Millisecond {
		call = call.WithPart(at)
		next, ok := call.NextAt()
		require.True(t, ok)
		require.Equal(t, max(patience.Overdue, at+patience.Period), next)
	}
	t.Run("UntilTheyStop", func(t *testing.T) {
		next, ok := repeater.New(patience).WithAttempt().WithPart(patience.Overdue).NextAt()
		require.True(t, ok)
		require.Equal(t, patience.Overdue+patience.Period, next)
	})
	t.Run("AtTheLimit", func(t *testing.T) {
		_, ok := call.WithPart(patience.Limit - time.Millisecond).NextAt()
		require.False(t, ok)
	})
}

func TestFailures(t *testing.T) {
	t.Run("TheOnlyAttempt", func(t *testing.T) {
		_, failed := repeater.New(patience).WithAttempt().WithFailure()
		require.True(t, failed)
	})
	t.Run("WhileAnotherIsOpen", func(t *testing.T) {
		call, failed := repeater.New(patience).WithAttempt().WithAttempt().WithFailure()
		require.False(t, failed)
		_, failed = call.WithFailure()
		require.True(t, failed)
	})
	t.Run("OfACallThatIsNotRepeated", func(t *testing.T) {
		call := repeater.New(repeater.Patience{Overdue: time.Second, Period: time.Second, Limit: time.Second}).WithAttempt()
		_, ok := call.NextAt()
		require.False(t, ok)
	})
}
