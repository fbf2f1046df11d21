// Package rememberer keeps what the backend servers beside other processes said of themselves,
// by the address of the process.
package rememberer

import (
	"log/slog"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// tellPeriod is the least time between two messages that tell one process what it may not know.
const tellPeriod = 500 * time.Millisecond

// Rememberer is safe for concurrent use. A nil one remembers nothing.
type Rememberer struct {
	now func() clocker.Instant
	log *slog.Logger

	mu sync.Mutex
	// memories holds what is remembered, by the address of the process beside the server.
	memories map[string]memory
}

type memory struct {
	witness.Memory
	// toldAt is the monotonic time of the last message to a process that may not know it.
	toldAt time.Duration
}

// New returns a rememberer without memories.
func New(now func() clocker.Instant, log *slog.Logger) *Rememberer {
	return &Rememberer{now: now, log: log, memories: map[string]memory{}}
}

// HearAnswer records what the server beside a process said of itself in an answer. An answer
// without a limit lifts the last one. The fields of the log line tell how it was heard.
func (r *Rememberer) HearAnswer(process registrar.Member, said witness.Statement, fields ...any) {
	r.hear(process, said, true, fields)
}

// Hear records a statement of the server beside a process, which knows it.
func (r *Rememberer) Hear(process registrar.Member, said witness.Statement, fields ...any) {
	r.hear(process, said, said.Limit.ID != "", fields)
}

func (r *Rememberer) hear(process registrar.Member, said witness.Statement, limit bool, fields []any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.memories[process.Address]
	if !ok && said.Empty() {
		return
	}
	heard := known
	heard.Memory = known.WithDeparture(said.Departure, process.Incarnation, r.now())
	if limit {
		heard.Memory = heard.WithLimit(said.Limit, process.Incarnation, r.now())
	}
	r.memories[process.Address] = heard
	if now := heard.Statement(); now != known.Statement() {
		r.logStatement("StatementHeard", process, now, fields)
	}
}

// UnknownTo returns what a process may not know of the server beside it.
func (r *Rememberer) UnknownTo(process registrar.Member) witness.Statement {
	if r == nil {
		return witness.Statement{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.memories[process.Address]
	if !ok {
		return witness.Statement{}
	}
	return known.UnknownTo(process.Incarnation, r.now())
}

// RecordTold records that a process has received what UnknownTo returned.
func (r *Rememberer) RecordTold(process registrar.Member, told witness.Statement, fields ...any) {
	if r == nil || told.Empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.memories[process.Address]
	if !ok {
		return
	}
	known.Memory = known.WithTold(told, process.Incarnation)
	r.memories[process.Address] = known
	r.logStatement("StatementTold", process, told, fields)
}

func (r *Rememberer) logStatement(event string, process registrar.Member, said witness.Statement, fields []any) {
	line := append([]any{"Server", process.Address, "Incarnation", process.Incarnation}, said.LogFields()...)
	r.log.Info(event, append(line, fields...)...)
}

// Due returns the live processes of a roster that may not know what is remembered of their
// servers, and were not told in the last tellPeriod. It forgets what has expired.
func (r *Rememberer) Due(roster registrar.Roster) []registrar.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var due []registrar.Member
	for address, known := range r.memories {
		if known.Empty(now) {
			delete(r.memories, address)
			continue
		}
		process, ok := roster.MemberAt(address)
		if !ok || !process.State.Live() || now.Mono-known.toldAt < tellPeriod || known.UnknownTo(process.Incarnation, now).Empty() {
			continue
		}
		known.toldAt = now.Mono
		r.memories[address] = known
		due = append(due, process)
	}
	return due
}
