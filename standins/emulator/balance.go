package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/coordination/picker"
	"github.com/foxtailhall/foxtailhall/coordination/searcher"
	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// Balance is how routers choose servers.
type Balance string

// Ways to choose servers.
const (
	// BalanceRequests compares numbers of requests.
	BalanceRequests Balance = "Requests"
	// BalanceWork compares expected completion times.
	BalanceWork Balance = "Work"
	// BalanceSeparate compares numbers of requests and gives long kinds servers of their
	// own, in proportion to their work. It is here to compare; the product lacks it.
	BalanceSeparate Balance = "Separate"
)

// applyOptions sets what depends on the options before a run.
func (w *world) applyOptions() {
	if w.Load > 0 {
		w.Pattern.Load = w.Load
	}
	if w.Pattern.Servers > 0 {
		w.Servers = w.Pattern.Servers
	}
	if w.Pattern.MaxServers > 0 {
		w.Servers = min(w.Servers, w.Pattern.MaxServers)
	}
	w.demand = w.random
	if w.Pattern.Paired {
		w.demand = rand.New(rand.NewPCG(w.Seed, ^w.Seed))
	}
	w.result = Result{
		Pattern: w.Pattern.Name, Servers: w.Servers, Kinds: map[string]*Figures{}, hot: w.Pattern.HotCustomer,
	}
}

// drawRouter draws the router of a request. With waves, zones get more or less of the demand.
func (w *world) drawRouter() int {
	for {
		i := w.demand.IntN(w.Servers)
		if w.Pattern.WaveDepth == 0 {
			return i
		}
		phase := w.elapsed().Seconds()/w.Pattern.WavePeriod.Seconds() + float64(w.zone(i))/float64(w.Pattern.Zones)
		if w.demand.Float64()*(1+w.Pattern.WaveDepth) < 1+w.Pattern.WaveDepth*math.Sin(2*math.Pi*phase) {
			return i
		}
	}
}

// drawFactor draws the service time of a request at a server of usual speed.
func (w *world) drawFactor(kind Kind) float64 {
	work := float64(kind.Work) * math.Exp(w.demand.NormFloat64()*workSpread)
	if w.Pattern.TailShare > 0 && w.demand.Float64() < w.Pattern.TailShare {
		work *= w.Pattern.TailFactor
	}
	return work
}

// drawWork returns the service time of an attempt at a server of usual speed.
func (w *world) drawWork(one *request) float64 {
	if one.work > 0 {
		return one.work
	}
	return float64(one.kind.Work) * math.Exp(w.random.NormFloat64()*workSpread)
}

// cost returns the kind of request as an estimator knows it.
func (k Kind) cost() estimator.Kind {
	return estimator.KindOf(uint64(k.Work)<<8|uint64(k.Rank), 0)
}

// workLeft returns the service time that the attempts at the guard are expected to need.
func (g *guard) workLeft() time.Duration {
	if g.world.Unreported {
		return 0
	}
	now, sum := g.world.Now(), time.Duration(0)
	for a, started := range g.started {
		sum += g.costs.Remaining(now, a.request.kind.cost(), now-started)
	}
	for _, a := range g.queued {
		sum += g.costs.Remaining(now, a.request.kind.cost(), 0)
	}
	return sum
}

// expect returns the service time that a request is expected to need at a server.
func (r *router) expect(one *request, server *tracker.Server) time.Duration {
	now := r.world.Now()
	return time.Duration(float64(r.costs.Remaining(now, one.kind.cost(), 0)) * r.pool.Slowness(now, server))
}

// learn records the service time of an answered attempt.
func (r *router) learn(one *request, server *tracker.Server, end answer) {
	if !end.good {
		return
	}
	now := r.world.Now()
	expected := r.costs.Remaining(now, one.kind.cost(), 0)
	server.RecordSlowness(now, expected, end.service)
	r.pool.Aggregate.RecordSlowness(now, expected, end.service)
	r.costs.Observe(now, one.kind.cost(), end.service)
}

func (r *router) pick(one *request, want searcher.Constraints) (tracker.Entry, picker.Reason) {
	query := r.query(one, want)
	switch r.world.Balance {
	case BalanceWork:
		query.SameZoneOnly = false
		query.ByWork, query.Cost = true, r.costs.Remaining(query.Now, one.kind.cost(), 0)
	case BalanceSeparate:
		return picker.Pick(r.separate(one.kind), query)
	case BalanceRequests:
	}
	return picker.Pick(r.pool, query)
}

// longFactor is how many times the mean a kind takes that counts as long.
const longFactor = 2

// separate returns the servers for a kind: long kinds have a part of the servers, in
// proportion to their work, and the others the rest.
func (r *router) separate(kind Kind) *tracker.Pool {
	long, all := 0.0, 0.0
	isLong := func(k Kind) bool { return k.Work > longFactor*r.world.meanWork }
	for _, k := range r.world.Pattern.Kinds {
		all += k.Share * k.Work.Seconds()
		if isLong(k) {
			long += k.Share * k.Work.Seconds()
		}
	}
	if long == 0 {
		return r.pool
	}
	count := len(r.pool.Entries)
	split := min(max(1, int(math.Round(float64(count)*long/all))), count-1)
	part := &tracker.Pool{Aggregate: r.pool.Aggregate, Entries: r.pool.Entries[split:]}
	if isLong(kind) {
		part.Entries = r.pool.Entries[:split]
	}
	return part
}
