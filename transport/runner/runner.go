// Package runner assembles the components of one process, runs their periodic
// loops and stops them in order.
package runner

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/inquirer"
	"github.com/foxtailhall/foxtailhall/coordination/publisher"
	"github.com/foxtailhall/foxtailhall/coordination/quoter"
	"github.com/foxtailhall/foxtailhall/coordination/stopper"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/loader"
	"github.com/foxtailhall/foxtailhall/state/parser"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/administrator"
	"github.com/foxtailhall/foxtailhall/transport/appender"
	"github.com/foxtailhall/foxtailhall/transport/connector"
	"github.com/foxtailhall/foxtailhall/transport/guard"
	"github.com/foxtailhall/foxtailhall/transport/meter"
	"github.com/foxtailhall/foxtailhall/transport/rememberer"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
	"github.com/foxtailhall/foxtailhall/transport/router"
)

// incarnationRandomBits is the number of random low bits in an incarnation; the
// bits above hold the start time.
const incarnationRandomBits = 20

// Dependencies holds what a process is built from.
type Dependencies struct {
	Settings loader.Settings
	// Version is that of the program, and Build identifies its build.
	Version, Build string
	Log            *slog.Logger
	Parser         *parser.Parser
	Meter          *meter.Meter
	// Callers and Servers read and write the header fields of callers and backend servers.
	Callers interpreter.Callers
	Servers interpreter.Servers
	// Source replaces the log for configuration and peer discovery if it is not nil.
	Source *Source
}

// Runner is one process of the fleet: the router for callers and the guard of the
// backend server on the same VM.
type Runner struct {
	deps Dependencies
	// settings holds the current settings; Reload replaces them.
	settings     atomic.Pointer[loader.Settings]
	started      time.Time
	incarnation  uint64
	appender     *appender.Appender
	connector    *connector.Connector
	guard        *guard.Guard
	router       *router.Router
	admin        *administrator.Administrator
	serviceTable *router.ServiceTable

	// logState is the state of the configuration stream after the last record
	// read. It stays empty if a Source is used.
	logState atomic.Pointer[publisher.State]
	// sourceVersion is the current version from the Source. It stays empty if the
	// log is used.
	sourceVersion atomic.Pointer[version]
	// configMu serializes the writers of logState and sourceVersion.
	configMu sync.Mutex
	fetches  fetches
	// following is set while this process reads new versions from the Source itself.
	following atomic.Bool
	// urgent is set after a new version, so that the next tick sends gossip.
	urgent atomic.Bool

	// gossipMu guards gossip.
	gossipMu sync.Mutex
	gossip   *gossiper.Gossiper
	roster   atomic.Pointer[registrar.Roster]
	self     atomic.Pointer[registrar.Member]
	// refresh requests an update of serviceTable and the retry budget.
	refresh chan struct{}

	// ejectorsMu guards ejectors.
	ejectorsMu sync.Mutex
	ejectors   map[string]*ejector.Ejector

	// announcementMu guards enroller and the writers of held.
	announcementMu sync.Mutex
	enroller       enroller.Enroller
	// held is the last announcement that waits until the departure before this process is
	// known, if there is one.
	held atomic.Pointer[heldAnnouncement]
	// inquiry is what peers were asked about the process before this one. announcementMu guards it.
	inquiry    inquirer.Inquiry
	departures *departures
	// registration is nil without a Source.
	registration *registration
	// era is the latest era of the Source's data that was applied.
	era atomic.Uint64
	// recalledEra is the era in which the departure before this process was recalled.
	// announcementMu guards it.
	recalledEra uint64
	quotas      *quotas
	// statements holds what the backend servers beside other processes said of themselves.
	statements *rememberer.Rememberer
	// asking is set while peers are asked about the process before this one.
	asking atomic.Bool
	// maxKnownServers is the largest number of servers known at the same time, by
	// service. Only the goroutine of refreshServiceTable uses it.
	maxKnownServers map[string]int

	claims *claims
	// memory is the account of the process, nil without a limit.
	memory *reserver.Reserver
	// lastConfigContact is the monotonic time, in nanoseconds, of the last
	// successful read from the log or the Source.
	lastConfigContact atomic.Int64
	stopping          atomic.Bool
	// plannedStop is nil until a planned stop begins.
	plannedStop atomic.Pointer[stopper.Stop]
	// stopRequestedAt is the monotonic time, in nanoseconds, of the latest stop
	// request; 0 before the first.
	stopRequestedAt atomic.Int64
	// leaveRequested is closed when the backend server requests a planned stop.
	leaveRequested chan struct{}
	leaveOnce      sync.Once
	// stopped is closed when the planned stop has drained the process.
	stopped chan struct{}
}

