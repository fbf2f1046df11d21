// Package router accepts callers' HTTP requests, chooses backend servers for them, and
// returns either a complete answer or whether the request did run, did not or may have.
package router

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/answerer"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
	"github.com/foxtailhall/foxtailhall/transport/meter"
	"github.com/foxtailhall/foxtailhall/transport/rememberer"
	"github.com/foxtailhall/foxtailhall/transport/reserver"
)

const (
	// inlineBodyBytes is the longest body that is sent in one frame with the header
	// fields. Longer bodies follow in frames of their own.
	inlineBodyBytes = 4 << 10
	// chunkBytes is the size of the frames of longer bodies.
	chunkBytes = 32 << 10
)

// Dependencies are the functions and values that the process provides to its router.
type Dependencies struct {
	Self         func() registrar.Member
	Log          *slog.Logger
	Now          func() clocker.Instant
	Random       func() uint64
	Catalog      func() cataloger.Catalog
	Roster       func() registrar.Roster
	ServiceTable *ServiceTable
	// Callers reads callers' header fields and writes those of their answers.
	Callers interpreter.Callers
	// Origin returns the service of this VM, which is sent along with each request.
	Origin func() string
	// NestedCall reports whether a request of a route, given by the hash of its name,
	// may have been sent by the backend server of this VM while it handled another
	// request, and the probability, from 0 to 1, that the other one was a retry.
	NestedCall func(route uint64) (nested bool, parentRetryProbability float64)
	// KeylessCall reports whether a request of a route that lacks the key that callers need
	// can be a call of the backend server of this VM. The probability is the same.
	KeylessCall func(route uint64) (possible bool, parentRetryProbability float64)
	// FinishesBeforeStop reports whether a request of an expected duration would finish
	// before a planned stop cuts it off; always true if no stop is planned.
	FinishesBeforeStop func(expected time.Duration) bool
	// Ready reports whether the process has a configuration.
	Ready func() bool
	// GuardClient returns a client of the guard at an address.
	GuardClient func(ctx context.Context, address string) messenger.DRPCGuardClient
	// KeyPath is the path where callers fetch bound keys; empty if none are issued.
	KeyPath string
	// Claim binds a caller's own key to a guard through the log and returns the binding
	// in force, which may be that of an earlier claim.
	Claim func(ctx context.Context, claim claimer.Claim) (claimer.Binding, error)
	// Binding returns what is known locally about a caller's own key.
	Binding func(key string) claimer.Binding
	// GuardBinding returns the binding of a key that was issued for a guard at a Unix
	// time in ms, with what is known locally about its run.
	GuardBinding func(guard uint64, key string, issuedMs int64) claimer.Binding
	KeyLifetime  time.Duration
	// AcquireQuota takes one request from the quota of a customer with a Rate. If there is
	// none, ok is unset and retryAfter is the time after which it is expected. The function
	// release returns the quota.
	AcquireQuota func(ctx context.Context, customer cataloger.Customer) (release func(), retryAfter time.Duration, ok bool)
	Meter        *meter.Meter
	// Statements holds what backend servers said of themselves in answers that were passed on.
	Statements *rememberer.Rememberer
	// Memory is the account of the process; nil has no limit.
	Memory *reserver.Reserver
	// MaxConnections bounds the connections of callers; 0 means no bound.
	MaxConnections int
	// MaxRequests bounds the requests that are being handled or answered; 0 means no bound.
	MaxRequests int
}

// Router accepts callers' requests and forwards them. It is safe for concurrent use.
type Router struct {
	deps     Dependencies
	acceptor *acceptor.Acceptor
	// refusing is set once new requests are refused.
	refusing atomic.Bool
	shedder  *lockedShedder
}

