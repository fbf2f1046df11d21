// Package publisher computes the configuration version in force by folding over the
// records of the configuration stream. The fold is deterministic: all readers of the
// same records arrive at the same versions.
package publisher

import (
	"fmt"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/parser"
)

// Record is one entry of the configuration stream: a publication, or a snapshot of
// the head (the newest accepted version). Snapshots keep the head available after
// the log has dropped the publications behind it.
type Record struct {
	// ID is unique to the publication. A snapshot has the ID of the publication that
	// created its version.
	ID string `json:"Id"`
	// Base is the version that a publication is based on. The publication is void
	// unless that is the head.
	Base uint64 `json:"Base"`
	// Objects holds YAML documents: the objects that a publication adds or replaces, or
	// all objects of a snapshot.
	Objects string `json:"Objects"`
	// Remove lists the objects that a publication removes.
	Remove []cataloger.Key `json:"Remove,omitempty"`
	// Snapshot is set for snapshots of the head.
	Snapshot bool `json:"Copy,omitempty"`
	// Version is the version of a snapshot.
	Version uint64 `json:"Version,omitempty"`
	// AsOf is the last offset that the writer of a snapshot had read.
	AsOf int64 `json:"AsOf,omitempty"`
	// Operator names who published, for the logs.
	Operator string `json:"Operator,omitempty"`
}

// Verdict is the effect that a record has on the version in force.
type Verdict uint8

