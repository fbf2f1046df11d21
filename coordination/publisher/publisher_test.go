package publisher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/coordination/publisher"
	"github.com/foxtailhall/foxtailhall/state/checker"
	"github.com/foxtailhall/foxtailhall/state/parser"
)

func newParser() *parser.Parser {
	return parser.New(checker.New())
}

func policy(name string, caution int) string {
	return fmt.Sprintf("Kind: Policy\nName: %s\nCaution: %d\n", name, caution)
}

func publication(id string, base uint64) publisher.Record {
	return publisher.Record{ID: id, Base: base, Objects: policy("p", 10+len(id)) + "---\n" + policy(id, 20)}
}

// requireDecision applies a record at the next offset and checks its verdict.
func requireDecision(
	t *testing.T, state publisher.State, record publisher.Record, want publisher.Verdict, version uint64,
) publisher.State {
	t.Helper()
	next, decision := state.WithRecord(state.Next(), record)
	require.Equal(t, want.String(), decision.Verdict.String(), decision.Reason)
	require.Equal(t, version, next.Catalog().Version())
	return next
}

func TestOneOfTwoRacingPublicationsWins(t *testing.T) {
	state := publisher.New(newParser())
	state = requireDecision(t, state, publication("a", 0), publisher.VerdictAccepted, 1)
	state = requireDecision(t, state, publication("b", 1), publisher.VerdictAccepted, 2)
	state = requireDecision(t, state, publication("c", 1), publisher.VerdictVoid, 2)
	state = requireDecision(t, state, publication("b", 1), publisher.VerdictVoid, 2)
	require.Equal(t, "b", state.Catalog().ID())
}

func TestFaultyPublicationIsVoidForEveryReader(t *testing.T) {
	state := publisher.New(newParser())
	record := publisher.Record{ID: "x", Objects: "Kind: Service\nName: s\nPolicy: missing\n"}
	state = requireDecision(t, state, record, publisher.VerdictVoid, 0)
	requireDecision(t, state, publisher.Record{ID: "y", Objects: "Kind: ["}, publisher.VerdictVoid, 0)
}

func TestStaleSnapshotChangesNothing(t *testing.T) {
	state := publisher.New(newParser())
	state = requireDecision(t, state, publication("a", 0), publisher.VerdictAccepted, 1)
	stale, err := state.Snapshot()
	require.NoError(t, err)
	state = requireDecision(t, state, publication("b", 1), publisher.VerdictAccepted, 2)
	requireDecision(t, state, stale, publisher.VerdictIgnored, 2)
}

func TestReaderWithoutHeadDecidesNothing(t *testing.T) {
	late := publisher.New(newParser()).WithEarliest(5)
	late, decision := late.WithRecord(5, publication("loser", 3))
	require.Equal(t, publisher.VerdictUnjudged, decision.Verdict)
	require.Zero(t, late.Catalog().Version())
}

func TestSnapshotBringsReaderToHead(t *testing.T) {
	first := publisher.New(newParser())
	first = requireDecision(t, first, publication("a", 0), publisher.VerdictAccepted, 1)
	snapshot, err := first.Snapshot()
	require.NoError(t, err)
	first = requireDecision(t, first, publication("b", 1), publisher.VerdictAccepted, 2)
	late := publisher.New(newParser()).WithEarliest(1)
	late, _ = late.WithRecord(1, publication("b", 1))
	late, decision := late.WithRecord(2, snapshot)
	require.Equal(t, publisher.VerdictAdopted, decision.Verdict)
	require.Equal(t, int64(1), late.Next(), "the records after the copied head are read again")
	late, _ = late.WithRecord(1, publication("b", 1))
	require.Equal(t, first.Catalog().ID(), late.Catalog().ID())
	require.Equal(t, uint64(2), late.Catalog().Version())
}

// entry is a record in the simulated log.
type entry struct {
	record publisher.Record
}

// simulation is a set of readers of one log with retention.
type simulation struct {
	log      []entry
	earliest int64
	readers  []publisher.State
	// ids maps each version that was ever in force to the ID of its publication.
	ids    map[uint64]string
	lastID int
}

func (s *simulation) update(t *rapid.T, i int, next publisher.State) {
	before, after := s.readers[i].Catalog(), next.Catalog()
	if after.Version() < before.Version() {
		t.Fatalf("reader %d fell from version %d to %d", i, before.Version(), after.Version())
	}
	if after.Version() > 0 {
		if known, ok := s.ids[after.Version()]; ok && known != after.ID() {
			t.Fatalf("version %d is publication %s and publication %s", after.Version(), known, after.ID())
		}
		s.ids[after.Version()] = after.ID()
	}
	s.readers[i] = next
}

func (s *simulation) append(record publisher.Record) {
	s.log = append(s.log, entry{record: record})
}

// read lets a reader apply up to a number of records.
func (s *simulation) read(t *rapid.T, i, most int) {
	state := s.readers[i].WithEarliest(s.earliest)
	s.update(t, i, state)
	for range most {
		if state.Next() >= int64(len(s.log)) {
			return
		}
		state, _ = state.WithRecord(state.Next(), s.log[state.Next()].record)
		s.update(t, i, state)
	}
}

func (s *simulation) randomStep(t *rapid.T) {
	i := rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		s.lastID++
		s.append(publication(fmt.Sprintf("p%d", s.lastID), s.readers[i].Catalog().Version()))
	case 2:
		if len(s.log) > 0 {
			again := s.log[rapid.IntRange(0, len(s.log)-1).Draw(t, "again")]
			s.append(again.record)
		}
	case 3:
		if s.readers[i].Exact() && s.readers[i].Catalog().Version() > 0 {
			record, err := s.readers[i].Snapshot()
			require.NoError(t, err)
			s.append(record)
		}
	case 4:
		s.earliest = max(s.earliest, int64(len(s.log))-int64(rapid.IntRange(0, 6).Draw(t, "retained")))
	case 5:
		s.readers[i] = publisher.New(newParser())
	case 6:
		peer := s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(t, "peer")].Catalog()
		text, err := parser.Format(peer.Objects())
		require.NoError(t, err)
		next, err := s.readers[i].WithPeerVersion(peer.Version(), peer.AsOf(), peer.ID(), text)
		require.NoError(t, err)
		s.update(t, i, next)
	default:
		s.read(t, i, rapid.IntRange(1, 4).Draw(t, "records"))
	}
}

func TestVersionsNeverFallAndNeverDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{ids: map[uint64]string{}}
		for range 4 {
			s.readers = append(s.readers, publisher.New(newParser()))
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.randomStep(t)
		}
		requireAgreement(t, s)
	})
}

// requireAgreement lets all readers read the whole log and checks that all exact
// ones hold the same version.
func requireAgreement(t *rapid.T, s *simulation) {
	var want *publisher.State
	for i := range s.readers {
		s.read(t, i, 2*len(s.log)+1)
		reader := s.readers[i]
		if !reader.Exact() || reader.Next() < int64(len(s.log)) {
			continue
		}
		if want == nil {
			want = &reader
		}
		require.Equal(t, want.Catalog().Version(), reader.Catalog().Version())
		require.Equal(t, want.Catalog().ID(), reader.Catalog().ID())
	}
}
