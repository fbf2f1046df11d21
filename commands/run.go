package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/platform"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/loader"
	"github.com/foxtailhall/foxtailhall/transport/identifier"
	"github.com/foxtailhall/foxtailhall/transport/logwriter"
	"github.com/foxtailhall/foxtailhall/transport/meter"
	"github.com/foxtailhall/foxtailhall/transport/requester"
	"github.com/foxtailhall/foxtailhall/transport/runner"
)

type runCommand struct {
	deps     *dependencies
	Settings string `long:"settings" description:"YAML file with the settings of the process" required:"true" value-name:"FILE"`
}

func addRun(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "run", "Run the process beside a backend server",
		"Runs router and guard in one process until SIGTERM or SIGINT, then stops without cutting off a request.",
		&runCommand{deps: deps})
}

// Execute runs the process until SIGTERM or SIGINT stops it.
func (c *runCommand) Execute([]string) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	settings, err := c.deps.loader.Load(c.Settings)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	lines := logwriter.New(c.deps.stdout)
	defer lines.Close()
	log, err := newLog(lines, settings.LogLevel)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	routeLibraryLogs(log)
	process, endpoints := c.build(settings, log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	if endpoints != nil {
		go serveEndpoints(endpoints, log, fail)
		defer func() { _ = endpoints.Close() }()
	}
	go c.reload(ctx, hangups, process, log)
	stopSignals := make(chan os.Signal, 1)
	defer close(stopSignals)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stopSignals)
	go recordStopSignals(stopSignals, process)
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("running: %w", err)
	}
	if err := context.Cause(ctx); errors.Is(err, errEndpoints) {
		return fmt.Errorf("running: %w", err)
	}
	return nil
}

// recordStopSignals reports each stop signal to the process, including those that
// arrive while it is already stopping.
func recordStopSignals(stopSignals <-chan os.Signal, process *runner.Runner) {
	for range stopSignals {
		process.RecordStopRequest()
	}
}

// reload loads the settings again after each SIGHUP. Invalid settings are logged
// and ignored.
func (c *runCommand) reload(ctx context.Context, hangups <-chan os.Signal, process *runner.Runner, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := c.deps.loader.Load(c.Settings)
		if err != nil {
			log.Error("SettingsRefused", "Error", err)
			continue
		}
		process.Reload(settings)
	}
}

const (
	// idleStoreConnections bounds the idle connections to the store. One read at a time
	// waits for versions; other calls are rare.
	idleStoreConnections = 2
	// storeSilence is how long a connection to the store may be silent before a read on it
	// fails. A version published meanwhile is still in force within 3 s.
	storeSilence = 2 * time.Second
)

// build returns the process and, on a platform, the endpoints that the platform
// calls.
func (c *runCommand) build(settings loader.Settings, log *slog.Logger) (*runner.Runner, *platform.Endpoints) {
	deps := runner.Dependencies{
		Settings: settings,
		Version:  programVersion,
		Build:    runningBuild(log),
		Log:      log,
		Parser:   c.deps.parser,
		Meter:    meter.New(),
		Callers:  interpreter.NativeCallers(),
		Servers:  interpreter.NativeServers(),
	}
	if settings.StoreAddress == "" {
		return runner.New(deps), nil
	}
	calls := requester.New(settings.StoreAddress, idleStoreConnections, storeSilence)
	source := &platform.Source{Store: platform.NewStore(settings.StoreAddress, calls.Do), Log: log, Pause: platform.Pause}
	decoder := platform.Decoder{
		FloorShare: settings.FloorShare, RetryShare: settings.RetryShare, ShedEarly: settings.ShedEarly,
		Balance: cataloger.Balance(settings.Balance),
	}
	deps.Callers, deps.Servers = platform.Callers(), platform.Servers()
	deps.Source = &runner.Source{
		Follow:     source.Follow,
		Decode:     decoder.Decode,
		Register:   source.Register,
		Deregister: source.Deregister,
		Peers:      source.Peers,

		RecordDeparture: source.RecordDeparture,
		Departure:       source.Departure,
	}
	process := runner.New(deps)
	endpoints := platform.NewEndpoints(settings.AnnounceAddress, settings.ReadyAddress, platform.EndpointDependencies{
		Log: log,
		HandleAnnouncement: func(announced platform.ServerAnnouncement) error {
			return process.HandleAnnouncement(announced.Announcement, announced.ColdStart)
		},
		Ready: process.Ready,
	})
	return process, endpoints
}

// unknownBuild is logged by a process that can't read its executable, which is no reason not to serve.
const unknownBuild = "Unknown"

// runningBuild returns the identity of the build that runs.
func runningBuild(log *slog.Logger) string {
	build, err := identifier.Running()
	if err != nil {
		log.Warn("BuildUnknown", "Error", err)
		return unknownBuild
	}
	return build
}

var errEndpoints = eris.New("cannot serve the platform's endpoints")

// serveEndpoints serves the endpoints and stops the process if that fails.
func serveEndpoints(endpoints *platform.Endpoints, log *slog.Logger, fail context.CancelCauseFunc) {
	if err := endpoints.Run(); err != nil {
		log.Error("DeskFailed", "Error", err)
		fail(fmt.Errorf("%w: %w", errEndpoints, err))
	}
}

// routeLibraryLogs logs the lines of the HTTP library as events.
func routeLibraryLogs(log *slog.Logger) {
	hlog.SetOutput(libraryLog{log: log})
	hlog.SetLevel(hlog.LevelError)
	hlog.SetSilentMode(true)
}

type libraryLog struct {
	log *slog.Logger
}

var _ io.Writer = libraryLog{}

// Write logs a line of the HTTP library.
func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Info("HttpLibrary", "Line", strings.TrimSpace(string(line)))
	return len(line), nil
}
