// Package reserver gives the components of a process memory from its account, and closes
// the connections that the account chooses to make room.
package reserver

import (
	"log/slog"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/allocator"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

const (
	// waitTimeout is how long a reservation waits for connections that are being closed.
	// Closing one takes some milliseconds, also on a throttled core.
	waitTimeout = 2 * time.Second
	// logPeriod is the least time between two log lines with the same reason.
	logPeriod = time.Second
)

// Reasons in log lines and counters.
const (
	ReasonClosed      = "ClosedForMemory"
	ReasonRefused     = "NoMemory"
	ReasonConnections = "TooManyConnections"
	ReasonSlowBody    = "SlowBody"
	ReasonUploads     = "TooManyUploads"
	ReasonRequests    = "TooManyRequests"
	ReasonServerBytes = "TooManyBytesAtServer"
	ReasonUnread      = "AnswerNotRead"
)

// Reserver is the account of a process. It is safe for concurrent use. A nil Reserver has
// no limit.
type Reserver struct {
	log   *slog.Logger
	meter *meter.Meter
	now   func() time.Duration

	mu        sync.Mutex
	allocator *allocator.Allocator
	waiting   map[*allocator.Holding]*Reservation
	open      map[*allocator.Holding]*Reservation
	lastLine  map[string]time.Duration
	unlogged  map[string]int
}

// New returns an account of the given size in bytes, or nil without a limit.
func New(log *slog.Logger, meter *meter.Meter, now func() time.Duration, limit int64) *Reserver {
	if limit <= 0 {
		return nil
	}
	r := &Reserver{
		log: log, meter: meter, now: now, allocator: allocator.New(allocator.DefaultPolicy(limit)),
		waiting: map[*allocator.Holding]*Reservation{}, open: map[*allocator.Holding]*Reservation{},
		lastLine: map[string]time.Duration{}, unlogged: map[string]int{},
	}
	meter.RegisterGauge("memory_limit_bytes", func() float64 { return float64(limit) })
	for kind := range allocator.Kinds {
		meter.RegisterGauge(`memory_held_bytes{holder="`+kind.String()+`"}`, func() float64 { return float64(r.Held(kind)) })
	}
	return r
}

// Held returns the memory in bytes that is reserved for a kind.
func (r *Reserver) Held(kind allocator.Kind) int64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allocator.Held(kind)
}

// Reservation is what one connection or attempt holds. It is safe for concurrent use. A
// nil Reservation has no limit.
type Reservation struct {
	reserver *Reserver
	holding  *allocator.Holding
	// asking lets one goroutine at a time ask for memory.
	asking sync.Mutex
	// replies receives whether a queued request was granted.
	replies chan bool
	abort   func()
}

// Open returns an empty reservation. The account may call abort, which must not block and
// must make the owner close the reservation.
func (r *Reserver) Open(abort func()) *Reservation {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &Reservation{reserver: r, holding: r.allocator.Open(r.now()), replies: make(chan bool, 1), abort: abort}
	r.open[v.holding] = v
	return v
}

// Reserve asks for memory, waits for it if connections are closed to make room, and
// reports whether it was granted.
func (v *Reservation) Reserve(kind allocator.Kind, bytes int64) bool {
	if v == nil || bytes <= 0 {
		return true
	}
	v.asking.Lock()
	defer v.asking.Unlock()
	r := v.reserver
	r.mu.Lock()
	decision, victims := r.allocator.Reserve(r.now(), v.holding, kind, bytes)
	if decision == allocator.Queued {
		r.waiting[v.holding] = v
	}
	r.abortAll(victims, ReasonClosed)
	r.mu.Unlock()
	switch decision {
	case allocator.Granted:
		return true
	case allocator.Queued:
		return v.await()
	}
	r.Count(ReasonRefused)
	return false
}

// abortAll closes the connections of holdings. The caller holds the lock.
func (r *Reserver) abortAll(victims []*allocator.Holding, reason string) {
	for _, victim := range victims {
		if v := r.open[victim]; v != nil {
			r.countLocked(reason)
			r.refuseWaiting(v)
			go v.abort()
		}
	}
}

// refuseWaiting ends the wait of a reservation that is being closed, whose memory others wait
// for. The caller holds the lock.
func (r *Reserver) refuseWaiting(v *Reservation) {
	if r.waiting[v.holding] == nil {
		return
	}
	delete(r.waiting, v.holding)
	_, granted := r.allocator.Withdraw(v.holding)
	r.wake(granted)
	v.replies <- false
}

func (v *Reservation) await() bool {
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	select {
	case granted := <-v.replies:
		return granted
	case <-timer.C:
	}
	r := v.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	if withdrawn, granted := r.allocator.Withdraw(v.holding); withdrawn {
		delete(r.waiting, v.holding)
		r.wake(granted)
		r.countLocked(ReasonRefused)
		return false
	}
	// The reply came meanwhile.
	return <-v.replies
}

// wake tells the owners of granted requests. The caller holds the lock.
func (r *Reserver) wake(granted []*allocator.Holding) {
	for _, holding := range granted {
		if v := r.waiting[holding]; v != nil {
			delete(r.waiting, holding)
			v.replies <- true
		}
	}
}

// Release returns memory.
func (v *Reservation) Release(kind allocator.Kind, bytes int64) {
	if v == nil || bytes <= 0 {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	v.reserver.wake(v.reserver.allocator.Release(v.holding, kind, bytes))
}

// SetIdle records whether the process waits for the caller.
func (v *Reservation) SetIdle(idle bool) {
	if v == nil {
		return
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	v.reserver.allocator.SetIdle(v.reserver.now(), v.holding, idle)
}

// Progress records bytes that the caller has sent or taken, and returns its lag.
func (v *Reservation) Progress(bytes int) time.Duration {
	if v == nil {
		return 0
	}
	v.reserver.mu.Lock()
	defer v.reserver.mu.Unlock()
	return v.reserver.allocator.Progress(v.reserver.now(), v.holding, int64(bytes))
}

// Close releases all memory.
func (v *Reservation) Close() {
	if v == nil {
		return
	}
	r := v.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, v.holding)
	r.refuseWaiting(v)
	r.wake(r.allocator.Close(v.holding))
}

// CloseIdlest closes the connection that has been idle the longest, and reports whether
// there was one.
func (r *Reserver) CloseIdlest() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	victim := r.allocator.Idlest(r.now())
	if victim == nil {
		return false
	}
	r.abortAll([]*allocator.Holding{victim}, ReasonConnections)
	return true
}

// CloseStalled closes the connections whose callers have not read their answers for some
// time, and reports whether there were any.
func (r *Reserver) CloseStalled() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	victims := r.allocator.Stalled(r.now())
	r.abortAll(victims, ReasonUnread)
	return len(victims) > 0
}

// Count counts a refusal or closed connection by its reason, and logs at most one line a
// second for each.
func (r *Reserver) Count(reason string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countLocked(reason)
}

func (r *Reserver) countLocked(reason string) {
	r.meter.CountLimit(reason)
	now := r.now()
	last, logged := r.lastLine[reason]
	if logged && now-last < logPeriod {
		r.unlogged[reason]++
		return
	}
	r.log.Warn("LimitReached", "Reason", reason, "HeldBytes", r.allocator.Used(), "NotLogged", r.unlogged[reason])
	r.lastLine[reason], r.unlogged[reason] = now, 0
}
