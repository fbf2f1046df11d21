package parser_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
