package claimer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
)

// BenchmarkClaimEntry measures the memory and the time that a reader needs for one claim.
func BenchmarkClaimEntry(b *testing.B) {
	for _, size := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			ledger := claimer.New()
			for i := range size {
				ledger.Apply(int64(i), 1, claim(i))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				ledger.Apply(int64(size+i), 1, claim(i%size))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/claim")
			runtime.KeepAlive(ledger)
		})
	}
}

func claim(i int) claimer.Record {
	return claimer.Record{Claims: []claimer.Claim{{Key: fmt.Sprintf("0190163d-8694-739b-aea5-%012d", i), Service: "s", Guard: 7}}}
}
