// Package router takes callers' requests over HTTP, chooses backend servers and
// answers with the whole answer or with a truthful outcome.
package router

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

const (
	// ShortBodyBytes is the longest request body that can be sent again.
	ShortBodyBytes = 64 << 10
	// chunkBytes is the size of the pieces of longer bodies.
	chunkBytes = 32 << 10
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 64 << 10
	// maxBodyBytes is the HTTP library's own bound, above that of any service.
	maxBodyBytes = 1 << 31
	idleTimeout  = 3 * time.Minute
	// readTimeout bounds the wait for the next bytes of a request's body.
	readTimeout = time.Minute
	// goneProbe is how often a waiting request looks whether its caller is still there.
	goneProbe = 50 * time.Millisecond
)

// Dependencies are what a router needs of its process.
type Dependencies struct {
	Self    func() registrar.Member
	Log     *slog.Logger
	Now     func() clocker.Instant
	Random  func() uint64
	Catalog func() cataloger.Catalog
	Roster  func() registrar.Roster
	Lanes   *Lanes
	// Guard returns a client of the guard at an address.
	Guard func(ctx context.Context, address string) messenger.DRPCGuardClient
	// Claim binds a caller's own key through the log and returns what stands.
	Claim func(ctx context.Context, claim claimer.Claim) (claimer.Binding, error)
	// Binding returns what is known of a caller's own key.
	Binding func(key string) claimer.Binding
	// Fate returns what is known of a key bound to a guard since a Unix time in ms.
	Fate func(guard uint64, key string, sinceMs int64) claimer.Binding
	// Stopping tells whether the process has begun a planned stop.
	Stopping    func() bool
	KeyLifetime time.Duration
	Meter       *meter.Meter
}

// Router takes callers' requests. It is safe for concurrent use.
type Router struct {
	deps   Dependencies
	server *server.Hertz
	// active counts requests from their arrival to the end of their answer.
	active atomic.Int64
}

type connKey struct{}

// New returns a router that will listen on an IP:port.
func New(address string, deps Dependencies) *Router {
	r := &Router{deps: deps}
	r.server = server.New(
		server.WithHostPorts(address),
		server.WithTransport(standard.NewTransporter),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithReadTimeout(readTimeout),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithRedirectTrailingSlash(false),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithExitWaitTime(0),
		withConnection(),
	)
	r.server.GET(answerer.PathKey, r.serveKey)
	r.server.NoRoute(r.serve)
	return r
}

// withConnection lets a handler watch the connection that its request came on.
func withConnection() config.Option {
	return server.WithOnAccept(func(conn net.Conn) context.Context {
		return context.WithValue(context.Background(), connKey{}, conn)
	})
}

// Run serves until Close.
func (r *Router) Run() error {
	if err := r.server.Run(); err != nil {
		return fmt.Errorf("serving callers: %w", err)
	}
	return nil
}

// Active counts requests from their arrival to the end of their answer.
func (r *Router) Active() int64 { return r.active.Load() }

// Close stops listening and ends idle connections.
func (r *Router) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := r.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("closing the callers' listener: %w", err)
	}
	return nil
}

// serve handles one request.
func (r *Router) serve(ctx context.Context, c *app.RequestContext) {
	r.active.Add(1)
	if r.deps.Stopping() {
		c.SetConnectionClose()
	}
	request, refused := r.read(ctx, c)
	if refused != nil {
		r.refuse(c, request, *refused)
		r.active.Add(-1)
		return
	}
	reply := r.handle(ctx, request)
	r.respond(c, request, reply)
}

// refusal is an answer of the system's own.
type refusal struct {
	status  int
	outcome answerer.Outcome
	reason  string
}

func (r *Router) refuse(c *app.RequestContext, request *call, refused refusal) {
	if request.unread {
		c.SetConnectionClose()
	}
	c.SetStatusCode(refused.status)
	c.Response.Header.Set(answerer.HeaderOutcome, refused.outcome.String())
	c.Response.Header.Set(answerer.HeaderReason, refused.reason)
	c.Response.Header.Set(answerer.HeaderRequestID, request.id)
	if refused.outcome == answerer.OutcomeNotRun && refused.status == consts.StatusServiceUnavailable {
		c.Response.Header.Set("Retry-After", "1")
	}
	c.Response.Header.SetContentType("text/plain; charset=utf-8")
	c.Response.SetBodyString(refused.outcome.String() + ": " + refused.reason + "\n")
	r.deps.Meter.Outcome(request.service.Name, refused.outcome.String())
	r.deps.Log.Info("Finished", "Request", request.id, "Service", request.service.Name,
		"Outcome", refused.outcome.String(), "Status", refused.status, "Reason", refused.reason,
		"Attempts", request.attempts, "TookUs", r.deps.Now().Since(request.began).Microseconds())
}

func notRun(status int, reason string) *refusal {
	return &refusal{status: status, outcome: answerer.OutcomeNotRun, reason: reason}
}

