package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

func TestHistory(t *testing.T) {
	idempotent := retrier.History{Kind: retrier.KindIdempotent, CanRetry: true}
	unkeyed := retrier.History{Kind: retrier.KindUnkeyed, CanRetry: true}
	keyed := retrier.History{Kind: retrier.KindKeyed, CanRetry: true}
	ran := retrier.History{Kind: retrier.KindKeyed, Ran: true}
	exhausted := retrier.History{Kind: retrier.KindIdempotent, MayHaveRun: true}
	for _, test := range []struct {
		name    string
		history retrier.History
		result  retrier.Result
		want    retrier.Step
	}{
		{"Answer", unkeyed, retrier.ResultAnswered, retrier.StepAnswer},
		{"IdempotentErrorIsRetried", idempotent, retrier.ResultBadAnswer, retrier.StepRetry},
		{"OnceErrorIsGiven", unkeyed, retrier.ResultBadAnswer, retrier.StepAnswer},
		{"OnceRefusedIsRetried", unkeyed, retrier.ResultRefused, retrier.StepRetry},
		{"OnceUnknownIsNeverRetried", unkeyed, retrier.ResultUnknown, retrier.StepUnknown},
		{"OnceLostIsResolved", unkeyed, retrier.ResultLost, retrier.StepResolve},
		{"KeyedRefusedStaysAtItsGuard", keyed, retrier.ResultRefused, retrier.StepNotRun},
		{"KeyKnownToHaveRunIsNeverNotRun", ran, retrier.ResultRefused, retrier.StepRan},
		{"RefusalAfterDoubtIsUnknown", exhausted, retrier.ResultRefused, retrier.StepUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want.String(), test.history.AfterAttempt(test.result).String())
		})
	}
	t.Run("FencedOnceIsRetried", func(t *testing.T) {
		require.Equal(t, retrier.StepRetry, unkeyed.AfterResolve(deduplicator.StateFenced))
	})
	t.Run("UnseenIsUnknown", func(t *testing.T) {
		require.Equal(t, retrier.StepUnknown, unkeyed.AfterResolve(deduplicator.StateUnseen))
	})
	t.Run("KeyedDoneIsRepeated", func(t *testing.T) {
		require.Equal(t, retrier.StepReplay, keyed.AfterResolve(deduplicator.StateDone))
	})
}

func TestBudget(t *testing.T) {
	t.Run("IsAShareOfFirstAttempts", func(t *testing.T) {
		budget := retrier.New(0.1)
		taken := 0
		for range 10000 {
			budget.Deposit()
			if budget.Take() {
				taken++
			}
		}
		require.LessOrEqual(t, taken, 1000+10)
		require.GreaterOrEqual(t, taken, 1000)
	})
	t.Run("ZeroShareAllowsNone", func(t *testing.T) {
		require.False(t, retrier.New(0).Take())
	})
}

func TestQuantile(t *testing.T) {
	var quantile retrier.Quantile
	for n := range 200000 {
		quantile.Observe(time.Duration(1+n*7919%100) * time.Millisecond)
	}
	require.InDelta(t, 95, quantile.Delay().Milliseconds(), 12)
}
