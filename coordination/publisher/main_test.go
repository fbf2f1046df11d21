package publisher_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the randomized tests unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
