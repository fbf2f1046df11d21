// Command foxtailhall is a fleet of proxies for backend servers with gray failures.
package main

import (
	"os"

	"github.com/foxtailhall/foxtailhall/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
}
