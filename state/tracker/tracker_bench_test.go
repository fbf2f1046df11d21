package tracker_test

import (
	"testing"
	"unsafe"

	"github.com/foxtailhall/foxtailhall/state/tracker"
)

// BenchmarkRouterServer measures what one answer costs a router, and the
// memory of its view of one backend server.
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
