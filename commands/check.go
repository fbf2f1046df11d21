package commands

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/checker"
	"github.com/foxtailhall/foxtailhall/state/parser"
)

type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

type checkCommand struct {
	deps     *dependencies
	Settings bool          `long:"settings" description:"The files are settings of processes, not configuration objects"`
	Args     fileArguments `positional-args:"true"`
}

func addCheck(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "check", "Check configuration objects or settings offline",
		"Checks the whole set of objects in all files together and prints every fault as file:line: field: reason.",
		&checkCommand{deps: deps})
}

var errInvalid = eris.New("the files are not valid")

// Execute validates the files and returns every fault in them. If there are none,
// it prints the number of objects or settings.
func (c *checkCommand) Execute([]string) error {
	if c.Settings {
		return c.checkSettings()
	}
	sources, err := readSources(c.Args.Files)
	if err != nil {
		return fmt.Errorf("checking: %w", err)
	}
	parsed, err := c.deps.parser.Parse(sources...)
	if err != nil {
		return fmt.Errorf("%w:\n%w", errInvalid, err)
	}
	catalog := cataloger.New().WithObjects(parsed.Objects)
	if faults := catalog.Faults(); len(faults) > 0 {
		return fmt.Errorf("%w:\n%w", errInvalid, parsed.Locate(faults))
	}
	_, err = fmt.Fprintf(c.deps.stdout, "Valid Services=%d BackendServers=%d Routes=%d Policies=%d\n",
		len(parsed.Objects.Services), len(parsed.Objects.Servers), len(parsed.Objects.Routes), len(parsed.Objects.Policies))
	if err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

func (c *checkCommand) checkSettings() error {
	var faults checker.Faults
	for _, file := range c.Args.Files {
		_, err := c.deps.loader.Load(file)
		var found checker.Faults
		switch {
		case errors.As(err, &found):
			faults = append(faults, found...)
		case err != nil:
			return fmt.Errorf("checking: %w", err)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%w:\n%w", errInvalid, faults)
	}
	if _, err := fmt.Fprintf(c.deps.stdout, "Valid Settings=%d\n", len(c.Args.Files)); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

func readSources(files []string) ([]parser.Source, error) {
	sources := make([]parser.Source, 0, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("reading objects: %w", err)
		}
		sources = append(sources, parser.Source{File: file, Text: text})
	}
	return sources, nil
}
