package main

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/standins/emulator"
)

type patternsCommand struct {
	Pattern  string        `long:"pattern" description:"Name of one pattern; all if it is not given"`
	Servers  int           `long:"servers" default:"30" description:"Backend servers, each with a router"`
	Duration time.Duration `long:"duration" default:"30s" description:"Length of the load in virtual time"`
	Seed     uint64        `long:"seed" default:"1" description:"Equal seeds give equal results"`
	Load     float64       `long:"load" description:"Load as a part of the capacity; that of each pattern if it is not given"`
	Balance  string        `long:"balance" default:"Requests" choice:"Requests" choice:"Work" choice:"Separate" description:"Choice"`
	// Unreported is the state of a fleet whose guards are of an earlier version.
	Unreported bool `long:"unreported" description:"Guards report no work"`

	WithoutCustomers bool `long:"without-customers" description:"Guards don't know the customers of requests"`
	ShedEarly        bool `long:"shed-early" description:"Routers reject what no guard could serve in time"`
}

var (
	errNoPattern  = eris.New("no pattern has that name")
	errRuleBroken = eris.New("a rule was broken")
)

// Execute plays patterns of load on the decisions of routers and guards, and prints one
// line for each. It fails if a rule was broken.
func (c *patternsCommand) Execute([]string) error {
	if c.Servers < 2 || c.Duration <= 0 || c.Load < 0 {
		return eris.Errorf("--servers must be at least 2, --duration positive and --load not negative, got %d, %s and %g",
			c.Servers, c.Duration, c.Load)
	}
	played, broken := 0, 0
	for _, pattern := range emulator.Patterns() {
		if c.Pattern != "" && c.Pattern != pattern.Name {
			continue
		}
		played++
		result := emulator.Run(emulator.Options{
			Pattern: pattern, Servers: c.Servers, Duration: c.Duration, Seed: c.Seed,
			WithoutCustomers: c.WithoutCustomers, ShedEarly: c.ShedEarly,
			Load: c.Load, Balance: emulator.Balance(c.Balance), Unreported: c.Unreported,
		})
		fmt.Println(result.String())
		if !result.Sound() {
			broken++
		}
	}
	switch {
	case played == 0:
		return fmt.Errorf("looking for the pattern %q: %w", c.Pattern, errNoPattern)
	case broken > 0:
		return fmt.Errorf("playing %d patterns: %w in %d", played, errRuleBroken, broken)
	}
	return nil
}
