package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/publisher"
	"github.com/foxtailhall/foxtailhall/protocol/messenger"
	"github.com/foxtailhall/foxtailhall/state/parser"
	"github.com/foxtailhall/foxtailhall/transport/appender"
	"github.com/foxtailhall/foxtailhall/transport/compressor"
	"github.com/foxtailhall/foxtailhall/transport/connector"
)

const (
	// readWait is how long a read of the log waits for a new record.
	readWait = time.Second
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 200 * time.Millisecond
	// snapshotsPerRetention is the number of snapshots of the configuration
	// appended within the log's retention time.
	snapshotsPerRetention = 3
	// snapshotDelayPerRank is added for each process that started earlier, so
	// that usually only one process appends a snapshot.
	snapshotDelayPerRank = 2 * time.Second
)

// followConfiguration reads the configuration stream until the context is done.
func (r *Runner) followConfiguration(ctx context.Context) error {
	silent := false
	for ctx.Err() == nil {
		next := r.logState.Load().Next()
		batch, err := r.appender.Read(ctx, appender.StreamConfiguration, next, readWait)
		if err != nil {
			if !silent && ctx.Err() == nil {
				r.deps.Log.Warn("LogUnreachable", "Stream", appender.StreamConfiguration, "Error", err)
			}
			silent = true
			pause(ctx, readRetryDelay)
			continue
		}
		if silent {
			r.deps.Log.Info("LogReached", "Stream", appender.StreamConfiguration)
		}
		silent = false
		r.lastConfigContact.Store(int64(r.now().Mono))
		r.applyBatch(next, batch)
	}
	return nil
}

// applyBatch applies the records read from an offset on, unless the state has
// moved past that offset in the meantime.
func (r *Runner) applyBatch(from int64, batch appender.Batch) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	state := r.logState.Load()
	if state.Next() != from {
		return
	}
	next := state.WithEarliest(batch.Earliest)
	if state.Exact() && !next.Exact() {
		r.deps.Log.Warn("RecordsMissed", "Stream", appender.StreamConfiguration, "Earliest", batch.Earliest)
	}
	r.setLogState(next)
	for _, entry := range batch.Entries {
		if entry.Offset != next.Next() {
			continue
		}
		next = r.applyEntry(next, entry)
		r.setLogState(next)
	}
}

// applyEntry applies one record. A malformed one counts as an empty record, as in
// every other reader.
func (r *Runner) applyEntry(state publisher.State, entry appender.Entry) publisher.State {
	var record publisher.Record
	if err := json.Unmarshal(entry.Data, &record); err != nil {
		r.deps.Log.Warn("MalformedRecord", "Stream", appender.StreamConfiguration, "Offset", entry.Offset, "Error", err)
		record = publisher.Record{}
	}
	next, decision := state.WithRecord(entry.Offset, record)
	r.deps.Log.Info("ConfigurationRecord", "Offset", entry.Offset, "Publication", record.ID, "Base", record.Base,
		"Copy", record.Snapshot, "Verdict", decision.Verdict.String(), "Version", decision.Version, "Reason", decision.Reason)
	return next
}

// setLogState replaces the state of the configuration stream and applies a new
// version of the configuration. The caller holds configMu.
func (r *Runner) setLogState(next publisher.State) {
	before := r.logState.Load().Catalog().Version()
	after := next.Catalog().Version()
	if after < before {
		r.deps.Log.Error("InvariantBroken", "Invariant", "VersionNeverFalls", "Before", before, "After", after)
		r.deps.Meter.CountEvent("InvariantBroken")
		return
	}
	r.logState.Store(&next)
	if after == before {
		return
	}
	r.deps.Log.Info("VersionInForce", "Version", after, "Publication", next.Catalog().ID())
	r.deps.Meter.CountEvent("VersionInForce")
	r.guard.Configure()
	r.requestRefresh()
}

