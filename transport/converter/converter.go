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

// MemberTo returns the message of a roster entry.
func MemberTo(member registrar.Member) *messenger.Member {
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

// MemberFrom returns the roster entry of a message.
func MemberFrom(message *messenger.Member) registrar.Member {
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

// GossipTo returns the message of a gossip exchange.
func GossipTo(message gossiper.Message) *messenger.GossipMessage {
	changes := make([]*messenger.Member, 0, len(message.Changes))
	for _, change := range message.Changes {
		changes = append(changes, MemberTo(change))
	}
	return &messenger.GossipMessage{
		Sender:        MemberTo(message.Sender),
		Changes:       changes,
		Digest:        message.Digest,
		ConfigVersion: message.ConfigVersion,
		Full:          message.Full,
		WantFull:      message.WantFull,
		Known:         message.Known,
	}
}

// GossipFrom returns the gossip exchange of a message.
func GossipFrom(message *messenger.GossipMessage) gossiper.Message {
	changes := make([]registrar.Member, 0, len(message.GetChanges()))
	for _, change := range message.GetChanges() {
		changes = append(changes, MemberFrom(change))
	}
	return gossiper.Message{
		Sender:        MemberFrom(message.GetSender()),
		Changes:       changes,
		Digest:        message.GetDigest(),
		ConfigVersion: message.GetConfigVersion(),
		Full:          message.GetFull(),
		WantFull:      message.GetWantFull(),
		Known:         message.GetKnown(),
	}
}

// TermTo returns the message of a term.
func TermTo(term locker.Term) *messenger.Term {
	return &messenger.Term{Counter: term.Counter, Owner: term.Owner}
}

// TermFrom returns the term of a message.
func TermFrom(message *messenger.Term) locker.Term {
	return locker.Term{Counter: message.GetCounter(), Owner: message.GetOwner()}
}

// EvidenceTo returns the message of a guard's digest.
func EvidenceTo(incarnation uint64, service string, evidence detector.Evidence) *messenger.Evidence {
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

// EvidenceFrom returns the digest of a message. Figures that are not numbers count as none.
func EvidenceFrom(message *messenger.Evidence) detector.Evidence {
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

// BaselineTo returns the message of a pool's measure.
func BaselineTo(baseline detector.Baseline) *messenger.Baseline {
	return &messenger.Baseline{
		Accepted:  true,
		MedianLog: baseline.MedianLog,
		SpreadLog: baseline.SpreadLog,
		BadShare:  baseline.BadShare,
		Members:   uint32(baseline.Members),
	}
}

// BaselineFrom returns the pool's measure of a message.
func BaselineFrom(message *messenger.Baseline) detector.Baseline {
	return detector.Baseline{
		MedianLog: finite(message.GetMedianLog()),
		SpreadLog: finite(message.GetSpreadLog()),
		BadShare:  finite(message.GetBadShare()),
		Members:   int(message.GetMembers()),
	}
}
