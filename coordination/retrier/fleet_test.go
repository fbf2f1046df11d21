package retrier_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
)

// TestFleetKeepsItsBound draws requests and repeats at all servers of a service:
// in no window do the repeats exceed the fleet's share and slack.
func TestFleetKeepsItsBound(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 250 * time.Millisecond
		steps  = 160
	)
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 30).Draw(t, "servers")
		fleet := retrier.FleetLimit{Share: 0.2, Slack: rapid.Float64Range(0, 200).Draw(t, "slack"), Window: window}
		budgets := make([]*retrier.Budget, servers)
		for i := range budgets {
			budgets[i] = retrier.New(0)
			budgets[i].SetAllowance(fleet.Allowance(servers))
		}
		busy := rapid.IntRange(0, 6).Draw(t, "busy")
		greedy := rapid.IntRange(0, 3).Draw(t, "greedy")
		var requests, repeats [steps]int
		for i := range steps {
			for n, budget := range budgets {
				budget.Refill(time.Duration(i) * step)
				for range (n + i) % (busy + 1) {
					budget.Deposit()
					requests[i]++
				}
				for range greedy {
					if budget.Take() {
						repeats[i]++
					}
				}
			}
		}
		span := int(window / step)
		for from := range steps - span {
			asked, repeated := 0, 0
			for i := from; i < from+span; i++ {
				asked += requests[i]
				repeated += repeats[i]
			}
			require.LessOrEqual(t, float64(repeated), fleet.Share*float64(asked)+fleet.Slack+1)
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
	require.True(t, budget.Take(), "a token given back can be used")
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
	require.False(t, budget.Take(), "no server got anything")
	budget.Deposit()
	budget.Deposit()
	require.True(t, budget.Take())
}

func TestAncestry(t *testing.T) {
	const called, asked = 1, 2
	a := retrier.NewNestingEstimator()
	t.Run("IdleServerCallsNothing", func(t *testing.T) {
		require.Zero(t, a.DerivedProbability(asked, 0, 0))
		require.False(t, a.MayBeNested(asked, 3))
	})
	t.Run("RouteOfCallersIsNoCall", func(t *testing.T) {
		require.Zero(t, a.DerivedProbability(asked, 2, 2))
	})
	t.Run("OtherRoutesMayBe", func(t *testing.T) {
		require.InDelta(t, 0.5, a.DerivedProbability(called, 4, 2), 0)
		require.True(t, a.MayBeNested(called, 4))
	})
}
