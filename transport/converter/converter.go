// Package converter converts state and coordination values to protobuf messages and back.
package converter

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/gossiper"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/coordination/warner"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// MemberToProto converts a roster entry.
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

// MemberFromProto converts a message to a roster entry.
func MemberFromProto(message *messenger.Member) registrar.Member {
	return registrar.Member{
		Incarnation: message.GetIncarnation(),
		Address:     message.GetAddress(),
		HTTPAddress: message.GetHttpAddress(),
		Zone:        message.GetZone(),
		Service:     message.GetService(),
		Slots:       message.GetSlots(),
		State:       stateFromProto(message.GetState()),
		Version:     message.GetVersion(),
	}
}

// stateFromProto converts a state and maps values beyond the type's range to its
// maximum, which is not a known state, rather than truncate them to a known one.
func stateFromProto(state uint32) registrar.State {
	if state > math.MaxUint8 {
		return registrar.State(math.MaxUint8)
	}
	return registrar.State(state)
}

// GossipToProto converts one message of a gossip exchange.
func GossipToProto(message gossiper.Message) *messenger.GossipMessage {
	changes := make([]*messenger.Member, 0, len(message.Changes))
	for _, change := range message.Changes {
		changes = append(changes, MemberToProto(change))
	}
	return &messenger.GossipMessage{
		Sender:          MemberToProto(message.Sender),
		Changes:         changes,
		Digest:          message.Digest,
		ConfigVersion:   message.ConfigVersion,
		Full:            message.Full,
		WantFull:        message.WantFull,
		Known:           message.Known,
		Warnings:        warningsToProto(message.Warnings),
		ConfirmedMs:     ageToProto(message.Confirmed),
		ZoneConfirmedMs: ageToProto(message.ZoneConfirmed),
		Era:             message.Era,
		EraAgeMs:        ageToProto(message.EraAge),
		Own:             StatementToProto(message.Own),
		Heard:           StatementToProto(message.Heard),
	}
}

// GossipFromProto converts a message to one of a gossip exchange.
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
		Warnings:      warningsFromProto(message.GetWarnings()),
		Confirmed:     ageFromProto(message.GetConfirmedMs()),
		ZoneConfirmed: ageFromProto(message.GetZoneConfirmedMs()),
		Era:           message.GetEra(),
		EraAge:        ageFromProto(message.GetEraAgeMs()),
		Own:           StatementFromProto(message.GetOwn()),
		Heard:         StatementFromProto(message.GetHeard()),
	}
}

// StatementToProto converts what a backend server said of itself, to nil if it said nothing.
func StatementToProto(said witness.Statement) *messenger.Statement {
	if said.Empty() {
		return nil
	}
	return &messenger.Statement{
		LeftRun:          said.Departure.ID,
		LeftRunStartedMs: said.Departure.StartedMs,
		LeftMs:           said.Departure.LeftMs,

		LimitedRun:          said.Limit.ID,
		LimitedRunStartedMs: said.Limit.StartedMs,
		PerSecond:           said.Limit.PerSecond,
	}
}

// StatementFromProto converts a message, nil for none, to what a backend server said of itself.
func StatementFromProto(message *messenger.Statement) witness.Statement {
	return witness.Statement{
		Departure: enroller.Departure{
			ID: message.GetLeftRun(), StartedMs: message.GetLeftRunStartedMs(), LeftMs: message.GetLeftMs(),
		},
		Limit: witness.Limit{
			ID: message.GetLimitedRun(), StartedMs: message.GetLimitedRunStartedMs(), PerSecond: finite(message.GetPerSecond()),
		},
	}
}

// ageToProto converts an age, which is negative for none, to 1 + its milliseconds, 0 for none.
func ageToProto(age time.Duration) uint32 {
	if age < 0 {
		return 0
	}
	return uint32(min(age.Milliseconds()+1, math.MaxUint32))
}

// ageFromProto converts what ageToProto returns to an age, negative for none.
func ageFromProto(ms uint32) time.Duration {
	return time.Duration(int64(ms)-1) * time.Millisecond
}

func warningsToProto(warnings []warner.Warning) []*messenger.Warning {
	converted := make([]*messenger.Warning, 0, len(warnings))
	for _, warning := range warnings {
		converted = append(converted, &messenger.Warning{
			Incarnation:          warning.Incarnation,
			Sequence:             warning.Sequence,
			AvoidMs:              uint32(warning.Avoid.Milliseconds()),
			AvoidNonIdempotentMs: uint32(warning.AvoidNonIdempotent.Milliseconds()),
		})
	}
	return converted
}

func warningsFromProto(messages []*messenger.Warning) []warner.Warning {
	warnings := make([]warner.Warning, 0, len(messages))
	for _, message := range messages {
		warnings = append(warnings, warner.Warning{
			Incarnation:        message.GetIncarnation(),
			Sequence:           message.GetSequence(),
			Avoid:              time.Duration(message.GetAvoidMs()) * time.Millisecond,
			AvoidNonIdempotent: time.Duration(message.GetAvoidNonIdempotentMs()) * time.Millisecond,
		})
	}
	return warnings
}

// TermToProto converts an ejector's term.
func TermToProto(term locker.Term) *messenger.Term {
	return &messenger.Term{Counter: term.Counter, Owner: term.Owner}
}

// TermFromProto converts a message to an ejector's term.
func TermFromProto(message *messenger.Term) locker.Term {
	return locker.Term{Counter: message.GetCounter(), Owner: message.GetOwner()}
}

// EvidenceToProto converts a guard's evidence about its backend server.
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

// EvidenceFromProto converts a message to a guard's evidence. NaN and infinite values
// become 0.
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

// BaselineToProto converts a pool's baseline. The message is marked as accepted.
func BaselineToProto(baseline detector.Baseline) *messenger.Baseline {
	return &messenger.Baseline{
		Accepted:  true,
		MedianLog: baseline.MedianLog,
		SpreadLog: baseline.SpreadLog,
		BadShare:  baseline.BadShare,
		Members:   uint32(baseline.Members),
	}
}

// BaselineFromProto converts a message to a pool's baseline. NaN and infinite values
// become 0.
func BaselineFromProto(message *messenger.Baseline) detector.Baseline {
	return detector.Baseline{
		MedianLog: finite(message.GetMedianLog()),
		SpreadLog: finite(message.GetSpreadLog()),
		BadShare:  finite(message.GetBadShare()),
		Members:   int(message.GetMembers()),
	}
}
