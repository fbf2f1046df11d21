package guard

import (
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/breaker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

// Announcement is what a backend server says of itself.
type Announcement struct {
	// BackendServer names the BackendServer object that describes the server. It
	// is empty if the server describes itself by Service, Slots and ColdStart.
	BackendServer string `json:"BackendServer" yaml:"BackendServer" validate:"required_without=Service,max=100"`
	// Address is the IP:port where the server takes HTTP requests.
	Address string `json:"Address" yaml:"Address" validate:"required,hostname_port"`
	// Run is unique to one run of the server.
	Run string `json:"Run" yaml:"Run" validate:"required,max=100"`
	// Service names the Service object that the server belongs to.
	Service string `json:"Service,omitempty" yaml:"Service" validate:"max=100"`
	// Slots is the number of requests that the server works on at once.
	Slots uint32 `json:"Slots,omitempty" yaml:"Slots" validate:"max=10000"`
	// ColdStart is how long the server will still be slow after its start.
	ColdStart time.Duration `json:"ColdStart,omitempty" yaml:"ColdStart"`
	// StartedMs is the Unix time in ms of the run's start. It tells runs of one name apart.
	StartedMs int64 `json:"StartedMs,omitempty" yaml:"StartedMs"`
}

// backendServer returns the object that describes the server.
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

// queuePerSlot is the queue of a server that describes itself, per slot. What
// can't make its deadline is refused long before.
const queuePerSlot = 8

// sameRun tells whether two announcements are of one run.
func (a Announcement) sameRun(other Announcement) bool {
	return a.Run == other.Run && a.StartedMs == other.StartedMs && a.Address == other.Address &&
		a.BackendServer == other.BackendServer && a.Service == other.Service
}

// Announce takes the word of the backend server beside that it is there.
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
	renewed := g.controller.Present() && announcement.sameRun(g.lastAnnouncement)
	if renewed && announcement.BackendServer == "" {
		server.ColdStart = g.server.ColdStart
	}
	g.lastAnnouncement = announcement
	changed := g.applyObjects(catalog, server)
	if renewed {
		return changed, nil
	}
	g.deliverer.SetAddress(announcement.Address)
	g.breaker = breaker.New(g.policy.FailurePause)
	if err := g.controller.Announce(now, g.controllerConfig()); err != nil {
		return false, fmt.Errorf("starting a new run: %w", err)
	}
	g.deps.Log.Info("Announced", "BackendServer", server.Name, "Service", server.Service, "Run", announcement.Run,
		"Address", announcement.Address, "Slots", server.Slots, "ColdStart", server.ColdStart)
	return true, nil
}

// Retire takes the word of a run of the backend server that it leaves. The
// guard gives it no new work from then on; what runs goes on to its end.
func (g *Guard) Retire(run string) error {
	g.mu.Lock()
	if !g.controller.Present() || g.lastAnnouncement.Run != run {
		g.mu.Unlock()
		return nil
	}
	err := g.controller.MarkLost(g.deps.Now())
	g.logTransitions("Retired")
	g.refuseQueued()
	g.deps.Log.Info("Retired", "Service", g.service.Name, "Run", run, "InFlight", g.limiter.InFlight())
	g.mu.Unlock()
	g.deps.OnChange()
	if err != nil {
		return fmt.Errorf("retiring the run %q: %w", run, err)
	}
	return nil
}

// applyObjects takes the objects of the version in force and tells whether they differ.
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
	g.limiter.Resize(int(server.Slots), int(server.QueueSlots))
	g.breaker.SetPause(policy.FailurePause)
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

// Configure takes a newer version of the configuration.
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
