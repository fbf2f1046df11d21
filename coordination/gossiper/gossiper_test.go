package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

// cluster simulates gossipers in rounds of one ping period.
type cluster struct {
	random  *rand.Rand
	members []*gossiper.Gossiper
	// down holds the members that are down, and cut the pairs of sender and
	// receiver between which messages are lost.
	down    map[int]bool
	cut     map[[2]int]bool
	now     time.Duration
	indexes map[string]int
	// zones is the number of availability zones; member i is in zone i%zones.
	zones int
	bytes int
	// farBytes counts the bytes between zones.
	farBytes int
	// heard is called with each version that a member hears of, unless it is nil.
	heard func(member int, version uint64)
}

func newCluster(count int, seed uint64) *cluster { return newZonedCluster(count, 1, seed) }

func newZonedCluster(count, zones int, seed uint64) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), down: map[int]bool{}, cut: map[[2]int]bool{}, indexes: map[string]int{},
		zones: zones,
	}
	for i := range count {
		c.indexes[c.entry(i).Address] = i
		c.members = append(c.members, gossiper.New(c.entry(i), []string{c.entry(0).Address}, c.random.Uint64))
	}
	return c
}

func (c *cluster) entry(i int) registrar.Member {
	return registrar.Member{
		Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.0.%d.%d:8001", i/250, i%250),
		HTTPAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		Zone:        fmt.Sprintf("zone-%d", i%c.zones),
		Service:     fmt.Sprintf("service-%d", i/37), Slots: 4, State: registrar.StateServing, Version: 1,
	}
}

func (c *cluster) instant() clocker.Instant {
	return clocker.Instant{Mono: c.now, Wall: time.Hour + c.now}
}

func (c *cluster) index(address string) int {
	return c.indexes[address]
}

// exchange delivers a ping and its reply, and reports whether the reply arrived.
func (c *cluster) exchange(from, to int, message gossiper.Message) (gossiper.Message, bool) {
	if c.down[to] || c.cut[[2]int{from, to}] {
		return gossiper.Message{}, false
	}
	reply := c.members[to].Receive(c.instant(), message)
	if c.heard != nil {
		c.heard(to, message.ConfigVersion)
	}
	size := proto.Size(converter.GossipToProto(message)) + proto.Size(converter.GossipToProto(reply))
	c.bytes += size
	if from%c.zones != to%c.zones {
		c.farBytes += size
	}
	return reply, !c.cut[[2]int{to, from}] && !c.down[from]
}

func (c *cluster) ping(from int, ping gossiper.Ping) {
	to := c.index(ping.Address)
	reply, ok := c.exchange(from, to, ping.Message)
	if ok {
		if c.heard != nil {
			c.heard(from, reply.ConfigVersion)
		}
		for _, more := range c.members[from].Acked(c.instant(), reply) {
			c.ping(from, more)
		}
		return
	}
	if ping.Incarnation == 0 {
		return
	}
	for _, relay := range c.members[from].Failed(ping.Incarnation) {
		via := c.index(relay.Via.Address)
		if c.down[via] || c.cut[[2]int{from, via}] || c.cut[[2]int{via, from}] {
			continue
		}
		if reply, ok := c.exchange(via, to, c.members[via].PingTo(c.instant(), relay.Target).Message); ok {
			c.members[via].Acked(c.instant(), reply)
			return
		}
	}
	c.members[from].Unreached(c.instant(), ping.Incarnation)
}

func (c *cluster) rounds(count int) {
	for range count {
		c.now += gossiper.PingPeriod
		for i, member := range c.members {
			if c.down[i] {
				continue
			}
			for _, ping := range member.Tick(c.instant()) {
				c.ping(i, ping)
			}
		}
	}
}

// agree reports whether all other members that are up see a member in a state.
func (c *cluster) agree(i int, state registrar.State) bool {
	for j, member := range c.members {
		if c.down[j] || j == i {
			continue
		}
		if seen, ok := member.Roster().Member(uint64(i + 1)); !ok || seen.State != state {
			return false
		}
	}
	return true
}

// until runs rounds until done, and returns their number, at most the limit.
func (c *cluster) until(limit int, done func() bool) int {
	for round := range limit {
		if done() {
			return round
		}
		c.rounds(1)
	}
	return limit
}

// complete reports whether every member knows all members.
func (c *cluster) complete() bool {
	for _, member := range c.members {
		if member.Roster().Len() < len(c.members) {
			return false
		}
	}
	return true
}

func TestGossip(t *testing.T) {
	t.Run("EveryoneLearnsOfEveryone", func(t *testing.T) {
		c := newCluster(30, 1)
		require.Less(t, c.until(100, c.complete), 100)
	})
	t.Run("ChangesReachEveryone", func(t *testing.T) {
		c := newCluster(30, 2)
		c.until(100, c.complete)
		c.members[7].SetSelf(c.members[7].Self().WithState(registrar.StateLeaving))
		rounds := c.until(100, func() bool { return c.agree(7, registrar.StateLeaving) })
		require.Less(t, time.Duration(rounds)*gossiper.PingPeriod, 3*time.Second)
	})
	t.Run("DeadMemberIsGone", func(t *testing.T) {
		c := newCluster(30, 3)
		c.until(100, c.complete)
		c.down[5] = true
		require.Less(t, c.until(300, func() bool { return c.agree(5, registrar.StateGone) }), 300)
	})
	t.Run("PausedMemberComesBack", func(t *testing.T) {
		c := newCluster(12, 4)
		c.until(100, c.complete)
		c.down[5] = true
		c.until(300, func() bool { return c.agree(5, registrar.StateGone) })
		c.down[5] = false
		require.Less(t, c.until(300, func() bool { return c.agree(5, registrar.StateServing) }), 300)
	})
	t.Run("OneWayCutOfOnePairKillsNobody", func(t *testing.T) {
		c := newCluster(8, 5)
		c.until(100, c.complete)
		c.cut[[2]int{2, 3}] = true
		for range 100 {
			c.rounds(1)
			for i, member := range c.members {
				for _, seen := range member.Roster().Members() {
					require.NotEqual(t, registrar.StateGone, seen.State, "member %d sees %d gone", i, seen.Incarnation)
				}
			}
		}
	})
	t.Run("MemberThatHearsNobodyIsGone", func(t *testing.T) {
		c := newCluster(8, 6)
		c.until(100, c.complete)
		for i := range 8 {
			c.cut[[2]int{3, i}] = true
		}
		require.Less(t, c.until(300, func() bool { return c.agree(3, registrar.StateGone) }), 300)
	})
}

