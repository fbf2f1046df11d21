package delegator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/delegator"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

func member(incarnation uint64, zone string, state registrar.State) registrar.Member {
	return registrar.Member{Incarnation: incarnation, Zone: zone, State: state}
}

func TestRank(t *testing.T) {
	members := []registrar.Member{
		member(1, "a", registrar.StateServing), member(2, "b", registrar.StateServing),
		member(3, "a", registrar.StateLeaving), member(4, "a", registrar.StateUnreachable),
		member(5, "a", registrar.StateGone), member(6, "a", registrar.StateServing),
	}
	require.Equal(t, 0, delegator.Rank(members, "a", 1))
	require.Equal(t, 1, delegator.Rank(members, "a", 6), "only live members of the zone that stay count")
	require.Equal(t, 2, delegator.Rank(members, "a", 7))
	require.Equal(t, 1, delegator.Rank(members, "b", 7))
}

func TestFollows(t *testing.T) {
	t.Run("TheOldestOfAZone", func(t *testing.T) {
		require.True(t, delegator.Follows(2, 0))
		require.False(t, delegator.Follows(3, 0))
	})
	t.Run("EveryoneWhenNoFollowerReachesTheSource", func(t *testing.T) {
		require.False(t, delegator.Follows(200, delegator.PollWait+delegator.PollSlack))
		require.True(t, delegator.Follows(200, time.Minute))
	})
	// since returns the age of the last read from which on a process follows.
	since := func(rank int) time.Duration {
		age := time.Duration(0)
		for age < time.Minute && !delegator.Follows(rank, age) {
			age += time.Millisecond
		}
		return age
	}
	t.Run("ByTurns", func(t *testing.T) {
		for rank := 3; rank < 60; rank++ {
			require.Less(t, since(rank), since(rank+1))
		}
	})
	// Guards against versions that are late at all processes of a zone that has lost its
	// followers, since the others wait longer than a version may take.
	t.Run("InTime", func(t *testing.T) {
		const (
			applyTime   = 2 * time.Second
			checkPeriod = 200 * time.Millisecond
		)
		require.LessOrEqual(t, since(200)+checkPeriod, applyTime)
	})
}
