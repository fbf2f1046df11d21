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

var mixed = []string{"--bill", "0.2", "--own-key", "0.1", "--bound-key", "0.1", "--upload", "0.01", "--download", "0.01"}

// long skips a proof that is left to make prove.
func long(t *testing.T) {
	t.Helper()
	if os.Getenv("PROVE") != "long" {
		t.Skip("run by make prove")
	}
}

func TestGrayServerIsSetAside(t *testing.T) {
	f := start(t, 4, 8, false)
	wait := f.load(6, []int{0, 1, 2, 3}, mixed...)
	f.serverFault(1, worker.Fault{Mode: worker.ModeErrors, Share: 0.5})
	f.await("the ejection", func() bool { return strings.Contains(f.logs("process1"), "Event=Ejected") })
	requirePromises(t, wait())
	for _, i := range []int{0, 2, 3} {
		require.NotContains(t, f.logs(f.process(i)), "Event=Ejected", "a healthy server was set aside")
	}
	f.requireNoBrokenInvariant()
}

func TestWrongAnswersNeverReachCallers(t *testing.T) {
	f := start(t, 4, 16, false)
	wait := f.load(4, []int{0, 1, 2, 3}, mixed...)
	f.serverFault(1, worker.Fault{Mode: worker.ModeWrong, Share: 0.5})
	f.serverFault(2, worker.Fault{Mode: worker.ModeCutOff, Share: 0.5})
	report := wait()
	requirePromises(t, report)
	require.Positive(t, report.LastResults[caller.ResultWhole])
}

func TestKilledVMsBreakNoPromise(t *testing.T) {
	f := start(t, 4, 4, false)
	wait := f.load(8, []int{0, 1}, mixed...)
	for _, i := range []int{2, 3} {
		time.Sleep(time.Second)
		f.killVM(i)
	}
	time.Sleep(time.Second)
	f.startVM(2)
	report := wait()
	requirePromises(t, report)
	f.requireNoBrokenInvariant()
	f.await("the new VM serving", func() bool {
		status, ok := f.status(0)
		return ok && status.Services[0].HealthySlots == 12
	})
}

func TestFrozenGuardsBreakNoPromise(t *testing.T) {
	f := start(t, 4, 4, false)
	wait := f.load(8, []int{0, 1}, mixed...)
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		f.signal(f.process(3), syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		f.signal(f.process(3), syscall.SIGCONT)
	}
	requirePromises(t, wait())
	f.requireNoBrokenInvariant()
}

func TestLogOutageLeavesRoundsGoingOn(t *testing.T) {
	f := start(t, 4, 8, false)
	f.logFault(recorder.Fault{Down: true})
	wait := f.load(4, []int{0, 1, 2, 3}, "--bill", "0.2", "--own-key", "0.1", "--bound-key", "0.2")
	f.startVM(3 + 1)
	f.count++
	f.await("the version at a process started in the outage", func() bool { return f.versionEverywhere(1) })
	report := wait()
	requirePromises(t, report)
	require.Positive(t, report.LastResults[caller.ResultWhole])
	f.logFault(recorder.Fault{})
	require.Zero(t, f.publish("objects.yaml"))
	f.await("the next version after the outage", func() bool { return f.versionEverywhere(2) })
	f.requireNoBrokenInvariant()
}

func TestRacingOperatorsAndLostReplies(t *testing.T) {
	f := start(t, 3, 4, false)
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
			require.Equal(t, 3, code, "a loser is told that its publication is void")
		}
		require.Equal(t, 1, won, "exactly one operator wins a base")
		f.await("the winner in force", func() bool { return f.versionEverywhere(uint64(round + 2)) })
	}
	f.requireNoBrokenInvariant()
}

func TestPausedProcessNeverFallsBack(t *testing.T) {
	f := start(t, 3, 4, false)
	f.signal(f.process(2), syscall.SIGSTOP)
	require.Zero(t, f.publish("objects.yaml"))
	require.Zero(t, f.publish("objects.yaml"))
	f.await("version 3 at the others", func() bool { return f.versionEverywhere(3, 2) })
	f.signal(f.process(2), syscall.SIGCONT)
	f.await("version 3 at the paused one", func() bool { return f.versionEverywhere(3) })
	f.requireNoBrokenInvariant()
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	f := start(t, 4, 4, false)
	wait := f.load(6, []int{0, 1}, mixed...)
	uploaded := make(chan error, 1)
	slow := &slowBody{left: 40, pause: 50 * time.Millisecond}
	if os.Getenv("PROVE") == "long" {
		slow.left = 400
	}
	go func() { uploaded <- f.upload(3, slow) }()
	time.Sleep(500 * time.Millisecond)
	f.signal(f.process(3), syscall.SIGTERM)
	require.NoError(t, <-uploaded, "an upload in flight at the stop")
	_ = f.procs[f.process(3)].Wait()
	require.Contains(t, f.logs("process3"), "Event=Stopped")
	report := wait()
	requirePromises(t, report)
	require.Zero(t, report.LastResults[caller.ResultLost], "requests cut off by a planned stop")
	require.Zero(t, report.LastResults[caller.ResultUnknown], "outcomes lost by a planned stop")
	f.requireNoBrokenInvariant()
}

