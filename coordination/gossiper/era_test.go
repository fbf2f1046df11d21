package gossiper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
)

// TestErasReachAllMembers guards against members that don't read the source themselves and
// never write again what it has lost.
func TestErasReachAllMembers(t *testing.T) {
	for _, size := range []int{25, 150} {
		const zones = 5
		c := newZonedCluster(size, zones, 31)
		c.until(300, c.complete)
		require.True(t, c.complete())
		for _, member := range c.members {
			member.RaiseEra(c.instant(), 1)
		}
		c.rounds(10)
		for i := range 3 * zones {
			c.members[i].RaiseEra(c.instant(), 2)
		}
		rounds := c.until(100, func() bool {
			for _, member := range c.members {
				if member.Era() != 2 {
					return false
				}
			}
			return true
		})
		require.LessOrEqual(t, time.Duration(rounds)*gossiper.PingPeriod, 1500*time.Millisecond)
	}
}

// TestEraAges guards against a restarted process that takes a copy for complete though the
// source came back from it moments ago.
func TestEraAges(t *testing.T) {
	start := clocker.Instant{Mono: time.Hour}
	later := start.Add(time.Second)
	newMember := func() *gossiper.Gossiper {
		return gossiper.New(zoned(0), nil, rand.New(rand.NewPCG(1, 1)).Uint64)
	}
	receive := func(g *gossiper.Gossiper, era uint64, age time.Duration) {
		g.Receive(start, gossiper.Message{Sender: zoned(1), Era: era, EraAge: age})
	}
	t.Run("TheFirstKnownOneHasNone", func(t *testing.T) {
		g := newMember()
		g.RaiseEra(start, 4)
		require.EqualValues(t, 4, g.Era())
		require.Negative(t, g.EraAge(later))
	})
	t.Run("FromTheFirstOneIfNoneWasNamedBefore", func(t *testing.T) {
		g := newMember()
		g.RaiseEra(start, 0)
		g.Confirm(start)
		g.RaiseEra(start, 1)
		require.Equal(t, time.Second, g.EraAge(later))
	})
	t.Run("NoneIfItIsLearnedWithTheFirstConfirmation", func(t *testing.T) {
		g := newMember()
		g.Receive(start, gossiper.Message{Sender: zoned(1), Era: 4, EraAge: -1, Confirmed: 0})
		require.Negative(t, g.EraAge(later))
	})
	t.Run("FromTheRise", func(t *testing.T) {
		g := newMember()
		g.RaiseEra(start, 4)
		g.RaiseEra(start, 5)
		g.RaiseEra(later, 5)
		g.RaiseEra(later, 3)
		require.EqualValues(t, 5, g.Era())
		require.Equal(t, time.Second, g.EraAge(later))
	})
	t.Run("LearnedFromOthers", func(t *testing.T) {
		g := newMember()
		g.RaiseEra(start, 5)
		receive(g, 5, 3*time.Second)
		require.Equal(t, 4*time.Second, g.EraAge(later))
		receive(g, 4, 0)
		receive(g, 0, 0)
		require.Equal(t, 4*time.Second, g.EraAge(later))
		receive(g, 6, -1)
		require.EqualValues(t, 6, g.Era())
		require.Equal(t, time.Second, g.EraAge(later))
	})
}
