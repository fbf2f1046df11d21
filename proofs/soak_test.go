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

// regressions are seeds that once violated a guarantee, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none; this seed always runs"},
	{203, "a drained process cut off requests that arrived while it announced its departure to the fleet"},
	{300, "same as 203"},
	{59, "a server that said in its answers that it leaves got requests after its process was killed"},
}

// TestSoak runs short soak tests against the stand-ins of the users' platform.
func TestSoak(t *testing.T) {
	for i, regression := range regressions {
		t.Run(strconv.FormatUint(regression.seed, 10), func(t *testing.T) {
			verdict, err := soaker.Run(context.Background(), soaker.Options{
				Seed: regression.seed, Duration: 15 * time.Second, VMs: 9, Network: 100 + i,
				Program: program, Folder: filepath.Join(t.TempDir(), "soak"),
			})
			require.NoError(t, err)
			require.Empty(t, verdict.Failures, regression.cause)
			require.Positive(t, verdict.Served)
		})
	}
}

// TestDemo runs the demo, whose last configuration version must be observed through all VMs.
func TestDemo(t *testing.T) {
	verdict, err := soaker.Run(context.Background(), soaker.Options{
		Duration: soaker.DemoDuration, VMs: 9, Network: 110, Plan: soaker.DemoPlan(),
		Program: program, Folder: filepath.Join(t.TempDir(), "demo"),
	})
	require.NoError(t, err)
	require.Empty(t, verdict.Failures)
	require.Positive(t, verdict.Served)
}

// TestCallsNeedNoKey makes backend servers send requests without a key while they run others, to a route of their own
// and to one that callers use as well. The seed draws customers.
func TestCallsNeedNoKey(t *testing.T) {
	verdict, err := soaker.Run(context.Background(), soaker.Options{
		Seed: 203, Duration: 8 * time.Second, VMs: 3, Network: 112, Plan: soaker.Plan{}, Calls: true,
		Program: program, Folder: filepath.Join(t.TempDir(), "calls"),
	})
	require.NoError(t, err)
	require.Empty(t, verdict.Failures)
}

// TestReloadsCutNothingOff reloads the settings of all processes under load, first all at once and then
// one after another, and publishes a version at two of the reloads.
func TestReloadsCutNothingOff(t *testing.T) {
	const vms = 6
	var plan soaker.Plan
	for vm := range vms {
		plan = append(plan, soaker.Event{At: time.Second, Kind: soaker.KindReload, VM: vm})
	}
	for vm := range vms {
		at := 2*time.Second + time.Duration(vm)*150*time.Millisecond
		plan = append(plan, soaker.Event{At: at, Kind: soaker.KindReload, VM: vm})
		if vm%3 == 0 {
			plan = append(plan, soaker.Event{At: at, Kind: soaker.KindPublish})
		}
	}
	verdict, err := soaker.Run(context.Background(), soaker.Options{
		Duration: 8 * time.Second, VMs: vms, Network: 111, Plan: plan,
		Program: program, Folder: filepath.Join(t.TempDir(), "reloads"),
	})
	require.NoError(t, err)
	require.Empty(t, verdict.Failures)
	require.Zero(t, verdict.Failed)
}

func TestPlansRepeat(t *testing.T) {
	require.Equal(t, soaker.NewPlan(7, time.Minute, 9), soaker.NewPlan(7, time.Minute, 9))
	require.NotEqual(t, soaker.NewPlan(7, time.Minute, 9), soaker.NewPlan(8, time.Minute, 9))
}
