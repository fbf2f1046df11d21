package tracker_test

import (
	"testing"
	"unsafe"

	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// BenchmarkRouterServer measures the time to record one answer and the memory
// that a router holds per backend server.
func BenchmarkRouterServer(b *testing.B) {
	server := tracker.New(1, 0, 0)
	b.ReportAllocs()
	for range b.N {
		server.Begin(1)
		server.RecordAnswer(2, 1000, 1)
		server.End()
	}
	b.ReportMetric(float64(unsafe.Sizeof(*server))+float64(unsafe.Sizeof(tracker.Entry{})), "B/server")
}
