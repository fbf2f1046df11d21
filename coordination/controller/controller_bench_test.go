package controller_test

import (
	"testing"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
)

// BenchmarkGuardTick measures one tick of a controller with 4 requests in flight.
func BenchmarkGuardTick(b *testing.B) {
	now := clocker.Instant{}
	c := controller.New(1, now, ejector.RoundLifetime)
	if err := c.Announce(now, controller.Config{Service: "s", Slots: 4, EvidenceThreshold: 10}); err != nil {
		b.Fatal(err)
	}
	c.Detector().SetBaseline(detector.Baseline{MedianLog: 30, SpreadLog: 0.3, Members: 3})
	for id := range uint64(4) {
		c.Detector().Start(now, id)
	}
	for range b.N {
		now = now.Add(10 * time.Millisecond)
		if err := c.Tick(now, 8); err != nil {
			b.Fatal(err)
		}
	}
}
