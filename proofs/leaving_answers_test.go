package proofs

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/responder"
	"github.com/foxtailhall/foxtailhall/standins/storer"
)

// storeTime is more than a calm store needs for a write.
const storeTime = 300 * time.Millisecond

// sayLeaving makes the server say in its answers that it leaves, and sends requests until one of
// them says so to a caller.
func (f *leavingFleet) sayLeaving() {
	f.t.Helper()
	f.server.SetFault(responder.Fault{NoHeartbeats: true, SaysLeaving: true})
	require.Equal(f.t, http.StatusOK, f.write(), "the answer that says that the server leaves")
}

// startTrustingFleet starts a fleet whose store names no era. With an era, a new process holds
// announcements while no other one has run for long, which hides what it has not learned.
func startTrustingFleet(t *testing.T, network int) *leavingFleet {
	t.Helper()
	f := startLeavingFleet(t, network)
	f.store.SetFault(storer.Fault{NoEra: true})
	return f
}

// TestLeavingAnswersOutliveTheProcess guards against new work for a server that said in an answer
// that it leaves, after the process beside it was killed and a late announcement arrived.
func TestLeavingAnswersOutliveTheProcess(t *testing.T) {
	t.Run("KilledOnceTheStoreHasIt", func(t *testing.T) {
		f := startTrustingFleet(t, 144)
		last := f.putInService(0)
		f.sayLeaving()
		time.Sleep(storeTime)
		for kill := range 3 {
			f.kill(0)
			f.start(0)
			time.Sleep(lateDelay)
			f.announce("ready", last+1+kill)
			f.requireNoWork(fmt.Sprintf("after kill %d", kill+1))
		}
	})
}
