package proofs

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/responder"
	"github.com/foxtailhall/foxtailhall/standins/storer"
)

const (
	// limitedSlots is enough for a burst that breaks the limit before the first answer.
	limitedSlots       = 30
	limitedServiceTime = 800 * time.Millisecond
	limitPerSecond     = 1
	limitWindow        = 4 * time.Second
	// maxInWindow is what callers may see at most of a server that names limitPerSecond.
	maxInWindow = 1.5*limitPerSecond*4 + 5
)

// startNeedyFleet starts a fleet whose server runs many slow requests at once.
func startNeedyFleet(t *testing.T, network int) *leavingFleet {
	t.Helper()
	f := newLeavingFleet(t, network)
	f.slots = limitedSlots
	f.server = responder.New(f.address(1, 9000), responder.Options{
		ID: leavingServer, Service: "writing", Slots: limitedSlots, ServiceTime: limitedServiceTime,
		AnnounceAddress: f.address(1, 8004), OnRun: func(responder.Run) { f.runs.Add(1) },
	})
	f.server.SetFault(responder.Fault{NoHeartbeats: true, Limit: "1"})
	ctx, cancel := context.WithCancel(context.Background())
	f.server.Start(ctx)
	t.Cleanup(func() {
		cancel()
		f.server.Close()
	})
	f.startAll()
	f.store.SetFault(storer.Fault{NoEra: true})
	return f
}

// requireLimited sends many requests at once through process 1 for limitWindow and requires that
// the server starts no more than it takes.
func (f *leavingFleet) requireLimited(what string) {
	f.t.Helper()
	before := f.runs.Load()
	end := time.Now().Add(limitWindow)
	var callers sync.WaitGroup
	for range limitedSlots {
		callers.Go(func() {
			for time.Now().Before(end) {
				f.write()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	require.LessOrEqual(f.t, float64(f.runs.Load()-before), float64(maxInWindow), what)
}

// TestLimitsOutliveTheProcess guards against a server that names a limit in its answers and gets
// far more requests once the process beside it was killed or paused, from a VM that has passed
// such answers on.
func TestLimitsOutliveTheProcess(t *testing.T) {
	t.Run("Killed", func(t *testing.T) {
		f := startNeedyFleet(t, 172)
		last := f.putInService(0)
		f.requireLimited("before the kill")
		for range 2 {
			f.kill(0)
			f.start(0)
			last++
			require.Equal(t, http.StatusOK, f.announce("ready", last))
			f.requireLimited("after a kill")
		}
	})
	t.Run("PausedForLongerThanTheServerCountsAsPresent", func(t *testing.T) {
		f := startNeedyFleet(t, 173)
		last := f.putInService(0)
		f.requireLimited("before the pause")
		f.pause(0, 7*time.Second)
		time.Sleep(storeTime)
		require.Equal(t, http.StatusOK, f.announce("ready", last+1))
		f.requireLimited("after a pause")
	})
}
