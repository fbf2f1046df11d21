package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/standins/relayer"
	"github.com/foxtailhall/foxtailhall/standins/responder"
	"github.com/foxtailhall/foxtailhall/standins/storer"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

const (
	callerPort   = 8000
	peerPort     = 8001
	relayPort    = 8002
	adminPort    = 8003
	announcePort = 8004
	readyPort    = 8005
	serverPort   = 9000
	storePort    = 7000
	// zones is the number of availability zones that the VMs are spread over.
	zones = 3
	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 200 * time.Millisecond
	// stopLimit is the StopLimit setting of the processes: the longest time from
	// SIGTERM to the end of the process.
	stopLimit       = 6 * time.Second
	serverSlots     = 4
	meanServiceTime = 60 * time.Millisecond
	// lateShare is the share of late heartbeats.
	lateShare = 0.1
)

// vm simulates one VM: a proxy process, its backend server, and the relay
// through which peers reach the process.
type vm struct {
	index int
	ip    string
	zone  string
	relay *relayer.Relayer

	mu      sync.Mutex
	process *os.Process
	// crashes holds the times at which the process was killed or was found to have
	// ended with an error.
	crashes    []time.Time
	server     *responder.Responder
	serverRuns int
	// replacing is set while the server leaves and is replaced.
	replacing bool
}

// beginReplacement returns the server that is to be replaced, nil if it is already.
func (v *vm) beginReplacement() *responder.Responder {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.replacing {
		return nil
	}
	v.replacing = true
	return v.server
}

// fleet is the set of VMs and the metadata store that they share.
type fleet struct {
	options Options
	store   *storer.Storer
	vms     []*vm
	checker *checker
	// version is the number of the newest published version.
	version   int
	customers customers

	// mu guards version, customers and the slices below.
	mu sync.Mutex
	// drained holds the servers that announced their leave and were replaced.
	drained      []*responder.Responder
	publications []publication
	disturbances []disturbance
	faults       storeFaults

	// supervisors counts the running supervise calls.
	supervisors sync.WaitGroup
	// calls counts the calls of backend servers that have not ended, and callCount all.
	calls     sync.WaitGroup
	callCount atomic.Int64
}

func newFleet(options Options, c *checker) *fleet {
	requestRate := float64(options.VMs*callersPerVM) / (thinkTime + meanServiceTime).Seconds()
	f := &fleet{options: options, checker: c, customers: drawCustomers(options.Seed, requestRate)}
	f.faults.active = map[int]storer.Fault{}
	f.store = storer.New(storeAddress(options.Network))
	if options.Plan == nil && namesNoEra(options.Seed) {
		f.applyStoreFault(storer.Fault{NoEra: true})
	}
	for i := range options.VMs {
		ip := f.ip(i + 1)
		f.vms = append(f.vms, &vm{
			index: i, ip: ip, zone: fmt.Sprintf("zone-%d", i%zones),
			relay: relayer.New(fmt.Sprintf("%s:%d", ip, relayPort), fmt.Sprintf("%s:%d", ip, peerPort)),
		})
	}
	return f
}

// ip returns the loopback address of a host in the run's own network.
func (f *fleet) ip(host int) string {
	return fmt.Sprintf("127.77.%d.%d", f.options.Network, host)
}

// service returns the service of the VM's backend server: VMs with an even index
// run "reading", the others "writing".
func (v *vm) service() string {
	if v.index%2 == 0 {
		return "reading"
	}
	return "writing"
}

// claimNetwork moves the run to the next network if another run on this machine uses its own: two runs on one network
// would take the requests and versions of each other.
func (o Options) claimNetwork() (Options, error) {
	const networks = 254
	for range networks {
		listener, err := net.Listen("tcp", storeAddress(o.Network))
		if err == nil {
			return o, listener.Close()
		}
		o.Network = o.Network%networks + 1
	}
	return o, errNoNetwork
}

var errNoNetwork = eris.New("all loopback networks of the soak are in use")

// storeAddress returns the address of the store in a run's own network.
func storeAddress(network int) string {
	return fmt.Sprintf("127.77.%d.255:%d", network, storePort)
}

// start runs the store, publishes the first version and starts all VMs.
func (f *fleet) start(ctx context.Context) error {
	go func() { _ = f.store.Run() }()
	time.Sleep(100 * time.Millisecond)
	if err := f.publish(); err != nil {
		return err
	}
	for _, v := range f.vms {
		go func() { _ = v.relay.Run() }()
		if err := f.writeSettings(v); err != nil {
			return err
		}
		f.startServer(ctx, v)
		f.supervisors.Add(1)
		go func() {
			defer f.supervisors.Done()
			f.supervise(ctx, v)
		}()
	}
	return nil
}

