// Package limiter decides which requests a backend server takes at once, which
// wait briefly, and which are refused because they cannot make their deadline.
package limiter

import (
	"container/list"
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// Decision is what becomes of a request that arrives.
type Decision uint8

// Decisions on an arriving request.
const (
	// Started means that the request holds a slot.
	Started Decision = iota + 1
	// Queued means that the request waits until Release starts it.
	Queued
	// RefusedFull means that slots and queue are taken.
	RefusedFull
	// RefusedLate means that the request cannot make its deadline.
	RefusedLate
)

// String gives the name of the decision.
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
	// smoothing is the weight of a new service time in the smoothed one.
	smoothing = 0.1
	// serviceReserve is the share of the smoothed service time that must fit before the deadline.
	serviceReserve = 1.0
)

type waiting struct {
	id       uint64
	deadline clocker.Instant
	// rank is the urgency; 0 is the most urgent.
	rank uint32
}

// Limiter admits requests to one backend server. It is not safe for concurrent use.
type Limiter struct {
	slots    int
	maxQueue int
	// inFlight never exceeds slots, save after slots was lowered.
	inFlight int
	// queue holds waiting requests by rank, then in order of arrival, at most maxQueue.
	queue   *list.List
	service time.Duration
	// rates holds the admissions of each rank; ranks above the last share it.
	rates [ratedRanks]rate
}

// ratedRanks is how many ranks have rates of their own.
const ratedRanks = 8

// rateTime is the time over which a rate is smoothed.
const rateTime = 2 * time.Second

// rate counts events with an exponential decay over rateTime.
type rate struct {
	count float64
	at    clocker.Instant
}

// perSecond returns the rate at a time.
func (r *rate) perSecond(now clocker.Instant) float64 {
	return r.count * math.Exp(-now.Since(r.at).Seconds()/rateTime.Seconds()) / rateTime.Seconds()
}

func (r *rate) add(now clocker.Instant) {
	r.count = r.perSecond(now)*rateTime.Seconds() + 1
	r.at = now
}

// New returns a limiter for a server with the given slots and queue length.
func New(slots, maxQueue int) *Limiter {
	return &Limiter{slots: slots, maxQueue: maxQueue, queue: list.New()}
}

// Resize takes newer limits.
func (l *Limiter) Resize(slots, maxQueue int) {
	l.slots = slots
	l.maxQueue = maxQueue
}

// InFlight counts the requests that hold a slot.
func (l *Limiter) InFlight() int { return l.inFlight }

// Waiting counts the requests in the queue.
func (l *Limiter) Waiting() int { return l.queue.Len() }

// ServiceTime returns the smoothed service time.
func (l *Limiter) ServiceTime() time.Duration { return l.service }

// Admit decides on a request that arrives now. An idle server takes any request
// that is not past its deadline, so that a high estimate can come down again.
func (l *Limiter) Admit(now clocker.Instant, id uint64, deadline clocker.Instant) Decision {
	return l.AdmitRanked(now, Request{ID: id, Deadline: deadline})
}

// Request is one that asks for a slot.
type Request struct {
	ID       uint64
	Deadline clocker.Instant
	// Rank is the urgency; 0 is the most urgent.
	Rank uint32
	// MaxWait is how long it may wait for a slot, 0 for as long as it has time.
	MaxWait time.Duration
}

// AdmitRanked is Admit for a request of some urgency. A more urgent one, of
// lower rank, starts before all less urgent ones that wait.
func (l *Limiter) AdmitRanked(now clocker.Instant, request Request) Decision {
	wait := l.expectedWait(now, request.Rank)
	if l.tooLate(now, request.Deadline, wait) || request.MaxWait > 0 && wait > request.MaxWait {
		return RefusedLate
	}
	if l.inFlight >= l.slots && l.queue.Len() >= l.maxQueue {
		return RefusedFull
	}
	l.rates[min(request.Rank, ratedRanks-1)].add(now)
	if l.inFlight < l.slots {
		l.inFlight++
		return Started
	}
	l.insert(waiting{id: request.ID, deadline: request.Deadline, rank: request.Rank})
	return Queued
}

// insert puts a request behind those of its own rank and of lower ones.
func (l *Limiter) insert(next waiting) {
	for element := l.queue.Back(); element != nil; element = element.Prev() {
		if element.Value.(waiting).rank <= next.rank {
			l.queue.InsertAfter(next, element)
			return
		}
	}
	l.queue.PushFront(next)
}

// HasFreeSlot tells whether a request would start at once.
func (l *Limiter) HasFreeSlot() bool { return l.inFlight < l.slots && l.queue.Len() == 0 }

// expectedWait is how long a request of some rank would wait: for those ahead
// of it, and for the more urgent ones that come meanwhile.
func (l *Limiter) expectedWait(now clocker.Instant, rank uint32) time.Duration {
	if l.inFlight < l.slots || l.slots == 0 || l.service == 0 {
		return 0
	}
	ahead := 1
	for element := l.queue.Front(); element != nil && element.Value.(waiting).rank <= rank; element = element.Next() {
		ahead++
	}
	starts := float64(l.slots) / l.service.Seconds()
	left := starts
	for urgent := range min(rank, ratedRanks-1) {
		left -= l.rates[urgent].perSecond(now)
	}
	return time.Duration(float64(ahead) / max(left, leastShare*starts) * float64(time.Second))
}

// leastShare is the part of a server's starts that is left to the least urgent
// requests, however many more urgent ones come.
const leastShare = 0.05

func (l *Limiter) tooLate(now, deadline clocker.Instant, wait time.Duration) bool {
	left := -now.Since(deadline)
	if left <= 0 {
		return true
	}
	if l.inFlight == 0 {
		return false
	}
	return left < wait+time.Duration(serviceReserve*float64(l.service))
}

// Release frees a slot and returns the waiting requests that start now and
// those that are refused because their deadline is too near.
func (l *Limiter) Release(now clocker.Instant) (started, refused []uint64) {
	l.inFlight--
	return l.fill(now)
}

func (l *Limiter) fill(now clocker.Instant) (started, refused []uint64) {
	for l.inFlight < l.slots {
		front := l.queue.Front()
		if front == nil {
			return started, refused
		}
		next := l.queue.Remove(front).(waiting)
		if l.tooLate(now, next.deadline, 0) {
			refused = append(refused, next.id)
			continue
		}
		l.inFlight++
		started = append(started, next.id)
	}
	return started, refused
}

// Observe takes the service time of a finished request.
func (l *Limiter) Observe(service time.Duration) {
	if l.service == 0 {
		l.service = service
		return
	}
	l.service += time.Duration(smoothing * float64(service-l.service))
}

// Remove takes a request out of the queue and tells whether it was there.
func (l *Limiter) Remove(id uint64) bool {
	for element := l.queue.Front(); element != nil; element = element.Next() {
		if element.Value.(waiting).id == id {
			l.queue.Remove(element)
			return true
		}
	}
	return false
}

// Clear refuses all waiting requests and returns them.
func (l *Limiter) Clear() []uint64 {
	ids := make([]uint64, 0, l.queue.Len())
	for element := l.queue.Front(); element != nil; element = element.Next() {
		ids = append(ids, element.Value.(waiting).id)
	}
	l.queue.Init()
	return ids
}
