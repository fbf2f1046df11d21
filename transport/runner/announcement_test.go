package runner

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/state/registrar"
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
