package enroller_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

func member(incarnation uint64, address, service string, state registrar.State, version uint64) registrar.Member {
	return registrar.Member{
		Incarnation: incarnation, Address: address, Zone: "near", Service: service, State: state, Version: version,
	}
}

// TestRuledOut guards against servers that stay out of service after a restart because
// the store is away, and against new work for one that left.
func TestRuledOut(t *testing.T) {
	self := member(100, "own", "", registrar.StateStarting, 1)
	peer := member(10, "peer", "s", registrar.StateServing, 7)
	killed := member(40, "own", "s", registrar.StateGone, 7)
	left := member(40, "own", "", registrar.StateGone, 8)
	for _, c := range []struct {
		name    string
		members []registrar.Member
		want    bool
	}{
		{"NewVM", []registrar.Member{peer}, true},
		{"KilledWithItsServer", []registrar.Member{peer, killed}, true},
		{"ServerLeft", []registrar.Member{peer, left}, false},
		{"ServerOfAnotherService", []registrar.Member{member(40, "own", "t", registrar.StateGone, 7)}, false},
		{"KilledTwice", []registrar.Member{killed, member(60, "own", "", registrar.StateGone, 1)}, true},
		{"KilledTwiceAfterTheLeave", []registrar.Member{left, member(60, "own", "", registrar.StateGone, 1)}, false},
		{"SecondProcessRecalledTheLeave", []registrar.Member{killed, member(60, "own", "", registrar.StateGone, 2)}, false},
		{"LaterProcess", []registrar.Member{left, member(120, "own", "s", registrar.StateServing, 7)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, got := enroller.RuledOut(self, "s", append(c.members, self))
			require.Equal(t, c.want, got)
		})
	}
}

// TestWitnesses guards against a departure that only other availability zones know, which
// do not tell it on.
func TestWitnesses(t *testing.T) {
	self := member(100, "own", "", registrar.StateStarting, 1)
	far := member(5, "far", "s", registrar.StateServing, 7)
	far.Zone = "far"
	old, young := member(10, "old", "s", registrar.StateServing, 7), member(90, "young", "s", registrar.StateServing, 7)
	dead := member(7, "dead", "s", registrar.StateUnreachable, 7)
	members := []registrar.Member{far, dead, old, young, self}
	require.Equal(t, []registrar.Member{old, young}, enroller.Witnesses(self, members, 2))
	require.Equal(t, []registrar.Member{old, young, far}, enroller.Witnesses(self, members, 3))
	require.Equal(t, []registrar.Member{old, young, far}, enroller.Witnesses(self, members, 4))
	require.Empty(t, enroller.Witnesses(self, []registrar.Member{dead, self}, 3))
}

// TestVouches guards against a departure that a store has lost and that a restarted process
// therefore takes for one that never was.
func TestVouches(t *testing.T) {
	for _, c := range []struct {
		name        string
		longRunning bool
		era         uint64
		age         time.Duration
		want        bool
	}{
		{"NoRiseSeen", true, 3, -1, true},
		{"RoseLongAgo", true, 3, enroller.MaxDelay + time.Millisecond, true},
		{"RoseLately", true, 3, enroller.MaxDelay, false},
		{"RoseAgainLongAgo", true, 4, enroller.MaxDelay + time.Millisecond, true},
		{"HasNotSeenTheEra", true, 2, -1, false},
		{"StartedLately", false, 3, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, enroller.Vouches(c.longRunning, 3, c.era, c.age))
		})
	}
}
