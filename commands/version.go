package commands

import (
	"fmt"
	"runtime"

	"github.com/jessevdk/go-flags"

	"github.com/foxtailhall/foxtailhall/transport/identifier"
)

// programVersion is the version that the command prints.
const programVersion = "0.1.0"

type versionCommand struct {
	deps *dependencies
}

func addVersion(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "version", "Print the version",
		"Prints the version of the program, the identity of its build, as a process logs it at its start, and the version of Go.",
		&versionCommand{deps: deps})
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	build, err := identifier.Running()
	if err != nil {
		return fmt.Errorf("identifying the build: %w", err)
	}
	if _, err := fmt.Fprintf(c.deps.stdout, "foxtailhall Version=%s Build=%s Go=%s\n",
		programVersion, build, runtime.Version()); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}
