package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// usualWindow is the time constant of both stages of the filter that measures usual
	// work. A surge to 8 times the usual for 8 s raises the result by about a fifth.
	usualWindow = 30 * time.Second
	// priorRequests is the work, in smoothed service times, that every customer is assumed
	// to ask for in addition. It makes customers equal until enough was measured.
	priorRequests = 2.0
	// firstPrior is that work, in seconds, while the service time is not known. Without any, a
	// customer new among known ones would have no weight at all.
	firstPrior = 0.1
	// maxAccounts bounds the customers whose usual work is remembered. Beyond it that of all
	// idle ones is forgotten, which makes them equal until it was measured again.
	maxAccounts = 1024
	// minServedShare is the share of its part of the demand that a less urgent rank gets at
	// least. The product promises a quarter; the rest covers errors of the measured demand.
	minServedShare = 0.5
	// maxCredit bounds, in smoothed service times, what a rank is owed.
	maxCredit = 2.0
)

// work measures work asked for, in seconds of service time, by an exponential filter of
// two stages, which follows a lasting change but hardly a surge of seconds.
type work struct {
	first, second float64
	at            clocker.Instant
}

// value returns the measured work over usualWindow.
func (w *work) value(now clocker.Instant) float64 {
	windows := now.Since(w.at).Seconds() / usualWindow.Seconds()
	return (w.second + w.first*windows) * math.Exp(-windows)
}

func (w *work) add(now clocker.Instant, seconds float64) {
	second := w.value(now)
	w.first = w.first*math.Exp(-now.Since(w.at).Seconds()/usualWindow.Seconds()) + seconds
	w.second, w.at = second, now
}

// account is what the limiter knows of one customer.
type account struct {
	// used is the work started for the customer, divided by its weight.
	used float64
	// epoch is that of the last use.
	epoch uint64
	// active counts its requests that wait or run.
	active int
	// usual is the work that the customer asked for.
	usual work
}

// rankDemand is the work asked for in one rank, and the work that the rank is owed.
type rankDemand struct {
	asked  work
	credit float64
}

// runningRequest is a request with a slot.
type runningRequest struct {
	customer string
	// cost is the work in seconds that was charged at its start.
	cost    float64
	started clocker.Instant
}

// shares divides a server's work among customers, and keeps a minimum for less urgent
// ranks. Within a rank the customer with the least work in proportion to its usual work
// goes first (start-time fair queueing), so that a surge is borne by who causes it.
type shares struct {
	// enabled is set once a request of a customer was seen.
	enabled  bool
	accounts map[string]*account
	// active holds the accounts with requests that wait or run.
	active map[string]*account
	// epoch counts how often past use was forgotten.
	epoch uint64
	total work
	// prior is the work that every customer is assumed to ask for in addition.
	prior float64
	// floor is the least used of the active accounts. It never decreases.
	floor   float64
	ranks   map[uint32]*rankDemand
	running map[uint64]runningRequest
}

func newShares() *shares {
	return &shares{
		accounts: map[string]*account{}, active: map[string]*account{},
		ranks: map[uint32]*rankDemand{}, running: map[uint64]runningRequest{}, prior: firstPrior,
	}
}

// setServiceTime sets the smoothed service time of the server.
func (s *shares) setServiceTime(serviceTime time.Duration) {
	s.prior = firstPrior
	if serviceTime > 0 {
		s.prior = priorRequests * serviceTime.Seconds()
	}
}

func (s *shares) account(customer string) *account {
	known, ok := s.accounts[customer]
	if !ok {
		if len(s.accounts) >= maxAccounts {
			s.dropIdle()
		}
		known = &account{used: s.floor, epoch: s.epoch}
		s.accounts[customer] = known
	}
	if known.epoch != s.epoch {
		known.used, known.epoch = s.floor, s.epoch
	}
	return known
}

func (s *shares) dropIdle() {
	for name, known := range s.accounts {
		if known.active == 0 {
			delete(s.accounts, name)
		}
	}
}

// ask records that work is asked for, whether or not it is admitted.
func (s *shares) ask(now clocker.Instant, next queuedRequest) {
	s.enabled = s.enabled || next.customer != ""
	known := s.account(next.customer)
	known.usual.add(now, next.cost)
	s.total.add(now, next.cost)
	if known.active == 0 {
		known.used = max(known.used, s.floor)
	}
	rank, ok := s.ranks[next.rank]
	if !ok {
		if len(s.ranks) >= maxRanks {
			clear(s.ranks)
		}
		rank = &rankDemand{}
		s.ranks[next.rank] = rank
	}
	rank.asked.add(now, next.cost)
}

// weight returns the customer's weight: its share of the usual work.
func (s *shares) weight(now clocker.Instant, customer string) float64 {
	return s.weightOf(now, customer, s.usualOfAll(now))
}

// usualOfAll returns the usual work of all customers.
func (s *shares) usualOfAll(now clocker.Instant) float64 {
	return s.total.value(now) + s.prior*float64(len(s.accounts))
}

func (s *shares) weightOf(now clocker.Instant, customer string, total float64) float64 {
	return (s.account(customer).usual.value(now) + s.prior) / total
}

