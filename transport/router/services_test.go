package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/router"
)

const perService = 37

func member(i int) registrar.Member {
	return registrar.Member{
		Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.%d.%d.%d:8001", i>>16, i>>8&255, i&255),
		Service: fmt.Sprintf("service-%d", i/perService), Slots: 4, State: registrar.StateServing, Version: 1,
	}
}

func roster(size int) registrar.Roster {
	r := registrar.New()
	for i := range size {
		r = r.WithMember(member(i))
	}
	return r
}

func TestServiceTableKeepsObservations(t *testing.T) {
	table := router.NewServiceTable()
	r := roster(2 * perService)
	table.Update(time.Second, r)
	first, second := table.ServiceState("service-0"), table.ServiceState("service-1")
	known, _ := first.Pool.Find(1)
	known.Server.RecordLatency(time.Second)
	table.Update(2*time.Second, r.WithMember(member(0).WithState(registrar.StateEjected).WithVersion(2)))
	t.Run("ChangedServiceGetsTheNewState", func(t *testing.T) {
		entry, ok := table.ServiceState("service-0").Pool.Find(1)
		require.True(t, ok)
		require.Equal(t, registrar.StateEjected, entry.Member.State)
	})
	t.Run("ItsServersKeepTheirMeasurements", func(t *testing.T) {
		entry, _ := table.ServiceState("service-0").Pool.Find(1)
		require.Same(t, known.Server, entry.Server)
		require.Same(t, first.Latencies, table.ServiceState("service-0").Latencies)
	})
	t.Run("OtherServicesStay", func(t *testing.T) {
		require.Same(t, second.Pool, table.ServiceState("service-1").Pool)
	})
	t.Run("ServiceWithoutServersIsGone", func(t *testing.T) {
		table.Update(3*time.Second, roster(perService))
		require.Nil(t, table.ServiceState("service-1"))
	})
}

// BenchmarkServiceTableUpdate measures an update after one change of the roster.
func BenchmarkServiceTableUpdate(b *testing.B) {
	for _, size := range []int{2000, 20000, 200000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			table := router.NewServiceTable()
			r := roster(size)
			table.Update(0, r)
			b.ResetTimer()
			for i := range b.N {
				r = r.WithMember(member(i % size).WithVersion(uint64(i + 2)))
				table.Update(0, r)
			}
		})
	}
}
