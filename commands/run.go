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

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/platform"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/state/loader"
	"github.com/foxtailhall/foxtailhall/transport/logwriter"
	"github.com/foxtailhall/foxtailhall/transport/meter"
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

// Execute runs the process until a signal stops it.
func (c *runCommand) Execute([]string) error {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	defer signal.Stop(asked)
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
	process, desk, err := c.build(settings, log)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	if desk != nil {
		go serve(desk, log, fail)
		defer func() { _ = desk.Close() }()
	}
	go c.reload(ctx, asked, process, log)
	again := make(chan os.Signal, 1)
	defer close(again)
	signal.Notify(again, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(again)
	go hearStops(again, process)
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("running: %w", err)
	}
	if err := context.Cause(ctx); errors.Is(err, errDesk) {
		return fmt.Errorf("running: %w", err)
	}
	return nil
}

// hearStops tells the process of each signal to stop, of those beside a stop
// that has begun too.
func hearStops(asked <-chan os.Signal, process *runner.Runner) {
	for range asked {
		process.RecordStopRequest()
	}
}

// reload takes the settings again at each SIGHUP. A faulty file changes nothing.
func (c *runCommand) reload(ctx context.Context, asked <-chan os.Signal, process *runner.Runner, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		settings, err := c.deps.loader.Load(c.Settings)
		if err != nil {
			log.Error("SettingsRefused", "Error", err)
			continue
		}
		process.Reload(settings)
	}
}

// build returns the process and, on a platform, what the platform calls at it.
func (c *runCommand) build(settings loader.Settings, log *slog.Logger) (*runner.Runner, *platform.Endpoints, error) {
	deps := runner.Dependencies{
		Settings: settings,
		Log:      log,
		Parser:   c.deps.parser,
		Meter:    meter.New(),
		Callers:  interpreter.NativeCallers(),
		Servers:  interpreter.NativeServers(),
	}
	if settings.StoreAddress == "" {
		process, err := runner.New(deps)
		if err != nil {
			return nil, nil, fmt.Errorf("building the process: %w", err)
		}
		return process, nil, nil
	}
	store, err := platform.NewStore(settings.StoreAddress)
	if err != nil {
		return nil, nil, fmt.Errorf("building the store's client: %w", err)
	}
	source := &platform.Source{Store: store, Log: log, Pause: platform.Pause}
	decoder := platform.Decoder{FloorShare: settings.FloorShare, RetryShare: settings.RetryShare}
	deps.Callers, deps.Servers = platform.Callers(), platform.Servers()
	deps.Source = &runner.Source{
		Follow:     source.Follow,
		Decode:     decoder.Decode,
		Register:   source.Register,
		Deregister: source.Deregister,
		Peers:      source.Peers,
	}
	process, err := runner.New(deps)
	if err != nil {
		return nil, nil, fmt.Errorf("building the process: %w", err)
	}
	desk := platform.NewEndpoints(settings.AnnounceAddress, settings.ReadyAddress, platform.EndpointDependencies{
		Log: log,
		HandleAnnouncement: func(announced platform.ServerAnnouncement) error {
			return process.HandleAnnouncement(announced.Announcement, announced.ColdStart)
		},
		Ready: process.Ready,
	})
	return process, desk, nil
}

var errDesk = eris.New("ports for the platform can't be served")

// serve runs the desk and stops the process if its ports can't be had.
func serve(desk *platform.Endpoints, log *slog.Logger, fail context.CancelCauseFunc) {
	if err := desk.Run(); err != nil {
		log.Error("DeskFailed", "Error", err)
		fail(fmt.Errorf("%w: %w", errDesk, err))
	}
}

// routeLibraryLogs turns the HTTP library's own lines into events.
func routeLibraryLogs(log *slog.Logger) {
	hlog.SetOutput(libraryLog{log: log})
	hlog.SetLevel(hlog.LevelError)
	hlog.SetSilentMode(true)
}

type libraryLog struct {
	log *slog.Logger
}

var _ io.Writer = libraryLog{}

// Write logs one line of the library.
func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Info("HttpLibrary", "Line", strings.TrimSpace(string(line)))
	return len(line), nil
}
