// Package tenant stands in for a backend server of the users' platform: it
// announces itself, runs requests in its slots, proves its answers, and can fail.
package tenant

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

const (
	heartbeatPeriod  = 300 * time.Millisecond
	heartbeatTimeout = time.Second
	maxBodyBytes     = 64 << 20
)

// Fault is how a server fails. Its zero value is a sound server.
type Fault struct {
	// ErrorShare of the requests end at once with 500, ShedShare are refused unrun.
	ErrorShare, ShedShare float64
	// CutShare of the answers are lost with their connection.
	CutShare float64
	// Factor makes work slower if it is above 1.
	Factor float64
	// Mute keeps the server from announcing itself.
	Mute bool
}

// Options describe a server.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Work is the mean time of one request.
	Work time.Duration
	// Announce is the IP:port of the process beside.
	Announce string
	// Ran is told of each request that begins to run.
	Ran func(run Run)
}

// Run is one request that began to run.
type Run struct {
	Request string
	Server  string
	Origin  string
	Repeat  bool
	At      time.Time
}

// Tenant is one backend server. It is safe for concurrent use.
type Tenant struct {
	address string
	options Options
	server  *server.Hertz
	client  *client.Client
	started time.Time
	slots   chan struct{}

	mu       sync.Mutex
	fault    Fault
	draining bool
	sequence uint64
	// left is when the process beside first acknowledged that the server leaves.
	left time.Time
}

// New returns a server that will listen on an IP:port.
func New(address string, options Options) (*Tenant, error) {
	opened, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(heartbeatTimeout))
	if err != nil {
		return nil, fmt.Errorf("opening the heartbeats' client: %w", err)
	}
	t := &Tenant{
		address: address, options: options, client: opened, started: time.Now(), slots: make(chan struct{}, options.Slots),
	}
	t.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	t.server.NoRoute(t.serve)
	return t, nil
}

// ID returns the server's name.
func (t *Tenant) ID() string { return t.options.ID }

// Start serves and announces the server until the context ends.
func (t *Tenant) Start(ctx context.Context) {
	go func() { _ = t.server.Run() }()
	go t.announce(ctx)
}

// Close ends the server abruptly.
func (t *Tenant) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = t.server.Shutdown(ctx)
}

// SetFault replaces the present fault.
func (t *Tenant) SetFault(fault Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

// Drain makes the server say that it leaves, from its next heartbeat on.
func (t *Tenant) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Left returns when the leaving was first acknowledged; zero if it was not.
func (t *Tenant) Left() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left
}

func (t *Tenant) present() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault
}

func (t *Tenant) announce(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		if !t.present().Mute {
			t.beat()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Tenant) beat() {
	t.mu.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	said := map[string]any{
		"address": t.address,
		"born":    t.started.UnixMilli(),
		"info": map[string]any{
			"service": t.options.Service, "version": "v1", "zone": t.options.Zone, "maxConcurrency": t.options.Slots,
		},
		"status": map[string]any{"state": state, "seq": t.sequence, "warmupLeft": "0ms"},
	}
	t.mu.Unlock()
	body, err := json.Marshal(said)
	if err != nil {
		return
	}
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod(consts.MethodPut)
	request.SetRequestURI("http://" + t.options.Announce + "/instances/" + t.options.ID)
	request.SetBody(body)
	err = t.client.DoTimeout(context.Background(), request, response, heartbeatTimeout)
	if err == nil && response.StatusCode() == consts.StatusOK && state == "draining" {
		t.mu.Lock()
		if t.left.IsZero() {
			t.left = time.Now()
		}
		t.mu.Unlock()
	}
}

// serve runs one request.
func (t *Tenant) serve(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("Foxtailhall-Request-Id"))
	c.Response.Header.Set("Foxtailhall-Request-Id", id)
	if expected := string(c.GetHeader("Foxtailhall-Expect-Instance")); expected != t.options.ID {
		c.Response.Header.Set("Foxtailhall-Instance-Id", t.options.ID)
		c.SetStatusCode(http.StatusMisdirectedRequest)
		return
	}
	fault := t.present()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	default:
		t.shed(c)
		return
	}
	if rand.Float64() < fault.ShedShare {
		t.shed(c)
		return
	}
	t.options.Ran(Run{
		Request: id, Server: t.options.ID, Origin: string(c.GetHeader("Foxtailhall-Caller-Service")),
		Repeat: !c.IsPost(), At: time.Now(),
	})
	c.Response.Header.Set("Foxtailhall-Response-Seal", Seal(id))
	if rand.Float64() < fault.ErrorShare {
		c.String(consts.StatusInternalServerError, "error")
		return
	}
	t.work(c, fault)
	if rand.Float64() < fault.CutShare {
		_ = c.GetConn().(net.Conn).Close()
		return
	}
	c.String(consts.StatusOK, Body(id, len(c.Request.Body())))
}

// work takes the time of one request, or what the caller has left.
func (t *Tenant) work(c *app.RequestContext, fault Fault) {
	took := time.Duration(float64(t.options.Work) * (0.5 + rand.Float64()) * max(1, fault.Factor))
	if left, err := strconv.Atoi(string(c.GetHeader("Foxtailhall-Deadline-Ms"))); err == nil {
		took = min(took, time.Duration(left)*time.Millisecond)
	}
	time.Sleep(took)
}

func (t *Tenant) shed(c *app.RequestContext) {
	c.Response.Header.Set("Foxtailhall-Not-Executed", "1")
	c.SetStatusCode(consts.StatusServiceUnavailable)
}

// Seal is the proof of origin of an answer.
func Seal(id string) string { return "seal-of-" + id }

// Body is the whole answer to a request.
func Body(id string, uploaded int) string {
	return fmt.Sprintf("answer to %s after %d bytes", id, uploaded)
}
