package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const zoneSize = 5

func zoned(i int) registrar.Member {
	return registrar.Member{
		Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:8001", i+1),
		Zone: fmt.Sprintf("zone-%d", i/zoneSize), Service: "service", Slots: 4,
		State: registrar.StateServing, Version: 1,
	}
}

// informed returns the gossiper of member 0, which knows members 0 to count-1 and
// has no changes left to spread.
func informed(t *testing.T, count int) *gossiper.Gossiper {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	g := gossiper.New(zoned(0), nil, random.Uint64)
	message := gossiper.Message{Sender: zoned(1), Full: true}
	for i := 2; i < count; i++ {
		message.Changes = append(message.Changes, zoned(i))
	}
	at := clocker.Instant{}
	g.Receive(at, message)
	const ticks = 1000
	for range ticks {
		at.Mono += gossiper.PingPeriod
		g.Tick(at)
	}
	at.Mono += gossiper.PingPeriod
	for _, ping := range g.Tick(at) {
		require.Empty(t, ping.Message.Changes, "changes are still sent after 1000 ticks")
	}
	return g
}

func TestExchangeOfViews(t *testing.T) {
	at := clocker.Instant{Mono: time.Hour}
	t.Run("OnlyMissingEntriesAreSent", func(t *testing.T) {
		requester, responder := informed(t, 10), informed(t, 12)
		ask := requester.Acked(at, gossiper.Message{Sender: zoned(1), Digest: responder.Roster().Digest()})
		require.Len(t, ask, 1)
		require.True(t, ask[0].Message.WantFull)
		reply := responder.Receive(at, ask[0].Message)
		require.Equal(t, []registrar.Member{zoned(10), zoned(11)}, reply.Changes)
		requester.Acked(at, reply)
		require.Equal(t, responder.Roster().Digest(), requester.Roster().Digest())
	})
	t.Run("NewMemberIsSentAllEntries", func(t *testing.T) {
		responder := informed(t, 12)
		reply := responder.Receive(at, gossiper.Message{Sender: zoned(12), WantFull: true})
		require.Len(t, reply.Changes, 13)
	})
	t.Run("ReplyThatWantsFullIsAnsweredWithTheDifference", func(t *testing.T) {
		requester, responder := informed(t, 10), informed(t, 12)
		reply := requester.Receive(at, gossiper.Message{Sender: zoned(1), Digest: responder.Roster().Digest()})
		require.True(t, reply.WantFull)
		more := responder.Acked(at, reply)
		require.Len(t, more, 1)
		require.Equal(t, []registrar.Member{zoned(10), zoned(11)}, more[0].Message.Changes)
	})
}

// sentTo runs 200 ticks, collects the changes in pings to members of one zone, and
// counts those pings.
func sentTo(g *gossiper.Gossiper, zone string) (changes map[uint64]bool, messages int) {
	changes = map[uint64]bool{}
	at := clocker.Instant{Mono: time.Hour}
	for range 200 {
		at.Mono += gossiper.PingPeriod
		for _, ping := range g.Tick(at) {
			member, _ := g.Roster().Member(ping.Incarnation)
			if member.Zone != zone {
				continue
			}
			messages++
			for _, change := range ping.Message.Changes {
				changes[change.Incarnation] = true
			}
		}
	}
	return changes, messages
}

// TestGonePredecessorsAreLearned guards against a restarted process that does not learn that
// its server had left, since the others count the process before it as gone already.
func TestGonePredecessorsAreLearned(t *testing.T) {
	at := clocker.Instant{Mono: time.Hour}
	before, stranger := zoned(0), zoned(3)
	before.Service = ""
	restarted := zoned(0)
	restarted.Incarnation = 100
	g := gossiper.New(restarted, nil, rand.New(rand.NewPCG(1, 1)).Uint64)
	g.Acked(at, gossiper.Message{Sender: zoned(1), Full: true, Changes: []registrar.Member{
		before.WithState(registrar.StateGone), stranger.WithState(registrar.StateGone),
	}})
	learned, ok := g.Roster().Member(before.Incarnation)
	require.True(t, ok)
	require.Empty(t, learned.Service)
	require.Equal(t, registrar.StateGone, learned.State)
	_, ok = g.Roster().Member(stranger.Incarnation)
	require.False(t, ok, "gone members at other addresses are of no use")
}

func TestChangesBetweenZones(t *testing.T) {
	changed := func(g *gossiper.Gossiper, members ...int) {
		message := gossiper.Message{Sender: zoned(1)}
		for _, i := range members {
			message.Changes = append(message.Changes, zoned(i).WithVersion(7))
		}
		g.Receive(clocker.Instant{Mono: time.Hour}, message)
	}
	t.Run("OtherZonesAreSentOwnZoneChangesOnly", func(t *testing.T) {
		g := informed(t, 3*zoneSize)
		changed(g, 3, zoneSize+2, 2*zoneSize+2)
		changes, messages := sentTo(g, "zone-1")
		require.Positive(t, messages)
		require.Equal(t, map[uint64]bool{4: true}, changes)
	})
	t.Run("OwnZoneIsSentAllChanges", func(t *testing.T) {
		g := informed(t, 3*zoneSize)
		changed(g, 3, zoneSize+2, 2*zoneSize+2)
		changes, _ := sentTo(g, "zone-0")
		require.Equal(t, map[uint64]bool{4: true, zoneSize + 3: true, 2*zoneSize + 3: true}, changes)
	})
	t.Run("MemberWithoutNearPeersSendsOtherZonesAll", func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		g := gossiper.New(zoned(0), nil, random.Uint64)
		changed(g, zoneSize+2, 2*zoneSize+2)
		changes, _ := sentTo(g, "zone-1")
		require.Contains(t, changes, uint64(2*zoneSize+3))
	})
	t.Run("ReplyToAnotherZoneHoldsTheOwnZoneOnly", func(t *testing.T) {
		g := informed(t, 3*zoneSize)
		changed(g, 3, 2*zoneSize+2)
		reply := g.Receive(clocker.Instant{Mono: time.Hour}, gossiper.Message{Sender: zoned(zoneSize)})
		require.Equal(t, []registrar.Member{zoned(3).WithVersion(7)}, reply.Changes)
	})
}

func TestSeeds(t *testing.T) {
	pingsTo := func(g *gossiper.Gossiper, seed string) int {
		count := 0
		at := clocker.Instant{Mono: time.Hour}
		for range 100 {
			at.Mono += gossiper.PingPeriod
			for _, ping := range g.Tick(at) {
				if ping.Address == seed {
					count++
				}
			}
		}
		return count
	}
	const seed = "10.0.9.9:8001"
	t.Run("MemberWithoutPeersPingsSeedInEachTick", func(t *testing.T) {
		g := gossiper.New(zoned(0), []string{seed}, rand.New(rand.NewPCG(1, 1)).Uint64)
		require.Equal(t, 100, pingsTo(g, seed))
	})
	t.Run("MemberWithPeersPingsSeedSeldom", func(t *testing.T) {
		g := informed(t, 3*zoneSize)
		g.AddSeeds(seed)
		count := pingsTo(g, seed)
		require.Positive(t, count)
		require.Less(t, count, 10)
	})
}
