package proofs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/responder"
	"github.com/foxtailhall/foxtailhall/standins/storer"
)

const (
	leavingServer = "i-leaving"
	// lateDelay is how long after the restart of its process a late announcement arrives.
	lateDelay = 600 * time.Millisecond
)

// leavingFleet is a store and processes, two if nothing else is said, on the platform's stand-ins. Process 0 has a
// backend server that announces itself only as the test says, the others have none and
// take the callers' requests.
type leavingFleet struct {
	t       *testing.T
	dir     string
	network int
	store   *storer.Storer
	server  *responder.Responder
	procs   []*exec.Cmd
	// runs counts the requests that the server has started.
	runs atomic.Int64
	// slots is what the server announces.
	slots int
	// settings are added to those of each process.
	settings string
	// bornMs is the Unix time of the server's start in milliseconds.
	bornMs int64
}

const leavingConfiguration = `{"version":"00000001","resources":[
{"entryType":"services","metadata":{"name":"writing"},"spec":{"healthPath":"/healthz"}},
{"entryType":"routes","metadata":{"name":"write"},"spec":{"host":"soak","pathPrefix":"/write/","type":"non_idempotent",
 "timeout":"2000ms","targetLatency":"500ms","priority":1,"service":"writing","maxAttempts":2}}]}`

func startLeavingFleet(t *testing.T, network int) *leavingFleet {
	t.Helper()
	f := newLeavingFleet(t, network)
	f.startServer()
	f.startAll()
	return f
}

// startServer starts the backend server beside process 0.
func (f *leavingFleet) startServer() {
	f.t.Helper()
	f.server = responder.New(f.address(1, 9000), responder.Options{
		ID: leavingServer, Service: "writing", Slots: 4, ServiceTime: time.Millisecond, AnnounceAddress: f.address(1, 8004),
		OnRun: func(responder.Run) { f.runs.Add(1) },
	})
	f.server.SetFault(responder.Fault{NoHeartbeats: true})
	ctx, cancel := context.WithCancel(context.Background())
	f.server.Start(ctx)
	f.t.Cleanup(func() {
		cancel()
		f.server.Close()
	})
}

// newLeavingFleet returns a fleet whose store runs, without a server and processes.
func newLeavingFleet(t *testing.T, network int) *leavingFleet {
	t.Helper()
	return newLeavingFleetOf(t, network, 2)
}

// newLeavingFleetOf returns such a fleet of a number of processes.
func newLeavingFleetOf(t *testing.T, network, processes int) *leavingFleet {
	t.Helper()
	f := &leavingFleet{
		t: t, dir: t.TempDir(), network: network, slots: 4, bornMs: time.Now().UnixMilli(),
		procs: make([]*exec.Cmd, processes),
	}
	f.store = storer.New(f.address(255, 7000))
	go func() { _ = f.store.Run() }()
	t.Cleanup(func() {
		for i := range f.procs {
			f.kill(i)
		}
		f.store.Close()
		f.requireNoRace()
		f.logFailure()
	})
	return f
}

// startAll publishes the configuration and starts all processes.
func (f *leavingFleet) startAll() {
	f.t.Helper()
	time.Sleep(100 * time.Millisecond)
	f.store.Publish([]byte(leavingConfiguration))
	for i := range f.procs {
		f.start(i)
	}
}

func (f *leavingFleet) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 77+f.network/256, f.network%256, host, port)
}

// start starts process i and waits until it is ready.
func (f *leavingFleet) start(i int) {
	f.t.Helper()
	f.launch(i)
	require.Eventually(f.t, func() bool {
		return f.call(http.MethodGet, "http://"+f.address(i+1, 8005)+"/readyz", "") == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond, "process %d is not ready", i)
}

// launch starts process i.
func (f *leavingFleet) launch(i int) {
	f.t.Helper()
	settings := filepath.Join(f.dir, fmt.Sprintf("%d.yaml", i))
	text := fmt.Sprintf("CallerAddress: %s\nPeerAddress: %s\nAdminAddress: %s\nZone: z\nStoreAddress: %s\n"+
		"AnnounceAddress: %s\nReadyAddress: %s\nServerAddress: %s\nService: writing\nStopLimit: 6s\n%s",
		f.address(i+1, 8000), f.address(i+1, 8001), f.address(i+1, 8003), f.address(255, 7000),
		f.address(i+1, 8004), f.address(i+1, 8005), f.address(i+1, 9000), f.settings)
	require.NoError(f.t, os.WriteFile(settings, []byte(text), 0o600))
	log, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer func() { _ = log.Close() }()
	f.procs[i] = exec.Command(program, "run", "--settings", settings)
	f.procs[i].Stdout, f.procs[i].Stderr = log, log
	require.NoError(f.t, f.procs[i].Start())
}

// requireNoRace fails the test if a program with the race detector has reported a race.
func (f *leavingFleet) requireNoRace() {
	for i := range f.procs {
		text, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)))
		if err == nil && bytes.Contains(text, []byte("DATA RACE")) {
			f.t.Errorf("process %d reports a data race", i)
		}
	}
}

