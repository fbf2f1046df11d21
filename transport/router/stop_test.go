package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// TestLongRequestsAreNotTakenByAStop checks that a stopping process refuses requests
// that are expected to take longer than the time until running requests are cut off.
func TestLongRequestsAreNotTakenByAStop(t *testing.T) {
	const long, short = 1, 2
	table := NewServiceTable()
	member := registrar.Member{Incarnation: 1, Service: "billing", Slots: 4, State: registrar.StateServing}
	table.Update(0, registrar.New().WithMember(member))
	state := table.ServiceState("billing")
	for range 200 {
		state.Latencies.Observe(long, 5*time.Second)
		state.Latencies.Observe(short, 100*time.Millisecond)
	}
	r := &Router{deps: Dependencies{
		ServiceTable:       table,
		FinishesBeforeStop: func(expected time.Duration) bool { return expected < 4*time.Second },
	}}
	finishesBeforeStop := func(route uint64) bool {
		return r.finishesBeforeStop(&callerRequest{service: cataloger.Service{Name: "billing"}, routeHash: route})
	}
	require.False(t, finishesBeforeStop(long))
	require.True(t, finishesBeforeStop(short))
	require.True(t, finishesBeforeStop(3), "route without samples or objective")
	slow := &callerRequest{
		service:   cataloger.Service{Name: "billing"},
		route:     cataloger.Route{Objective: 12 * time.Second},
		routeHash: 3,
	}
	require.False(t, r.finishesBeforeStop(slow), "half of the route's objective exceeds the time left")
}
