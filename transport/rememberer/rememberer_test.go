package rememberer_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/rememberer"
)

var said = witness.Statement{Departure: enroller.Departure{ID: "a", StartedMs: 3, LeftMs: 5}}

func process(incarnation uint64) registrar.Member {
	return registrar.Member{Incarnation: incarnation, Address: "127.0.0.1:1", Service: "billing", Version: 1}
}

// TestSuccessorsAreDue guards against a successor that learns what its server said only with a
// request, or that is told so all the time.
func TestSuccessorsAreDue(t *testing.T) {
	var now clocker.Instant
	r := rememberer.New(func() clocker.Instant { return now }, slog.New(slog.DiscardHandler))
	roster := registrar.New().WithMember(process(1))
	requireDue := func(want ...registrar.Member) {
		t.Helper()
		require.Equal(t, want, r.Due(roster))
	}
	now.Mono = time.Minute
	requireDue()
	r.Hear(process(1), said)
	requireDue()
	roster = roster.WithMember(process(1).WithState(registrar.StateUnreachable))
	requireDue()
	roster = roster.WithMember(process(2))
	requireDue(process(2))
	requireDue()
	now.Mono += time.Second
	requireDue(process(2))
	r.RecordTold(process(2), r.UnknownTo(process(2)))
	now.Mono += time.Second
	requireDue()
	roster = roster.WithMember(process(3))
	requireDue(process(3))
	now.Mono += time.Hour
	requireDue()
	require.True(t, r.UnknownTo(process(4)).Empty())
}

func TestNilRemembersNothing(t *testing.T) {
	var r *rememberer.Rememberer
	r.Hear(process(1), said)
	r.RecordTold(process(1), said)
	require.True(t, r.UnknownTo(process(2)).Empty())
}