// logFailure shows the logs of the processes if the test has failed.
func (f *leavingFleet) logFailure() {
	if !f.t.Failed() {
		return
	}
	for i := range f.procs {
		text, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("%d.log", i)))
		f.t.Logf("process %d: %v\n%s", i, err, text)
	}
}

// kill ends process i by SIGKILL.
func (f *leavingFleet) kill(i int) { f.end(i, syscall.SIGKILL) }

// pause stops process i for a while.
func (f *leavingFleet) pause(i int, d time.Duration) {
	f.t.Helper()
	require.NoError(f.t, f.procs[i].Process.Signal(syscall.SIGSTOP))
	time.Sleep(d)
	require.NoError(f.t, f.procs[i].Process.Signal(syscall.SIGCONT))
}

func (f *leavingFleet) end(i int, signal syscall.Signal) {
	if f.procs[i] == nil {
		return
	}
	_ = f.procs[i].Process.Signal(signal)
	_ = f.procs[i].Wait()
	f.procs[i] = nil
}

// call sends a request and returns its status, 0 if there is none.
func (f *leavingFleet) call(method, url, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	require.NoError(f.t, err)
	request.Host = "soak"
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// announce sends an announcement of the server and returns the status.
func (f *leavingFleet) announce(state string, sequence int) int {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":"writing","maxConcurrency":%d},`+
		`"status":{"state":%q,"seq":%d,"warmupLeft":"0ms"}}`, f.address(1, 9000), f.bornMs, f.slots, state, sequence)
	return f.call(http.MethodPut, "http://"+f.address(1, 8004)+"/instances/"+leavingServer, body)
}

// deregister sends a leave notice of the server and returns the status.
func (f *leavingFleet) deregister(body string) int {
	return f.call(http.MethodDelete, "http://"+f.address(1, 8004)+"/instances/"+leavingServer, body)
}

// write sends one request of a caller to process 1 and returns its status.
func (f *leavingFleet) write() int { return f.writeThrough(1) }

// writeThrough sends one request of a caller to process i and returns its status.
func (f *leavingFleet) writeThrough(i int) int {
	return f.call(http.MethodPost, "http://"+f.address(i+1, 8000)+"/write/a", "x")
}

// putInService announces the server until a request is served, and returns the last sequence.
func (f *leavingFleet) putInService(sequence int) int {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		sequence++
		return f.announce("ready", sequence) == http.StatusOK && f.write() == http.StatusOK
	}, 5*time.Second, 100*time.Millisecond, "the server gets no request")
	return sequence
}

// requireNoWork sends requests for a while and requires that the server starts none.
func (f *leavingFleet) requireNoWork(what string) {
	f.t.Helper()
	before := f.runs.Load()
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		require.NotEqual(f.t, http.StatusOK, f.write(), what)
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(f.t, before, f.runs.Load(), what)
}

// TestRestartsForgetNoDeparture guards against new work for a server whose leave was
// acknowledged by a process that was killed before a late announcement arrived.
func TestRestartsForgetNoDeparture(t *testing.T) {
	ways := []struct {
		name  string
		leave func(f *leavingFleet, sequence int) int
	}{
		{"Draining", func(f *leavingFleet, sequence int) int { return f.announce("draining", sequence) }},
		{"LeaveNotice", func(f *leavingFleet, _ int) int { return f.deregister("") }},
		{"LeaveNoticeWithStart", func(f *leavingFleet, _ int) int { return f.deregister(fmt.Sprintf(`{"born":%d}`, f.bornMs)) }},
	}
	for i, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			f := startLeavingFleet(t, 120+i)
			last := f.putInService(0)
			require.Equal(t, http.StatusOK, way.leave(f, last+10))
			for kill := range 3 {
				f.kill(0)
				f.start(0)
				time.Sleep(lateDelay)
				f.announce("ready", last+1+kill)
				f.requireNoWork(fmt.Sprintf("after kill %d", kill+1))
			}
		})
	}
	t.Run("StoreAwayAtTheRestart", func(t *testing.T) {
		f := startLeavingFleet(t, 123)
		last := f.putInService(0)
		require.Equal(t, http.StatusOK, f.deregister(""))
		f.store.SetFault(storer.Fault{Down: true})
		for kill := range 2 {
			f.kill(0)
			f.start(0)
			f.announce("ready", last+1+2*kill)
			time.Sleep(lateDelay)
			f.announce("ready", last+2+2*kill)
			f.requireNoWork(fmt.Sprintf("after kill %d", kill+1))
		}
		f.store.SetFault(storer.Fault{})
		f.requireNoWork("after the store is back")
	})
	t.Run("PlannedStop", func(t *testing.T) {
		f := startLeavingFleet(t, 124)
		last := f.putInService(0)
		require.Equal(t, http.StatusOK, f.announce("draining", last+10))
		f.store.SetFault(storer.Fault{Down: true})
		f.end(0, syscall.SIGTERM)
		f.start(0)
		f.announce("ready", last+1)
		f.requireNoWork("after a planned stop with the store away")
	})
}

