// Package commands holds the command line of foxtailhall, a file for each command.
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
	ExitDone = 0
	// ExitFailed means that the command could not do its work.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitVoid means that a publication was overtaken or refused and is not in force.
	ExitVoid = 3
	// ExitUnknown means that it is not known whether a publication is in force.
	ExitUnknown = 4
)

// dependencies is built once and passed to every command.
type dependencies struct {
	stdout  io.Writer
	stderr  io.Writer
	checker *checker.Checker
	parser  *parser.Parser
	loader  *loader.Loader
}

func newDependencies(stdout, stderr io.Writer) *dependencies {
	rules := checker.New()
	return &dependencies{
		stdout:  stdout,
		stderr:  stderr,
		checker: rules,
		parser:  parser.New(rules),
		loader:  loader.New(rules),
	}
}

// exitError carries the exit code of a command that failed.
type exitError struct {
	code int
	err  error
}

// Error gives the message of the error inside.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error inside.
func (e *exitError) Unwrap() error { return e.err }

// Execute runs the command line and returns the exit code.
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

// newLog returns a logger that writes one line of key=value pairs for each event.
func newLog(w io.Writer, level string) (*slog.Logger, error) {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("reading the log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: least, ReplaceAttr: pascalCase}
	return slog.New(slog.NewTextHandler(w, options)), nil
}

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
