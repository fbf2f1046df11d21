package registrar_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/state/registrar"
)

func requireState(t *testing.T, r registrar.Roster, incarnation uint64, want registrar.State) {
	t.Helper()
	found, ok := r.Member(incarnation)
	require.True(t, ok)
	require.Equal(t, want.String(), found.State.String())
}

func TestRoster(t *testing.T) {
	older := registrar.Member{Incarnation: 5, Address: "a", Service: "s", Slots: 4, State: registrar.StateServing}
	newer := registrar.Member{Incarnation: 6, Address: "a", Service: "s", Slots: 4, State: registrar.StateServing}
	t.Run("LaterIncarnationTakesTheAddress", func(t *testing.T) {
		r := registrar.New().WithMember(older).WithMember(newer)
		requireState(t, r, 5, registrar.StateGone)
		require.Len(t, r.Pool("s"), 1)
	})
	t.Run("OldNewsDoesNotTakeItBack", func(t *testing.T) {
		r := registrar.New().WithMember(newer).WithMember(older)
		requireState(t, r, 5, registrar.StateGone)
		requireState(t, r, 6, registrar.StateServing)
	})
	t.Run("DigestDependsOnEntriesAlone", func(t *testing.T) {
		other := registrar.Member{Incarnation: 9, Address: "b", Service: "s", State: registrar.StateServing}
		one := registrar.New().WithMember(older).WithMember(other)
		two := registrar.New().WithMember(other).WithMember(older.WithVersion(3)).WithMember(older)
		require.Equal(t, one.Digest(), two.Digest())
		require.NotEqual(t, one.Digest(), one.WithMember(older.WithVersion(4)).Digest())
	})
	t.Run("HealthySlotsLeaveOutTheEjected", func(t *testing.T) {
		r := registrar.New().WithMember(newer).WithMember(registrar.Member{
			Incarnation: 9, Address: "b", Service: "s", Slots: 7, State: registrar.StateEjected,
		})
		require.Equal(t, uint32(4), r.HealthySlots("s"))
	})
	t.Run("OlderRosterStays", func(t *testing.T) {
		before := registrar.New().WithMember(older)
		_ = before.WithoutMember(5)
		require.Len(t, before.Pool("s"), 1)
	})
}

func TestSupersedes(t *testing.T) {
	base := registrar.Member{Incarnation: 1, State: registrar.StateServing, Version: 3}
	require.True(t, base.WithState(registrar.StateGone).Supersedes(base))
	require.True(t, base.WithVersion(4).Supersedes(base.WithState(registrar.StateGone)))
	require.False(t, base.Supersedes(base))
}
