// Package commands implements the command line of foxtailhall, with one file per
// command.
package commands

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/jessevdk/go-flags"

	"github.com/foxtailhall/foxtailhall/state/checker"
	"github.com/foxtailhall/foxtailhall/state/loader"
	"github.com/foxtailhall/foxtailhall/state/parser"
)

// Exit codes of the program.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitNotChecked means that a check could not be made, which ExitFailed would report as findings.
	ExitNotChecked = 2
	// ExitVoid means that a publication is not in force: it was based on an older
	// version or was refused.
	ExitVoid = 3
	// ExitUnknown means that it is not known whether a publication is in force.
	ExitUnknown = 4
)

// dependencies holds what the commands share.
type dependencies struct {
	stdout  io.Writer
	stderr  io.Writer
	checker *checker.Checker
	parser  *parser.Parser
	loader  *loader.Loader
}

func newDependencies(stdout, stderr io.Writer) *dependencies {
	check := checker.New()
	return &dependencies{
		stdout:  stdout,
		stderr:  stderr,
		checker: check,
		parser:  parser.New(check),
		loader:  loader.New(check),
	}
}

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// Execute runs the command in args and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	deps := newDependencies(stdout, stderr)
	line := flags.NewNamedParser("foxtailhall", flags.HelpFlag|flags.PassDoubleDash)
	line.LongDescription = "A proxy fleet for backend servers with gray failures."
	for _, add := range []func(*flags.Parser, *dependencies) error{
		addRun, addCheck, addPublish, addStatus, addVersion,
	} {
		if err := add(line, deps); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return ExitFailed
		}
	}
	_, err := line.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

func exitCode(err error, stdout, stderr io.Writer) int {
	if err == nil {
		return ExitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, usage.Message)
			return ExitDone
		}
		_, _ = fmt.Fprintln(stderr, usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(stderr, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func addCommand(line *flags.Parser, name, short, long string, data any) error {
	if _, err := line.AddCommand(name, short, long, data); err != nil {
		return fmt.Errorf("adding the command %s: %w", name, err)
	}
	return nil
}

// newLog returns a logger that writes each event as one line of key=value pairs.
func newLog(w io.Writer, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("parsing the log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: minLevel, ReplaceAttr: pascalCase}
	return slog.New(slog.NewTextHandler(w, options)), nil
}

// pascalCase renames the logger's built-in keys to Time, Level and Event.
func pascalCase(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attr
	}
	switch attr.Key {
	case slog.TimeKey:
		attr.Key = "Time"
	case slog.LevelKey:
		attr.Key = "Level"
	case slog.MessageKey:
		attr.Key = "Event"
	}
	return attr
}