// fetchIfNewer fetches the configuration from a peer whose version is newer, unless a
// fetch has just begun.
func (r *Runner) fetchIfNewer(ctx context.Context, address string, version uint64) {
	if version <= r.catalog().Version() {
		return
	}
	if r.expectsVersion(address) && (!pause(ctx, fetchDelay) || version <= r.catalog().Version()) {
		return
	}
	if !r.fetches.begin(r.now().Mono) {
		return
	}
	defer r.fetches.end()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if r.deps.Source != nil {
		r.fetchVersion(ctx, address, version)
		return
	}
	reply, err := r.requestVersion(ctx, address)
	if err != nil {
		r.deps.Log.Debug("FetchFailed", "Peer", address, "Error", err)
		return
	}
	objects, err := objectsOf(reply)
	if err != nil {
		r.deps.Log.Warn("PeerVersionRefused", "Peer", address, "Version", reply.Version, "Error", err)
		return
	}
	r.configMu.Lock()
	defer r.configMu.Unlock()
	next, err := r.logState.Load().WithPeerVersion(reply.Version, reply.AsOf, reply.Id, string(objects))
	if err != nil {
		r.deps.Log.Warn("PeerVersionRefused", "Peer", address, "Version", reply.Version, "Error", err)
		return
	}
	r.deps.Log.Info("VersionFetched", "Peer", address, "Version", reply.Version)
	r.setLogState(next)
}

// requestVersion asks a peer for its configuration.
func (r *Runner) requestVersion(ctx context.Context, address string) (*messenger.Configuration, error) {
	request := &messenger.FetchRequest{Have: r.catalog().Version(), Deflate: true}
	reply, err := r.connector.GuardClient(ctx, address).Fetch(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("fetching from %s: %w", address, err)
	}
	return reply, nil
}

// objectsOf returns the objects that a peer has sent, nothing if it has no newer version.
func objectsOf(reply *messenger.Configuration) ([]byte, error) {
	if len(reply.Deflated) == 0 {
		return []byte(reply.Objects), nil
	}
	objects, err := compressor.Decompress(reply.Deflated, connector.MaxMessageBytes)
	if err != nil {
		return nil, fmt.Errorf("decoding version %d: %w", reply.Version, err)
	}
	return objects, nil
}

// configurationFor returns the current configuration for a peer. The objects are included
// only if the peer's version is older.
func (r *Runner) configurationFor(request *messenger.FetchRequest) (*messenger.Configuration, error) {
	catalog := r.catalog()
	reply := &messenger.Configuration{Version: catalog.Version(), AsOf: catalog.AsOf(), Id: catalog.ID()}
	if catalog.Version() <= request.Have {
		return reply, nil
	}
	current := r.sourceVersion.Load()
	if r.deps.Source == nil {
		objects, err := parser.Format(catalog.Objects())
		if err != nil {
			return nil, err
		}
		current = newVersion(catalog, []byte(objects))
	}
	if !request.Deflate {
		reply.Objects = string(current.text)
		return reply, nil
	}
	var err error
	reply.Deflated, err = current.compressed()
	return reply, err
}

// appendSnapshot appends a snapshot of the current configuration before the last
// publication or snapshot of it expires from the log. Processes wait by rank, so
// that usually only one of them appends a snapshot.
func (r *Runner) appendSnapshot(ctx context.Context) {
	state := r.logState.Load()
	if !state.Exact() || state.Catalog().Version() == 0 || r.stopping.Load() {
		return
	}
	if r.logSilence() > 2*readWait || r.now().Since(r.claims.headFirstSeen(state.HeadOffset(), r.now())) < r.snapshotDelay() {
		return
	}
	record, err := state.Snapshot()
	if err != nil {
		r.deps.Log.Error("CopyFailed", "Error", err)
		return
	}
	data, err := json.Marshal(record)
	if err != nil {
		r.deps.Log.Error("CopyFailed", "Error", err)
		return
	}
	if _, err := r.appender.Append(ctx, appender.StreamConfiguration, data); err != nil {
		r.deps.Log.Warn("CopyFailed", "Error", err)
		return
	}
	r.deps.Log.Info("HeadCopied", "Version", record.Version, "AsOf", record.AsOf)
}

// snapshotDelay is the age of the last publication or snapshot at which this
// process appends a new one.
func (r *Runner) snapshotDelay() time.Duration {
	return r.deps.Settings.LogRetention/snapshotsPerRetention + time.Duration(r.rank())*snapshotDelayPerRank
}