func TestGossipOverZones(t *testing.T) {
	const size, zones, limit = 40, 4, 300
	t.Run("EveryoneLearnsOfEveryone", func(t *testing.T) {
		c := newZonedCluster(size, zones, 11)
		require.Less(t, c.until(limit, c.complete), limit)
	})
	t.Run("ChangesReachEveryone", func(t *testing.T) {
		c := newZonedCluster(size, zones, 12)
		c.until(limit, c.complete)
		c.rounds(limit)
		c.members[7].SetSelf(c.members[7].Self().WithState(registrar.StateLeaving))
		rounds := c.until(limit, func() bool { return c.agree(7, registrar.StateLeaving) })
		require.Less(t, time.Duration(rounds)*gossiper.PingPeriod, 5*time.Second)
	})
	t.Run("DeadMemberIsGone", func(t *testing.T) {
		c := newZonedCluster(size, zones, 13)
		c.until(limit, c.complete)
		c.down[5] = true
		require.Less(t, c.until(limit, func() bool { return c.agree(5, registrar.StateGone) }), limit)
	})
	t.Run("ZoneBehindACutComesBack", func(t *testing.T) {
		c := newZonedCluster(size, zones, 14)
		c.until(limit, c.complete)
		for i := range size {
			for j := range size {
				c.cut[[2]int{i, j}] = (i%zones == 0) != (j%zones == 0)
			}
		}
		c.rounds(100)
		c.members[1].SetSelf(c.members[1].Self().WithState(registrar.StateEjected))
		c.members[4].SetSelf(c.members[4].Self().WithState(registrar.StateEjected))
		c.rounds(20)
		clear(c.cut)
		back := func() bool { return c.agree(1, registrar.StateEjected) && c.agree(4, registrar.StateEjected) }
		require.Less(t, c.until(limit, back), limit)
	})
	t.Run("ZoneOfOneMember", func(t *testing.T) {
		c := newZonedCluster(5, 5, 15)
		c.until(limit, c.complete)
		c.members[3].SetSelf(c.members[3].Self().WithState(registrar.StateLeaving))
		require.Less(t, c.until(limit, func() bool { return c.agree(3, registrar.StateLeaving) }), 50)
	})
}

// BenchmarkGossipOverZones measures the bytes between 4 zones, without changes and
// for one change.
func BenchmarkGossipOverZones(b *testing.B) {
	const zones = 4
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newZonedCluster(size, zones, 9)
			c.until(1000, c.complete)
			c.rounds(300)
			c.farBytes = 0
			b.ResetTimer()
			for range b.N {
				c.rounds(1)
			}
			b.StopTimer()
			baseline := float64(c.farBytes) / float64(b.N*size)
			b.ReportMetric(baseline, "farB/member-period")
			const rounds = 60
			c.farBytes = 0
			c.members[1].SetSelf(c.members[1].Self().WithState(registrar.StateEjected))
			c.rounds(rounds)
			b.ReportMetric(float64(c.farBytes)/float64(size)-rounds*baseline, "farB/change-member")
		})
	}
}

// BenchmarkGossipPeriod measures the time and bytes of one process per ping period
// without changes, and the bytes per member that one change costs the fleet.
func BenchmarkGossipPeriod(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := newCluster(size, 9)
			c.until(1000, c.complete)
			c.rounds(300)
			c.bytes = 0
			b.ResetTimer()
			for range b.N {
				c.rounds(1)
			}
			b.StopTimer()
			perMember := float64(b.N * size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perMember, "ns/member-period")
			b.ReportMetric(float64(c.bytes)/perMember, "B/member-period")
			baseline := float64(c.bytes) / perMember
			const rounds = 60
			c.bytes = 0
			c.members[1].SetSelf(c.members[1].Self().WithState(registrar.StateEjected))
			c.rounds(rounds)
			b.ReportMetric(float64(c.bytes)/float64(size)-rounds*baseline, "B/change-member")
		})
	}
}

// BenchmarkJoin measures the bytes between 5 zones while a whole fleet starts, per member.
func BenchmarkJoin(b *testing.B) {
	const zones = 5
	for _, size := range []int{30, 100, 350} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := range b.N {
				c := newZonedCluster(size, zones, uint64(i+1))
				for j := range c.members {
					for k := 1; k <= 10; k++ {
						c.members[j].AddSeeds(c.entry((j + k*zones) % size).Address)
					}
				}
				rounds := c.until(1000, c.complete)
				c.rounds(25)
				b.ReportMetric(float64(c.farBytes)/float64(size), "farB/member")
				b.ReportMetric(float64(c.bytes)/float64(size), "B/member")
				b.ReportMetric((time.Duration(rounds) * gossiper.PingPeriod).Seconds(), "s-complete")
			}
		})
	}
}