// New builds a process. It serves nothing until Run is called.
func New(deps Dependencies) *Runner {
	r := &Runner{
		deps:            deps,
		started:         time.Now(),
		appender:        appender.New(deps.Settings.LogAddress),
		serviceTable:    router.NewServiceTable(),
		refresh:         make(chan struct{}, 1),
		ejectors:        map[string]*ejector.Ejector{},
		maxKnownServers: map[string]int{},
		leaveRequested:  make(chan struct{}),
		stopped:         make(chan struct{}),
	}
	r.connector = connector.New(sourceIP(deps.Settings.PeerListen), r.countPeerBytes, r.recordSilence)
	r.incarnation = uint64(r.started.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
	logState := publisher.New(deps.Parser)
	r.logState.Store(&logState)
	r.settings.Store(&deps.Settings)
	r.sourceVersion.Store(newVersion(cataloger.New(), nil))
	r.enroller = enroller.New(deps.Settings.ServerAddress, r.now())
	if source := deps.Source; source != nil {
		r.registration = newRegistration()
		r.enroller, r.inquiry = r.enroller.WithInquiry(), inquirer.New(r.now())
		r.departures = newDepartures(
			func(ctx context.Context, departure enroller.Departure) (uint64, error) {
				return source.RecordDeparture(ctx, deps.Settings.ServerAddress, departure)
			},
			func(ctx context.Context) (enroller.Departure, uint64, error) {
				return source.Departure(ctx, deps.Settings.ServerAddress)
			},
			deps.Log,
		)
	}
	r.statements = rememberer.New(r.now, deps.Log)
	r.claims = newClaims(r)
	r.memory = r.newMemory()
	r.buildMembership()
	r.buildQuotas()
	r.buildGuard()
	r.buildRouter()
	r.buildAdmin()
	r.registerGauges()
	return r
}

// sourceIP returns the IP of an IP:port to use as source of outgoing connections,
// or nil if the address is unspecified or malformed.
func sourceIP(address string) net.IP {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	ip := net.ParseIP(host)
	if ip.IsUnspecified() {
		return nil
	}
	return ip
}

func (r *Runner) buildMembership() {
	self := registrar.Member{
		Incarnation: r.incarnation,
		Address:     r.deps.Settings.PeerAddress,
		HTTPAddress: r.deps.Settings.CallerAddress,
		Zone:        r.deps.Settings.Zone,
		Version:     enroller.FirstVersion,
	}
	r.gossip = gossiper.New(self, r.deps.Settings.Peers, rand.Uint64)
	r.publishRoster()
}

func (r *Runner) buildQuotas() {
	r.quotas = newQuotas(quotaDependencies{
		Self: *r.self.Load(),
		Tolerance: func() quoter.Tolerance {
			settings := r.settings.Load()
			return quoter.Tolerance{
				Window: settings.QuotaWindow, Share: settings.QuotaTolerance, Slack: settings.QuotaSlack,
			}
		},
		Now:     r.now,
		Random:  rand.Float64,
		Roster:  func() registrar.Roster { return *r.roster.Load() },
		Catalog: r.catalog,
		Ask: func(ctx context.Context, to registrar.Member, request *messenger.QuotaRequest) (*messenger.QuotaReply, error) {
			return r.connector.GuardClient(ctx, to.Address).AcquireQuota(ctx, request)
		},
		Log:   r.deps.Log,
		Meter: r.deps.Meter,
	})
}

func (r *Runner) buildGuard() {
	r.guard = guard.New(guard.Dependencies{
		Incarnation:           r.incarnation,
		Log:                   r.deps.Log,
		Now:                   r.now,
		Catalog:               r.catalog,
		OnChange:              r.updateMemberStatus,
		OnLeaving:             r.handleLeavingAnswer,
		OnStatement:           r.learnStatement,
		FinishesBeforeStop:    r.finishesBeforeStop,
		OnDisplaced:           func(service string) { r.deps.Meter.CountShed(service, "Displaced") },
		EjectionRoundLifetime: ejector.RoundLifetime,
		Servers:               r.deps.Servers,
		MaxInFlightBytes:      r.maxInFlightBytes(),
		Memory:                r.memory,
		Limits: deduplicator.Limits{
			Attempts:    r.deps.Settings.KeptAttempts,
			Keys:        r.deps.Settings.KeptKeys,
			AnswerBytes: r.deps.Settings.KeptAnswerBytes,
			KeyLifetime: 2 * r.deps.Settings.KeyLifetime,
		},
	})
}

func (r *Runner) buildRouter() {
	r.router = router.New(r.deps.Settings.CallerAddress, router.Dependencies{
		Self:               func() registrar.Member { return *r.self.Load() },
		Log:                r.deps.Log,
		Now:                r.now,
		Random:             rand.Uint64,
		Catalog:            r.catalog,
		Roster:             func() registrar.Roster { return *r.roster.Load() },
		ServiceTable:       r.serviceTable,
		GuardClient:        r.connector.GuardClient,
		Callers:            r.deps.Callers,
		Origin:             func() string { return r.settings.Load().Service },
		NestedCall:         r.guard.NestedCall,
		KeylessCall:        r.guard.KeylessCall,
		FinishesBeforeStop: r.finishesBeforeStop,
		Ready:              func() bool { return r.deps.Source == nil || r.configured() },
		KeyPath:            r.keyPath(),
		AcquireQuota:       r.quotas.Acquire,
		Claim:              r.claims.Claim,
		Binding:            r.claims.Binding,
		GuardBinding:       r.claims.GuardBinding,
		KeyLifetime:        r.deps.Settings.KeyLifetime,
		Meter:              r.deps.Meter,
		Statements:         r.statements,
		Memory:             r.memory,
		MaxConnections:     maxConnections(r.deps.Settings.DescriptorLimit),
		MaxRequests:        maxRequests(r.deps.Settings.DescriptorLimit),
	})
}

func (r *Runner) buildAdmin() {
	r.admin = administrator.New(r.deps.Settings.AdminAddress, administrator.Dependencies{
		Log:      r.deps.Log,
		Announce: r.guard.Announce,
		Leave:    r.Leave,
		Stopped:  r.stopped,
		Status:   r.status,
		Objects:  r.objects,
		Meter:    r.deps.Meter,
	})
}

func (r *Runner) registerGauges() {
	r.deps.Meter.RegisterBuild(r.deps.Version, r.deps.Build)
	r.deps.Meter.RegisterGauge("config_version", func() float64 { return float64(r.catalog().Version()) })
	r.deps.Meter.RegisterGauge("roster_members", func() float64 { return float64(r.roster.Load().Len()) })
	r.deps.Meter.RegisterGauge("requests_active", func() float64 { return float64(r.router.Active()) })
	r.deps.Meter.RegisterGauge("log_silence_seconds", func() float64 { return r.logSilence().Seconds() })
	r.deps.Meter.RegisterGauge("guard_queued_work_seconds", func() float64 { return r.guard.QueuedWork().Seconds() })
	r.deps.Meter.RegisterGauge("guard_in_flight", func() float64 {
		inFlight, _ := r.guard.Load()
		return float64(inFlight)
	})
	r.deps.Meter.RegisterGauge("guard_work_seconds", func() float64 { return r.guard.WorkLeft().Seconds() })
}

// now returns the monotonic time since the start and the wall time.
func (r *Runner) now() clocker.Instant {
	t := time.Now()
	return clocker.Instant{Mono: t.Sub(r.started), Wall: time.Duration(t.UnixNano())}
}

// keyPath returns the path on which callers fetch bound keys. It is empty if a
// Source is used, since bound keys need the log.
func (r *Runner) keyPath() string {
	if r.deps.Source != nil {
		return ""
	}
	return answerer.PathKey
}

// catalog returns the current configuration.
func (r *Runner) catalog() cataloger.Catalog {
	if r.deps.Source != nil {
		return r.sourceVersion.Load().catalog
	}
	return r.logState.Load().Catalog()
}

// logSilence returns the time since the last successful read from the log, or by any
// process from the Source.
func (r *Runner) logSilence() time.Duration {
	if r.deps.Source != nil {
		r.gossipMu.Lock()
		defer r.gossipMu.Unlock()
		if confirmed := r.gossip.Confirmed(r.now()); confirmed >= 0 {
			return confirmed
		}
	}
	return r.now().Mono - time.Duration(r.lastConfigContact.Load())
}

// Leave requests a planned stop and returns at once.
func (r *Runner) Leave() {
	r.leaveOnce.Do(func() { close(r.leaveRequested) })
}

// Run serves until the context is done or Leave is called. It then performs a
// planned stop, in which requests in flight may finish until the StopLimit.
func (r *Runner) Run(ctx context.Context) error {
	peers, err := connector.Listen(r.deps.Settings.PeerListen)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	if err := r.router.Listen(); err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, serveCtx := errgroup.WithContext(serveCtx)
	r.startServers(serveCtx, group, peers)
	r.startLoops(serveCtx, group)
	r.deps.Log.Info("Started", "Version", r.deps.Version, "Build", r.deps.Build, "Incarnation", r.incarnation,
		"Zone", r.deps.Settings.Zone, "CallerAddress", r.deps.Settings.CallerAddress, "PeerAddress", r.deps.Settings.PeerAddress)
	select {
	case <-ctx.Done():
	case <-r.leaveRequested:
	case <-serveCtx.Done():
	}
	if serveCtx.Err() == nil {
		r.stop(serveCtx)
	}
	cancel()
	r.closeServers()
	if err := group.Wait(); err != nil {
		return fmt.Errorf("running: %w", err)
	}
	r.deps.Log.Info("Stopped", "Incarnation", r.incarnation)
	return nil
}

func (r *Runner) closeServers() {
	r.router.Close()
	if err := r.admin.Close(); err != nil {
		r.deps.Log.Debug("CloseFailed", "Error", err)
	}
	if err := r.connector.Close(); err != nil {
		r.deps.Log.Debug("CloseFailed", "Error", err)
	}
}

// every calls step once per period until the context is done.
func every(ctx context.Context, period time.Duration, step func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			step()
		}
	}
}

// pause waits for a duration and reports whether the context is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