// Verdicts on records.
const (
	// VerdictAccepted means that the publication created the new head.
	VerdictAccepted Verdict = iota + 1
	// VerdictVoid means that the record is rejected, because its base is not the head or
	// its objects are invalid. A void publication never comes into force.
	VerdictVoid
	// VerdictAdopted means that the state was replaced by that of a snapshot.
	VerdictAdopted
	// VerdictIgnored means that the record changes nothing.
	VerdictIgnored
	// VerdictUnjudged means that this reader can't decide, since it does not know the
	// head at the record.
	VerdictUnjudged
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"Unknown", "Accepted", "Void", "Adopted", "Ignored", "Unjudged"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Decision is the verdict on one record.
type Decision struct {
	Verdict Verdict
	// Version is the version in force after the record.
	Version uint64
	// Reason is empty if the record was accepted or adopted.
	Reason string
}

// State is the result of the fold up to one offset. It is immutable.
type State struct {
	catalog cataloger.Catalog
	parser  *parser.Parser
	// next is the offset of the next record to read.
	next int64
	// earliest is the earliest offset that the log is known to retain.
	earliest int64
	// exact means that the catalog is the head at offset next-1.
	exact bool
	// headOffset is the offset of the last record that raised the version or holds a
	// snapshot of the head, or -1.
	headOffset int64
}

// New returns the state before the first record. WithEarliest makes it inexact
// unless the log still holds offset 0.
func New(parser *parser.Parser) State {
	return State{catalog: cataloger.New(), parser: parser, exact: true, headOffset: -1}
}

// Catalog returns the catalog in force. Its version never falls from one state to the next.
func (s State) Catalog() cataloger.Catalog { return s.catalog }

// Next returns the offset of the next record to read.
func (s State) Next() int64 { return s.next }

// Exact reports whether the catalog is the head of all records before Next. If not,
// newer versions may exist.
func (s State) Exact() bool { return s.exact }

// HeadOffset returns the offset of the last record that raised the version or holds
// a snapshot of the head, or -1.
func (s State) HeadOffset() int64 { return s.headOffset }

// WithEarliest returns the state for a log that retains records from an offset on.
// If records were missed, publications are left unjudged until a snapshot or the
// version of a peer closes the gap.
func (s State) WithEarliest(earliest int64) State {
	s.earliest = max(s.earliest, earliest)
	if s.next < s.earliest {
		s.next = s.earliest
		s.exact = s.catalog.AsOf() >= s.next-1
	}
	return s
}

// WithRecord applies the record at offset Next. A record at another offset is ignored.
func (s State) WithRecord(offset int64, record Record) (State, Decision) {
	if offset != s.next {
		return s, Decision{Verdict: VerdictIgnored, Version: s.catalog.Version(), Reason: "OutOfOrder"}
	}
	if record.Snapshot {
		return s.withSnapshot(offset, record)
	}
	s.next++
	return s.withPublication(offset, record)
}

func (s State) withPublication(offset int64, record Record) (State, Decision) {
	version := s.catalog.Version()
	if !s.exact {
		return s, Decision{Verdict: VerdictUnjudged, Version: version, Reason: "HeadUnknown"}
	}
	catalog, err := s.applyToHead(record)
	if err != nil {
		s.catalog = s.catalog.WithAsOf(offset)
		return s, Decision{Verdict: VerdictVoid, Version: version, Reason: err.Error()}
	}
	s.catalog = catalog.WithVersion(version+1, record.ID, offset)
	s.headOffset = offset
	return s, Decision{Verdict: VerdictAccepted, Version: version + 1}
}

func (s State) applyToHead(record Record) (cataloger.Catalog, error) {
	if record.Base != s.catalog.Version() {
		return cataloger.Catalog{}, fmt.Errorf("base is version %d, but the head is %d", record.Base, s.catalog.Version())
	}
	return Apply(s.parser, s.catalog, record)
}

// Apply returns the catalog with the changes of a publication, after validating them.
func Apply(reader *parser.Parser, catalog cataloger.Catalog, record Record) (cataloger.Catalog, error) {
	parsed, err := reader.Parse(parser.Source{File: record.ID, Text: []byte(record.Objects)})
	if err != nil {
		return cataloger.Catalog{}, fmt.Errorf("reading the objects: %w", err)
	}
	changed := catalog.WithoutObjects(record.Remove).WithObjects(parsed.Objects)
	faults := changed.ChangeFaults(parsed.Objects, record.Remove)
	if len(faults) > 0 {
		return cataloger.Catalog{}, fmt.Errorf("checking the objects: %w", parsed.Locate(faults))
	}
	return changed, nil
}

func (s State) withSnapshot(offset int64, record Record) (State, Decision) {
	version := s.catalog.Version()
	s.next++
	if record.Version <= version {
		if record.Version == version {
			s.headOffset = offset
		}
		if s.exact {
			s.catalog = s.catalog.WithAsOf(offset)
			return s, Decision{Verdict: VerdictIgnored, Version: version, Reason: "NotNewer"}
		}
		if record.Version < version || record.AsOf+1 < s.earliest || record.AsOf >= offset {
			return s, Decision{Verdict: VerdictIgnored, Version: version, Reason: "NotNewer"}
		}
	}
	adopted, err := s.WithPeerVersion(record.Version, record.AsOf, record.ID, record.Objects)
	if err != nil {
		return s, Decision{Verdict: VerdictVoid, Version: version, Reason: err.Error()}
	}
	adopted.headOffset = offset
	return adopted, Decision{Verdict: VerdictAdopted, Version: adopted.catalog.Version()}
}

// WithPeerVersion applies the version in force at a peer, which is the head of the
// log up to offset asOf. An older version is ignored.
func (s State) WithPeerVersion(version uint64, asOf int64, id, objects string) (State, error) {
	have := s.catalog.Version()
	if version < have || (version == have && (s.exact || asOf <= s.catalog.AsOf())) {
		return s, nil
	}
	catalog := s.catalog
	if version > have {
		parsed, err := s.parser.Parse(parser.Source{File: id, Text: []byte(objects)})
		if err != nil {
			return s, fmt.Errorf("reading version %d: %w", version, err)
		}
		catalog = cataloger.New().WithObjects(parsed.Objects)
		if faults := catalog.Faults(); len(faults) > 0 {
			return s, fmt.Errorf("checking version %d: %w", version, parsed.Locate(faults))
		}
	}
	s.catalog = catalog.WithVersion(version, id, asOf)
	s.next = max(asOf+1, s.earliest)
	s.exact = asOf+1 >= s.earliest
	return s, nil
}

// Snapshot returns a record with a snapshot of the head, to be appended before the
// log drops the last record that holds it.
func (s State) Snapshot() (Record, error) {
	objects, err := parser.Format(s.catalog.Objects())
	if err != nil {
		return Record{}, fmt.Errorf("formatting a snapshot of version %d: %w", s.catalog.Version(), err)
	}
	return Record{
		ID:       s.catalog.ID(),
		Objects:  objects,
		Snapshot: true,
		Version:  s.catalog.Version(),
		AsOf:     s.next - 1,
	}, nil
}
