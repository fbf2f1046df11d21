package proofs

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/storer"
)

// TestLeavesAreExplainedByLogs follows docs/operators/drain.md and guards against a word about a
// server of which the logs show one end only.
func TestLeavesAreExplainedByLogs(t *testing.T) {
	f := startTrustingFleet(t, 180)
	last := f.putInService(0)
	f.store.SetFault(storer.Fault{NoEra: true, Down: true})
	f.sayLeaving()
	time.Sleep(lateDelay)
	f.kill(0)
	f.store.SetFault(storer.Fault{NoEra: true})
	f.start(0)
	time.Sleep(lateDelay)
	f.announce("ready", last+1)
	f.requireNoWork("a late announcement")
	// requireLine requires a line of a process and returns what the expression captures.
	requireLine := func(process int, expression string) string {
		t.Helper()
		log, err := os.ReadFile(filepath.Join(f.dir, []string{"0.log", "1.log"}[process]))
		require.NoError(t, err)
		found := regexp.MustCompile("(?m)^.*Event=" + expression + ".*$").FindSubmatch(log)
		require.NotNil(t, found, "process %d: no line %s", process, expression)
		return string(found[len(found)-1])
	}
	request := requireLine(1, `StatementHeard .*Left=`+leavingServer+` .*Way=Answer Request=(\S+)`)
	requireLine(0, "Dispatched Request="+request+" .*Run="+leavingServer+" StartedMs=[0-9]+ ")
	requireLine(0, "LeavingAnswer Run="+leavingServer)
	requireLine(0, "DepartureNotKept ")
	requireLine(0, `DepartureRecalled Server="" `)
	requireLine(1, "Statement(?:Told|Replied) .*Left="+leavingServer)
	requireLine(0, "StatementReceived Left="+leavingServer+" .*Way=(?:Ping Peer|Request Request)=")
	requireLine(0, "PeersAsked Asked=[1-9]")
	requireLine(0, "AnnouncementBelieved Server="+leavingServer+" .*Ground=")
	requireLine(0, "AnnouncementIgnored Server="+leavingServer+" Verdict=Stale .*LatestLeaving=true")
}
