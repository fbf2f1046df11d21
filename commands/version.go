package commands

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

// programVersion is the version that the command prints.
const programVersion = "0.1.0"

type versionCommand struct {
	deps *dependencies
}

func addVersion(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "version", "Print the version", "Prints the version of the program and of Go.",
		&versionCommand{deps: deps})
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = setting.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.deps.stdout, "foxtailhall Version=%s Revision=%s Go=%s\n",
		programVersion, revision, runtime.Version())
	if err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}
