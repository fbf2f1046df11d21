package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// ServiceState is the router's state for one service.
type ServiceState struct {
	Pool *tracker.Pool
	// Latencies, RefusalRate and Costs are shared by all versions of the pool.
	Latencies   *LatencyQuantiles
	RefusalRate *RefusalRate
	Costs       *Costs
	// members is the slice of the roster that Pool was built from.
	members []registrar.Member
}

// RefusalRate is an exponentially weighted moving average of how often the servers of
// one service refuse this router for lack of a free slot. It is safe for concurrent use.
type RefusalRate struct {
	// bits holds a float64 from 0 to 1 as its IEEE 754 bits.
	bits atomic.Uint64
}

// refusalSmoothing is the weight of a new sample in the moving average.
const refusalSmoothing = 0.05

// Observe records whether a server refused an attempt that did not insist.
func (r *RefusalRate) Observe(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	have := r.Value()
	r.bits.Store(math.Float64bits(have + refusalSmoothing*(sample-have)))
}

// Value returns the average, from 0 to 1.
func (r *RefusalRate) Value() float64 { return math.Float64frombits(r.bits.Load()) }

// LatencyQuantiles estimates, for each route, the latency after which a request counts
// as late. It is safe for concurrent use.
type LatencyQuantiles struct {
	// routes maps the hash of a route's name to a *retrier.Quantile.
	routes sync.Map
}

// Observe records the latency of an answered request of a route.
func (q *LatencyQuantiles) Observe(route uint64, took time.Duration) {
	known, ok := q.routes.Load(route)
	if !ok {
		known, _ = q.routes.LoadOrStore(route, &retrier.Quantile{})
	}
	known.(*retrier.Quantile).Observe(took)
}

// Delay returns the latency after which a request of a route counts as late and may
// be hedged, 0 if the route has no samples.
func (q *LatencyQuantiles) Delay(route uint64) time.Duration {
	known, ok := q.routes.Load(route)
	if !ok {
		return 0
	}
	return known.(*retrier.Quantile).Delay()
}

// ServiceTable holds the state of all services. Reads take no locks.
type ServiceTable struct {
	current atomic.Pointer[map[string]*ServiceState]
}

// NewServiceTable returns an empty table.
func NewServiceTable() *ServiceTable {
	table := &ServiceTable{}
	table.current.Store(&map[string]*ServiceState{})
	return table
}

// ServiceState returns the state of a service, nil if the service has no servers.
func (t *ServiceTable) ServiceState(service string) *ServiceState {
	return (*t.current.Load())[service]
}

// All returns the states by service name. The map must not be modified.
func (t *ServiceTable) All() map[string]*ServiceState {
	return *t.current.Load()
}

// Update replaces the table's contents with the services of a newer roster, at a
// monotonic time. It must not be called concurrently with itself.
func (t *ServiceTable) Update(now time.Duration, roster registrar.Roster) {
	old := *t.current.Load()
	next := make(map[string]*ServiceState, len(old))
	for _, service := range roster.Services() {
		next[service] = updateState(old[service], now, roster.Pool(service))
	}
	t.current.Store(&next)
}

func updateState(old *ServiceState, now time.Duration, members []registrar.Member) *ServiceState {
	if old != nil && sameSlice(old.members, members) {
		return old
	}
	state := &ServiceState{Pool: &tracker.Pool{Entries: make([]tracker.Entry, 0, len(members))}, members: members}
	if old == nil {
		state.Latencies = &LatencyQuantiles{}
		state.RefusalRate = &RefusalRate{}
		state.Costs = NewCosts()
		state.Pool.Aggregate = tracker.New(0, now, 0)
	} else {
		state.Latencies, state.RefusalRate, state.Pool.Aggregate = old.Latencies, old.RefusalRate, old.Pool.Aggregate
		state.Costs = old.Costs
	}
	for _, member := range members {
		state.Pool.Entries = append(state.Pool.Entries, tracker.Entry{
			Member: member,
			Server: serverView(old, now, member),
		})
	}
	return state
}

// sameSlice reports whether two slices share their first element and length. A roster
// allocates a new slice for a service whenever its members change.
func sameSlice(a, b []registrar.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// serverView returns the existing view of a server, or a new one. Only a server that
// joins as starting gets a cold start: others were in service before this router
// learned of them.
func serverView(old *ServiceState, now time.Duration, member registrar.Member) *tracker.Server {
	if old != nil {
		if entry, ok := old.Pool.Find(member.Incarnation); ok {
			return entry.Server
		}
	}
	coldStart := coldStartDuration
	if member.State != registrar.StateStarting {
		coldStart = 0
	}
	return tracker.New(member.Incarnation, now, coldStart)
}

// coldStartDuration is how long a starting server's share of requests ramps up.
const coldStartDuration = 5 * time.Second
