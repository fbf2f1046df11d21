package guard

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/estimator"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
)

// holding is an attempt that waits for a slot or holds one.
type holding struct {
	kind estimator.Kind
	// sent is the time at which it was sent to the backend server if running is set.
	sent    clocker.Instant
	running bool
}

func kindOf(head *messenger.RequestHead) estimator.Kind {
	return estimator.KindOf(head.Route, head.BodyLength)
}

// beginWork counts an attempt as work left until endWork.
func (g *Guard) beginWork(head *messenger.RequestHead) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[head] = &holding{kind: kindOf(head)}
}

func (g *Guard) endWork(head *messenger.RequestHead) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, head)
}

// startWork records that an attempt was sent to the server. The caller holds the lock.
func (g *Guard) startWork(work *task) {
	if held, ok := g.held[work.head]; ok {
		held.sent, held.running = work.sent, true
	}
}

// observeWork learns the service time of a successful answer. The caller holds the lock.
func (g *Guard) observeWork(now clocker.Instant, work *task, service time.Duration) {
	if g.policy.ByWork() {
		g.costs.Observe(now.Mono, kindOf(work.head), service)
	}
}

// WorkLeft returns the service time that the attempts at the guard are expected to still
// need, 0 if the service is not balanced by work.
func (g *Guard) WorkLeft() time.Duration { return g.workLeftWithout(nil) }

// workLeftWithout returns the work left without that of one attempt. It is at least 1 us
// if there is any, since routers take 0 beside a load as no report.
func (g *Guard) workLeftWithout(except *messenger.RequestHead) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.policy.ByWork() {
		return 0
	}
	now, sum := g.deps.Now(), time.Duration(0)
	for head, held := range g.held {
		if head == except {
			continue
		}
		elapsed := time.Duration(0)
		if held.running {
			elapsed = now.Since(held.sent)
		}
		sum += max(time.Microsecond, g.costs.Remaining(now.Mono, held.kind, elapsed))
	}
	return sum
}
