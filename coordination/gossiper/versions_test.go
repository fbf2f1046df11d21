package gossiper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/delegator"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
)

// versionSpread gives some members a new version and returns after which time
// all have it. Each member fetches a version one round after it heard of it.
func versionSpread(t *testing.T, c *cluster, followers []int) time.Duration {
	t.Helper()
	c.until(300, c.complete)
	require.True(t, c.complete())
	c.rounds(10)
	const version = 7
	fetched, pending := map[int]bool{}, map[int]bool{}
	c.heard = func(member int, heard uint64) {
		if heard == version && !fetched[member] {
			pending[member] = true
		}
	}
	adopt := func(member int) {
		fetched[member] = true
		c.members[member].SetConfigVersion(version)
	}
	for _, follower := range followers {
		adopt(follower)
	}
	rounds := c.until(100, func() bool {
		for member := range pending {
			adopt(member)
			delete(pending, member)
		}
		return len(fetched) == len(c.members)
	})
	require.Len(t, fetched, len(c.members))
	return time.Duration(rounds) * gossiper.PingPeriod
}

// TestVersionsReachAllFromFewFollowers answers the pattern of a large fleet in which
// three members of each zone follow the source of the configuration.
func TestVersionsReachAllFromFewFollowers(t *testing.T) {
	const zones = 5
	followers := func(first int) (chosen []int) {
		for i := first; i < 3*zones; i++ {
			chosen = append(chosen, i)
		}
		return chosen
	}
	for _, size := range []int{25, 150} {
		t.Run("AllZonesHaveFollowers", func(t *testing.T) {
			require.LessOrEqual(t, versionSpread(t, newZonedCluster(size, zones, 21), followers(0)), 1500*time.Millisecond)
		})
		t.Run("PathsAreCut", func(t *testing.T) {
			c := newZonedCluster(size, zones, 22)
			c.until(300, c.complete)
			for i := range size {
				for j := range size {
					c.cut[[2]int{i, j}] = i != j && c.random.IntN(5) == 0
				}
			}
			require.LessOrEqual(t, versionSpread(t, c, followers(0)), 2*time.Second)
		})
		t.Run("OneZoneHasNone", func(t *testing.T) {
			var some []int
			for _, i := range followers(0) {
				if i%zones != 2 {
					some = append(some, i)
				}
			}
			require.LessOrEqual(t, versionSpread(t, newZonedCluster(size, zones, 23), some), 2*time.Second)
		})
	}
}

func TestConfirmationsSpread(t *testing.T) {
	c := newZonedCluster(40, 4, 24)
	c.until(300, c.complete)
	require.Negative(t, c.members[9].Confirmed(c.instant()))
	c.members[0].Confirm(c.instant())
	c.rounds(25)
	for _, member := range c.members {
		require.Equal(t, 25*gossiper.PingPeriod, member.Confirmed(c.instant()))
	}
	c.members[0].Confirm(c.instant())
	require.Zero(t, c.members[0].Confirmed(c.instant()))
}

// TestConfirmationsOfAZone guards against a zone that has lost its followers and whose other
// members don't follow the source, since processes of other zones do.
func TestConfirmationsOfAZone(t *testing.T) {
	const zones = 3
	c := newZonedCluster(30, zones, 25)
	c.until(300, c.complete)
	for range 25 {
		for follower := range 3 * zones {
			if follower%zones != 2 {
				c.members[follower].Confirm(c.instant())
			}
		}
		c.rounds(1)
	}
	for i, member := range c.members {
		require.False(t, delegator.Follows(3, member.Confirmed(c.instant())))
		if i%zones == 2 {
			require.Negative(t, member.ZoneConfirmed(c.instant()))
			continue
		}
		require.False(t, delegator.Follows(3, member.ZoneConfirmed(c.instant())))
	}
}

// TestConfirmationsStayFresh guards against members that follow the source though others do,
// because news of a read takes longer than a read may fail to reach it.
func TestConfirmationsStayFresh(t *testing.T) {
	const zones, followers, readEvery = 3, 3, 5 // rounds of PingPeriod
	for _, size := range []int{30, 350} {
		c := newZonedCluster(size, zones, 23)
		c.until(300, c.complete)
		require.True(t, c.complete())
		oldest := time.Duration(0)
		for round := range 100 {
			for follower := range zones * followers {
				if (round+follower)%readEvery == 0 {
					c.members[follower].Confirm(c.instant())
				}
			}
			c.rounds(1)
			if round < 5*readEvery {
				continue
			}
			for _, member := range c.members {
				oldest = max(oldest, member.Confirmed(c.instant()), member.ZoneConfirmed(c.instant()))
			}
		}
		t.Logf("%d members: oldest confirmation %s", size, oldest)
		require.False(t, delegator.Follows(followers, oldest))
	}
}
