package proofs

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/caller"
	"github.com/foxtailhall/foxtailhall/standins/recorder"
	"github.com/foxtailhall/foxtailhall/standins/worker"
)

var mixedLoad = []string{"--bill", "0.2", "--own-key", "0.1", "--bound-key", "0.1", "--upload", "0.01", "--download", "0.01"}

// skipUnlessLong skips a test that only make prove runs.
func skipUnlessLong(t *testing.T) {
	t.Helper()
	if os.Getenv("PROVE") != "long" {
		t.Skip("run by make prove")
	}
}

func TestGrayServerIsSetAside(t *testing.T) {
	f := startFleet(t, 4, 8, false)
	wait := f.startLoad(6, []int{0, 1, 2, 3}, mixedLoad...)
	f.serverFault(1, worker.Fault{Mode: worker.ModeErrors, Share: 0.5})
	f.waitFor("the ejection", func() bool { return strings.Contains(f.logs("process1"), "Event=Ejected") })
	requireGuarantees(t, wait())
	for _, i := range []int{0, 2, 3} {
		require.NotContains(t, f.logs(f.processName(i)), "Event=Ejected", "a healthy server was ejected")
	}
	f.requireNoInvariantViolation()
}

func TestWrongAnswersNeverReachCallers(t *testing.T) {
	f := startFleet(t, 4, 16, false)
	wait := f.startLoad(4, []int{0, 1, 2, 3}, mixedLoad...)
	f.serverFault(1, worker.Fault{Mode: worker.ModeWrong, Share: 0.5})
	f.serverFault(2, worker.Fault{Mode: worker.ModeCutOff, Share: 0.5})
	report := wait()
	requireGuarantees(t, report)
	require.Positive(t, report.LastResults[caller.ResultWhole])
}

func TestKilledVMsBreakNoPromise(t *testing.T) {
	f := startFleet(t, 4, 4, false)
	wait := f.startLoad(8, []int{0, 1}, mixedLoad...)
	for _, i := range []int{2, 3} {
		time.Sleep(time.Second)
		f.killVM(i)
	}
	time.Sleep(time.Second)
	f.startVM(2)
	report := wait()
	requireGuarantees(t, report)
	f.requireNoInvariantViolation()
	f.waitFor("the new VM serving", func() bool {
		status, ok := f.status(0)
		return ok && status.Services[0].HealthySlots == 12
	})
}

func TestFrozenGuardsBreakNoPromise(t *testing.T) {
	f := startFleet(t, 4, 4, false)
	wait := f.startLoad(8, []int{0, 1}, mixedLoad...)
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		f.signal(f.processName(3), syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		f.signal(f.processName(3), syscall.SIGCONT)
	}
	requireGuarantees(t, wait())
	f.requireNoInvariantViolation()
}

func TestLogOutageLeavesRoundsGoingOn(t *testing.T) {
	f := startFleet(t, 4, 8, false)
	f.logFault(recorder.Fault{Down: true})
	wait := f.startLoad(4, []int{0, 1, 2, 3}, "--bill", "0.2", "--own-key", "0.1", "--bound-key", "0.2")
	f.startVM(3 + 1)
	f.count++
	f.waitFor("the version at a process started in the outage", func() bool { return f.versionEverywhere(1) })
	report := wait()
	requireGuarantees(t, report)
	require.Positive(t, report.LastResults[caller.ResultWhole])
	f.logFault(recorder.Fault{})
	require.Zero(t, f.publish("objects.yaml"))
	f.waitFor("the next version after the outage", func() bool { return f.versionEverywhere(2) })
	f.requireNoInvariantViolation()
}

func TestRacingOperatorsAndLostReplies(t *testing.T) {
	f := startFleet(t, 3, 4, false)
	f.logFault(recorder.Fault{LostReplyShare: 0.5})
	const operators = 4
	for round := range 3 {
		base := fmt.Sprint(round + 1)
		codes := make([]int, operators)
		var group sync.WaitGroup
		for i := range operators {
			group.Add(1)
			go func() {
				defer group.Done()
				codes[i] = f.publish("--base", base, "objects.yaml")
			}()
		}
		group.Wait()
		won := 0
		for _, code := range codes {
			if code == 0 {
				won++
				continue
			}
			require.Equal(t, 3, code, "a publication that lost the race must be reported as void")
		}
		require.Equal(t, 1, won, "exactly one publication on a base must succeed")
		f.waitFor("the winner in force", func() bool { return f.versionEverywhere(uint64(round + 2)) })
	}
	f.requireNoInvariantViolation()
}

