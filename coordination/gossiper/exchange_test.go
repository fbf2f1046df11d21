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

// informed returns the membership of member 0 that knows the first of count
// members, with nothing left to spread.
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
	for range 1000 {
		at.Mono += gossiper.PingPeriod
		if pings := g.Tick(at); len(pings) == 1 && len(pings[0].Message.Changes) == 0 {
			return g
		}
	}
	require.Fail(t, "changes are spread for ever")
	return nil
}

func TestExchangeOfViews(t *testing.T) {
	at := clocker.Instant{Mono: time.Hour}
	t.Run("OnlyWhatTheAskerLacksIsSent", func(t *testing.T) {
		asker, asked := informed(t, 10), informed(t, 12)
		ask := asker.Acked(at, gossiper.Message{Sender: zoned(1), Digest: asked.Roster().Digest()})
		require.Len(t, ask, 1)
		require.True(t, ask[0].Message.WantFull)
		reply := asked.Receive(at, ask[0].Message)
		require.Equal(t, []registrar.Member{zoned(10), zoned(11)}, reply.Changes)
		asker.Acked(at, reply)
		require.Equal(t, asked.Roster().Digest(), asker.Roster().Digest())
	})
	t.Run("WhoKnowsNobodyIsSentAll", func(t *testing.T) {
		asked := informed(t, 12)
		reply := asked.Receive(at, gossiper.Message{Sender: zoned(12), WantFull: true})
		require.Len(t, reply.Changes, 13)
	})
	t.Run("ReplyThatAsksIsAnsweredWithTheDifference", func(t *testing.T) {
		asker, asked := informed(t, 10), informed(t, 12)
		reply := asker.Receive(at, gossiper.Message{Sender: zoned(1), Digest: asked.Roster().Digest()})
		require.True(t, reply.WantFull)
		more := asked.Acked(at, reply)
		require.Len(t, more, 1)
		require.Equal(t, []registrar.Member{zoned(10), zoned(11)}, more[0].Message.Changes)
	})
}
