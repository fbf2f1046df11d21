package proofs

import (
	"context"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/soaker"
)

// regressions are the seeds that once broke a promise, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the seed that is always run"},
	{203, "a process that had drained cut off requests that came while it told the fleet of its end"},
	{300, "as 203"},
}

// TestSoak plays short runs on the stand-ins of the users' platform.
func TestSoak(t *testing.T) {
	for i, regression := range regressions {
		t.Run(strconv.FormatUint(regression.seed, 10), func(t *testing.T) {
			verdict, err := soaker.Run(context.Background(), soaker.Options{
				Seed: regression.seed, Duration: 15 * time.Second, VMs: 9, Network: 100 + i,
				Program: filepath.Join(programs, "foxtailhall"), Folder: filepath.Join(t.TempDir(), "soak"),
			})
			require.NoError(t, err)
			require.Empty(t, verdict.Failures, regression.cause)
			require.Positive(t, verdict.Served)
		})
	}
}

func TestPlansRepeat(t *testing.T) {
	require.Equal(t, soaker.NewPlan(7, time.Minute, 9), soaker.NewPlan(7, time.Minute, 9))
	require.NotEqual(t, soaker.NewPlan(7, time.Minute, 9), soaker.NewPlan(8, time.Minute, 9))
}