// TestDeparturesAreAcknowledgedOnceKept guards against an acknowledgement that a restart
// would forget.
func TestDeparturesAreAcknowledgedOnceKept(t *testing.T) {
	f := startLeavingFleet(t, 125)
	last := f.putInService(0)
	f.store.SetFault(storer.Fault{Down: true})
	require.NotEqual(t, http.StatusOK, f.announce("draining", last+1))
	f.requireNoWork("a server that leaves while the store is away")
	require.NotEqual(t, http.StatusOK, f.announce("draining", last+1), "the same announcement again")
	f.store.SetFault(storer.Fault{})
	require.Eventually(t, func() bool {
		last++
		return f.announce("draining", last+1) == http.StatusOK
	}, 5*time.Second, 300*time.Millisecond)
}

// TestServersAreBackAfterARestart guards against servers that are held back longer than
// their process takes to restart, whether or not the store can be read.
func TestServersAreBackAfterARestart(t *testing.T) {
	for i, fault := range []storer.Fault{{}, {Down: true}, {Delay: 300 * time.Millisecond}} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			f := startLeavingFleet(t, 126+i)
			last := f.putInService(0)
			f.store.SetFault(fault)
			for range 2 {
				f.kill(0)
				f.start(0)
				last = f.putInService(last)
			}
		})
	}
}

// TestOlderStoresForgetNoDeparture guards against new work for a server whose leave was
// acknowledged, when the store comes back from a copy without it and the process is killed.
func TestOlderStoresForgetNoDeparture(t *testing.T) {
	const (
		away = 1200 * time.Millisecond
		age  = 5 * time.Second
	)
	restore := func(f *leavingFleet) {
		f.store.SetFault(storer.Fault{Down: true})
		f.store.Restore(age)
		time.Sleep(away)
		f.store.Publish([]byte(leavingConfiguration))
		f.store.SetFault(storer.Fault{})
	}
	restart := func(f *leavingFleet, sequence int) {
		f.kill(0)
		f.start(0)
		f.announce("ready", sequence)
		time.Sleep(lateDelay)
		f.announce("ready", sequence+1)
	}
	t.Run("KilledLater", func(t *testing.T) {
		f := startLeavingFleet(t, 140)
		last := f.putInService(0)
		require.Equal(t, http.StatusOK, f.deregister(""))
		restore(f)
		time.Sleep(4 * time.Second)
		require.NotEmpty(t, f.store.Keys("keyed.departures"), "the departure is not written again")
		restart(f, last+1)
		f.requireNoWork("after a kill later than the store's return")
	})
	t.Run("KilledAtOnce", func(t *testing.T) {
		f := startLeavingFleet(t, 141)
		last := f.putInService(0)
		require.Equal(t, http.StatusOK, f.deregister(""))
		f.kill(0)
		restore(f)
		restart(f, last+1)
		f.requireNoWork("after a kill before the store's return")
	})
	t.Run("InServiceAgain", func(t *testing.T) {
		f := startLeavingFleet(t, 142)
		last := f.putInService(0)
		restore(f)
		for range 2 {
			f.kill(0)
			f.start(0)
			last = f.putInService(last)
		}
	})
}

// TestProcessesAreFoundAfterAnOlderStore guards against processes that the list in the store
// lacks once it came back from a copy without them.
func TestProcessesAreFoundAfterAnOlderStore(t *testing.T) {
	f := startLeavingFleet(t, 143)
	registered := func() bool { return len(f.store.Keys("keyed.members")) == len(f.procs) }
	require.Eventually(t, registered, 5*time.Second, 50*time.Millisecond)
	f.store.Restore(time.Minute)
	f.store.Publish([]byte(leavingConfiguration))
	require.Eventually(t, registered, 8*time.Second, 50*time.Millisecond, "the processes are not registered again")
}
