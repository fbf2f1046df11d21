package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/foxtailhall/foxtailhall/standins/exempter"
)

type testCommand struct {
	Known   string `long:"known" required:"true" description:"File with the list of known failures"`
	Apart   string `long:"apart" description:"Folder of the package that runs after all others and is not cached"`
	Timeout string `long:"timeout" default:"20m" description:"Time limit for each package"`
}

// Execute runs all tests of the module in the working folder and fails if one fails that is not listed.
func (c *testCommand) Execute([]string) error {
	listed, err := exempter.Read(c.Known)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return exempter.Run(ctx, os.Stdout, exempter.Options{Folder: ".", Listed: listed, Apart: c.Apart, Timeout: c.Timeout})
}
