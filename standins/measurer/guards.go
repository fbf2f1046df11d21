package measurer

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/ejector"
)

// tick drives one guard, and the ejector beside it.
func (w *world) tick(i int) {
	w.push(event{kind: eventTick, index: i}, tickPeriod)
	s := w.servers[i]
	if w.pool.Restarts && w.now > settleTime && w.random.IntN(60000) == 0 {
		w.start(i)
		w.refresh()
		return
	}
	if w.policy.Window && w.now%time.Second < tickPeriod {
		w.judgeWindow(w.routers[i])
	}
	_ = s.controller.Tick(w.instant(), w.healthy())
	s.controller.TakeTransitions()
	w.spread(i)
	if s.controller.ReportDue(w.instant()) {
		w.report(s)
	}
	w.perform(s, s.ejector.Tick(w.instant()))
}

func (w *world) healthy() uint32 {
	var slots uint32
	for _, s := range w.servers {
		if s.controller.State().Healthy() {
			slots += uint32(w.pool.Slots)
		}
	}
	return slots
}

// spread tells the routers of a change of state after a while.
func (w *world) spread(i int) {
	state := w.servers[i].controller.State()
	if w.states[i] == state {
		return
	}
	w.states[i] = state
	w.call(gossipDelay, w.refresh)
}

func (w *world) report(s *server) {
	elected, ok := ejector.Elect(service, w.members())
	if !ok || w.policy.RoundRobin {
		return
	}
	to := w.servers[int(elected.Incarnation&0xFF)-1]
	evidence := s.controller.Evidence()
	from := s.incarnation
	w.call(w.delay(s.index, to.index), func() {
		baseline, actions := to.ejector.HandleReport(w.instant(), w.members(), from, evidence)
		w.call(w.delay(to.index, s.index), func() { s.controller.Detector().SetBaseline(baseline) })
		w.perform(to, actions)
	})
}

func (w *world) perform(from *server, actions []ejector.Action) {
	for _, action := range actions {
		to := w.servers[int(action.Member.Incarnation&0xFF)-1]
		switch action.Kind {
		case ejector.ActionLock:
			w.call(w.delay(from.index, to.index), func() {
				answer := to.controller.Lock(w.instant(), action.Term, service)
				w.call(w.delay(to.index, from.index), func() {
					w.perform(from, from.ejector.HandleLockReply(w.instant(), action.Term, action.Member.Incarnation, answer))
				})
			})
		case ejector.ActionOrder:
			w.call(w.delay(from.index, to.index), func() { w.order(from, to, action) })
		case ejector.ActionDecline:
		}
	}
}

func (w *world) order(from, to *server, action ejector.Action) {
	ejection, err := to.controller.Order(w.instant(), action.Term, action.Member.Incarnation, action.Order)
	if ejection != nil {
		w.noteEjection(to.index)
		for _, waiting := range to.limiter.Clear() {
			w.refuse(int(waiting))
		}
	}
	w.call(w.delay(to.index, from.index), func() {
		w.perform(from, from.ejector.HandleOrderReply(w.instant(), action.Term, action.Member.Incarnation, action.Order, err == nil))
	})
}
