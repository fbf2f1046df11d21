package commands

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/jessevdk/go-flags"

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
	settings, err := c.deps.loader.Load(c.Settings)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	log, err := newLog(c.deps.stderr, settings.LogLevel)
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	routeLibraryLogs(log)
	process, err := runner.New(runner.Dependencies{
		Settings: settings,
		Log:      log,
		Parser:   c.deps.parser,
		Meter:    meter.New(),
	})
	if err != nil {
		return fmt.Errorf("starting: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := process.Run(ctx); err != nil {
		return fmt.Errorf("running: %w", err)
	}
	return nil
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
