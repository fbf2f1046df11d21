package commands_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/foxtailhall/foxtailhall/commands"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"foxtailhall": func() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
