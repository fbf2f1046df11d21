package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// BenchmarkLockRound measures one round at the ejector, without messages.
func BenchmarkLockRound(b *testing.B) {
	for _, size := range []int{6, 37, 370} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			pool := make([]registrar.Member, 0, size)
			for i := range size {
				pool = append(pool, registrar.Member{Incarnation: uint64(i + 1), Slots: 4, State: registrar.StateServing})
			}
			serviceEjector := ejector.New(1, ejector.Params{Service: "s", EvidenceThreshold: 10, RoundLifetime: time.Second})
			failing := detector.Evidence{Suspicion: 20, Cause: detector.CauseLatency, MeanLog: 12, Samples: 50}
			now := clocker.Instant{}
			b.ReportAllocs()
			for n := range b.N {
				now = now.Add(2 * time.Second)
				_, actions := serviceEjector.HandleReport(now, pool, 1, failing)
				term := locker.Term{Counter: uint64(n + 1), Owner: 1}
				for i := range actions {
					reply := ejector.LockReply{Locked: true, Highest: term, Slots: 4, State: registrar.StateServing}
					reply.Evidence = detector.Evidence{MeanLog: 10, Samples: 50}
					if i == 0 {
						reply.Evidence = failing
					}
					serviceEjector.HandleLockReply(now, term, uint64(i+1), reply)
				}
			}
		})
	}
}
