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

// ServiceState is what the router keeps for one service.
type ServiceState struct {
	Pool *tracker.Pool
	// Latencies and Refusing outlive all versions of the pool.
	Latencies   *LatencyQuantiles
	RefusalRate *RefusalRate
	// members is the roster's slice that Pool was built from.
	members []registrar.Member
}

// RefusalRate is the share of a service's servers that refuse for the time being,
// as this router meets it. It is safe for concurrent use.
type RefusalRate struct {
	// share holds the bits of a float from 0 to 1.
	share atomic.Uint64
}

// refusingSmoothing is the weight of one attempt.
const refusingSmoothing = 0.05

// Observe takes whether a server refused that was asked for the first time.
func (f *RefusalRate) Observe(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	have := f.Value()
	f.share.Store(math.Float64bits(have + refusingSmoothing*(sample-have)))
}

// Value returns the smoothed share.
func (f *RefusalRate) Value() float64 { return math.Float64frombits(f.share.Load()) }

// LatencyQuantiles holds for each route the answer time after which a request is late.
type LatencyQuantiles struct {
	// routes holds a *retrier.Quantile by the hash of the route's name.
	routes sync.Map
}

// Observe takes an answer time of a route.
func (l *LatencyQuantiles) Observe(route uint64, took time.Duration) {
	known, ok := l.routes.Load(route)
	if !ok {
		known, _ = l.routes.LoadOrStore(route, &retrier.Quantile{})
	}
	known.(*retrier.Quantile).Observe(took)
}

// Delay returns the late time of a route, 0 if it is not known.
func (l *LatencyQuantiles) Delay(route uint64) time.Duration {
	known, ok := l.routes.Load(route)
	if !ok {
		return 0
	}
	return known.(*retrier.Quantile).Delay()
}

// ServiceTable holds the lanes of all services, read by requests without locks.
type ServiceTable struct {
	current atomic.Pointer[map[string]*ServiceState]
}

// NewServiceTable returns the lanes of no service.
func NewServiceTable() *ServiceTable {
	lanes := &ServiceTable{}
	lanes.current.Store(&map[string]*ServiceState{})
	return lanes
}

// ServiceState returns the lane of a service, nil if it has no servers.
func (l *ServiceTable) ServiceState(service string) *ServiceState {
	return (*l.current.Load())[service]
}

// All returns the lanes by service. The map must not be changed.
func (l *ServiceTable) All() map[string]*ServiceState {
	return *l.current.Load()
}

// Update replaces all lanes by those of a newer roster, at a monotonic time. Only one goroutine may update.
func (l *ServiceTable) Update(now time.Duration, roster registrar.Roster) {
	old := *l.current.Load()
	next := make(map[string]*ServiceState, len(old))
	for _, service := range roster.Services() {
		next[service] = updated(old[service], now, roster.Pool(service))
	}
	l.current.Store(&next)
}

func updated(old *ServiceState, now time.Duration, members []registrar.Member) *ServiceState {
	if old != nil && same(old.members, members) {
		return old
	}
	lane := &ServiceState{Pool: &tracker.Pool{Entries: make([]tracker.Entry, 0, len(members))}, members: members}
	if old == nil {
		lane.Latencies = &LatencyQuantiles{}
		lane.RefusalRate = &RefusalRate{}
		lane.Pool.Aggregate = tracker.New(0, now, 0)
	} else {
		lane.Latencies, lane.RefusalRate, lane.Pool.Aggregate = old.Latencies, old.RefusalRate, old.Pool.Aggregate
	}
	for _, member := range members {
		lane.Pool.Entries = append(lane.Pool.Entries, tracker.Entry{
			Member: member,
			Server: kept(old, now, member),
		})
	}
	return lane
}

// same tells whether two slices are the same part of one roster. A roster that
// changes a service's members makes a new slice for it.
func same(a, b []registrar.Member) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// kept returns the view of a server that is known already, or a new one. A
// server that was in service before the router knew it does not count as cold.
func kept(old *ServiceState, now time.Duration, member registrar.Member) *tracker.Server {
	if old != nil {
		if entry, ok := old.Pool.Find(member.Incarnation); ok {
			return entry.Server
		}
	}
	coldStart := coldStartTime
	if member.State != registrar.StateStarting {
		coldStart = 0
	}
	return tracker.New(member.Incarnation, now, coldStart)
}

// coldStartTime is how long a starting server's share of work rises.
const coldStartTime = 5 * time.Second
