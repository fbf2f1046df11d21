package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// TestLongRequestsAreNotTakenByAStop checks that a process that stops takes no
// request of a route that mostly takes longer than it has left.
func TestLongRequestsAreNotTakenByAStop(t *testing.T) {
	const long, short = 1, 2
	lanes := NewServiceTable()
	member := registrar.Member{Incarnation: 1, Service: "billing", Slots: 4, State: registrar.StateServing}
	lanes.Update(0, registrar.New().WithMember(member))
	lane := lanes.ServiceState("billing")
	for range 200 {
		lane.Latencies.Observe(long, 5*time.Second)
		lane.Latencies.Observe(short, 100*time.Millisecond)
	}
	r := &Router{deps: Dependencies{ServiceTable: lanes, FinishesBeforeStop: func(takes time.Duration) bool { return takes < 4*time.Second }}}
	fits := func(route uint64) bool {
		return r.fits(&call{service: cataloger.Service{Name: "billing"}, routeHash: route})
	}
	require.False(t, fits(long))
	require.True(t, fits(short))
	require.True(t, fits(3), "nothing is known of the route")
	slow := &call{service: cataloger.Service{Name: "billing"}, route: cataloger.Route{Objective: 12 * time.Second}, routeHash: 3}
	require.False(t, r.fits(slow), "its objective tells")
}
