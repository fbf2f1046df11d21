// Package responder implements a stand-in backend server on the users' platform.
// It sends heartbeats, executes requests in a fixed number of slots, seals its answers,
// and can be made to fail.
package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/standins/garbler"
	"github.com/foxtailhall/foxtailhall/transport/requester"
)

const (
	heartbeatPeriod  = 300 * time.Millisecond
	heartbeatTimeout = time.Second
	// maxHeartbeatDelay bounds the delay of late heartbeats.
	maxHeartbeatDelay = 3 * time.Second
	// maxLeaveDelay is the delay of the heartbeats of a server that says only in its answers
	// that it leaves.
	maxLeaveDelay = 5 * time.Second
	maxBodyBytes  = 64 << 20
	// maxAcknowledgementBytes bounds the answer to a heartbeat.
	maxAcknowledgementBytes = 4 << 10
)

// Fault describes how a server fails. The zero value injects no fault.
type Fault struct {
	// ErrorShare is the share of requests that start and fail at once with 500.
	// ShedShare is the share of requests that are refused without being executed.
	ErrorShare, ShedShare float64
	// LostAnswerShare is the share of requests that are executed, but whose connection
	// is closed in place of an answer.
	LostAnswerShare float64
	// GarbledShare is the share of requests that are executed, but get a garbled answer or a part
	// of one before their connection is reset.
	GarbledShare float64
	// SlowFactor multiplies the service time if it is above 1.
	SlowFactor float64
	// NoHeartbeats stops the heartbeats.
	NoHeartbeats bool
	// Limit is how many requests a second the server says in all answers that it takes, if it
	// is not empty.
	Limit string
}

// Options configure a server.
type Options struct {
	// ID is the instance ID.
	ID      string
	Service string
	Zone    string
	// Slots is the number of requests that are executed concurrently. Requests beyond
	// it are refused.
	Slots int
	// ServiceTime is the mean time to execute one request.
	ServiceTime time.Duration
	// LateShare is the share of heartbeats that arrive late, by up to maxHeartbeatDelay,
	// also after the server's end.
	LateShare float64
	// AnnounceAddress is the IP:port to which the proxy process on the same VM takes
	// heartbeats.
	AnnounceAddress string
	// OnRun is called when the execution of a request starts.
	OnRun func(run Run)
	// Call is called during the execution of a request and may send one of the server's own; nil
	// if the server sends none.
	Call func(request string)
}

// KeyPrefix starts each key of a customer, so that a server recognizes a key that it must not receive.
const KeyPrefix = "soak-key-"

// Run describes one execution of a request.
type Run struct {
	// Request is the ID of the request.
	Request  string
	ServerID string
	// CallerService is the service that the proxy names as the caller.
	CallerService string
	// Customer is the customer that the proxy names, empty if none.
	Customer string
	// KeyReceived reports whether a header contains a customer's key.
	KeyReceived bool
	// Idempotent reports whether the request may be executed more than once.
	Idempotent bool
	// At is the start of the execution.
	At time.Time
}

// Responder is a stand-in backend server. It is safe for concurrent use.
type Responder struct {
	address string
	options Options
	server  *server.Hertz
	// heartbeats calls the process on the server's VM.
	heartbeats *requester.Requester
	started    time.Time
	slots      chan struct{}

	mu       sync.Mutex
	fault    Fault
	draining bool
	// deregistering is set if the server leaves by a deregistration.
	deregistering bool
	// leavingAnswers is set while the server says in all answers that it leaves.
	leavingAnswers    bool
	heartbeatSequence uint64
	// heartbeatsLate is set once all heartbeats arrive late.
	heartbeatsLate bool
	// leaveAcknowledged is when the proxy process first acknowledged that the server
	// leaves.
	leaveAcknowledged time.Time
}

// New returns a server that listens on an IP:port once it is started.
func New(address string, options Options) *Responder {
	r := &Responder{
		address: address, options: options, started: time.Now(), slots: make(chan struct{}, options.Slots),
		heartbeats: requester.NewWithDialer(options.AnnounceAddress, 1, &net.Dialer{Timeout: heartbeatTimeout}),
	}
	r.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
		server.WithOnAccept(func(conn net.Conn) context.Context {
			return context.WithValue(context.Background(), connKey{}, conn)
		}),
	)
	r.server.NoRoute(r.serve)
	return r
}

