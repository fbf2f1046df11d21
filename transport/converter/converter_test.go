package converter_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
	"github.com/foxtailhall/foxtailhall/transport/converter"
)

func TestMemberRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := registrar.Member{
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Address: rapid.StringMatching(`[0-9.:]{0,20}`).Draw(t, "address"),
			Zone: "z", Service: "s", Slots: rapid.Uint32().Draw(t, "slots"),
			State: registrar.State(rapid.IntRange(0, 7).Draw(t, "state")), Version: rapid.Uint64().Draw(t, "version"),
		}
		require.Equal(t, want, converter.MemberFromProto(converter.MemberToProto(want)))
	})
}

func TestStatementRoundTrips(t *testing.T) {
	want := witness.Statement{
		Departure: enroller.Departure{ID: "a", StartedMs: 3, LeftMs: 5},
		Limit:     witness.Limit{ID: "b", StartedMs: 7, PerSecond: 0.5},
	}
	require.Equal(t, want, converter.StatementFromProto(converter.StatementToProto(want)))
	message := gossiper.Message{Changes: []registrar.Member{}, Warnings: []warner.Warning{}, Own: want, Heard: want}
	require.Equal(t, message, converter.GossipFromProto(converter.GossipToProto(message)))
	require.Nil(t, converter.StatementToProto(witness.Statement{}))
	require.True(t, converter.StatementFromProto(nil).Empty())
}

func TestUnknownStatesStayUnknown(t *testing.T) {
	require.False(t, converter.MemberFromProto(&messenger.Member{State: 1 << 20}).State.Known())
	require.False(t, converter.MemberFromProto(&messenger.Member{State: 250}).State.Known())
}

// BenchmarkMemberMessage reports the encoded size of one roster entry.
func BenchmarkMemberMessage(b *testing.B) {
	member := registrar.Member{
		Incarnation: 1796374603123 << 20, Address: "10.11.12.13:8001", HTTPAddress: "10.11.12.13:8000",
		Zone: "zone-1", Service: "service-1234", Slots: 4, State: registrar.StateServing, Version: 12,
	}
	size := 0
	for range b.N {
		data, err := proto.Marshal(converter.MemberToProto(member))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/member")
}

// BenchmarkEvidenceMessage reports the encoded sizes of a guard's report and of the
// request and reply of a lock.
func BenchmarkEvidenceMessage(b *testing.B) {
	evidence := detector.Evidence{
		Suspicion: 3.3, Cause: detector.CauseLatency, MeanLog: 9.9, SpreadLog: 0.3, BadShare: 0.01, Samples: 123456,
	}
	report := converter.EvidenceToProto(1796374603123<<20, "service-1234", evidence)
	term := converter.TermToProto(locker.Term{Counter: 5000, Owner: 1796374603123 << 20})
	request := &messenger.LockRequest{Term: term, Service: "service-1234", Incarnation: 1796374603123 << 20}
	reply := &messenger.LockReply{
		Locked: true, Highest: term, Incarnation: request.Incarnation, Slots: 4, State: 1, Evidence: report,
	}
	for range b.N {
		_ = proto.Size(report)
	}
	b.ReportMetric(float64(proto.Size(report)), "B/report")
	b.ReportMetric(float64(proto.Size(request)+proto.Size(reply)), "B/lock")
}