// balance returns what the VM's router chooses servers by. A fleet has both at once, as
// while a setting is rolled out, so that some guards don't report work to routers that use it.
func (f *fleet) balance(v *vm) cataloger.Balance {
	if (f.options.Seed+uint64(v.index))%2 == 0 {
		return cataloger.BalanceRequests
	}
	return cataloger.BalanceWork
}

func (f *fleet) writeSettings(v *vm) error {
	text := fmt.Sprintf("CallerAddress: %[1]s:%[2]d\nPeerAddress: %[1]s:%[3]d\nPeerListen: %[1]s:%[4]d\nAdminAddress: %[1]s:%[5]d\n"+
		"Zone: %[6]s\nStoreAddress: %[7]s:%[8]d\nAnnounceAddress: %[1]s:%[9]d\nReadyAddress: %[1]s:%[10]d\n"+
		"ServerAddress: %[1]s:%[11]d\nService: %[12]s\nRetryShare: 0.2\nRetrySlack: 60\nStopLimit: %[13]s\nBalance: %[14]s\n",
		v.ip, callerPort, relayPort, peerPort, adminPort, v.zone, f.ip(255), storePort, announcePort, readyPort,
		serverPort, v.service(), stopLimit, f.balance(v))
	if err := os.WriteFile(f.settingsPath(v), []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	return nil
}

func (f *fleet) settingsPath(v *vm) string {
	return filepath.Join(f.options.Folder, fmt.Sprintf("vm%d.yaml", v.index))
}

// supervise starts the VM's process and restarts it whenever it ends, until the
// context is cancelled. An end by anything but SIGKILL is recorded as a violation.
func (f *fleet) supervise(ctx context.Context, v *vm) {
	log, err := os.Create(filepath.Join(f.options.Folder, fmt.Sprintf("vm%d.log", v.index)))
	if err != nil {
		f.checker.addViolation("Start", err.Error())
		return
	}
	defer func() { _ = log.Close() }()
	for ctx.Err() == nil {
		command := exec.Command(f.options.Program, "run", "--settings", f.settingsPath(v))
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			f.checker.addViolation("Start", err.Error())
			return
		}
		v.mu.Lock()
		v.process = command.Process
		v.mu.Unlock()
		err := command.Wait()
		if err != nil {
			v.recordCrash()
		}
		if err != nil && !f.options.endedBySIGKILL(err) && ctx.Err() == nil {
			f.checker.addViolation("ProcessEnded", fmt.Sprintf("vm%d: %v", v.index, err))
		}
		time.Sleep(restartDelay)
	}
}

// recordCrash records that the process was killed or ended with an error now.
func (v *vm) recordCrash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.crashes = append(v.crashes, time.Now())
}

// signal sends a signal to the process, if one was started.
func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Signal(signal)
	}
}

// kill ends the process by SIGKILL.
func (v *vm) kill() {
	v.recordCrash()
	v.signal(syscall.SIGKILL)
}

