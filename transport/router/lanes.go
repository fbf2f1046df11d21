package router

import (
	"sync/atomic"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// Lane is what the router keeps for one service.
type Lane struct {
	Pool *tracker.Pool
	// Budget and Late outlive all versions of the pool.
	Budget *retrier.Budget
	Late   *retrier.Quantile
	// members is the roster's slice that Pool was built from.
	members []registrar.Member
}

// Lanes holds the lanes of all services, read by requests without locks.
type Lanes struct {
	current atomic.Pointer[map[string]*Lane]
}

// NewLanes returns the lanes of no service.
func NewLanes() *Lanes {
	lanes := &Lanes{}
	lanes.current.Store(&map[string]*Lane{})
	return lanes
}

// Lane returns the lane of a service, nil if it has no servers.
func (l *Lanes) Lane(service string) *Lane {
	return (*l.current.Load())[service]
}

// All returns the lanes by service. The map must not be changed.
func (l *Lanes) All() map[string]*Lane {
	return *l.current.Load()
}

// Update replaces all lanes by those of a newer roster and catalog, at a
// monotonic time. Only one goroutine may update.
func (l *Lanes) Update(now time.Duration, roster registrar.Roster, catalog cataloger.Catalog) {
	old := *l.current.Load()
	next := make(map[string]*Lane, len(old))
	for _, service := range roster.Services() {
		next[service] = updated(old[service], now, roster.Pool(service), service, catalog)
	}
	l.current.Store(&next)
}

func updated(
	old *Lane, now time.Duration, members []registrar.Member, service string, catalog cataloger.Catalog,
) *Lane {
	policy, _ := catalog.PolicyOf(service)
	if old != nil && same(old.members, members) {
		old.Budget.SetShare(policy.RetryShare)
		return old
	}
	lane := &Lane{Pool: &tracker.Pool{Entries: make([]tracker.Entry, 0, len(members))}, members: members}
	if old == nil {
		lane.Budget = retrier.New(policy.RetryShare)
		lane.Late = &retrier.Quantile{}
		lane.Pool.Typical = tracker.New(0, now, 0)
	} else {
		lane.Budget, lane.Late, lane.Pool.Typical = old.Budget, old.Late, old.Pool.Typical
		lane.Budget.SetShare(policy.RetryShare)
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
func kept(old *Lane, now time.Duration, member registrar.Member) *tracker.Server {
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
