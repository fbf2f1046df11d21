package proofs

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/storer"
)

// storeTime is more than a calm store needs for a write.
const storeTime = 300 * time.Millisecond

// sayLeaving makes the server say in its answers that it leaves, and sends requests until one of
// them says so to a caller.
func (f *leavingFleet) sayLeaving() {
	f.t.Helper()
	f.server.SetLeavingAnswers(true)
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

// restartWithLateAnnouncements starts process 0 again. Announcements from before the leave arrive
// while it starts, right after that and later.
func (f *leavingFleet) restartWithLateAnnouncements(last int) {
	f.t.Helper()
	early := make(chan struct{})
	go func() {
		defer close(early)
		for range 10 {
			f.announce("ready", last+1)
			time.Sleep(10 * time.Millisecond)
		}
	}()
	f.start(0)
	<-early
	f.announce("ready", last+2)
	f.requireNoWork("a late announcement right after the start")
	f.announce("ready", last+3)
	f.requireNoWork("a later announcement")
}

// TestLeavingAnswersOutliveTheProcess guards against new work for a server that said in an answer
// that it leaves, after the process beside it was killed and a late announcement arrived. Process
// 1 has passed the answer on.
func TestLeavingAnswersOutliveTheProcess(t *testing.T) {
	t.Run("KilledOnceTheStoreHasIt", func(t *testing.T) {
		f := startTrustingFleet(t, 160)
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
	for i, after := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
		t.Run(fmt.Sprintf("Killed%sLaterBeforeTheStoreHasIt", after), func(t *testing.T) {
			f := startTrustingFleet(t, 161+i)
			last := f.putInService(0)
			f.store.SetFault(storer.Fault{NoEra: true, Delay: storeTime})
			f.sayLeaving()
			time.Sleep(after)
			f.kill(0)
			f.store.SetFault(storer.Fault{NoEra: true})
			f.restartWithLateAnnouncements(last)
		})
	}
	t.Run("TwoKillsInARow", func(t *testing.T) {
		f := startTrustingFleet(t, 164)
		last := f.putInService(0)
		f.store.SetFault(storer.Fault{NoEra: true, Delay: storeTime})
		f.sayLeaving()
		f.kill(0)
		f.start(0)
		f.announce("ready", last+1)
		f.kill(0)
		f.store.SetFault(storer.Fault{NoEra: true})
		f.restartWithLateAnnouncements(last + 1)
	})
	for i, fault := range []storer.Fault{{Silent: true}, {Down: true}, {Delay: storeTime}} {
		t.Run(fmt.Sprintf("StoreFault%d", i), func(t *testing.T) {
			f := startTrustingFleet(t, 165+i)
			last := f.putInService(0)
			fault.NoEra = true
			f.store.SetFault(fault)
			f.sayLeaving()
			f.kill(0)
			f.restartWithLateAnnouncements(last)
			f.store.SetFault(storer.Fault{NoEra: true})
			f.announce("ready", last+4)
			f.requireNoWork("after the store is back")
		})
	}
	t.Run("OlderStore", func(t *testing.T) {
		f := startTrustingFleet(t, 168)
		last := f.putInService(0)
		f.sayLeaving()
		time.Sleep(storeTime)
		f.kill(0)
		f.store.Restore(time.Minute)
		f.store.Publish([]byte(leavingConfiguration))
		f.restartWithLateAnnouncements(last)
	})
	t.Run("Paused", func(t *testing.T) {
		f := startTrustingFleet(t, 169)
		last := f.putInService(0)
		f.sayLeaving()
		f.pause(0, 7*time.Second) // Longer than servers count as present without announcements.
		f.announce("ready", last+1)
		f.requireNoWork("after a pause")
	})
}

// TestSuccessorsAskNearPeers guards against requests of other VMs for a server that said in an answer that it leaves,
// after the process beside it was killed before the store had that, and the one that passed the answer on as well. Near
// peers were told.
func TestSuccessorsAskNearPeers(t *testing.T) {
	// Of the others, 1 to 3 are told of a departure.
	const processes, firstUntold, rounds = 7, 4, 3
	f := newLeavingFleetOf(t, 179, processes)
	f.store.SetFault(storer.Fault{NoEra: true})
	f.startServer()
	f.startAll()
	for round := range rounds {
		f.server.SetLeavingAnswers(false)
		f.bornMs = time.Now().UnixMilli()
		last := f.putInService(0)
		f.store.SetFault(storer.Fault{NoEra: true, Down: true})
		f.sayLeaving()
		time.Sleep(50 * time.Millisecond)
		f.kill(0)
		f.kill(1)
		f.store.SetFault(storer.Fault{NoEra: true})
		before := f.runs.Load()
		f.launch(0)
		for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); {
			last++
			f.announce("ready", last)
			for i := firstUntold; i < processes; i++ {
				f.writeThrough(i)
			}
		}
		require.Equal(t, before, f.runs.Load(), "a request of another VM reaches the server in round %d", round)
		f.start(1)
	}
}

// TestUnacknowledgedLeavesOutliveTheProcess guards against new work for a server that announced its
// leave while the store was away, after the process that applied it was killed before it could
// acknowledge it.
func TestUnacknowledgedLeavesOutliveTheProcess(t *testing.T) {
	for i, way := range []struct {
		name  string
		leave func(f *leavingFleet, sequence int) int
	}{
		{"Draining", func(f *leavingFleet, sequence int) int { return f.announce("draining", sequence) }},
		{"LeaveNotice", func(f *leavingFleet, _ int) int { return f.deregister(fmt.Sprintf(`{"born":%d}`, f.bornMs)) }},
		{"LeaveNoticeWithoutStart", func(f *leavingFleet, _ int) int { return f.deregister("") }},
	} {
		t.Run(way.name, func(t *testing.T) {
			f := startTrustingFleet(t, 174+i)
			last := f.putInService(0)
			f.store.SetFault(storer.Fault{NoEra: true, Down: true})
			require.NotEqual(t, http.StatusOK, way.leave(f, last+10))
			f.kill(0)
			f.store.SetFault(storer.Fault{NoEra: true})
			f.restartWithLateAnnouncements(last)
		})
	}
}

// TestNextRunsAreNotHeldByLeavingAnswers guards against a next run at an address that is held
// longer since the run before it left with an answer only.
func TestNextRunsAreNotHeldByLeavingAnswers(t *testing.T) {
	f := startTrustingFleet(t, 170)
	f.putInService(0)
	f.store.SetFault(storer.Fault{NoEra: true, Delay: storeTime})
	f.sayLeaving()
	f.kill(0)
	f.store.SetFault(storer.Fault{NoEra: true})
	f.start(0)
	f.server.SetLeavingAnswers(false)
	f.bornMs = time.Now().UnixMilli()
	require.Equal(t, http.StatusOK, f.announce("ready", 1))
	began := time.Now()
	require.Eventually(t, func() bool { return f.write() == http.StatusOK }, 2*time.Second, 10*time.Millisecond)
	t.Logf("served %s after the announcement", time.Since(began))
}

// TestLeavingAnswersAreNotHeld guards against an answer that waits for the store since it says
// that its server leaves.
func TestLeavingAnswersAreNotHeld(t *testing.T) {
	const maxTime = 250 * time.Millisecond // Less than the store takes.
	f := startTrustingFleet(t, 171)
	f.putInService(0)
	f.store.SetFault(storer.Fault{NoEra: true, Silent: true})
	began := time.Now()
	f.sayLeaving()
	require.Less(t, time.Since(began), maxTime)
}

// TestCostOfLeavingAnswers measures, if MEASURE is set, how long callers wait for ordinary answers
// and for the first ones which say that their server leaves, and how long the next run waits
// for its first request.
func TestCostOfLeavingAnswers(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement: set MEASURE")
	}
	const (
		runs = 40
		// spreadTime is more than gossip needs.
		spreadTime = 500 * time.Millisecond
	)
	f := startTrustingFleet(t, 177)
	timed := func() time.Duration {
		began := time.Now()
		require.Equal(t, http.StatusOK, f.write())
		return time.Since(began)
	}
	nextRun, ordinary, leaving := make([]time.Duration, 0, runs), make([]time.Duration, 0, runs), make([]time.Duration, 0, runs)
	for range runs {
		f.server.SetLeavingAnswers(false)
		f.bornMs++
		time.Sleep(spreadTime)
		began := time.Now()
		require.Equal(t, http.StatusOK, f.announce("ready", 1))
		require.Eventually(t, func() bool { return f.write() == http.StatusOK }, 5*time.Second, time.Millisecond)
		nextRun = append(nextRun, time.Since(began))
		ordinary = append(ordinary, timed())
		f.server.SetLeavingAnswers(true)
		leaving = append(leaving, timed())
	}
	for name, times := range map[string][]time.Duration{"NextRun": nextRun, "Ordinary": ordinary, "Leaving": leaving} {
		slices.Sort(times)
		t.Logf("%s: p50 %s, p90 %s, p99 %s", name, times[runs/2], times[runs*9/10], times[runs*99/100])
	}
}

// TestCostOfStarts measures, if MEASURE is set, how long after a start of the process beside a server
// callers wait for its first request, while announcements arrive all the time.
func TestCostOfStarts(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("a measurement: set MEASURE")
	}
	const starts = 30
	for i, fault := range []storer.Fault{{NoEra: true}, {}} {
		t.Run(fmt.Sprintf("NoEra=%t", fault.NoEra), func(t *testing.T) {
			f := newLeavingFleetOf(t, 181+i, 5)
			f.store.SetFault(fault)
			f.startServer()
			f.startAll()
			sequence := f.putInService(0)
			times := make([]time.Duration, 0, starts)
			for range starts {
				f.kill(0)
				time.Sleep(500 * time.Millisecond)
				began := time.Now()
				f.launch(0)
				for time.Since(began) < waitTimeout {
					sequence++
					f.announce("ready", sequence)
					if f.write() == http.StatusOK {
						break
					}
					time.Sleep(2 * time.Millisecond)
				}
				times = append(times, time.Since(began))
			}
			slices.Sort(times)
			t.Logf("p50 %s, p90 %s, most %s", times[starts/2], times[starts*9/10], times[starts-1])
		})
	}
}
