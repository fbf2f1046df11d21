package registrar_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/foxtailhall/foxtailhall/state/registrar"
)

func member(i int) registrar.Member {
	return registrar.Member{
		Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.%d.%d.%d:8001", i>>16, i>>8&255, i&255),
		HTTPAddress: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255),
		Zone:        "zone-1", Service: fmt.Sprintf("service-%d", i/37), Slots: 4, State: registrar.StateServing, Version: 1,
	}
}

func roster(size int) registrar.Roster {
	r := registrar.New()
	for i := range size {
		r = r.WithMember(member(i))
	}
	return r
}

// BenchmarkRosterEntry measures the memory of one entry and the time of one change.
func BenchmarkRosterEntry(b *testing.B) {
	for _, size := range []int{2000, 20000, 200000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := roster(size)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				r = r.WithMember(member(i % size).WithVersion(uint64(i + 2)))
			}
			b.StopTimer()
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/entry")
			runtime.KeepAlive(r)
		})
	}
}