// ID returns the instance ID of the server.
func (r *Responder) ID() string { return r.options.ID }

// Start starts to serve, until Close, and to send heartbeats, until the context is
// cancelled.
func (r *Responder) Start(ctx context.Context) {
	go func() { _ = r.server.Run() }()
	go r.sendHeartbeats(ctx)
}

// Close shuts the server down abruptly: it waits for at most 100 ms.
func (r *Responder) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = r.server.Shutdown(ctx)
}

// SetFault replaces the fault that applies to new requests and heartbeats.
func (r *Responder) SetFault(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = fault
}

// Drain announces the server as draining from its next heartbeat on. The server goes
// on serving.
func (r *Responder) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Deregister makes the server deregister itself in place of its further heartbeats. The
// server goes on serving.
func (r *Responder) Deregister() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deregistering = true
}

// SetLeavingAnswers makes the server say in its answers that it leaves, or not to do so.
func (r *Responder) SetLeavingAnswers(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingAnswers = leaving
}

// LeaveWithLateHeartbeats makes the server say in its answers that it leaves, while its last
// heartbeats from before that arrive after the given times, and all later ones even later.
func (r *Responder) LeaveWithLateHeartbeats(times []time.Duration) {
	for _, delay := range times {
		r.sendHeartbeat(delay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leavingAnswers, r.draining, r.heartbeatsLate = true, true, true
}

// LeaveAcknowledged returns when the proxy process first acknowledged that the server
// leaves, or the zero time if it has not.
func (r *Responder) LeaveAcknowledged() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaveAcknowledged
}

// currentFault returns the fault in force, and whether answers say that the server leaves.
func (r *Responder) currentFault() (fault Fault, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault, r.leavingAnswers
}

// sendHeartbeats sends heartbeats until the context is cancelled.
func (r *Responder) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		if fault, _ := r.currentFault(); !fault.NoHeartbeats {
			r.sendHeartbeat(0)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat, or the deregistration of a server that leaves so, which
// arrives after a delay, at once or late. Errors are ignored: the next call follows after
// heartbeatPeriod.
func (r *Responder) sendHeartbeat(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leaveAcknowledged.IsZero() && r.deregistering {
		return
	}
	r.heartbeatSequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	method, content := consts.MethodPut, map[string]any{
		"address": r.address,
		"born":    r.started.UnixMilli(),
		"info": map[string]any{
			"service": r.options.Service, "version": "v1", "zone": r.options.Zone, "maxConcurrency": r.options.Slots,
		},
		"status": map[string]any{"state": state, "seq": r.heartbeatSequence, "warmupLeft": "0ms"},
	}
	if r.deregistering {
		method, content = consts.MethodDelete, map[string]any{"born": r.started.UnixMilli()}
	}
	body, err := json.Marshal(content)
	if err != nil {
		return
	}
	switch {
	case r.heartbeatsLate:
		delay = maxLeaveDelay
	case delay == 0 && rand.Float64() < r.options.LateShare:
		delay = time.Duration(rand.Int64N(int64(maxHeartbeatDelay)))
	}
	leaving := r.draining || r.deregistering
	time.AfterFunc(delay, func() { r.announce(method, body, leaving) })
}

// announce makes one call to the proxy process and records the acknowledgement of a leave.
func (r *Responder) announce(method string, body []byte, leaving bool) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	request := &protocol.Request{}
	request.SetMethod(method)
	request.SetRequestURI("http://" + r.options.AnnounceAddress + "/instances/" + r.options.ID)
	request.SetBody(body)
	response, err := r.heartbeats.Once(ctx, request, maxAcknowledgementBytes)
	if err != nil || response.StatusCode() != consts.StatusOK || !leaving {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaveAcknowledged.IsZero() {
		r.leaveAcknowledged = time.Now()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// serve handles one request. It answers 421 to a request that is meant for another
// instance, and refuses requests while all slots are taken.
func (r *Responder) serve(ctx context.Context, c *app.RequestContext) {
	id := string(c.GetHeader("Foxtailhall-Request-Id"))
	c.Response.Header.Set("Foxtailhall-Request-Id", id)
	if expected := string(c.GetHeader("Foxtailhall-Expect-Instance")); expected != r.options.ID {
		c.Response.Header.Set("Foxtailhall-Instance-Id", r.options.ID)
		c.SetStatusCode(http.StatusMisdirectedRequest)
		return
	}
	fault, leaving := r.currentFault()
	c.Response.Header.Set(HeaderAnsweredBy, r.options.ID)
	if leaving {
		c.Response.Header.Set(HeaderLeaving, "1")
	}
	if fault.Limit != "" {
		c.Response.Header.Set("Server-Limit", fault.Limit)
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		r.shed(c)
		return
	}
	if rand.Float64() < fault.ShedShare {
		r.shed(c)
		return
	}
	r.options.OnRun(Run{
		Request: id, ServerID: r.options.ID, CallerService: string(c.GetHeader("Foxtailhall-Caller-Service")),
		Customer: string(c.GetHeader("Foxtailhall-Tenant")), KeyReceived: bytes.Contains(c.Request.Header.Header(), []byte(KeyPrefix)),
		Idempotent: !c.IsPost(), At: time.Now(),
	})
	c.Response.Header.Set("Foxtailhall-Response-Seal", Seal(id))
	if rand.Float64() < fault.ErrorShare {
		c.String(consts.StatusInternalServerError, "error")
		return
	}
	if r.options.Call != nil {
		r.options.Call(id)
	}
	r.work(c, fault)
	if rand.Float64() < fault.LostAnswerShare {
		_ = c.GetConn().(net.Conn).Close()
		return
	}
	if rand.Float64() < fault.GarbledShare {
		garble(ctx, id, Body(id, len(c.Request.Body())))
		return
	}
	c.String(consts.StatusOK, Body(id, len(c.Request.Body())))
}

const (
	// HeaderGarbled marks an answer that no client may get.
	HeaderGarbled = "Garbled"
	// HeaderAnsweredBy holds the instance ID of the server in its answers.
	HeaderAnsweredBy = "Answered-By"
	// HeaderLeaving is set to 1 in the answers of a server that says that it leaves.
	HeaderLeaving = "Server-Leaving"
)

// resetShare is the share of the answers that are not garbled, but have no length and are reset.
const resetShare = 0.2

// garble writes an answer that no client may get, and closes the connection.
func garble(ctx context.Context, id, body string) {
	conn, ok := ctx.Value(connKey{}).(*net.TCPConn)
	if !ok {
		return
	}
	defer func() { _ = conn.Close() }()
	fields := HeaderGarbled + ": 1\r\nFoxtailhall-Request-Id: " + id + "\r\nFoxtailhall-Response-Seal: " + Seal(id) + "\r\n"
	if rand.Float64() >= resetShare {
		all := garbler.Garbled()
		_, _ = io.WriteString(conn, all[rand.IntN(len(all))].Render(fields, body))
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+body[:len(body)/2])
	_ = conn.SetLinger(0)
}

// work waits for a random service time, but not past the caller's deadline.
func (r *Responder) work(c *app.RequestContext, fault Fault) {
	duration := time.Duration(float64(r.options.ServiceTime) * (0.5 + rand.Float64()) * max(1, fault.SlowFactor))
	if remainingMs, err := strconv.Atoi(string(c.GetHeader("Foxtailhall-Deadline-Ms"))); err == nil {
		duration = min(duration, time.Duration(remainingMs)*time.Millisecond)
	}
	time.Sleep(duration)
}

// shed answers 503 and tells the proxy that the request was not executed.
func (r *Responder) shed(c *app.RequestContext) {
	c.Response.Header.Set("Foxtailhall-Not-Executed", "1")
	c.SetStatusCode(consts.StatusServiceUnavailable)
}

// Seal returns the seal of the answer to a request, which proves that a backend
// server produced the answer.
func Seal(id string) string { return "seal-of-" + id }

// Body returns the body of the answer to a request with the given number of bytes.
func Body(id string, uploaded int) string {
	return fmt.Sprintf("answer to %s after %d bytes", id, uploaded)
}
