// Package allocator is the memory account of one process. It decides which reservation is
// granted, which waits, which is refused, and whose connection is closed to make room. It
// is designed for up to 8,000 connections in an account of 70 to 200 MB, of which any number
// may belong to callers that only want to hold memory.
package allocator

import "time"

// Kind is what reserved memory is held for.
type Kind uint8

// The kinds of memory.
const (
	// KindConnection is the fixed cost of a caller's connection and its read buffer.
	KindConnection Kind = iota
	// KindBody is the part of a request's body that has arrived.
	KindBody
	// KindUpload is the window of a body that is passed on while it arrives.
	KindUpload
	// KindAnswer is the part of an answer that a caller has not read.
	KindAnswer
	// KindServer is what the guard holds for an attempt at its server.
	KindServer
	// Kinds is the number of kinds.
	Kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [Kinds]string{"Connection", "Body", "Upload", "Answer", "Server"}[k]
}

// Policy is how the account is shared out.
type Policy struct {
	// Limit is the size of the account in bytes.
	Limit int64
	// SmallBytes is the most that a holding may have and still use all of the account.
	// Larger ones are granted more only within LargeShare of it.
	SmallBytes int64
	// LargeShare is the share of the account that holdings above SmallBytes can fill. The
	// rest is always left to ordinary callers.
	LargeShare float64
	// MinRate is the progress, in bytes per second, at which a holding has no lag.
	MinRate int64
	// MinLag is the lag below which no holding is closed for another one.
	MinLag time.Duration
	// MaxAnswerLag is the lag from which a caller that does not read its answer is closed as
	// soon as others wait.
	MaxAnswerLag time.Duration
}

// DefaultPolicy returns the policy for an account of the given size in bytes.
func DefaultPolicy(limit int64) Policy {
	return Policy{
		Limit: limit,
		// An upload has 60 kB on average, which is small together with its connection.
		SmallBytes: 96 << 10,
		LargeShare: 0.75,
		// Callers on the slowest links send several times as fast.
		MinRate: 4 << 10,
		MinLag:  100 * time.Millisecond,
		// A write of one frame, 32 KiB, to a caller on a slow link takes up to 2 s.
		MaxAnswerLag: 3 * time.Second,
	}
}

// Decision is the reply to a request for memory.
type Decision uint8

// The decisions.
const (
	// Granted means that the memory is reserved.
	Granted Decision = iota + 1
	// Queued means that the memory will be reserved as soon as the holdings that were
	// chosen to be closed have released theirs.
	Queued
	// Refused means that there is no room and no holding to close for it.
	Refused
)

// Holding is what one connection or attempt holds.
type Holding struct {
	bytes [Kinds]int64
	total int64
	// idle is set while the process waits for the holding's caller, so that it may be closed.
	idle bool
	// credited is the time up to which the caller's progress is accounted for.
	credited time.Duration
	// closing is set once the holding was chosen to be closed.
	closing bool
	// closed is set once the holding was released for good.
	closed bool
}

// Bytes returns what the holding has reserved.
func (h *Holding) Bytes() int64 { return h.total }

// lag returns for how long the caller has made less than the least progress.
func (h *Holding) lag(now time.Duration) time.Duration {
	if !h.idle {
		return 0
	}
	return now - h.credited
}

// weight is the lag weighed by the memory that is held meanwhile. The holding with the
// greatest weight is closed first.
func (h *Holding) weight(now time.Duration) float64 { return float64(h.total) * h.lag(now).Seconds() }

// claim is a queued request for memory.
type claim struct {
	holding *Holding
	kind    Kind
	bytes   int64
}

// Allocator is the account. It is not safe for concurrent use.
type Allocator struct {
	policy   Policy
	used     int64
	held     [Kinds]int64
	holdings map[*Holding]struct{}
	queue    []claim
	// closing is the memory of holdings that are being closed.
	closing int64
}

// New returns an empty account.
func New(policy Policy) *Allocator {
	return &Allocator{policy: policy, holdings: map[*Holding]struct{}{}}
}

// Open adds a holding without any memory.
func (a *Allocator) Open(now time.Duration) *Holding {
	h := &Holding{credited: now}
	a.holdings[h] = struct{}{}
	return h
}

// Used returns the reserved memory in bytes.
func (a *Allocator) Used() int64 { return a.used }

// Held returns the memory in bytes that is reserved for a kind.
func (a *Allocator) Held(kind Kind) int64 { return a.held[kind] }

// SetIdle records whether the process waits for the holding's caller. The lag starts anew.
func (a *Allocator) SetIdle(now time.Duration, h *Holding, idle bool) {
	h.idle = idle
	h.credited = now
}

// Progress records bytes that the caller has sent or taken, and returns its lag.
func (a *Allocator) Progress(now time.Duration, h *Holding, bytes int64) time.Duration {
	h.credited = min(now, h.credited+time.Duration(float64(bytes)/float64(a.policy.MinRate)*float64(time.Second)))
	return h.lag(now)
}

// Reserve asks for memory. It returns the holdings to close, which must then be released.
// A holding must not ask again before a queued request was granted or withdrawn.
func (a *Allocator) Reserve(now time.Duration, h *Holding, kind Kind, bytes int64) (Decision, []*Holding) {
	if h.closing || h.closed {
		return Refused, nil
	}
	if a.passes(h, bytes) {
		a.add(h, kind, bytes)
		return Granted, nil
	}
	victims, ok := a.choose(now, h, bytes)
	if !ok {
		return Refused, nil
	}
	for _, victim := range victims {
		a.beginClose(victim)
	}
	a.queue = append(a.queue, claim{holding: h, kind: kind, bytes: bytes})
	return Queued, victims
}

