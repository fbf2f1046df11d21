package guard

import (
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/coordination/pacer"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// Announcement is the registration that a backend server sends repeatedly while it runs.
type Announcement struct {
	// BackendServer is the name of the BackendServer object that configures the
	// server. It is empty if Service, Slots and ColdStart do so instead.
	BackendServer string `json:"BackendServer" yaml:"BackendServer" validate:"required_without=Service,max=100"`
	// Address is the IP:port on which the server accepts HTTP requests.
	Address string `json:"Address" yaml:"Address" validate:"required,hostname_port"`
	// Run identifies one run of the server.
	Run string `json:"Run" yaml:"Run" validate:"required,max=100"`
	// Service is the name of the Service object that the server belongs to.
	Service string `json:"Service,omitempty" yaml:"Service" validate:"max=100"`
	// Slots is the number of requests that the server processes concurrently.
	Slots uint32 `json:"Slots,omitempty" yaml:"Slots" validate:"max=10000"`
	// ColdStart is the time for which the server will still be slow after its start.
	ColdStart time.Duration `json:"ColdStart,omitempty" yaml:"ColdStart"`
	// StartedMs is the Unix time in ms at which the run started. It distinguishes
	// runs that share a value of Run.
	StartedMs int64 `json:"StartedMs,omitempty" yaml:"StartedMs"`
}

// backendServer returns the object that the announcement refers to, or one made
// from the announcement itself if it names none.
func (a Announcement) backendServer(catalog cataloger.Catalog) (cataloger.BackendServer, bool) {
	if a.BackendServer != "" {
		return catalog.Server(a.BackendServer)
	}
	return cataloger.BackendServer{
		Kind:       cataloger.KindBackendServer,
		Name:       a.Service,
		Service:    a.Service,
		Slots:      a.Slots,
		QueueSlots: queuePerSlot * a.Slots,
		ColdStart:  a.ColdStart,
	}, true
}

// queuePerSlot is the queue length per slot of a server without a BackendServer
// object. Requests that can't meet their deadline are refused long before the
// queue is full.
const queuePerSlot = 8

// sameRun reports whether two announcements are of the same run.
func (a Announcement) sameRun(other Announcement) bool {
	return a.Run == other.Run && a.StartedMs == other.StartedMs && a.Address == other.Address &&
		a.BackendServer == other.BackendServer && a.Service == other.Service
}

// Announce handles an announcement of the backend server. It returns ErrLeaving
// during a planned stop and ErrUnknownBackendServer if the named object does not exist.
func (g *Guard) Announce(announcement Announcement) error {
	g.mu.Lock()
	changed, err := g.announceLocked(announcement)
	g.logTransitions("Announcement")
	g.mu.Unlock()
	if err != nil {
		return fmt.Errorf("taking the announcement of %q: %w", announcement.BackendServer, err)
	}
	if changed {
		g.deps.OnChange()
	}
	return nil
}

// announceLocked reports whether the announcement starts a run or changes the
// configuration of the current one. The caller holds the lock.
func (g *Guard) announceLocked(announcement Announcement) (bool, error) {
	if g.controller.Leaving() {
		return false, ErrLeaving
	}
	catalog := g.deps.Catalog()
	server, ok := announcement.backendServer(catalog)
	if !ok {
		return false, ErrUnknownBackendServer
	}
	now := g.deps.Now()
	g.lastHeard = now
	sameRun := announcement.sameRun(g.lastAnnouncement)
	renewed := g.controller.Present() && sameRun
	if renewed && announcement.BackendServer == "" {
		server.ColdStart = g.server.ColdStart
	}
	g.lastAnnouncement = announcement
	changed := g.applyObjects(catalog, server)
	if renewed {
		return changed, nil
	}
	g.forwarder.SetAddress(announcement.Address)
	g.admitter.Breaker = breaker.New(g.policy.FailurePause)
	if !sameRun {
		g.admitter.Pacer = &pacer.Pacer{}
	}
	g.applyRecalledLimit()
	if err := g.controller.Announce(now, g.controllerConfig()); err != nil {
		return false, fmt.Errorf("starting a new run: %w", err)
	}
	g.deps.Log.Info("Announced", "BackendServer", server.Name, "Service", server.Service, "Run", announcement.Run,
		"StartedMs", announcement.StartedMs, "Address", announcement.Address, "Slots", server.Slots,
		"ColdStart", server.ColdStart)
	return true, nil
}

// Retire handles a notice that a run of the backend server is shutting down. The
// run gets no new requests; those in flight continue to their end. A notice about
// another run than the current one is ignored.
func (g *Guard) Retire(run string) error {
	g.mu.Lock()
	if !g.controller.Present() || g.lastAnnouncement.Run != run {
		g.mu.Unlock()
		return nil
	}
	err := g.controller.MarkLost(g.deps.Now())
	g.logTransitions("Retired")
	g.refuseQueued()
	g.deps.Log.Info("Retired", "Service", g.service.Name, "Run", run, "InFlight", g.admitter.Limiter.InFlight())
	g.mu.Unlock()
	g.deps.OnChange()
	if err != nil {
		return fmt.Errorf("retiring the run %q: %w", run, err)
	}
	return nil
}

// applyObjects applies the server's objects from a configuration and reports
// whether they differ from the current ones. The caller holds the lock.
func (g *Guard) applyObjects(catalog cataloger.Catalog, server cataloger.BackendServer) bool {
	service, ok := catalog.Service(server.Service)
	if !ok {
		service = cataloger.Service{Name: server.Service}
	}
	policy, _ := catalog.PolicyOf(server.Service)
	if server == g.server && service == g.service && policy == g.policy {
		return false
	}
	g.server, g.service, g.policy = server, service, policy
	g.admitter.Limiter.Resize(int(server.Slots), int(server.QueueSlots))
	g.admitter.Breaker.SetPause(policy.FailurePause)
	g.controller.SetConfig(g.controllerConfig())
	return true
}

func (g *Guard) controllerConfig() controller.Config {
	return controller.Config{
		Service:           g.service.Name,
		Slots:             g.server.Slots,
		FloorSlots:        g.service.FloorSlots,
		EvidenceThreshold: g.policy.Caution,
		ColdStart:         g.server.ColdStart,
		EjectionTime:      g.policy.EjectionTime,
		MaxEjectionTime:   g.policy.MaxEjectionTime,
	}
}

// Configure applies a new version of the configuration.
func (g *Guard) Configure() {
	g.mu.Lock()
	catalog := g.deps.Catalog()
	server, ok := g.lastAnnouncement.backendServer(catalog)
	if g.lastAnnouncement.BackendServer == "" {
		server.ColdStart = g.server.ColdStart
	}
	changed := g.controller.Present() && ok && g.applyObjects(catalog, server)
	g.mu.Unlock()
	if changed {
		g.deps.OnChange()
	}
}
