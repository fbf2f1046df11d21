package runner

import (
	"context"
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

const (
	// reportTimeout bounds one report to the ejector.
	reportTimeout = 500 * time.Millisecond
	// orderTimeout bounds one lock request or ejection order.
	orderTimeout = time.Second
)

// sendDueReport sends the guard's evidence to the ejector of its service if a
// report is due.
func (r *Runner) sendDueReport(ctx context.Context) {
	service, evidence, due := r.guard.Report()
	if !due {
		return
	}
	elected, ok := ejector.Elect(service, r.roster.Load().Pool(service))
	if !ok {
		return
	}
	go r.sendReport(ctx, elected, service, evidence)
}

func (r *Runner) sendReport(ctx context.Context, elected registrar.Member, service string, evidence detector.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := converter.EvidenceToProto(r.incarnation, service, evidence)
	baseline, err := r.connector.GuardClient(ctx, elected.Address).Report(ctx, message)
	if err != nil {
		r.deps.Log.Debug("ReportFailed", "Ejector", elected.Address, "Error", err)
		return
	}
	if baseline.Accepted {
		r.guard.SetBaseline(converter.BaselineFromProto(baseline))
	}
}

// handleReport handles a guard's evidence as the ejector of its service and
// returns the pool's baseline.
func (r *Runner) handleReport(message *messenger.Evidence) *messenger.Baseline {
	pool := r.roster.Load().Pool(message.Service)
	r.ejectorsMu.Lock()
	serviceEjector, ok := r.ejectorFor(message.Service)
	if !ok {
		r.ejectorsMu.Unlock()
		return &messenger.Baseline{}
	}
	evidence := converter.EvidenceFromProto(message)
	baseline, actions := serviceEjector.HandleReport(r.now(), pool, message.Incarnation, evidence)
	r.ejectorsMu.Unlock()
	r.perform(message.Service, actions)
	return converter.BaselineToProto(baseline)
}

// ejectorFor returns the ejector of a service, updated to the current policy. The
// caller holds ejectorsMu.
func (r *Runner) ejectorFor(service string) (*ejector.Ejector, bool) {
	catalog := r.catalog()
	found, ok := catalog.Service(service)
	if !ok {
		return nil, false
	}
	policy, _ := catalog.PolicyOf(service)
	params := ejector.Params{
		Service:           service,
		FloorSlots:        r.floorSlots(found),
		EvidenceThreshold: policy.Caution,
		RoundLifetime:     ejector.RoundLifetime,
	}
	serviceEjector, ok := r.ejectors[service]
	if !ok {
		serviceEjector = ejector.New(r.incarnation, params)
		r.ejectors[service] = serviceEjector
	}
	serviceEjector.SetParams(params)
	return serviceEjector, true
}

// floorSlots returns the healthy capacity, in slots, below which no ejection may
// take a service.
func (r *Runner) floorSlots(service cataloger.Service) uint32 {
	var announced uint32
	for _, member := range r.roster.Load().Pool(service.Name) {
		if member.State.Live() {
			announced += member.Slots
		}
	}
	return max(service.FloorSlots, uint32(math.Ceil(service.FloorShare*float64(announced))))
}

// tickEjectors decides the rounds whose replies are overdue.
func (r *Runner) tickEjectors() {
	r.ejectorsMu.Lock()
	due := map[string][]ejector.Action{}
	for service, serviceEjector := range r.ejectors {
		if actions := serviceEjector.Tick(r.now()); len(actions) > 0 {
			due[service] = actions
		}
	}
	r.ejectorsMu.Unlock()
	for service, actions := range due {
		r.perform(service, actions)
	}
}

// perform starts the actions that an ejector decided on.
func (r *Runner) perform(service string, actions []ejector.Action) {
	for _, action := range actions {
		switch action.Kind {
		case ejector.ActionLock:
			go r.requestLock(service, action)
		case ejector.ActionOrder:
			r.logAction("EjectionOrdered", service, action)
			r.deps.Meter.CountEvent("Order" + action.Order.String())
			go r.sendOrder(service, action)
		case ejector.ActionInvariantViolated:
			r.logAction("InvariantBroken", service, action)
			r.deps.Meter.CountEvent("InvariantBroken")
		case ejector.ActionDecline:
			r.logAction("EjectionDeclined", service, action)
			r.deps.Meter.CountEvent("EjectionDeclined")
		}
	}
}

func (r *Runner) logAction(event, service string, action ejector.Action) {
	r.deps.Log.Info(event, "Service", service, "Server", action.Member.Address, "Order", action.Order.String(),
		"Reason", action.Reason, "Term", action.Term.Counter, "CapacityLeft", action.Capacity)
}

// requestLock sends a lock request to a guard and passes its reply to the ejector.
func (r *Runner) requestLock(service string, action ejector.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	reply, err := r.connector.GuardClient(ctx, action.Member.Address).Lock(ctx, &messenger.LockRequest{
		Term:        converter.TermToProto(action.Term),
		Service:     service,
		Incarnation: action.Member.Incarnation,
	})
	if err != nil {
		r.deps.Log.Debug("LockFailed", "Server", action.Member.Address, "Error", err)
		return
	}
	lockReply := ejector.LockReply{
		Locked:   reply.Locked,
		Highest:  converter.TermFromProto(reply.Highest),
		Slots:    reply.Slots,
		State:    registrar.State(min(reply.State, uint32(registrar.StateGone))),
		Evidence: converter.EvidenceFromProto(reply.Evidence),
	}
	r.ejectorsMu.Lock()
	serviceEjector, ok := r.ejectors[service]
	var actions []ejector.Action
	if ok {
		actions = serviceEjector.HandleLockReply(r.now(), action.Term, reply.Incarnation, lockReply)
	}
	r.ejectorsMu.Unlock()
	r.perform(service, actions)
}

// sendOrder sends an ejection order to a guard and passes its reply to the ejector.
func (r *Runner) sendOrder(service string, action ejector.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	reply, err := r.connector.GuardClient(ctx, action.Member.Address).Order(ctx, &messenger.OrderRequest{
		Term:        converter.TermToProto(action.Term),
		Incarnation: action.Member.Incarnation,
		Kind:        uint32(action.Order),
	})
	if err != nil {
		r.deps.Log.Info("OrderFailed", "Server", action.Member.Address, "Error", err)
		return
	}
	r.ejectorsMu.Lock()
	serviceEjector, ok := r.ejectors[service]
	var actions []ejector.Action
	if ok {
		actions = serviceEjector.HandleOrderReply(r.now(), action.Term, action.Member.Incarnation, action.Order, reply.Done)
	}
	r.ejectorsMu.Unlock()
	r.perform(service, actions)
}
