package main

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/foxtailhall/foxtailhall/standins/builder"
	"github.com/foxtailhall/foxtailhall/transport/identifier"
)

type buildCommand struct {
	Race string `long:"race" value-name:"FOLDER" description:"Build with the race detector in a folder instead"`
}

// Execute builds the program of the module in the working folder and prints its path and identity.
func (c *buildCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	build := func() (string, error) { return builder.Build(ctx, ".") }
	if c.Race != "" {
		build = func() (string, error) { return builder.BuildRace(ctx, ".", c.Race) }
	}
	path, err := build()
	if err != nil {
		return err
	}
	id, err := identifier.OfFile(path)
	if err != nil {
		return err
	}
	fmt.Printf("Program=%s Build=%s\n", path, id)
	return nil
}
