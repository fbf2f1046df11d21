// Package limiter decides which requests a backend server runs concurrently,
// which wait briefly in a queue, and which are refused because they cannot meet
// their deadline.
package limiter

import (
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// Decision is what the limiter does with an arriving request.
type Decision uint8

// Decisions on an arriving request.
const (
	// Started means that the request holds a slot.
	Started Decision = iota + 1
	// Queued means that the request waits until Release starts it.
	Queued
	// RefusedFull means that all slots and the queue are full.
	RefusedFull
	// RefusedLate means that the request cannot meet its deadline or would wait
	// longer than its MaxWait.
	RefusedLate
)

// String returns the name of the decision.
func (d Decision) String() string {
	switch d {
	case Started:
		return "Started"
	case Queued:
		return "Queued"
	case RefusedFull:
		return "QueueFull"
	case RefusedLate:
		return "DeadlineTooNear"
	default:
		return "Unknown"
	}
}

const (
	// smoothing is the weight of a new sample in the smoothed service time.
	smoothing = 0.1
	// serviceReserve is how many smoothed service times must be left before the
	// deadline when a request starts.
	serviceReserve = 1.0
)

type queuedRequest struct {
	id       uint64
	deadline clocker.Instant
	// rank is the urgency; 0 is the most urgent.
	rank     uint32
	customer string
	// cost is the expected work in seconds.
	cost float64
}

// Limiter admits requests to one backend server. It is not safe for concurrent use.
type Limiter struct {
	slots    int
	maxQueue int
	// inFlight never exceeds slots, except after slots was lowered.
	inFlight int
	// queue holds at most maxQueue requests by rank, then in order of arrival,
	// except after maxQueue was lowered.
	queue []queuedRequest
	// serviceTime is the smoothed service time, 0 before the first sample.
	serviceTime time.Duration
	// rates holds the admission rates by rank.
	rates  rankRates
	shares *shares
	// displaced holds the IDs of queued requests that were refused in favor of others.
	displaced []uint64
}

// New returns a limiter for a server with the given number of slots and queue length.
func New(slots, maxQueue int) *Limiter {
	return &Limiter{slots: slots, maxQueue: maxQueue, shares: newShares()}
}

// Resize changes the number of slots and the queue length. Requests that were
// admitted under higher limits stay admitted.
func (l *Limiter) Resize(slots, maxQueue int) {
	l.slots = slots
	l.maxQueue = maxQueue
}

// InFlight returns the number of requests that hold a slot.
func (l *Limiter) InFlight() int { return l.inFlight }

// Waiting returns the number of requests in the queue.
func (l *Limiter) Waiting() int { return len(l.queue) }

// ServiceTime returns the smoothed service time, 0 before the first sample.
func (l *Limiter) ServiceTime() time.Duration { return l.serviceTime }

// Admit decides on an arriving request of rank 0 and without a MaxWait. An idle
// server takes any request whose deadline has not passed; otherwise a service
// time estimated too high would refuse every request and never be corrected.
func (l *Limiter) Admit(now clocker.Instant, id uint64, deadline clocker.Instant) Decision {
	return l.AdmitRanked(now, Request{ID: id, Deadline: deadline})
}

// Request is a request for a slot.
type Request struct {
	ID       uint64
	Deadline clocker.Instant
	// Rank is the urgency; 0 is the most urgent.
	Rank uint32
	// MaxWait is how long the request may wait for a slot, 0 for as long as its
	// deadline allows.
	MaxWait time.Duration
	// Customer names the customer that sent the request. Requests without one count
	// together as one customer.
	Customer string
	// Cost is the expected service time; 0 stands for the smoothed one of the server.
	Cost time.Duration
}

// rateRank returns the rank that the request counts for in the admission rates.
func (r Request) rateRank() uint32 {
	if r.Customer == "" {
		return min(r.Rank, trackedRanks-1)
	}
	return r.Rank
}

// AdmitRanked decides on an arriving request as Admit does. A request of lower
// rank starts before all waiting ones of higher rank. Among customers of equal rank the
// one with the least work in proportion to its usual work goes first. A request that was
// queued before may be displaced; see TakeDisplaced.
func (l *Limiter) AdmitRanked(now clocker.Instant, request Request) Decision {
	next := queuedRequest{
		id: request.ID, deadline: request.Deadline, rank: request.Rank, customer: request.Customer,
		cost: l.cost(request).Seconds(),
	}
	l.shares.ask(now, next)
	wait := l.expectedWait(now, next, request.rateRank())
	if l.missesDeadline(now, request.Deadline, wait) || request.MaxWait > 0 && wait > request.MaxWait {
		return RefusedLate
	}
	if l.inFlight >= l.slots && len(l.queue) >= l.maxQueue && !l.displace(now, next) {
		return RefusedFull
	}
	l.rates.add(now, request.rateRank())
	l.shares.enter(next.customer)
	if l.inFlight < l.slots {
		l.inFlight++
		l.shares.start(now, next)
		return Started
	}
	if len(l.queue) == 0 {
		l.shares.forget(now)
	}
	l.enqueue(next)
	l.displaceLate(now, next)
	return Queued
}

func (l *Limiter) cost(request Request) time.Duration {
	if request.Cost > 0 {
		return request.Cost
	}
	return l.serviceTime
}

// enqueue inserts a request behind those of the same or a lower rank.
func (l *Limiter) enqueue(next queuedRequest) { l.queue = inserted(l.queue, next) }

func inserted(queue []queuedRequest, next queuedRequest) []queuedRequest {
	i := len(queue)
	for i > 0 && queue[i-1].rank > next.rank {
		i--
	}
	return slices.Insert(queue, i, next)
}

// displace makes room in a full queue for a request, at the cost of the customer with the
// most queued work in the least urgent rank. It reports whether there is room.
func (l *Limiter) displace(now clocker.Instant, next queuedRequest) bool {
	if !l.shares.enabled || l.maxQueue == 0 || len(l.queue) > l.maxQueue {
		return false
	}
	victim := l.shares.last(now, inserted(slices.Clone(l.queue), next))
	if victim.id == next.id || victim.customer == next.customer && victim.rank == next.rank {
		return false
	}
	l.giveUp(victim)
	return true
}

// displaceLate gives up the requests that can't meet their deadlines now that another one
// of their rank goes before them. They would wait in vain.
func (l *Limiter) displaceLate(now clocker.Instant, newest queuedRequest) {
	if !l.shares.enabled || l.serviceTime == 0 || l.slots == 0 {
		return
	}
	position := 0
	for _, waiting := range l.shares.order(now, l.queue) {
		position++
		wait := l.serviceTime * time.Duration(position) / time.Duration(l.slots)
		if waiting.id != newest.id && waiting.rank == newest.rank && l.missesDeadline(now, waiting.deadline, wait) {
			l.giveUp(waiting)
			position--
		}
	}
}

func (l *Limiter) giveUp(waiting queuedRequest) {
	if l.Remove(waiting.id) {
		l.displaced = append(l.displaced, waiting.id)
	}
}

// TakeDisplaced returns the IDs of the queued requests that were refused in favor of
// others since the last call.
func (l *Limiter) TakeDisplaced() []uint64 {
	displaced := l.displaced
	l.displaced = nil
	return displaced
}

// HasFreeSlot reports whether a slot is free and no request waits for it.
func (l *Limiter) HasFreeSlot() bool { return l.inFlight < l.slots && len(l.queue) == 0 }

// ExpectedWait estimates how long a request would wait for a slot if it came now.
func (l *Limiter) ExpectedWait(now clocker.Instant, request Request) time.Duration {
	return l.expectedWait(now, queuedRequest{
		id: request.ID, rank: request.Rank, customer: request.Customer, cost: l.cost(request).Seconds(),
	}, request.rateRank())
}

// expectedWait estimates how long a request would wait: for the requests ahead of it in
// the queue, and for more urgent ones that arrive meanwhile. A rank with a minimum share
// waits at most for its own requests.
func (l *Limiter) expectedWait(now clocker.Instant, next queuedRequest, rateRank uint32) time.Duration {
	if l.inFlight < l.slots || l.slots == 0 || l.serviceTime == 0 {
		return 0
	}
	ahead, aheadInRank := l.ahead(now, next)
	capacity := float64(l.slots) / l.serviceTime.Seconds()
	available := l.rates.leftOver(now, rateRank, capacity)
	seconds := float64(ahead+1) / max(available, minCapacityShare*capacity)
	if least := l.shares.minimum(now, next.rank); least > 0 {
		seconds = min(seconds, float64(aheadInRank+1)/(least*capacity))
	}
	return time.Duration(seconds * float64(time.Second))
}

// ahead returns how many queued requests would start before a new one, and how many of
// them are of its rank.
func (l *Limiter) ahead(now clocker.Instant, next queuedRequest) (all, ofRank int) {
	for i, waiting := range l.shares.order(now, inserted(slices.Clone(l.queue), next)) {
		if waiting.id == next.id {
			return i, ofRank
		}
		if waiting.rank == next.rank {
			ofRank++
		}
	}
	return len(l.queue), ofRank
}

// minCapacityShare is the share of a server's capacity that is assumed to be
// left for less urgent requests, at any rate of more urgent ones.
const minCapacityShare = 0.05

// missesDeadline reports whether a request that waits for the given time cannot
// finish before its deadline. An idle server only refuses passed deadlines.
func (l *Limiter) missesDeadline(now, deadline clocker.Instant, wait time.Duration) bool {
	remaining := -now.Since(deadline)
	if remaining <= 0 {
		return true
	}
	if l.inFlight == 0 {
		return false
	}
	return remaining < wait+time.Duration(serviceReserve*float64(l.serviceTime))
}

// Release frees a slot and returns the waiting requests that start now and
// those that are refused because their deadline is too near.
func (l *Limiter) Release(now clocker.Instant) (started, refused []uint64) {
	l.inFlight--
	return l.startQueued(now)
}

// Finish does what Release does for a request with a given ID, and corrects what its
// customer was charged by the time that it held the slot.
func (l *Limiter) Finish(now clocker.Instant, id uint64) (started, refused []uint64) {
	l.shares.finish(now, id)
	return l.Release(now)
}

func (l *Limiter) startQueued(now clocker.Instant) (started, refused []uint64) {
	for l.inFlight < l.slots && len(l.queue) > 0 {
		ordered := l.shares.order(now, l.queue)
		next := l.shares.next(ordered)
		if l.missesDeadline(now, next.deadline, 0) {
			l.Remove(next.id)
			refused = append(refused, next.id)
			continue
		}
		l.shares.credit(now, ordered, next)
		l.Remove(next.id)
		l.inFlight++
		l.shares.enter(next.customer)
		l.shares.start(now, next)
		started = append(started, next.id)
	}
	return started, refused
}

// Observe adds the service time of a finished request to the smoothed one.
func (l *Limiter) Observe(serviceTime time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = serviceTime
	} else {
		l.serviceTime += time.Duration(smoothing * float64(serviceTime-l.serviceTime))
	}
	l.shares.setServiceTime(l.serviceTime)
}

// Remove removes a request from the queue and reports whether it was there.
func (l *Limiter) Remove(id uint64) bool {
	for i, waiting := range l.queue {
		if waiting.id == id {
			l.queue = slices.Delete(l.queue, i, i+1)
			l.shares.leave(waiting.customer)
			return true
		}
	}
	return false
}

// Clear empties the queue and returns the IDs of the requests that waited in it.
func (l *Limiter) Clear() []uint64 {
	ids := make([]uint64, 0, len(l.queue))
	for _, waiting := range l.queue {
		ids = append(ids, waiting.id)
		l.shares.leave(waiting.customer)
	}
	l.queue = nil
	return ids
}

// QueuedWork returns the work that waits in the queue.
func (l *Limiter) QueuedWork() time.Duration {
	seconds := 0.0
	for _, waiting := range l.queue {
		seconds += waiting.cost
	}
	return time.Duration(seconds * float64(time.Second))
}
