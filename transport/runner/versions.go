package runner

import (
	"bytes"
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/foxtailhall/foxtailhall/coordination/delegator"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/transport/compressor"
)

// Source replaces the log as the origin of the configuration, in numbered and
// checked versions, and of the addresses of other processes. It also keeps what a process
// must know about its backend server after a restart.
type Source struct {
	// Follow reads versions for the follower until the context is done.
	Follow func(ctx context.Context, follower delegator.Follower)
	// Decode parses the text of a version.
	Decode func(text []byte) (uint64, cataloger.Objects, error)
	// Register publishes the address of the process to others, Deregister removes it. Where a
	// function returns an era, it is that of the Source's data, which rises when the Source
	// comes back from an older copy, or 0 if it is not known.
	Register   func(ctx context.Context, address string) (era uint64, err error)
	Deregister func(ctx context.Context, address string) error
	// Peers returns some registered addresses of other processes than the own.
	Peers func(ctx context.Context, own string) ([]string, error)
	// RecordDeparture keeps the last departure of the backend server at an address, and
	// Departure returns it, or the zero value if there is none.
	RecordDeparture func(ctx context.Context, address string, departure enroller.Departure) (era uint64, err error)
	Departure       func(ctx context.Context, address string) (departure enroller.Departure, era uint64, err error)
}

const (
	// fetchDelay is how long a process waits for a version that it expects before it
	// fetches it from a peer that has it.
	fetchDelay = 300 * time.Millisecond
	// deregisterTimeout bounds the removal of the address at a planned stop.
	deregisterTimeout = 500 * time.Millisecond
)

// version is a configuration from a Source with the text it was decoded from.
type version struct {
	catalog cataloger.Catalog
	text    []byte
	// compressed returns the compressed text. It compresses the text at the first call.
	compressed func() ([]byte, error)
}

func newVersion(catalog cataloger.Catalog, text []byte) *version {
	return &version{
		catalog: catalog, text: text,
		compressed: sync.OnceValues(func() ([]byte, error) { return compressor.Compress(text) }),
	}
}

// applyVersion decodes a version and applies it if it is newer than the current one. It
// reports whether that version is in force.
func (r *Runner) applyVersion(text []byte, from string) bool {
	number, objects, err := r.deps.Source.Decode(text)
	if err != nil {
		r.deps.Log.Warn("VersionSkipped", "From", from, "Error", err)
		return false
	}
	r.configMu.Lock()
	defer r.configMu.Unlock()
	before := r.catalog().Version()
	if number == before && !bytes.Equal(text, r.sourceVersion.Load().text) {
		r.deps.Log.Warn("VersionDiffers", "From", from, "Version", number)
	}
	if number <= before {
		r.deps.Log.Debug("VersionNotNewer", "From", from, "Version", number, "InForce", before)
		return number == before
	}
	catalog := cataloger.New().WithObjects(objects).WithVersion(number, from, -1)
	if faults := catalog.Faults(); len(faults) > 0 {
		r.deps.Log.Warn("VersionFaulty", "From", from, "Version", number, "Faults", len(faults), "First", faults[0].String())
	}
	r.sourceVersion.Store(newVersion(catalog, text))
	r.deps.Log.Info("VersionInForce", "Version", number, "Before", before, "From", from, "Objects", catalog.Len(),
		"Bytes", len(text))
	r.urgent.Store(true)
	r.deps.Meter.CountEvent("VersionInForce")
	r.guard.Configure()
	r.requestRefresh()
	return true
}

// followSource applies the versions from the Source until the context is done.
func (r *Runner) followSource(ctx context.Context) error {
	r.deps.Source.Follow(ctx, delegator.Follower{
		Apply: func(text []byte) bool { return r.applyVersion(text, "Store") },
		Reached: func(era uint64) {
			r.recordEra(era)
			r.gossipMu.Lock()
			defer r.gossipMu.Unlock()
			r.gossip.Confirm(r.now())
			r.lastConfigContact.Store(int64(r.now().Mono))
		},
		Wanted: r.followsSource,
	})
	return nil
}

// followsSource reports whether this process reads new versions from the Source itself.
// The others fetch them from their peers.
func (r *Runner) followsSource() bool {
	r.gossipMu.Lock()
	confirmed := r.gossip.ZoneConfirmed(r.now())
	r.gossipMu.Unlock()
	rank := delegator.Rank(r.roster.Load().Members(), r.deps.Settings.Zone, r.incarnation)
	follows := confirmed < 0 || delegator.Follows(rank, confirmed)
	if r.following.Swap(follows) != follows {
		r.deps.Log.Info("FollowsSource", "Follows", follows, "Rank", rank, "ConfirmedMs", confirmed.Milliseconds())
	}
	return follows
}

// expectsVersion reports whether a version that a peer has may reach this process on a
// cheaper way: from the Source if it follows that, or else through its own zone.
func (r *Runner) expectsVersion(address string) bool {
	if r.deps.Source == nil || r.catalog().Version() == 0 {
		return false
	}
	member, ok := r.roster.Load().MemberAt(address)
	return r.following.Load() || ok && member.Zone != r.deps.Settings.Zone
}

// fetchVersion fetches a newer version from a peer.
func (r *Runner) fetchVersion(ctx context.Context, address string, number uint64) {
	started := time.Now()
	reply, err := r.requestVersion(ctx, address)
	took := time.Since(started)
	r.deps.Meter.ObserveFetch(err == nil, took)
	if err != nil {
		r.deps.Log.Info("FetchFailed", "Peer", address, "Version", number, "TookMs", took.Milliseconds(), "Error", err)
		return
	}
	r.deps.Log.Info("VersionFetched", "Peer", address, "Version", reply.Version, "TookMs", took.Milliseconds(),
		"Bytes", proto.Size(reply))
	text, err := objectsOf(reply)
	if err != nil {
		r.deps.Log.Warn("VersionSkipped", "From", address, "Error", err)
		return
	}
	if len(text) > 0 {
		r.applyVersion(text, address)
	}
}