// enter counts a request that was admitted, leave one that has ended or was refused later.
func (s *shares) enter(customer string) {
	known := s.account(customer)
	known.active++
	s.active[customer] = known
}

func (s *shares) leave(customer string) {
	known := s.account(customer)
	if known.active--; known.active == 0 {
		delete(s.active, customer)
	}
}

// start charges a customer for a request that gets a slot.
func (s *shares) start(now clocker.Instant, next queuedRequest) {
	s.account(next.customer).used += next.cost / s.weight(now, next.customer)
	s.running[next.id] = runningRequest{customer: next.customer, cost: next.cost, started: now}
	s.raiseFloor()
}

// finish corrects the charge of a request by the time that it held its slot.
func (s *shares) finish(now clocker.Instant, id uint64) {
	ended, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	s.leave(ended.customer)
	s.account(ended.customer).used += (now.Since(ended.started).Seconds() - ended.cost) / s.weight(now, ended.customer)
}

func (s *shares) raiseFloor() {
	least := math.Inf(1)
	for customer := range s.active {
		least = min(least, s.account(customer).used)
	}
	if !math.IsInf(least, 1) {
		s.floor = max(s.floor, least)
	}
}

// forget drops past use while no request waits. Only running work counts against a
// customer then: use of idle capacity took nothing from anyone.
func (s *shares) forget(now clocker.Instant) {
	s.epoch++
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		request := s.running[id]
		s.account(request.customer).used += request.cost / s.weight(now, request.customer)
	}
}

// overrun returns, by customer, the virtual time of running requests beyond their charge.
func (s *shares) overrun(now clocker.Instant) map[string]float64 {
	over := map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		request := s.running[id]
		if more := now.Since(request.started).Seconds() - request.cost; more > 0 {
			over[request.customer] += more / s.weight(now, request.customer)
		}
	}
	return over
}

// order sorts waiting requests, given by rank and arrival, into the order of their starts.
func (s *shares) order(now clocker.Instant, queue []queuedRequest) []queuedRequest {
	if !s.enabled {
		return queue
	}
	over, total := s.overrun(now), s.usualOfAll(now)
	type waiting struct{ tag, weight float64 }
	type tagged struct {
		queuedRequest
		tag float64
	}
	customers := map[string]waiting{}
	sorted := make([]tagged, 0, len(queue))
	for _, next := range queue {
		known, ok := customers[next.customer]
		if !ok {
			known = waiting{
				tag:    over[next.customer] + s.account(next.customer).used,
				weight: s.weightOf(now, next.customer, total),
			}
		}
		sorted = append(sorted, tagged{queuedRequest: next, tag: known.tag})
		known.tag += next.cost / known.weight
		customers[next.customer] = known
	}
	slices.SortStableFunc(sorted, func(a, b tagged) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.tag, b.tag))
	})
	ordered := make([]queuedRequest, 0, len(queue))
	for _, next := range sorted {
		ordered = append(ordered, next.queuedRequest)
	}
	return ordered
}

// minimum returns the share of the server's work that a rank gets at least.
func (s *shares) minimum(now clocker.Instant, rank uint32) float64 {
	total := s.total.value(now)
	demand, ok := s.ranks[rank]
	if !s.enabled || !ok || total == 0 {
		return 0
	}
	return minServedShare * demand.asked.value(now) / total
}

// next returns the request to start: the first in order, or the first of a less urgent
// rank that is owed as much work as it needs.
func (s *shares) next(ordered []queuedRequest) queuedRequest {
	if !s.enabled {
		return ordered[0]
	}
	for i, candidate := range ordered[1:] {
		if candidate.rank == ordered[i].rank {
			continue
		}
		if demand := s.ranks[candidate.rank]; demand != nil && demand.credit >= candidate.cost {
			return candidate
		}
	}
	return ordered[0]
}

// credit adds to what each waiting rank but the most urgent is owed when a request starts.
func (s *shares) credit(now clocker.Instant, ordered []queuedRequest, chosen queuedRequest) {
	if !s.enabled {
		return
	}
	for i, waiting := range ordered {
		demand := s.ranks[waiting.rank]
		if demand == nil || waiting.rank == ordered[0].rank || i > 0 && ordered[i-1].rank == waiting.rank {
			continue
		}
		most := max(demand.credit, maxCredit*waiting.cost)
		demand.credit = min(most, demand.credit+s.minimum(now, waiting.rank)*chosen.cost)
		if waiting.rank == chosen.rank {
			demand.credit -= chosen.cost
		}
	}
}

// last returns the waiting request that is given up first: in the least urgent rank that
// has more than its minimum share of the queue, the one that would start last. It is of
// the customer with the most queued work beyond its share.
func (s *shares) last(now clocker.Instant, queue []queuedRequest) queuedRequest {
	ordered := s.order(now, queue)
	for end := len(ordered); ; {
		begin := end
		for begin > 0 && ordered[begin-1].rank == ordered[end-1].rank {
			begin--
		}
		kept := max(1, int(s.minimum(now, ordered[begin].rank)*float64(len(ordered))))
		if end-begin > kept || begin == 0 {
			return ordered[end-1]
		}
		end = begin
	}
}
