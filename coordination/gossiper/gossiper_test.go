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

// village runs gossipers in rounds of one ping period.
type village struct {
	random  *rand.Rand
	members []*gossiper.Gossiper
	down    map[int]bool
	cut     map[[2]int]bool
	now     time.Duration
	places  map[string]int
	// zones is how many availability zones the members stand in.
	zones int
	bytes int
	// farBytes are those between zones.
	farBytes int
}

func newVillage(count int, seed uint64) *village { return newZonedVillage(count, 1, seed) }

func newZonedVillage(count, zones int, seed uint64) *village {
	v := &village{
		random: rand.New(rand.NewPCG(seed, 1)), down: map[int]bool{}, cut: map[[2]int]bool{}, places: map[string]int{},
		zones: zones,
	}
	for i := range count {
		v.places[v.entry(i).Address] = i
		v.members = append(v.members, gossiper.New(v.entry(i), []string{v.entry(0).Address}, v.random.Uint64))
	}
	return v
}

func (v *village) entry(i int) registrar.Member {
	return registrar.Member{
		Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.0.%d.%d:8001", i/250, i%250),
		HTTPAddress: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
		Zone:        fmt.Sprintf("zone-%d", i%v.zones),
		Service:     fmt.Sprintf("service-%d", i/37), Slots: 4, State: registrar.StateServing, Version: 1,
	}
}

func (v *village) instant() clocker.Instant {
	return clocker.Instant{Mono: v.now, Wall: time.Hour + v.now}
}

func (v *village) index(address string) int {
	return v.places[address]
}

// exchange carries a ping and its reply, if both directions work.
func (v *village) exchange(from, to int, message gossiper.Message) (gossiper.Message, bool) {
	if v.down[to] || v.cut[[2]int{from, to}] {
		return gossiper.Message{}, false
	}
	reply := v.members[to].Receive(v.instant(), message)
	size := proto.Size(converter.GossipToProto(message)) + proto.Size(converter.GossipToProto(reply))
	v.bytes += size
	if from%v.zones != to%v.zones {
		v.farBytes += size
	}
	return reply, !v.cut[[2]int{to, from}] && !v.down[from]
}

func (v *village) ping(from int, ping gossiper.Ping) {
	to := v.index(ping.Address)
	reply, ok := v.exchange(from, to, ping.Message)
	if ok {
		for _, more := range v.members[from].Acked(v.instant(), reply) {
			v.ping(from, more)
		}
		return
	}
	if ping.Incarnation == 0 {
		return
	}
	for _, relay := range v.members[from].Failed(ping.Incarnation) {
		via := v.index(relay.Via.Address)
		if v.down[via] || v.cut[[2]int{from, via}] || v.cut[[2]int{via, from}] {
			continue
		}
		if reply, ok := v.exchange(via, to, v.members[via].PingTo(relay.Target).Message); ok {
			v.members[via].Acked(v.instant(), reply)
			return
		}
	}
	v.members[from].Unreached(v.instant(), ping.Incarnation)
}

func (v *village) rounds(count int) {
	for range count {
		v.now += gossiper.PingPeriod
		for i, member := range v.members {
			if v.down[i] {
				continue
			}
			for _, ping := range member.Tick(v.instant()) {
				v.ping(i, ping)
			}
		}
	}
}

// agree tells whether all that are up see a member in a state.
func (v *village) agree(i int, state registrar.State) bool {
	for j, member := range v.members {
		if v.down[j] || j == i {
			continue
		}
		if seen, ok := member.Roster().Member(uint64(i + 1)); !ok || seen.State != state {
			return false
		}
	}
	return true
}

// until returns how many rounds it took, at most the limit.
func (v *village) until(limit int, done func() bool) int {
	for round := range limit {
		if done() {
			return round
		}
		v.rounds(1)
	}
	return limit
}

func (v *village) full() bool {
	for _, member := range v.members {
		if member.Roster().Len() < len(v.members) {
			return false
		}
	}
	return true
}