func TestPausedProcessNeverFallsBack(t *testing.T) {
	f := startFleet(t, 3, 4, false)
	f.signal(f.processName(2), syscall.SIGSTOP)
	require.Zero(t, f.publish("objects.yaml"))
	require.Zero(t, f.publish("objects.yaml"))
	f.waitFor("version 3 at the others", func() bool { return f.versionEverywhere(3, 2) })
	f.signal(f.processName(2), syscall.SIGCONT)
	f.waitFor("version 3 at the paused one", func() bool { return f.versionEverywhere(3) })
	f.requireNoInvariantViolation()
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	f := startFleet(t, 4, 4, false)
	wait := f.startLoad(6, []int{0, 1}, mixedLoad...)
	uploaded := make(chan error, 1)
	slow := &slowBody{chunksLeft: 40, pause: 50 * time.Millisecond}
	if os.Getenv("PROVE") == "long" {
		slow.chunksLeft = 400
	}
	go func() { uploaded <- f.upload(3, slow) }()
	time.Sleep(500 * time.Millisecond)
	f.signal(f.processName(3), syscall.SIGTERM)
	require.NoError(t, <-uploaded, "an upload in flight at the stop")
	_ = f.procs[f.processName(3)].Wait()
	require.Contains(t, f.logs("process3"), "Event=Stopped")
	report := wait()
	requireGuarantees(t, report)
	require.Zero(t, report.LastResults[caller.ResultLost], "requests cut off by a planned stop")
	require.Zero(t, report.LastResults[caller.ResultUnknown], "outcomes lost by a planned stop")
	f.requireNoInvariantViolation()
}

// slowBody is a request body that is sent in chunks, with a pause before each.
type slowBody struct {
	chunksLeft int
	pause      time.Duration
}

const slowChunkBytes = 4096

// Read returns one chunk after a pause.
func (b *slowBody) Read(buffer []byte) (int, error) {
	time.Sleep(b.pause)
	b.chunksLeft--
	return min(slowChunkBytes, len(buffer)), nil
}

// upload sends a slow request body to a process and returns an error unless the response has status 200.
func (f *fleet) upload(i int, body *slowBody) error {
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod("POST")
	request.SetRequestURI("http://" + f.address(i, 8000) + "/billing/upload")
	request.Header.Set("Foxtailhall-Deadline-Ms", "40000")
	request.SetBodyStream(body, body.chunksLeft*slowChunkBytes)
	request.SetOptions(config.WithRequestTimeout(45 * time.Second))
	if err := f.client.Do(f.t.Context(), request, response); err != nil {
		return err
	}
	if response.StatusCode() != 200 {
		return fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

func TestOneWayCutsBreakNoPromise(t *testing.T) {
	f := startFleet(t, 4, 8, true)
	wait := f.startLoad(8, []int{0, 3}, mixedLoad...)
	time.Sleep(time.Second)
	f.commandRelay(2, "cut "+f.ip(0)+" "+f.ip(2))
	f.commandRelay(3, "cut "+f.ip(3)+" "+f.ip(1))
	time.Sleep(3 * time.Second)
	f.commandRelay(2, "heal "+f.ip(0)+" "+f.ip(2))
	f.commandRelay(3, "heal "+f.ip(3)+" "+f.ip(1))
	requireGuarantees(t, wait())
	for i := range 4 {
		require.NotContains(t, f.logs(f.processName(i)), "Event=Ejected", "a network fault must not eject a server")
	}
	f.requireNoInvariantViolation()
}

func TestLeavingServerGetsNoNewWorkBehindCuts(t *testing.T) {
	skipUnlessLong(t)
	f := startFleet(t, 4, 4, true)
	wait := f.startLoad(10, []int{0, 1}, mixedLoad...)
	time.Sleep(time.Second)
	for _, i := range []int{0, 1, 2} {
		f.commandRelay(i, "cut "+f.ip(3)+" "+f.ip(i))
	}
	f.commandRelay(3, "cut "+f.ip(3)+" "+f.ip(0))
	const allowed = 3 * time.Second
	limit := time.Now().Add(allowed).UnixMilli()
	f.signal(f.processName(3), syscall.SIGTERM)
	requireGuarantees(t, wait())
	journal, err := os.ReadFile(f.path("journal3.txt"))
	require.NoError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(string(journal)), "\n") {
		var key, name string
		var at int64
		_, err := fmt.Sscan(line, &key, &name, &at)
		require.NoError(t, err)
		require.LessOrEqual(t, at, limit, "a request started more than 3 s after the stop")
	}
	f.requireNoInvariantViolation()
}

func TestEverythingFailsTogetherAndTwice(t *testing.T) {
	skipUnlessLong(t)
	f := startFleet(t, 6, 12, true)
	wait := f.startLoad(45, []int{0, 1, 2}, mixedLoad...)
	for round := range 2 {
		time.Sleep(2 * time.Second)
		f.serverFault(1, worker.Fault{Mode: worker.ModeSlow, Factor: 10})
		f.commandRelay(4, "cut "+f.ip(0)+" "+f.ip(4))
		f.logFault(recorder.Fault{LostReplyShare: 0.5, SlowMs: 50})
		time.Sleep(2 * time.Second)
		f.signal(f.processName(3), syscall.SIGSTOP)
		f.killVM(5)
		time.Sleep(2 * time.Second)
		f.logFault(recorder.Fault{Down: true})
		f.signal(f.processName(3), syscall.SIGCONT)
		time.Sleep(3 * time.Second)
		f.logFault(recorder.Fault{})
		f.commandRelay(4, "heal "+f.ip(0)+" "+f.ip(4))
		f.serverFault(1, worker.Fault{Mode: worker.ModeHealthy})
		require.Zero(t, f.publish("objects.yaml"))
		f.waitFor("the version in force", func() bool { return f.versionEverywhere(uint64(round+2), 5) })
		f.startVM(5)
	}
	requireGuarantees(t, wait())
	f.waitFor("the version everywhere", func() bool { return f.versionEverywhere(3) })
	f.requireNoInvariantViolation()
}
