package measurer

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/ejector"
)

// tick runs the periodic work of one guard and of the ejector in the same process.
func (w *world) tick(i int) {
	w.push(event{kind: eventTick, index: i}, tickPeriod)
	s := w.servers[i]
	if w.pool.Restarts && w.now > warmupTime && w.random.IntN(60000) == 0 {
		w.startRun(i)
		w.refresh()
		return
	}
	if w.policy.Window && w.now%time.Second < tickPeriod {
		w.ejectByWindow(w.routers[i])
	}
	_ = s.controller.Tick(w.instant(), w.healthySlots())
	s.controller.TakeTransitions()
	w.propagateState(i)
	if s.controller.ReportDue(w.instant()) {
		w.sendReport(s)
	}
	w.performActions(s, s.ejector.Tick(w.instant()))
}

func (w *world) healthySlots() uint32 {
	var slots uint32
	for _, s := range w.servers {
		if s.controller.State().Healthy() {
			slots += uint32(w.pool.Slots)
		}
	}
	return slots
}

// propagateState updates the routers' view of a server's state after gossipDelay.
func (w *world) propagateState(i int) {
	state := w.servers[i].controller.State()
	if w.states[i] == state {
		return
	}
	w.states[i] = state
	w.schedule(gossipDelay, w.refresh)
}

func (w *world) sendReport(s *server) {
	elected, ok := ejector.Elect(service, w.members())
	if !ok || w.policy.RoundRobin {
		return
	}
	to := w.servers[int(elected.Incarnation&0xFF)-1]
	evidence := s.controller.Evidence()
	from := s.incarnation
	w.schedule(w.delay(s.index, to.index), func() {
		baseline, actions := to.ejector.HandleReport(w.instant(), w.members(), from, evidence)
		w.schedule(w.delay(to.index, s.index), func() { s.controller.Detector().SetBaseline(baseline) })
		w.performActions(to, actions)
	})
}

func (w *world) performActions(from *server, actions []ejector.Action) {
	for _, action := range actions {
		to := w.servers[int(action.Member.Incarnation&0xFF)-1]
		switch action.Kind {
		case ejector.ActionLock:
			w.schedule(w.delay(from.index, to.index), func() {
				reply := to.controller.Lock(w.instant(), action.Term, service)
				w.schedule(w.delay(to.index, from.index), func() {
					w.performActions(from, from.ejector.HandleLockReply(w.instant(), action.Term, action.Member.Incarnation, reply))
				})
			})
		case ejector.ActionOrder:
			w.schedule(w.delay(from.index, to.index), func() { w.sendOrder(from, to, action) })
		case ejector.ActionDecline:
		}
	}
}

func (w *world) sendOrder(from, to *server, action ejector.Action) {
	ejection, err := to.controller.Order(w.instant(), action.Term, action.Member.Incarnation, action.Order)
	if ejection != nil {
		w.countEjection(to.index)
		for _, waiting := range to.limiter.Clear() {
			w.refuse(int(waiting))
		}
	}
	w.schedule(w.delay(to.index, from.index), func() {
		w.performActions(from, from.ejector.HandleOrderReply(
			w.instant(), action.Term, action.Member.Incarnation, action.Order, err == nil))
	})
}
