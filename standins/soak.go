package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/standins/soaker"
)

type soakCommand struct {
	Program  string        `long:"program" required:"true" description:"Path of the foxtailhall program"`
	Folder   string        `long:"folder" default:"out/soak" description:"Folder for plans, logs, verdicts and reports"`
	Seed     uint64        `long:"seed" description:"First seed; the time of day if it is not given"`
	Runs     int           `long:"runs" default:"1" description:"Runs, each with the next seed"`
	Duration time.Duration `long:"duration" default:"20s" description:"Length of the load of one run"`
	VMs      int           `long:"vms" default:"9" description:"VMs, each with a process and a backend server"`
	Network  int           `long:"network" default:"1" description:"Third number of the loopback addresses"`
	Calls    bool          `long:"calls" description:"Make servers send requests while they run others"`
	Quotas   bool          `long:"quotas" description:"Publish quotas of customers and check them"`
}

// Execute runs the seeds one after the other and fails if a guarantee was violated.
func (c *soakCommand) Execute([]string) error {
	seed := c.Seed
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	failedRuns := 0
	for i := range c.Runs {
		runSeed := seed + uint64(i)
		verdict, err := soaker.Run(ctx, soaker.Options{
			Seed: runSeed, Duration: c.Duration, VMs: c.VMs, Program: c.Program, Network: c.Network,
			Quotas: c.Quotas, Calls: c.Calls,
			Folder: filepath.Join(c.Folder, strconv.FormatUint(runSeed, 10)),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %s", runSeed, verdict.Summary())
		if len(verdict.Failures) > 0 {
			failedRuns++
		}
		if ctx.Err() != nil {
			break
		}
	}
	if failedRuns > 0 {
		return eris.Errorf("%d of %d runs violated a guarantee", failedRuns, c.Runs)
	}
	return nil
}

type demoCommand struct {
	Program string `long:"program" required:"true" description:"Path of the foxtailhall program"`
	Folder  string `long:"folder" default:"out/demo" description:"Folder for plan, logs, verdict and report"`
}

// Execute runs the demo, prints its table and fails if a guarantee was violated.
func (c *demoCommand) Execute([]string) error {
	const vms = 9
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	plan := soaker.DemoPlan()
	fmt.Printf("Store, %d processes and %d backend servers in 3 availability zones; callers for %s.\nTime, length, event, VM:\n%s\n",
		vms, vms, soaker.DemoDuration, plan)
	verdict, err := soaker.Run(ctx, soaker.Options{
		Duration: soaker.DemoDuration, VMs: vms, Program: c.Program, Folder: c.Folder, Plan: plan,
	})
	if err != nil {
		return err
	}
	if err := verdict.WriteTable(os.Stdout); err != nil {
		return err
	}
	if len(verdict.Failures) > 0 {
		return eris.Errorf("something that must hold did not; logs are in %s:\n%s", c.Folder, verdict.Summary())
	}
	fmt.Printf("Everything that must hold held; logs are in %s\n", c.Folder)
	return nil
}