// crashedWithin reports whether the process was killed or ended with an error
// between two times.
func (v *vm) crashedWithin(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.crashes {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// startServer starts a backend server with a new instance ID on the VM.
func (f *fleet) startServer(ctx context.Context, v *vm) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.serverRuns++
	server := responder.New(fmt.Sprintf("%s:%d", v.ip, serverPort), responder.Options{
		ID: fmt.Sprintf("i-%d-%d", v.index, v.serverRuns), Service: v.service(), Zone: v.zone, Slots: serverSlots,
		ServiceTime: meanServiceTime, LateShare: lateShare,
		AnnounceAddress: fmt.Sprintf("%s:%d", v.ip, announcePort), OnRun: f.checker.recordRun,
		Call: func(request string) { f.call(v, request) },
	})
	v.server = server
	server.Start(ctx)
}

// replaceServer drains the VM's backend server, closes it, and starts another at
// the same address.
func (f *fleet) replaceServer(ctx context.Context, v *vm) {
	old := v.beginReplacement()
	if old == nil {
		return
	}
	old.Drain()
	time.Sleep(drainDuration)
	f.endServer(ctx, old, v)
}

// drainDuration is how long a server keeps running after it starts to drain.
const drainDuration = 2500 * time.Millisecond

// leaveAndKill makes the VM's backend server leave, by a deregistration if its run is an
// odd one, kills the process twice once that is acknowledged, the second time after a while,
// and replaces the server.
func (f *fleet) leaveAndKill(ctx context.Context, v *vm, between time.Duration) {
	old := v.beginReplacement()
	if old == nil {
		return
	}
	if v.serverRuns%2 == 1 {
		old.Deregister()
	} else {
		old.Drain()
	}
	end := time.Now().Add(leaveDuration)
	for old.LeaveAcknowledged().IsZero() && time.Now().Before(end) {
		time.Sleep(restartDelay / 10)
	}
	v.kill()
	time.Sleep(max(5*restartDelay, between))
	v.kill()
	time.Sleep(time.Until(end))
	f.endServer(ctx, old, v)
}

// sayLeavingAndKill makes the VM's backend server say in its answers that it leaves, while its
// announcements are late. The process is killed a while after a caller got such an answer, and
// twice again after a server that is taken for a new one would have got requests. The server is
// replaced after that.
func (f *fleet) sayLeavingAndKill(ctx context.Context, v *vm, killDelay time.Duration) {
	old := v.beginReplacement()
	if old == nil {
		return
	}
	end := time.Now().Add(leaveDuration)
	old.LeaveWithLateHeartbeats(lateHeartbeatTimes)
	for !f.checker.saidLeaving(old.ID()) && time.Now().Before(end) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(killDelay)
	v.kill()
	for _, after := range laterKills {
		time.Sleep(after)
		v.kill()
	}
	time.Sleep(time.Until(end))
	f.endServer(ctx, old, v)
}

var (
	// laterKills are the times from each kill to the next one in sayLeavingAndKill. The first is as
	// long as a server may still get requests after it said that it leaves.
	laterKills = []time.Duration{maxDrainDelay, time.Second}
	// lateHeartbeatTimes are how long the last heartbeats take to arrive that a server sent before
	// its answers said that it leaves: some arrive at each of the processes in turn.
	lateHeartbeatTimes = []time.Duration{
		500 * time.Millisecond, time.Second, 2400 * time.Millisecond, 2800 * time.Millisecond,
		3400 * time.Millisecond, 3800 * time.Millisecond,
	}
)

// leaveDuration is how long a server keeps running after it starts to leave in leaveAndKill.
const leaveDuration = 6 * time.Second

// endServer closes a server that has left and starts another at the same address.
func (f *fleet) endServer(ctx context.Context, old *responder.Responder, v *vm) {
	f.mu.Lock()
	f.drained = append(f.drained, old)
	f.mu.Unlock()
	old.Close()
	f.startServer(ctx, v)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replacing = false
}

// routeSpec is the specification of a route in the platform's configuration format.
type routeSpec struct {
	Host          string `json:"host"`
	PathPrefix    string `json:"pathPrefix"`
	Type          string `json:"type"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"targetLatency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"maxAttempts"`
	Public        bool   `json:"public"`
}

// publish writes the next configuration version. Each version adds a route of its
// own, so that a request to that route shows whether a VM has applied it.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	acknowledge := f.customers.replaceKey(f.version)
	resources := []map[string]any{}
	add := func(kind, name string, spec any) {
		resources = append(resources, map[string]any{"entryType": kind, "metadata": map[string]string{"name": name}, "spec": spec})
	}
	add("services", "reading", map[string]any{"healthPath": "/healthz"})
	add("services", "writing", map[string]any{"healthPath": "/healthz"})
	add("limits", "", map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 24, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	})
	route := routeSpec{Host: "soak", Timeout: "3000ms", TargetLatency: "500ms", Priority: 1, MaxAttempts: 2}
	read, write, public, call := route, route, route, route
	read.PathPrefix, read.Type, read.Service = "/read/", "idempotent", "reading"
	write.PathPrefix, write.Type, write.Service = "/write/", "non_idempotent", "writing"
	public.PathPrefix, public.Type, public.Service, public.Public = publicPath, "idempotent", "reading", true
	add("routes", "public", public)
	call.PathPrefix, call.Type, call.Service = callPath, "idempotent", "reading"
	add("routes", "call", call)
	add("routes", "read", read)
	add("routes", "write", write)
	for i := 1; i <= f.version; i++ {
		extra := read
		extra.PathPrefix = fmt.Sprintf("%s%d/", versionPath, i)
		add("routes", fmt.Sprintf("version%d", i), extra)
	}
	for _, one := range f.customers.all {
		spec := map[string]any{"apiKeys": []string{one.lasting.text, one.changing.text}, "priority": one.priority}
		if f.options.Quotas {
			spec["ratePerS"], spec["burst"] = one.rate, one.burst
		}
		add("tenants", one.name, spec)
	}
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", f.version), "resources": resources})
	if err != nil {
		return fmt.Errorf("encoding a configuration version: %w", err)
	}
	f.store.Publish(text)
	at := time.Now()
	acknowledge(at)
	f.publications = append(f.publications, publication{version: f.version, at: at})
	return nil
}

// stop kills all processes and closes the backend servers and the store. It sends
// SIGCONT first to resume paused processes.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
	}
	f.supervisors.Wait()
	f.calls.Wait()
	for _, v := range f.vms {
		v.server.Close()
	}
	f.store.Close()
}