// slowBody is a request body that takes its time.
type slowBody struct {
	left  int
	pause time.Duration
}

const slowPiece = 4096

// Read gives one piece after each pause.
func (b *slowBody) Read(buffer []byte) (int, error) {
	time.Sleep(b.pause)
	b.left--
	return min(slowPiece, len(buffer)), nil
}

// upload sends a body that takes its time, and wants a whole answer.
func (f *fleet) upload(i int, body *slowBody) error {
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod("POST")
	request.SetRequestURI("http://" + f.address(i, 8000) + "/billing/upload")
	request.Header.Set("Foxtailhall-Deadline-Ms", "40000")
	request.SetBodyStream(body, body.left*slowPiece)
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
	f := start(t, 4, 8, true)
	wait := f.load(8, []int{0, 3}, mixed...)
	time.Sleep(time.Second)
	f.relay(2, "cut "+f.ip(0)+" "+f.ip(2))
	f.relay(3, "cut "+f.ip(3)+" "+f.ip(1))
	time.Sleep(3 * time.Second)
	f.relay(2, "heal "+f.ip(0)+" "+f.ip(2))
	f.relay(3, "heal "+f.ip(3)+" "+f.ip(1))
	requirePromises(t, wait())
	for i := range 4 {
		require.NotContains(t, f.logs(f.process(i)), "Event=Ejected", "a fault of a path is no fault of a server")
	}
	f.requireNoBrokenInvariant()
}

func TestLeavingServerGetsNoNewWorkBehindCuts(t *testing.T) {
	long(t)
	f := start(t, 4, 4, true)
	wait := f.load(10, []int{0, 1}, mixed...)
	time.Sleep(time.Second)
	for _, i := range []int{0, 1, 2} {
		f.relay(i, "cut "+f.ip(3)+" "+f.ip(i))
	}
	f.relay(3, "cut "+f.ip(3)+" "+f.ip(0))
	const allowed = 3 * time.Second
	limit := time.Now().Add(allowed).UnixMilli()
	f.signal(f.process(3), syscall.SIGTERM)
	requirePromises(t, wait())
	journal, err := os.ReadFile(f.path("journal3.txt"))
	require.NoError(t, err)
	for _, line := range strings.Split(strings.TrimSpace(string(journal)), "\n") {
		var key, name string
		var at int64
		_, err := fmt.Sscan(line, &key, &name, &at)
		require.NoError(t, err)
		require.LessOrEqual(t, at, limit, "work begun more than 3 s after the stop")
	}
	f.requireNoBrokenInvariant()
}

func TestEverythingFailsTogetherAndTwice(t *testing.T) {
	long(t)
	f := start(t, 6, 12, true)
	wait := f.load(45, []int{0, 1, 2}, mixed...)
	for round := range 2 {
		time.Sleep(2 * time.Second)
		f.serverFault(1, worker.Fault{Mode: worker.ModeSlow, Factor: 10})
		f.relay(4, "cut "+f.ip(0)+" "+f.ip(4))
		f.logFault(recorder.Fault{LostReplyShare: 0.5, SlowMs: 50})
		time.Sleep(2 * time.Second)
		f.signal(f.process(3), syscall.SIGSTOP)
		f.killVM(5)
		time.Sleep(2 * time.Second)
		f.logFault(recorder.Fault{Down: true})
		f.signal(f.process(3), syscall.SIGCONT)
		time.Sleep(3 * time.Second)
		f.logFault(recorder.Fault{})
		f.relay(4, "heal "+f.ip(0)+" "+f.ip(4))
		f.serverFault(1, worker.Fault{Mode: worker.ModeHealthy})
		require.Zero(t, f.publish("objects.yaml"))
		f.await("the version in force", func() bool { return f.versionEverywhere(uint64(round+2), 5) })
		f.startVM(5)
	}
	requirePromises(t, wait())
	f.await("the version everywhere", func() bool { return f.versionEverywhere(3) })
	f.requireNoBrokenInvariant()
}