// New returns a router that will listen on an IP:port.
func New(address string, deps Dependencies) *Router {
	r := &Router{deps: deps, shedder: newLockedShedder()}
	r.acceptor = acceptor.New(address, acceptor.Dependencies{
		Log:    deps.Log,
		Limits: func() cataloger.Limits { return deps.Catalog().Limits() },
		Handle: r.serveContained,
		Refuse: r.refuseAtHead,
		Memory: deps.Memory,

		MaxConnections: deps.MaxConnections,
		MaxRequests:    deps.MaxRequests,

		Malformed: r.refuseMalformed,
		Broken:    r.answerBroken,
	})
	return r
}

// Listen opens the port for callers without accepting connections yet.
func (r *Router) Listen() error {
	if err := r.acceptor.Listen(); err != nil {
		return fmt.Errorf("opening the callers' port: %w", err)
	}
	return nil
}

// Run serves until Close.
func (r *Router) Run() error {
	if err := r.acceptor.Run(); err != nil {
		return fmt.Errorf("serving callers: %w", err)
	}
	return nil
}

// Active returns the number of requests between arrival and the end of their answer.
func (r *Router) Active() int64 { return r.acceptor.Active() }

// Refuse makes the router answer all further requests as not run.
func (r *Router) Refuse() { r.refusing.Store(true) }

// Cancel cancels all requests. Their callers get the outcome as far as it is known.
func (r *Router) Cancel() { r.acceptor.Cancel() }

// Drain closes callers' connections as they become idle.
func (r *Router) Drain() { r.acceptor.Drain() }

// Close stops listening and closes all connections.
func (r *Router) Close() { r.acceptor.Close() }

// serve answers one request.
func (r *Router) serve(ctx context.Context, incoming *acceptor.Request) *protocol.Response {
	request, refused := r.check(incoming)
	if refused != nil {
		return r.refuse(request, *refused)
	}
	if r.asksForKey(request) {
		return r.serveKey(request)
	}
	request.headers = r.forwardedHeaders(incoming, incoming.Header, request.catalog.HasCustomers())
	release, refused := r.acquireQuota(ctx, request)
	if refused != nil {
		return r.refuse(request, *refused)
	}
	result := r.handle(ctx, request)
	if result.refused != nil && result.refused.outcome == answerer.OutcomeNotRun {
		release()
	}
	return r.respond(request, result)
}

// acquireQuota takes the request from its customer's quota. The function that it returns
// gives the quota back and is called if the request has not run.
func (r *Router) acquireQuota(ctx context.Context, request *callerRequest) (func(), *refusal) {
	if request.customer.Rate <= 0 {
		return func() {}, nil
	}
	release, retryAfter, ok := r.deps.AcquireQuota(ctx, request.customer)
	if ok {
		return release, nil
	}
	refused := notRun(consts.StatusTooManyRequests, "QuotaExceeded")
	refused.retryAfter = retryAfter
	return nil, refused
}

// check reads a request, unless that was done at its head, and checks it. It returns why
// the request is refused, or nil.
func (r *Router) check(incoming *acceptor.Request) (*callerRequest, *refusal) {
	request, checked := incoming.Checked.(*callerRequest)
	if checked {
		request = r.resume(request, incoming)
	} else {
		var refused *refusal
		if request, refused = r.parse(incoming); refused != nil {
			return request, refused
		}
		incoming.Checked = request
	}
	if r.asksForKey(request) {
		return request, nil
	}
	return request, r.admit(request, incoming.Header)
}

// asksForKey reports whether the request fetches an idempotency key.
func (r *Router) asksForKey(request *callerRequest) bool {
	return r.deps.KeyPath != "" && request.path == r.deps.KeyPath
}

// refuseAtHead returns the answer to a request that is refused whatever its body holds, or
// nil. The checks run again once the body has arrived, since the time and the configuration
// may have changed.
func (r *Router) refuseAtHead(incoming *acceptor.Request) (response *protocol.Response) {
	defer func() {
		if cause := recover(); cause != nil {
			// The same checks of serveContained answer the request.
			r.recordPanic(cause)
			response = nil
		}
	}()
	request, refused := r.check(incoming)
	if refused == nil {
		return nil
	}
	return r.refuse(request, *refused)
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}
