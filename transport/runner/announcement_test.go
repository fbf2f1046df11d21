package runner

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/inquirer"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/state/checker"
	"github.com/foxtailhall/foxtailhall/state/loader"
	"github.com/foxtailhall/foxtailhall/state/parser"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/meter"
)

// TestRecalledDeparturesAreDoubtedInAnEra guards against a process that takes what it recalls for
// complete, though the Source may have come back from a copy that lacks a later departure. Peers
// that remember the departure would hide it.
func TestRecalledDeparturesAreDoubtedInAnEra(t *testing.T) {
	recalled := func(era uint64) *Runner {
		log := slog.New(slog.DiscardHandler)
		r := &Runner{
			deps: Dependencies{Log: log}, started: time.Now(), departures: newDepartures(nil, nil, log),
			gossip: gossiper.New(registrar.Member{Incarnation: 1, Address: "127.0.0.1:1", Version: 1}, nil, rand.Uint64),
		}
		r.enroller = enroller.New("127.0.0.1:2", r.now())
		r.handleDeparture(enroller.Departure{}, era)
		return r
	}
	require.True(t, recalled(3).doubted())
	require.False(t, recalled(3).enroller.Settled(recalled(3).now()))
	require.False(t, recalled(0).doubted())
	require.True(t, recalled(0).enroller.Settled(recalled(0).now()))
}

// TestRunsWaitForPeers guards against a starting process that takes a late announcement for that of a new run since the
// Source knows of no departure, before its peers were asked.
func TestRunsWaitForPeers(t *testing.T) {
	const address = "127.0.0.1:2"
	announced := enroller.Announcement{
		ID: "a", Address: address, Service: "billing", Slots: 4, StartedMs: time.Now().UnixMilli(), Sequence: 3,
	}
	start := func(t *testing.T) *Runner {
		t.Helper()
		r := New(Dependencies{
			Settings: loader.Settings{ServerAddress: address, PeerAddress: "127.0.0.1:1", PeerListen: "127.0.0.1:1"},
			Log:      slog.New(slog.DiscardHandler), Parser: parser.New(checker.New()), Meter: meter.New(), Source: &Source{},
		})
		r.handleDeparture(enroller.Departure{}, 0)
		require.NoError(t, r.HandleAnnouncement(announced, 0))
		requireService(t, r, "")
		return r
	}
	t.Run("NoneIsListed", func(t *testing.T) {
		r := start(t)
		r.listPeers(t.Context(), nil)
		requireService(t, r, "billing")
	})
	t.Run("TheListedOneIsGone", func(t *testing.T) {
		r := start(t)
		r.listPeers(t.Context(), []string{"127.0.0.1:3"})
		require.Eventually(t, func() bool { return r.guard.MemberStatus().Service == "billing" }, inquirer.MaxTime, time.Millisecond)
	})
	t.Run("APeerTells", func(t *testing.T) {
		r := start(t)
		r.receiveStatement(registrar.Member{Address: "127.0.0.1:3"}, witness.Statement{
			Departure: enroller.Departure{ID: announced.ID, StartedMs: announced.StartedMs, LeftMs: announced.StartedMs + 1},
		})
		r.listPeers(t.Context(), nil)
		requireService(t, r, "")
	})
}

func requireService(t *testing.T, r *Runner, want string) {
	t.Helper()
	require.Equal(t, want, r.guard.MemberStatus().Service)
}
