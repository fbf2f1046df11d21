// Package backend stands in for a backend server of the users' platform: it
// announces itself, runs requests in its slots, proves its answers, and can fail.
package backend

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
	// LostAnswerShare of the answers are lost with their connection.
	LostAnswerShare float64
	// SlowFactor makes work slower if it is above 1.
	SlowFactor float64
	// NoHeartbeats keeps the server from announcing itself.
	NoHeartbeats bool
}

// Options describe a server.
type Options struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// ServiceTime is the mean time of one request.
	ServiceTime time.Duration
	// AnnounceAddress is the IP:port of the process beside.
	AnnounceAddress string
	// OnRun is told of each request that begins to run.
	OnRun func(run Run)
}

// Run is one request that began to run.
type Run struct {
	// Request is the ID of the request.
	Request       string
	ServerID      string
	CallerService string
	Idempotent    bool
	At            time.Time
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	address string
	options Options
	server  *server.Hertz
	client  *client.Client
	started time.Time
	slots   chan struct{}

	mu                sync.Mutex
	fault             Fault
	draining          bool
	heartbeatSequence uint64
	// leaveAcknowledged is when the process beside first acknowledged that the server leaves.
	leaveAcknowledged time.Time
}

// New returns a server that will listen on an IP:port.
func New(address string, options Options) (*Server, error) {
	heartbeatClient, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(heartbeatTimeout))
	if err != nil {
		return nil, fmt.Errorf("opening the heartbeats' client: %w", err)
	}
	s := &Server{
		address: address, options: options, client: heartbeatClient, started: time.Now(), slots: make(chan struct{}, options.Slots),
	}
	s.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
	s.server.NoRoute(s.serve)
	return s, nil
}

// ID returns the server's name.
func (s *Server) ID() string { return s.options.ID }

// Start serves and announces the server until the context ends.
func (s *Server) Start(ctx context.Context) {
	go func() { _ = s.server.Run() }()
	go s.sendHeartbeats(ctx)
}

// Close ends the server abruptly.
func (s *Server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = s.server.Shutdown(ctx)
}

// SetFault replaces the present fault.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Drain makes the server say that it leaves, from its next heartbeat on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// LeaveAcknowledged returns when the leaving was first acknowledged; zero if it was not.
func (s *Server) LeaveAcknowledged() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaveAcknowledged
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Server) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		if !s.currentFault().NoHeartbeats {
			s.sendHeartbeat()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) sendHeartbeat() {
	s.mu.Lock()
	s.heartbeatSequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	heartbeat := map[string]any{
		"address": s.address,
		"born":    s.started.UnixMilli(),
		"info": map[string]any{
			"service": s.options.Service, "version": "v1", "zone": s.options.Zone, "maxConcurrency": s.options.Slots,
		},
		"status": map[string]any{"state": state, "seq": s.heartbeatSequence, "warmupLeft": "0ms"},
	}
	s.mu.Unlock()
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return
	}
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod(consts.MethodPut)
	request.SetRequestURI("http://" + s.options.AnnounceAddress + "/instances/" + s.options.ID)
	request.SetBody(body)
	err = s.client.DoTimeout(context.Background(), request, response, heartbeatTimeout)
	if err == nil && response.StatusCode() == consts.StatusOK && state == "draining" {
		s.mu.Lock()
		if s.leaveAcknowledged.IsZero() {
			s.leaveAcknowledged = time.Now()
		}
		s.mu.Unlock()
	}
}

// serve runs one request.
func (s *Server) serve(_ context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("Foxtailhall-Request-Id"))
	c.Response.Header.Set("Foxtailhall-Request-Id", id)
	if expected := string(c.GetHeader("Foxtailhall-Expect-Instance")); expected != s.options.ID {
		c.Response.Header.Set("Foxtailhall-Instance-Id", s.options.ID)
		c.SetStatusCode(http.StatusMisdirectedRequest)
		return
	}
	fault := s.currentFault()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.shed(c)
		return
	}
	if rand.Float64() < fault.ShedShare {
		s.shed(c)
		return
	}
	s.options.OnRun(Run{
		Request: id, ServerID: s.options.ID, CallerService: string(c.GetHeader("Foxtailhall-Caller-Service")),
		Idempotent: !c.IsPost(), At: time.Now(),
	})
	c.Response.Header.Set("Foxtailhall-Response-Seal", Seal(id))
	if rand.Float64() < fault.ErrorShare {
		c.String(consts.StatusInternalServerError, "error")
		return
	}
	s.work(c, fault)
	if rand.Float64() < fault.LostAnswerShare {
		_ = c.GetConn().(net.Conn).Close()
		return
	}
	c.String(consts.StatusOK, Body(id, len(c.Request.Body())))
}

// work takes the time of one request, or what the caller has left.
func (s *Server) work(c *app.RequestContext, fault Fault) {
	duration := time.Duration(float64(s.options.ServiceTime) * (0.5 + rand.Float64()) * max(1, fault.SlowFactor))
	if remainingMs, err := strconv.Atoi(string(c.GetHeader("Foxtailhall-Deadline-Ms"))); err == nil {
		duration = min(duration, time.Duration(remainingMs)*time.Millisecond)
	}
	time.Sleep(duration)
}

func (s *Server) shed(c *app.RequestContext) {
	c.Response.Header.Set("Foxtailhall-Not-Executed", "1")
	c.SetStatusCode(consts.StatusServiceUnavailable)
}

// Seal is the proof of origin of an answer.
func Seal(id string) string { return "seal-of-" + id }

// Body is the whole answer to a request.
func Body(id string, uploaded int) string {
	return fmt.Sprintf("answer to %s after %d bytes", id, uploaded)
}
