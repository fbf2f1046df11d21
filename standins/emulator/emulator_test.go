package emulator_test

import (
	"testing"
	"time"


	"github.com/foxtailhall/foxtailhall/standins/emulator"
)

func play(t *testing.T, pattern emulator.Pattern, servers int) emulator.Result {
	t.Helper()
	result := emulator.Run(emulator.Options{Pattern: pattern, Servers: servers, Duration: 30 * time.Second, Seed: 1})
	t.Log(result.String())
	return result
}

func TestPatterns(t *testing.T) {
	for _, pattern := range emulator.Patterns() {
		for _, servers := range []int{10, 30, 100} {
			play(t, pattern, servers)
		}
	}
}
