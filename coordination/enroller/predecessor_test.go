package enroller_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// TestRuledOut guards against servers that stay out of service after a restart because
// the store is away, and against new work for one that left.
func TestRuledOut(t *testing.T) {
	const longRunning = 50
	at := func(incarnation uint64, address, service string, state registrar.State, version uint64) registrar.Member {
		return registrar.Member{Incarnation: incarnation, Address: address, Service: service, State: state, Version: version}
	}
	self := at(100, "own", "", registrar.StateStarting, 1)
	old := at(10, "peer", "s", registrar.StateServing, 7)
	young := at(90, "peer", "s", registrar.StateServing, 7)
	killed := at(40, "own", "s", registrar.StateGone, 7)
	left := at(40, "own", "", registrar.StateGone, 8)
	for _, c := range []struct {
		name    string
		members []registrar.Member
		want    bool
	}{
		{"Alone", nil, false},
		{"NewVM", []registrar.Member{old}, true},
		{"NewVMAmongYoungMembers", []registrar.Member{young}, false},
		{"NewVMAndDeadMember", []registrar.Member{old.WithState(registrar.StateUnreachable)}, false},
		{"KilledWithItsServer", []registrar.Member{killed}, true},
		{"ServerLeft", []registrar.Member{old, left}, false},
		{"ServerOfAnotherService", []registrar.Member{old, at(40, "own", "t", registrar.StateGone, 7)}, false},
		{"KilledTwice", []registrar.Member{killed, at(60, "own", "", registrar.StateGone, 1)}, true},
		{"KilledTwiceAfterTheLeave", []registrar.Member{old, left, at(60, "own", "", registrar.StateGone, 1)}, false},
		{"ServerLeftTheSecondProcess", []registrar.Member{killed, at(60, "own", "", registrar.StateGone, 2)}, false},
		{"LaterProcess", []registrar.Member{left, at(120, "own", "s", registrar.StateServing, 7)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, enroller.RuledOut(self, "s", append(c.members, self), longRunning))
		})
	}
}