func TestGossip(t *testing.T) {
	t.Run("EveryoneLearnsOfEveryone", func(t *testing.T) {
		v := newVillage(30, 1)
		require.Less(t, v.until(100, v.full), 100)
	})
	t.Run("ChangesReachEveryone", func(t *testing.T) {
		v := newVillage(30, 2)
		v.until(100, v.full)
		v.members[7].SetSelf(v.members[7].Self().WithState(registrar.StateLeaving))
		rounds := v.until(100, func() bool { return v.agree(7, registrar.StateLeaving) })
		require.Less(t, time.Duration(rounds)*gossiper.PingPeriod, 3*time.Second)
	})
	t.Run("DeadMemberIsGone", func(t *testing.T) {
		v := newVillage(30, 3)
		v.until(100, v.full)
		v.down[5] = true
		require.Less(t, v.until(300, func() bool { return v.agree(5, registrar.StateGone) }), 300)
	})
	t.Run("PausedMemberComesBack", func(t *testing.T) {
		v := newVillage(12, 4)
		v.until(100, v.full)
		v.down[5] = true
		v.until(300, func() bool { return v.agree(5, registrar.StateGone) })
		v.down[5] = false
		require.Less(t, v.until(300, func() bool { return v.agree(5, registrar.StateServing) }), 300)
	})
	t.Run("OneWayCutOfOnePairKillsNobody", func(t *testing.T) {
		v := newVillage(8, 5)
		v.until(100, v.full)
		v.cut[[2]int{2, 3}] = true
		for range 100 {
			v.rounds(1)
			for i, member := range v.members {
				for _, seen := range member.Roster().Members() {
					require.NotEqual(t, registrar.StateGone, seen.State, "member %d sees %d gone", i, seen.Incarnation)
				}
			}
		}
	})
	t.Run("MemberThatHearsNobodyIsGone", func(t *testing.T) {
		v := newVillage(8, 6)
		v.until(100, v.full)
		for i := range 8 {
			v.cut[[2]int{3, i}] = true
		}
		require.Less(t, v.until(300, func() bool { return v.agree(3, registrar.StateGone) }), 300)
	})
}

func TestGossipOverZones(t *testing.T) {
	const size, zones, limit = 40, 4, 300
	t.Run("EveryoneLearnsOfEveryone", func(t *testing.T) {
		v := newZonedVillage(size, zones, 11)
		require.Less(t, v.until(limit, v.full), limit)
	})
	t.Run("ChangesReachEveryone", func(t *testing.T) {
		v := newZonedVillage(size, zones, 12)
		v.until(limit, v.full)
		v.rounds(limit)
		v.members[7].SetSelf(v.members[7].Self().WithState(registrar.StateLeaving))
		rounds := v.until(limit, func() bool { return v.agree(7, registrar.StateLeaving) })
		require.Less(t, time.Duration(rounds)*gossiper.PingPeriod, 5*time.Second)
	})
	t.Run("DeadMemberIsGone", func(t *testing.T) {
		v := newZonedVillage(size, zones, 13)
		v.until(limit, v.full)
		v.down[5] = true
		require.Less(t, v.until(limit, func() bool { return v.agree(5, registrar.StateGone) }), limit)
	})
	t.Run("ZoneBehindACutComesBack", func(t *testing.T) {
		v := newZonedVillage(size, zones, 14)
		v.until(limit, v.full)
		for i := range size {
			for j := range size {
				v.cut[[2]int{i, j}] = (i%zones == 0) != (j%zones == 0)
			}
		}
		v.rounds(100)
		v.members[1].SetSelf(v.members[1].Self().WithState(registrar.StateEjected))
		v.members[4].SetSelf(v.members[4].Self().WithState(registrar.StateEjected))
		v.rounds(20)
		clear(v.cut)
		back := func() bool { return v.agree(1, registrar.StateEjected) && v.agree(4, registrar.StateEjected) }
		require.Less(t, v.until(limit, back), limit)
	})
	t.Run("ZoneOfOneMember", func(t *testing.T) {
		v := newZonedVillage(5, 5, 15)
		v.until(limit, v.full)
		v.members[3].SetSelf(v.members[3].Self().WithState(registrar.StateLeaving))
		require.Less(t, v.until(limit, func() bool { return v.agree(3, registrar.StateLeaving) }), 50)
	})
}

// BenchmarkGossipOverZones measures the bytes between 4 zones, calm and for one change.
func BenchmarkGossipOverZones(b *testing.B) {
	const zones = 4
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			v := newZonedVillage(size, zones, 9)
			v.until(1000, v.full)
			v.rounds(300)
			v.farBytes = 0
			b.ResetTimer()
			for range b.N {
				v.rounds(1)
			}
			b.StopTimer()
			calm := float64(v.farBytes) / float64(b.N*size)
			b.ReportMetric(calm, "farB/member-period")
			const rounds = 60
			v.farBytes = 0
			v.members[1].SetSelf(v.members[1].Self().WithState(registrar.StateEjected))
			v.rounds(rounds)
			b.ReportMetric(float64(v.farBytes)/float64(size)-rounds*calm, "farB/change-member")
		})
	}
}

// BenchmarkGossipPeriod measures what one calm process spends in one ping
// period, and what one change costs the fleet in bytes for each member.
func BenchmarkGossipPeriod(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			v := newVillage(size, 9)
			v.until(1000, v.full)
			v.rounds(300)
			v.bytes = 0
			b.ResetTimer()
			for range b.N {
				v.rounds(1)
			}
			b.StopTimer()
			perMember := float64(b.N * size)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perMember, "ns/member-period")
			b.ReportMetric(float64(v.bytes)/perMember, "B/member-period")
			calm := float64(v.bytes) / perMember
			const rounds = 60
			v.bytes = 0
			v.members[1].SetSelf(v.members[1].Self().WithState(registrar.StateEjected))
			v.rounds(rounds)
			b.ReportMetric(float64(v.bytes)/float64(size)-rounds*calm, "B/change-member")
		})
	}
}
