package runner

import (
	"fmt"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/state/parser"
	"github.com/foxtailhall/foxtailhall/transport/administrator"
	"github.com/foxtailhall/foxtailhall/transport/router"
)

// status returns the content of the administrator's status page.
func (r *Runner) status() administrator.Status {
	state := r.logState.Load()
	catalog := r.catalog()
	evidence, ejectedLeft := r.guard.Evidence()
	inFlight, waiting := r.guard.Load()
	memberStatus := r.guard.MemberStatus()
	return administrator.Status{
		Incarnation:    fmt.Sprintf("%x", r.incarnation),
		Zone:           r.deps.Settings.Zone,
		PeerAddress:    r.deps.Settings.PeerAddress,
		UpSeconds:      r.now().Mono.Seconds(),
		Stopping:       r.stopping.Load(),
		Version:        catalog.Version(),
		Publication:    catalog.ID(),
		ExactUpTo:      catalog.AsOf(),
		Exact:          state.Exact(),
		LogSilenceMs:   r.logSilence().Milliseconds(),
		ActiveRequests: r.router.Active(),
		Guard: administrator.GuardStatus{
			Service:       memberStatus.Service,
			Slots:         memberStatus.Slots,
			State:         memberStatus.State.String(),
			InFlight:      inFlight,
			Waiting:       waiting,
			Suspicion:     evidence.Suspicion,
			Cause:         evidence.Cause.String(),
			MeanLog:       evidence.MeanLog,
			BadShare:      evidence.BadShare,
			EjectedLeftMs: ejectedLeft.Milliseconds(),
		},
		Services: r.serviceStatuses(),
		Quotas:   r.quotas.Statuses(),
	}
}

func (r *Runner) serviceStatuses() []administrator.ServiceStatus {
	states := r.serviceTable.All()
	names := make([]string, 0, len(states))
	for name := range states {
		names = append(names, name)
	}
	slices.Sort(names)
	now := r.now().Mono
	services := make([]administrator.ServiceStatus, 0, len(names))
	for _, name := range names {
		services = append(services, r.statusOfService(name, states[name], now))
	}
	return services
}

func (r *Runner) statusOfService(name string, state *router.ServiceState, now time.Duration) administrator.ServiceStatus {
	service, _ := r.catalog().Service(name)
	roster := r.roster.Load()
	elected, _ := ejector.Elect(name, roster.Pool(name))
	status := administrator.ServiceStatus{
		Name:         name,
		FloorSlots:   service.FloorSlots,
		HealthySlots: roster.HealthySlots(name),
		Ejector:      elected.Address,
	}
	for _, entry := range state.Pool.Entries {
		status.Servers = append(status.Servers, administrator.ServerStatus{
			Address:   entry.Member.Address,
			Zone:      entry.Member.Zone,
			State:     entry.Member.State.String(),
			Slots:     entry.Member.Slots,
			Load:      entry.Server.Load(now),
			LatencyUs: int64(entry.Server.Latency()),
			Avoided:   entry.Server.Avoided(now),
		})
	}
	return status
}

// objects returns the current configuration.
func (r *Runner) objects() (administrator.Objects, error) {
	catalog := r.catalog()
	text, err := parser.Format(catalog.Objects())
	if err != nil {
		return administrator.Objects{}, fmt.Errorf("listing objects: %w", err)
	}
	return administrator.Objects{Version: catalog.Version(), AsOf: catalog.AsOf(), Text: text}, nil
}