// room returns how much of the account the holding may use with so many more bytes.
func (a *Allocator) room(h *Holding, bytes int64) int64 {
	if h.total+bytes <= a.policy.SmallBytes {
		return a.policy.Limit
	}
	return int64(a.policy.LargeShare * float64(a.policy.Limit))
}

func (a *Allocator) fits(h *Holding, bytes int64) bool { return a.used+bytes <= a.room(h, bytes) }

// passes reports whether the request may be granted ahead of those in the queue: it fits now,
// and they still fit once the holdings that were chosen for them are closed.
func (a *Allocator) passes(h *Holding, bytes int64) bool {
	if !a.fits(h, bytes) {
		return false
	}
	later := a.used + bytes - a.closing
	room := a.room(h, bytes)
	for _, queued := range a.queue {
		later += queued.bytes
		room = min(room, a.room(queued.holding, queued.bytes))
	}
	return later <= room
}

// choose returns the holdings to close so that the request and those queued before it fit,
// those of the greatest weight first. A holding is closed only for one of less weight.
func (a *Allocator) choose(now time.Duration, h *Holding, bytes int64) ([]*Holding, bool) {
	missing := a.used + bytes - a.closing - a.room(h, bytes)
	for _, queued := range a.queue {
		missing += queued.bytes
	}
	var victims []*Holding
	chosen := map[*Holding]bool{}
	for missing > 0 {
		victim := a.heaviest(now, h, chosen)
		if victim == nil {
			return nil, false
		}
		chosen[victim] = true
		victims = append(victims, victim)
		missing -= victim.total
	}
	return victims, true
}

// heaviest returns the holding to close next, or nil if none qualifies.
func (a *Allocator) heaviest(now time.Duration, asking *Holding, chosen map[*Holding]bool) *Holding {
	least := asking.weight(now)
	var heaviest *Holding
	for h := range a.holdings {
		if h == asking || h.closing || chosen[h] || h.total == 0 || h.lag(now) < a.policy.MinLag {
			continue
		}
		if weight := h.weight(now); weight > least {
			heaviest, least = h, weight
		}
	}
	return heaviest
}

// Idlest returns the holding with the longest lag and marks it as closing, nil if none
// qualifies. Holdings without a request come first.
func (a *Allocator) Idlest(now time.Duration) *Holding {
	var idlest *Holding
	for h := range a.holdings {
		if h.closing || h.lag(now) < a.policy.MinLag {
			continue
		}
		if idlest == nil || h.busy() != idlest.busy() && !h.busy() || h.busy() == idlest.busy() && h.lag(now) > idlest.lag(now) {
			idlest = h
		}
	}
	if idlest != nil {
		a.beginClose(idlest)
	}
	return idlest
}

// Stalled returns the holdings whose callers have not read their answers for MaxAnswerLag,
// and marks them as closing.
func (a *Allocator) Stalled(now time.Duration) []*Holding {
	var stalled []*Holding
	for h := range a.holdings {
		if !h.closing && h.bytes[KindAnswer] > 0 && h.lag(now) >= a.policy.MaxAnswerLag {
			a.beginClose(h)
			stalled = append(stalled, h)
		}
	}
	return stalled
}

func (a *Allocator) beginClose(h *Holding) {
	h.closing = true
	a.closing += h.total
}

// busy reports whether the holding has memory for a request.
func (h *Holding) busy() bool { return h.total > h.bytes[KindConnection] }

func (a *Allocator) add(h *Holding, kind Kind, bytes int64) {
	h.bytes[kind] += bytes
	h.total += bytes
	a.held[kind] += bytes
	a.used += bytes
	if h.closing {
		a.closing += bytes
	}
}

// Release returns memory. It returns the holdings whose queued requests are granted now.
func (a *Allocator) Release(h *Holding, kind Kind, bytes int64) []*Holding {
	a.add(h, kind, -min(bytes, h.bytes[kind]))
	return a.serveQueue()
}

// Withdraw removes the holding's queued request. It reports whether there was one, and
// returns the holdings whose queued requests are granted now.
func (a *Allocator) Withdraw(h *Holding) (bool, []*Holding) {
	for i, queued := range a.queue {
		if queued.holding == h {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			return true, a.serveQueue()
		}
	}
	return false, nil
}

// Close releases all memory of the holding and removes it. It returns the holdings whose
// queued requests are granted now.
func (a *Allocator) Close(h *Holding) []*Holding {
	if h.closed {
		return nil
	}
	_, granted := a.Withdraw(h)
	for kind := range Kinds {
		a.add(h, kind, -h.bytes[kind])
	}
	h.closed = true
	delete(a.holdings, h)
	return append(granted, a.serveQueue()...)
}

// serveQueue grants queued requests in their order. One that needs more than its class may
// use does not hold up a smaller one behind it.
func (a *Allocator) serveQueue() []*Holding {
	var granted []*Holding
	var left []claim
	for _, queued := range a.queue {
		if !a.fits(queued.holding, queued.bytes) {
			left = append(left, queued)
			continue
		}
		a.add(queued.holding, queued.kind, queued.bytes)
		granted = append(granted, queued.holding)
	}
	a.queue = left
	return granted
}
