package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/relayer"
	"github.com/foxtailhall/foxtailhall/standins/storer"
	"github.com/foxtailhall/foxtailhall/standins/tenant"
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
	// zones is how many availability zones the VMs stand in.
	zones = 3
	// restartPause is how long an ended process stays down.
	restartPause = 200 * time.Millisecond
	// stopLimit is the time after SIGTERM at which a process is killed.
	stopLimit = 6 * time.Second
	slots     = 4
	work      = 60 * time.Millisecond
)

// vm is one VM: a process, a backend server and the relay before the process.
type vm struct {
	index int
	ip    string
	zone  string
	relay *relayer.Relayer

	mu      sync.Mutex
	process *os.Process
	// killed holds the times at which the process was killed or found dead.
	killed []time.Time
	tenant *tenant.Tenant
	runs   int
}

// fleet is all VMs and the store.
type fleet struct {
	options Options
	store   *storer.Storer
	vms     []*vm
	ledger  *ledger
	version int
	// retired holds the servers that have left, with the time of the acknowledgement.
	mu           sync.Mutex
	retired      []*tenant.Tenant
	publications []publication
	disturbances []disturbance
	ended        sync.WaitGroup
}

func newFleet(options Options, book *ledger) *fleet {
	f := &fleet{options: options, ledger: book}
	f.store = storer.New(fmt.Sprintf("%s:%d", f.ip(255), storePort))
	for i := range options.VMs {
		ip := f.ip(i + 1)
		f.vms = append(f.vms, &vm{
			index: i, ip: ip, zone: fmt.Sprintf("zone-%d", i%zones),
			relay: relayer.New(fmt.Sprintf("%s:%d", ip, relayPort), fmt.Sprintf("%s:%d", ip, peerPort)),
		})
	}
	return f
}

// ip returns a loopback address. Runs on one machine use networks of their own.
func (f *fleet) ip(host int) string {
	return fmt.Sprintf("127.77.%d.%d", f.options.Network, host)
}

// service shares the VMs out among two services.
func (v *vm) service() string {
	if v.index%2 == 0 {
		return "reading"
	}
	return "writing"
}

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
		if err := f.startTenant(ctx, v); err != nil {
			return err
		}
		f.ended.Add(1)
		go func() {
			defer f.ended.Done()
			f.keepRunning(ctx, v)
		}()
	}
	return nil
}

func (f *fleet) writeSettings(v *vm) error {
	text := fmt.Sprintf("CallerAddress: %[1]s:%[2]d\nPeerAddress: %[1]s:%[3]d\nPeerListen: %[1]s:%[4]d\nAdminAddress: %[1]s:%[5]d\n"+
		"Zone: %[6]s\nStoreAddress: %[7]s:%[8]d\nAnnounceAddress: %[1]s:%[9]d\nReadyAddress: %[1]s:%[10]d\n"+
		"ServerAddress: %[1]s:%[11]d\nService: %[12]s\nRetryShare: 0.2\nRetrySlack: 60\nStopLimit: %[13]s\n",
		v.ip, callerPort, relayPort, peerPort, adminPort, v.zone, f.ip(255), storePort, announcePort, readyPort,
		serverPort, v.service(), stopLimit)
	if err := os.WriteFile(f.settings(v), []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing settings: %w", err)
	}
	return nil
}

func (f *fleet) settings(v *vm) string {
	return filepath.Join(f.options.Folder, fmt.Sprintf("vm%d.yaml", v.index))
}

// keepRunning starts the process again whenever it ends, until the context ends.
func (f *fleet) keepRunning(ctx context.Context, v *vm) {
	log, err := os.Create(filepath.Join(f.options.Folder, fmt.Sprintf("vm%d.log", v.index)))
	if err != nil {
		f.ledger.fail("Start", err.Error())
		return
	}
	defer func() { _ = log.Close() }()
	for ctx.Err() == nil {
		command := exec.Command(f.options.Program, "run", "--settings", f.settings(v))
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			f.ledger.fail("Start", err.Error())
			return
		}
		v.mu.Lock()
		v.process = command.Process
		v.mu.Unlock()
		err := command.Wait()
		if err != nil {
			v.noteKill()
		}
		if err != nil && !f.options.expected(err) && ctx.Err() == nil {
			f.ledger.fail("ProcessEnded", fmt.Sprintf("vm%d: %v", v.index, err))
		}
		time.Sleep(restartPause)
	}
}

func (v *vm) noteKill() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.killed = append(v.killed, time.Now())
}

func (v *vm) signal(signal syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil {
		_ = v.process.Signal(signal)
	}
}

// killedWithin tells whether the process was killed in a span of time.
func (v *vm) killedWithin(from, to time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.killed {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

func (f *fleet) startTenant(ctx context.Context, v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.runs++
	next, err := tenant.New(fmt.Sprintf("%s:%d", v.ip, serverPort), tenant.Options{
		ID: fmt.Sprintf("i-%d-%d", v.index, v.runs), Service: v.service(), Zone: v.zone, Slots: slots, Work: work,
		Announce: fmt.Sprintf("%s:%d", v.ip, announcePort), Ran: f.ledger.ran,
	})
	if err != nil {
		return fmt.Errorf("starting a server: %w", err)
	}
	v.tenant = next
	next.Start(ctx)
	return nil
}

// replaceTenant drains a server and starts another at its address.
func (f *fleet) replaceTenant(ctx context.Context, v *vm) {
	v.mu.Lock()
	old := v.tenant
	v.mu.Unlock()
	old.Drain()
	time.Sleep(drainTime)
	f.mu.Lock()
	f.retired = append(f.retired, old)
	f.mu.Unlock()
	old.Close()
	if err := f.startTenant(ctx, v); err != nil {
		f.ledger.fail("Server", err.Error())
	}
}

// drainTime is how long a server goes on after it said that it leaves.
const drainTime = 2500 * time.Millisecond

type routeSpec struct {
	Host          string `json:"host"`
	PathPrefix    string `json:"pathPrefix"`
	Type          string `json:"type"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"targetLatency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"maxAttempts"`
}

// publish writes the next version, which has one route more than the last.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
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
	read, write := route, route
	read.PathPrefix, read.Type, read.Service = "/read/", "idempotent", "reading"
	write.PathPrefix, write.Type, write.Service = "/write/", "non_idempotent", "writing"
	add("routes", "read", read)
	add("routes", "write", write)
	for i := 1; i <= f.version; i++ {
		extra := read
		extra.PathPrefix = fmt.Sprintf("%s%d/", versionPath, i)
		add("routes", fmt.Sprintf("version%d", i), extra)
	}
	text, err := json.Marshal(map[string]any{"version": fmt.Sprintf("%08x", f.version), "resources": resources})
	if err != nil {
		return fmt.Errorf("encoding a version: %w", err)
	}
	f.store.Publish(text)
	f.publications = append(f.publications, publication{version: f.version, at: time.Now()})
	return nil
}

// stop ends all processes that the run has started.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
	}
	f.ended.Wait()
	for _, v := range f.vms {
		v.tenant.Close()
	}
	f.store.Close()
}
