// Package limiter decides which requests a backend server runs concurrently,
// which wait briefly in a queue, and which are refused because they cannot meet
// their deadline.
package limiter

import (
	"container/list"
	"math"
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
	rank uint32
}

// Limiter admits requests to one backend server. It is not safe for concurrent use.
type Limiter struct {
	slots    int
	maxQueue int
	// inFlight never exceeds slots, except after slots was lowered.
	inFlight int
	// queue holds at most maxQueue requests by rank, then in order of arrival,
	// except after maxQueue was lowered.
	queue *list.List
	// serviceTime is the smoothed service time, 0 before the first sample.
	serviceTime time.Duration
	// rates holds the admission rates by rank. Ranks above the last share its rate.
	rates [trackedRanks]rate
}

// trackedRanks is how many ranks have rates of their own.
const trackedRanks = 8

// rateWindow is the time constant of a rate's exponential decay.
const rateWindow = 2 * time.Second

// rate counts events with an exponential decay over rateWindow.
type rate struct {
	count float64
	at    clocker.Instant
}

// perSecond returns the rate at a time.
func (r *rate) perSecond(now clocker.Instant) float64 {
	return r.count * math.Exp(-now.Since(r.at).Seconds()/rateWindow.Seconds()) / rateWindow.Seconds()
}

func (r *rate) add(now clocker.Instant) {
	r.count = r.perSecond(now)*rateWindow.Seconds() + 1
	r.at = now
}

// New returns a limiter for a server with the given number of slots and queue length.
func New(slots, maxQueue int) *Limiter {
	return &Limiter{slots: slots, maxQueue: maxQueue, queue: list.New()}
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
func (l *Limiter) Waiting() int { return l.queue.Len() }

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
}

// AdmitRanked decides on an arriving request as Admit does. A request of lower
// rank starts before all waiting ones of higher rank.
func (l *Limiter) AdmitRanked(now clocker.Instant, request Request) Decision {
	wait := l.expectedWait(now, request.Rank)
	if l.missesDeadline(now, request.Deadline, wait) || request.MaxWait > 0 && wait > request.MaxWait {
		return RefusedLate
	}
	if l.inFlight >= l.slots && l.queue.Len() >= l.maxQueue {
		return RefusedFull
	}
	l.rates[min(request.Rank, trackedRanks-1)].add(now)
	if l.inFlight < l.slots {
		l.inFlight++
		return Started
	}
	l.enqueue(queuedRequest{id: request.ID, deadline: request.Deadline, rank: request.Rank})
	return Queued
}

// enqueue inserts a request behind those of the same or a lower rank.
func (l *Limiter) enqueue(next queuedRequest) {
	for element := l.queue.Back(); element != nil; element = element.Prev() {
		if element.Value.(queuedRequest).rank <= next.rank {
			l.queue.InsertAfter(next, element)
			return
		}
	}
	l.queue.PushFront(next)
}

// HasFreeSlot reports whether a slot is free and no request waits for it.
func (l *Limiter) HasFreeSlot() bool { return l.inFlight < l.slots && l.queue.Len() == 0 }

// expectedWait estimates how long a request of some rank would wait: for the
// requests ahead of it in the queue, and for more urgent ones that arrive meanwhile.
func (l *Limiter) expectedWait(now clocker.Instant, rank uint32) time.Duration {
	if l.inFlight < l.slots || l.slots == 0 || l.serviceTime == 0 {
		return 0
	}
	ahead := 1
	for element := l.queue.Front(); element != nil && element.Value.(queuedRequest).rank <= rank; element = element.Next() {
		ahead++
	}
	capacity := float64(l.slots) / l.serviceTime.Seconds()
	available := capacity
	for urgent := range min(rank, trackedRanks-1) {
		available -= l.rates[urgent].perSecond(now)
	}
	return time.Duration(float64(ahead) / max(available, minCapacityShare*capacity) * float64(time.Second))
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

func (l *Limiter) startQueued(now clocker.Instant) (started, refused []uint64) {
	for l.inFlight < l.slots {
		front := l.queue.Front()
		if front == nil {
			return started, refused
		}
		next := l.queue.Remove(front).(queuedRequest)
		if l.missesDeadline(now, next.deadline, 0) {
			refused = append(refused, next.id)
			continue
		}
		l.inFlight++
		started = append(started, next.id)
	}
	return started, refused
}

// Observe adds the service time of a finished request to the smoothed one.
func (l *Limiter) Observe(serviceTime time.Duration) {
	if l.serviceTime == 0 {
		l.serviceTime = serviceTime
		return
	}
	l.serviceTime += time.Duration(smoothing * float64(serviceTime-l.serviceTime))
}

// Remove removes a request from the queue and reports whether it was there.
func (l *Limiter) Remove(id uint64) bool {
	for element := l.queue.Front(); element != nil; element = element.Next() {
		if element.Value.(queuedRequest).id == id {
			l.queue.Remove(element)
			return true
		}
	}
	return false
}

// Clear empties the queue and returns the IDs of the requests that waited in it.
func (l *Limiter) Clear() []uint64 {
	ids := make([]uint64, 0, l.queue.Len())
	for element := l.queue.Front(); element != nil; element = element.Next() {
		ids = append(ids, element.Value.(queuedRequest).id)
	}
	l.queue.Init()
	return ids
}
