// Package publisher folds the configuration stream of the platform's log into
// the version in force. Every reader of the same records comes to the same versions.
package publisher

import (
	"fmt"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/parser"
)

// Record is one entry of the configuration stream: a publication, or a copy of
// the head that outlasts the log's retention.
type Record struct {
	// ID is unique to the publication; copies keep it.
	ID string `json:"Id"`
	// Base is the version that a publication changes.
	Base uint64 `json:"Base"`
	// Objects holds YAML documents: those added or replaced, or all in a copy.
	Objects string `json:"Objects"`
	// Remove names objects that a publication removes.
	Remove []cataloger.Key `json:"Remove,omitempty"`
	// Snapshot marks a copy of the head.
	Snapshot bool `json:"Copy,omitempty"`
	// Version is that of the copied head.
	Version uint64 `json:"Version,omitempty"`
	// AsOf is the last offset that the copier had read.
	AsOf int64 `json:"AsOf,omitempty"`
	// Operator says who published, for the logs.
	Operator string `json:"Operator,omitempty"`
}

// Verdict is what became of a record.
type Verdict uint8

// Verdicts on records.
const (
	// VerdictAccepted means that the publication is the new head.
	VerdictAccepted Verdict = iota + 1
	// VerdictVoid means that the publication never comes into force.
	VerdictVoid
	// VerdictAdopted means that a copy raised the version.
	VerdictAdopted
	// VerdictIgnored means that the record changes nothing.
	VerdictIgnored
	// VerdictUnjudged means that the head at the record is not known here.
	VerdictUnjudged
)

// String gives the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"Unknown", "Accepted", "Void", "Adopted", "Ignored", "Unjudged"}
	if int(v) < len(names) {
		return names[v]
	}
	return names[0]
}

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	Version uint64
	Reason  string
}

// State is the fold up to one offset. It is immutable.
type State struct {
	catalog cataloger.Catalog
	parser  *parser.Parser
	// next is the offset to read next.
	next int64
	// earliest is the earliest offset known to be kept.
	earliest int64
	// exact means that the catalog is the head at offset next-1.
	exact bool
	// headAt is the offset of the last record that holds the whole head, or -1.
	headAt int64
}

// New returns the fold of nothing. A log whose earliest offset is 0 makes it exact.
func New(parser *parser.Parser) State {
	return State{catalog: cataloger.New(), parser: parser, exact: true, headAt: -1}
}

// Catalog returns the version in force. Its version never falls from one state to the next.
func (s State) Catalog() cataloger.Catalog { return s.catalog }

// Next returns the offset to read next.
func (s State) Next() int64 { return s.next }

// Exact tells whether the catalog is the head of all records before Next.
func (s State) Exact() bool { return s.exact }

// HeadOffset returns the offset of the last record that raised the version or copied the head, or -1.
func (s State) HeadOffset() int64 { return s.headAt }

// WithEarliest notes the earliest offset that the log still keeps. If records
// were missed, publications can't be judged until a copy or a peer closes the gap.
func (s State) WithEarliest(earliest int64) State {
	s.earliest = max(s.earliest, earliest)
	if s.next < s.earliest {
		s.next = s.earliest
		s.exact = s.catalog.AsOf() >= s.next-1
	}
	return s
}

// WithRecord takes the record at offset Next; others change nothing.
func (s State) WithRecord(offset int64, record Record) (State, Decision) {
	if offset != s.next {
		return s, Decision{Verdict: VerdictIgnored, Version: s.catalog.Version(), Reason: "OutOfOrder"}
	}
	if record.Snapshot {
		return s.withCopy(offset, record)
	}
	s.next++
	return s.withPublication(offset, record)
}

func (s State) withPublication(offset int64, record Record) (State, Decision) {
	version := s.catalog.Version()
	if !s.exact {
		return s, Decision{Verdict: VerdictUnjudged, Version: version, Reason: "HeadUnknown"}
	}
	catalog, err := s.changed(record)
	if err != nil {
		s.catalog = s.catalog.WithAsOf(offset)
		return s, Decision{Verdict: VerdictVoid, Version: version, Reason: err.Error()}
	}
	s.catalog = catalog.WithVersion(version+1, record.ID, offset)
	s.headAt = offset
	return s, Decision{Verdict: VerdictAccepted, Version: version + 1}
}

func (s State) changed(record Record) (cataloger.Catalog, error) {
	if record.Base != s.catalog.Version() {
		return cataloger.Catalog{}, fmt.Errorf("base is version %d, but the head is %d", record.Base, s.catalog.Version())
	}
	return Change(s.parser, s.catalog, record)
}

// Change applies a publication's objects to a catalog and checks the result.
func Change(reader *parser.Parser, catalog cataloger.Catalog, record Record) (cataloger.Catalog, error) {
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

func (s State) withCopy(offset int64, record Record) (State, Decision) {
	version := s.catalog.Version()
	s.next++
	if record.Version <= version {
		if record.Version == version {
			s.headAt = offset
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
	adopted.headAt = offset
	return adopted, Decision{Verdict: VerdictAdopted, Version: adopted.catalog.Version()}
}

// WithPeerVersion takes the version in force at a peer, known there to be the head up
// to log offset asOf. An older version changes nothing.
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

// Snapshot returns a record that keeps the head past the log's retention.
func (s State) Snapshot() (Record, error) {
	objects, err := parser.Format(s.catalog.Objects())
	if err != nil {
		return Record{}, fmt.Errorf("copying version %d: %w", s.catalog.Version(), err)
	}
	return Record{
		ID:       s.catalog.ID(),
		Objects:  objects,
		Snapshot: true,
		Version:  s.catalog.Version(),
		AsOf:     s.next - 1,
	}, nil
}
