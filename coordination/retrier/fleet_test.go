package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

// TestFleetKeepsItsBound generates requests and retries at all servers of a
// service and checks that the retries within any window stay within the fleet's
// share and slack.
func TestFleetKeepsItsBound(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 250 * time.Millisecond
		steps  = 160
	)
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 30).Draw(t, "servers")
		limit := retrier.FleetLimit{Share: 0.2, Slack: rapid.Float64Range(0, 200).Draw(t, "slack"), Window: window}
		budgets := make([]*retrier.Budget, servers)
		for i := range budgets {
			budgets[i] = retrier.New(0)
			budgets[i].SetAllowance(limit.Allowance(servers))
		}
		busy := rapid.IntRange(0, 6).Draw(t, "busy")
		attempts := rapid.IntRange(0, 3).Draw(t, "greedy")
		var requests, retries [steps]int
		for i := range steps {
			for n, budget := range budgets {
				budget.Refill(time.Duration(i) * step)
				for range (n + i) % (busy + 1) {
					budget.Deposit()
					requests[i]++
				}
				for range attempts {
					if budget.Take() {
						retries[i]++
					}
				}
			}
		}
		span := int(window / step)
		for from := range steps - span {
			requested, retried := 0, 0
			for i := from; i < from+span; i++ {
				requested += requests[i]
				retried += retries[i]
			}
			require.LessOrEqual(t, float64(retried), limit.Share*float64(requested)+limit.Slack+1)
		}
	})
}

func TestCharges(t *testing.T) {
	budget := retrier.New(0)
	budget.SetAllowance(retrier.Allowance{Share: 1, Burst: 2})
	budget.Deposit()
	budget.Deposit()
	budget.Charge(1.5)
	require.False(t, budget.Take(), "half a token is left")
	budget.Deposit()
	require.True(t, budget.Take())
	budget.Refund()
	require.True(t, budget.Take(), "a refunded token can be used")
}

func TestWithdrawnAttemptsEarnNothing(t *testing.T) {
	budget := retrier.New(0)
	budget.SetAllowance(retrier.Allowance{Share: 0.5, Burst: 2})
	for budget.Take() {
		continue
	}
	for range 10 {
		budget.Deposit()
		budget.RevertDeposit()
	}
	require.False(t, budget.Take(), "reverted deposits add no tokens")
	budget.Deposit()
	budget.Deposit()
	require.True(t, budget.Take())
}

func TestNestingEstimator(t *testing.T) {
	const nested, external = 1, 2
	estimator := retrier.NewNestingEstimator()
	t.Run("IdleServerCallsNothing", func(t *testing.T) {
		require.Zero(t, estimator.DerivedProbability(external, 0, 0))
		require.False(t, estimator.MayBeNested(external, 3))
	})
	t.Run("RouteOfCallersIsNoCall", func(t *testing.T) {
		require.Zero(t, estimator.DerivedProbability(external, 2, 2))
	})
	t.Run("OtherRoutesMayBe", func(t *testing.T) {
		require.InDelta(t, 0.5, estimator.DerivedProbability(nested, 4, 2), 0)
		require.True(t, estimator.MayBeNested(nested, 4))
	})
}