// read turns an HTTP request into a call, or tells why it is refused.
func (r *Router) read(ctx context.Context, c *app.RequestContext) (*call, *refusal) {
	request := &call{
		id:     string(c.GetHeader(answerer.HeaderRequestID)),
		began:  r.deps.Now(),
		method: string(c.Method()),
		uri:    string(c.Request.Header.RequestURI()),
		unread: true,
	}
	if request.id == "" {
		request.id = strconv.FormatUint(r.deps.Random(), 16) + strconv.FormatUint(r.deps.Random(), 16)
	}
	request.conn, _ = ctx.Value(connKey{}).(net.Conn)
	request.caller = callerHash(c)
	if refused := r.match(c, request); refused != nil {
		return request, refused
	}
	if refused := r.readMarks(c, request); refused != nil {
		return request, refused
	}
	request.headers = headersOf(c, request)
	return request, request.readBody(c)
}

func (r *Router) match(c *app.RequestContext, request *call) *refusal {
	catalog := r.deps.Catalog()
	host, _, _ := strings.Cut(string(c.Host()), ":")
	route, ok := catalog.Match(host, string(c.Path()))
	if !ok {
		return notRun(consts.StatusNotFound, "UnknownRoute")
	}
	request.route = route
	request.routeHash = hashOf(route.Name)
	request.service, _ = catalog.Service(route.Service)
	request.policy, _ = catalog.Policy(request.service.Policy)
	return nil
}

// readMarks reads deadline, idempotency mark and key.
func (r *Router) readMarks(c *app.RequestContext, request *call) *refusal {
	request.patience = request.service.Deadline
	if text := string(c.GetHeader(answerer.HeaderDeadline)); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis < 1 || millis > maxPatience.Milliseconds() {
			return notRun(consts.StatusBadRequest, "Malformed "+answerer.HeaderDeadline)
		}
		request.patience = time.Duration(millis) * time.Millisecond
	}
	request.idempotent = idempotent(request.method, request.route)
	if text := string(c.GetHeader(answerer.HeaderIdempotent)); text != "" {
		mark, err := strconv.ParseBool(text)
		if err != nil {
			return notRun(consts.StatusBadRequest, "Malformed "+answerer.HeaderIdempotent)
		}
		request.idempotent = mark
	}
	return r.readKey(c, request)
}

// maxPatience bounds a caller's deadline.
const maxPatience = 10 * time.Minute

func (r *Router) readKey(c *app.RequestContext, request *call) *refusal {
	request.key = string(c.GetHeader(answerer.HeaderKey))
	if request.key == "" {
		return nil
	}
	request.idempotent = false
	if len(request.key) > claimer.MaxKeyBytes {
		return notRun(consts.StatusBadRequest, claimer.ErrKeyLong.Error())
	}
	var err error
	if claimer.IsBound(request.key) {
		request.bound, err = claimer.ParseBound(request.key)
		request.keyMs = request.bound.IssuedMs
	} else {
		request.keyMs, err = claimer.TimeOf(request.key, string(c.GetHeader(answerer.HeaderKeyTime)))
	}
	if err == nil {
		err = claimer.CheckAge(r.deps.Now().UnixMilli(), request.keyMs, r.deps.KeyLifetime)
	}
	if err != nil {
		return notRun(consts.StatusBadRequest, err.Error())
	}
	return nil
}

// idempotent takes the route's mark, else that of the method.
func idempotent(method string, route cataloger.Route) bool {
	if route.Idempotent || route.NonIdempotent {
		return route.Idempotent
	}
	switch method {
	case consts.MethodGet, consts.MethodHead, consts.MethodOptions, consts.MethodPut, consts.MethodDelete:
		return true
	}
	return false
}

func callerHash(c *app.RequestContext) uint64 {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	return hashOf(host)
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

// serveKey issues a bound key for a later request.
func (r *Router) serveKey(_ context.Context, c *app.RequestContext) {
	host, _, _ := strings.Cut(string(c.Host()), ":")
	request := &call{id: string(c.GetHeader(answerer.HeaderRequestID)), began: r.deps.Now()}
	route, ok := r.deps.Catalog().Match(host, c.Query("Path"))
	if !ok {
		r.refuse(c, request, *notRun(consts.StatusNotFound, "UnknownRoute"))
		return
	}
	request.service, _ = r.deps.Catalog().Service(route.Service)
	entry, _ := r.pick(request, nil)
	if entry.Server == nil {
		r.refuse(c, request, *notRun(consts.StatusServiceUnavailable, "NoBackendServer"))
		return
	}
	key := claimer.BoundKey{
		Guard:    entry.Member.Incarnation,
		IssuedMs: r.deps.Now().UnixMilli(),
		Random:   r.deps.Random(),
	}
	c.Response.Header.SetContentType("text/plain; charset=utf-8")
	c.Response.SetBodyString(key.String())
	r.deps.Log.Info("KeyIssued", "Service", request.service.Name, "Server", entry.Member.Address)
}
