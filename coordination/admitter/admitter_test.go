package admitter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/admitter"
	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/limiter"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

func at(d time.Duration) clocker.Instant { return clocker.Instant{Mono: d, Wall: d} }

// oneSlot returns an admitter with one slot and a queue of two.
func oneSlot() *admitter.Admitter {
	a := admitter.New()
	a.Limiter.Resize(1, 2)
	a.Breaker.SetPause(time.Second)
	a.Budget.SetAllowance(retrier.Allowance{Share: 1, Burst: 1, Debt: 1})
	return a
}

func attempt(id uint64) admitter.Attempt {
	return admitter.Attempt{ID: id, Deadline: at(time.Minute), Idempotent: true}
}

func requireAdmitted(t *testing.T, a *admitter.Admitter, next admitter.Attempt, want limiter.Decision) {
	t.Helper()
	got, reason := a.Admit(at(0), next)
	require.Empty(t, reason)
	require.Equal(t, want.String(), got.String())
}

func requireRefused(t *testing.T, a *admitter.Admitter, next admitter.Attempt, want admitter.Reason) {
	t.Helper()
	_, reason := a.Admit(at(0), next)
	require.Equal(t, want, reason)
}

func TestAdmitter(t *testing.T) {
	t.Run("OnlyInsistingAttemptsQueue", func(t *testing.T) {
		a := oneSlot()
		requireAdmitted(t, a, attempt(1), limiter.Started)
		requireRefused(t, a, attempt(2), admitter.ReasonBusy)
		insisting := attempt(3)
		insisting.Insist = true
		requireAdmitted(t, a, insisting, limiter.Queued)
	})
	t.Run("FailuresRaiseDoubt", func(t *testing.T) {
		a := oneSlot()
		a.Breaker.RecordFailure(at(0), breaker.WeightCertain)
		requireRefused(t, a, attempt(1), admitter.ReasonDoubtful)
	})
	t.Run("LimitsHoldForInsistingAttempts", func(t *testing.T) {
		a := oneSlot()
		a.Pacer.SetLimit(at(0), 1)
		insisting := attempt(1)
		insisting.Insist = true
		requireRefused(t, a, insisting, admitter.ReasonLimited)
	})
	t.Run("RefusedAttemptsDoNotCountAgainstTheLimit", func(t *testing.T) {
		a := oneSlot()
		a.Pacer.SetLimit(at(0), 1)
		retry := attempt(1)
		retry.Retry = true
		_, reason := a.Admit(at(time.Second), retry)
		require.Equal(t, admitter.ReasonNoBudget, reason)
		require.True(t, a.Pacer.Take(at(time.Second)))
	})
	t.Run("RetriesTakeFromTheBudget", func(t *testing.T) {
		a := oneSlot()
		retry := attempt(1)
		retry.Retry = true
		requireRefused(t, a, retry, admitter.ReasonNoBudget)
		requireAdmitted(t, a, attempt(2), limiter.Started)
		a.Limiter.Release(at(0))
		requireAdmitted(t, a, retry, limiter.Started)
	})
	t.Run("FundedRetriesNeedNone", func(t *testing.T) {
		failing, sound := oneSlot(), oneSlot()
		failing.Budget.Deposit()
		require.True(t, failing.Fund(at(0)))
		require.False(t, failing.Fund(at(0)), "each token funds one retry")
		funded := attempt(1)
		funded.Retry, funded.Funded = true, true
		requireAdmitted(t, sound, funded, limiter.Started)
		sound.Return(funded)
		unfunded := attempt(2)
		unfunded.Retry = true
		requireRefused(t, sound, unfunded, admitter.ReasonBusy)
		sound.Limiter.Release(at(0))
		requireRefused(t, sound, unfunded, admitter.ReasonNoBudget)
	})
	t.Run("RefusedRetriesKeepIt", func(t *testing.T) {
		a := oneSlot()
		a.Budget.Deposit()
		late := attempt(1)
		late.Retry, late.Deadline = true, at(0)
		requireRefused(t, a, late, admitter.Reason(limiter.RefusedLate.String()))
		late.Deadline = at(time.Minute)
		requireAdmitted(t, a, late, limiter.Started)
	})
	t.Run("CallsOfRetriesEndWithTheBudget", func(t *testing.T) {
		a := oneSlot()
		a.Budget.SetAllowance(retrier.Allowance{Share: 0.1, Burst: 1, Debt: 1})
		derived := attempt(1)
		derived.DerivedProbability = 1
		requireAdmitted(t, a, derived, limiter.Started)
		a.Limiter.Release(at(0))
		requireRefused(t, a, derived, admitter.ReasonNoBudget)
		unlikely := attempt(2)
		unlikely.DerivedProbability = 0.4
		requireAdmitted(t, a, unlikely, limiter.Started)
	})
	t.Run("DerivedRequestsAreCharged", func(t *testing.T) {
		a := oneSlot()
		derived := attempt(1)
		derived.DerivedProbability = 1
		requireAdmitted(t, a, derived, limiter.Started)
		a.Limiter.Release(at(0))
		retry := attempt(2)
		retry.Retry = true
		requireRefused(t, a, retry, admitter.ReasonNoBudget)
	})
}
