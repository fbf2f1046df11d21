// Package router takes callers' requests over HTTP, chooses backend servers and
// answers with the whole answer or with a truthful outcome.
package router

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/protocol/interpreter"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/acceptor"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

const (
	// inlineBodyBytes is the longest body that travels in one piece with its
	// head, before the guard has admitted the request.
	inlineBodyBytes = 4 << 10
	// chunkBytes is the size of the pieces of longer bodies.
	chunkBytes = 32 << 10
)

// Dependencies are what a router needs of its process.
type Dependencies struct {
	Self         func() registrar.Member
	Log          *slog.Logger
	Now          func() clocker.Instant
	Random       func() uint64
	Catalog      func() cataloger.Catalog
	Roster       func() registrar.Roster
	ServiceTable *ServiceTable
	// Callers reads and writes the header fields of callers.
	Callers interpreter.Callers
	// Origin returns the service of the VM, told to backend servers with each request.
	Origin func() string
	// NestedCall tells whether a request of a route, by the hash of its name, may
	// have been called by the backend server of the VM, and how likely the run
	// that called it was a repeated one.
	NestedCall func(route uint64) (called bool, derived float64)
	// FinishesBeforeStop tells whether a request that mostly ends within a time would do so
	// before a planned stop ends what runs; always true without one.
	FinishesBeforeStop func(takes time.Duration) bool
	// Ready tells whether the process knows a configuration.
	Ready func() bool
	// GuardClient returns a client of the guard at an address.
	GuardClient func(ctx context.Context, address string) messenger.DRPCGuardClient
	// KeyPath is where callers fetch bound keys; empty if they can't.
	KeyPath string
	// Claim binds a caller's own key through the log and returns what stands.
	Claim func(ctx context.Context, claim claimer.Claim) (claimer.Binding, error)
	// Binding returns what is known of a caller's own key.
	Binding func(key string) claimer.Binding
	// GuardBinding returns what is known of a key bound to a guard since a Unix time in ms.
	GuardBinding func(guard uint64, key string, sinceMs int64) claimer.Binding
	KeyLifetime  time.Duration
	Meter        *meter.Meter
}

// Router takes callers' requests. It is safe for concurrent use.
type Router struct {
	deps     Dependencies
	acceptor *acceptor.Acceptor
	// refusing is set once no new request is taken.
	refusing atomic.Bool
}

// New returns a router that will listen on an IP:port.
func New(address string, deps Dependencies) *Router {
	r := &Router{deps: deps}
	r.acceptor = acceptor.New(address, acceptor.Dependencies{
		Log:       deps.Log,
		Limits:    func() cataloger.Limits { return deps.Catalog().Limits() },
		Handle:    r.serve,
		Malformed: r.malformed,
	})
	return r
}

// Listen opens the port for callers.
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

// Active counts requests from their arrival to the end of their answer.
func (r *Router) Active() int64 { return r.acceptor.Active() }

// Refuse answers all further requests with the word that they have not run.
func (r *Router) Refuse() { r.refusing.Store(true) }

// Cancel ends all requests; their callers are told what is known of them.
func (r *Router) Cancel() { r.acceptor.Cancel() }

// Drain ends callers' connections as they become idle.
func (r *Router) Drain() { r.acceptor.Drain() }

// Close stops listening and ends all connections.
func (r *Router) Close() { r.acceptor.Close() }

// serve handles one request.
func (r *Router) serve(ctx context.Context, incoming *acceptor.Request) *protocol.Response {
	request, refused := r.read(incoming)
	if refused != nil {
		return r.refuse(request, *refused)
	}
	if r.deps.KeyPath != "" && request.path == r.deps.KeyPath {
		return r.serveKey(request)
	}
	if refused := r.admit(request); refused != nil {
		return r.refuse(request, *refused)
	}
	return r.respond(request, r.handle(ctx, request))
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}
