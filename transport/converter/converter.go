// Package converter turns the values of decisions into messages and back.
package converter

import (
	"math"

	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// MemberToProto returns the message of a roster entry.
func MemberToProto(member registrar.Member) *messenger.Member {
	return &messenger.Member{
		Incarnation: member.Incarnation,
		Address:     member.Address,
		HttpAddress: member.HTTPAddress,
		Zone:        member.Zone,
		Service:     member.Service,
		Slots:       member.Slots,
		State:       uint32(member.State),
		Version:     member.Version,
	}
}

// MemberFromProto returns the roster entry of a message.
func MemberFromProto(message *messenger.Member) registrar.Member {
	return registrar.Member{
		Incarnation: message.GetIncarnation(),
		Address:     message.GetAddress(),
		HTTPAddress: message.GetHttpAddress(),
		Zone:        message.GetZone(),
		Service:     message.GetService(),
		Slots:       message.GetSlots(),
		State:       stateFrom(message.GetState()),
		Version:     message.GetVersion(),
	}
}

// stateFrom keeps states that this version does not know out of range.
func stateFrom(state uint32) registrar.State {
	if state > math.MaxUint8 {
		return registrar.State(math.MaxUint8)
	}
	return registrar.State(state)
}

// GossipToProto returns the message of a gossip exchange.
func GossipToProto(message gossiper.Message) *messenger.GossipMessage {
	changes := make([]*messenger.Member, 0, len(message.Changes))
	for _, change := range message.Changes {
		changes = append(changes, MemberToProto(change))
	}
	return &messenger.GossipMessage{
		Sender:        MemberToProto(message.Sender),
		Changes:       changes,
		Digest:        message.Digest,
		ConfigVersion: message.ConfigVersion,
		Full:          message.Full,
		WantFull:      message.WantFull,
		Known:         message.Known,
	}
}

// GossipFromProto returns the gossip exchange of a message.
func GossipFromProto(message *messenger.GossipMessage) gossiper.Message {
	changes := make([]registrar.Member, 0, len(message.GetChanges()))
	for _, change := range message.GetChanges() {
		changes = append(changes, MemberFromProto(change))
	}
	return gossiper.Message{
		Sender:        MemberFromProto(message.GetSender()),
		Changes:       changes,
		Digest:        message.GetDigest(),
		ConfigVersion: message.GetConfigVersion(),
		Full:          message.GetFull(),
		WantFull:      message.GetWantFull(),
		Known:         message.GetKnown(),
	}
}

// TermToProto returns the message of a term.
func TermToProto(term locker.Term) *messenger.Term {
	return &messenger.Term{Counter: term.Counter, Owner: term.Owner}
}

// TermFromProto returns the term of a message.
func TermFromProto(message *messenger.Term) locker.Term {
	return locker.Term{Counter: message.GetCounter(), Owner: message.GetOwner()}
}

// EvidenceToProto returns the message of a guard's digest.
func EvidenceToProto(incarnation uint64, service string, evidence detector.Evidence) *messenger.Evidence {
	return &messenger.Evidence{
		Incarnation: incarnation,
		Service:     service,
		Suspicion:   evidence.Suspicion,
		MeanLog:     evidence.MeanLog,
		SpreadLog:   evidence.SpreadLog,
		BadShare:    evidence.BadShare,
		Samples:     evidence.Samples,
		Cause:       uint32(evidence.Cause),
	}
}

// EvidenceFromProto returns the digest of a message. Figures that are not numbers count as none.
func EvidenceFromProto(message *messenger.Evidence) detector.Evidence {
	return detector.Evidence{
		Suspicion: finite(message.GetSuspicion()),
		MeanLog:   finite(message.GetMeanLog()),
		SpreadLog: finite(message.GetSpreadLog()),
		BadShare:  finite(message.GetBadShare()),
		Samples:   message.GetSamples(),
		Cause:     detector.Cause(min(message.GetCause(), math.MaxUint8)),
	}
}

func finite(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	return value
}

// BaselineToProto returns the message of a pool's measure.
func BaselineToProto(baseline detector.Baseline) *messenger.Baseline {
	return &messenger.Baseline{
		Accepted:  true,
		MedianLog: baseline.MedianLog,
		SpreadLog: baseline.SpreadLog,
		BadShare:  baseline.BadShare,
		Members:   uint32(baseline.Members),
	}
}

// BaselineFromProto returns the pool's measure of a message.
func BaselineFromProto(message *messenger.Baseline) detector.Baseline {
	return detector.Baseline{
		MedianLog: finite(message.GetMedianLog()),
		SpreadLog: finite(message.GetSpreadLog()),
		BadShare:  finite(message.GetBadShare()),
		Members:   int(message.GetMembers()),
	}
}
