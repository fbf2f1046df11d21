package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/transport/appender"
)

const (
	// batchDelay is how long claims wait for others to share a record.
	batchDelay = 10 * time.Millisecond
	// maxBatchClaims bounds the claims of one record.
	maxBatchClaims = 500
	// maxQueuedClaims bounds the claims that wait to be written.
	maxQueuedClaims = 5000
	// prunePeriod is how often old claims are dropped.
	prunePeriod = 10 * time.Second
)

var (
	errClaimQueueFull   = eris.New("too many claims wait for the log")
	errClaimUnconfirmed = eris.New("claim was not confirmed in time")
)

// claims follows the claims stream and writes to it.
type claims struct {
	runner *Runner
	queue  chan claimer.Claim

	mu     sync.Mutex
	ledger *claimer.Ledger
	// updated is closed and replaced whenever the ledger has moved on.
	updated chan struct{}
	// headOffset and headAtSeen tell when the newest record of the head was first seen.
	headOffset int64
	headSeenAt clocker.Instant
}

func newClaims(runner *Runner) *claims {
	return &claims{
		runner:     runner,
		queue:      make(chan claimer.Claim, maxQueuedClaims),
		ledger:     claimer.New(),
		updated:    make(chan struct{}),
		headOffset: -1,
	}
}

// Claim binds a key through the log and returns what stands. An error means
// that this request must not be given to any guard.
func (c *claims) Claim(ctx context.Context, claim claimer.Claim) (claimer.Binding, error) {
	select {
	case c.queue <- claim:
	default:
		return claimer.Binding{}, errClaimQueueFull
	}
	for {
		c.mu.Lock()
		binding := c.ledger.Binding(claim.Key)
		updated := c.updated
		c.mu.Unlock()
		if binding.State != claimer.StateUnclaimed && binding.State != claimer.StateNeverRan {
			return binding, nil
		}
		select {
		case <-ctx.Done():
			return claimer.Binding{}, fmt.Errorf("claiming a key: %w", errClaimUnconfirmed)
		case <-updated:
		}
	}
}

// Binding returns what is known of a caller's own key.
func (c *claims) Binding(key string) claimer.Binding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Binding(key)
}

// GuardBinding returns what is known of a key bound to a guard.
func (c *claims) GuardBinding(guard uint64, key string, sinceMs int64) claimer.Binding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.BindingAt(guard, key, sinceMs)
}

// writeBatches appends waiting claims in batches.
func (c *claims) writeBatches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			pause(ctx, batchDelay)
			c.append(ctx, c.batch(first))
		}
	}
}

func (c *claims) batch(first claimer.Claim) []claimer.Claim {
	batch := []claimer.Claim{first}
	for len(batch) < maxBatchClaims {
		select {
		case next := <-c.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// append writes one batch. If the reply is lost, the reader tells whether the
// record is there; a batch that is not there is never written again.
func (c *claims) append(ctx context.Context, batch []claimer.Claim) {
	data, err := json.Marshal(claimer.Record{Claims: batch})
	if err != nil {
		c.runner.deps.Log.Error("ClaimsUnwritten", "Error", err)
		return
	}
	offset, err := c.runner.appender.Append(ctx, appender.StreamClaims, data)
	if err != nil {
		c.runner.deps.Log.Warn("ClaimsUnconfirmed", "Claims", len(batch), "Error", err)
		return
	}
	c.runner.deps.Log.Debug("ClaimsWritten", "Claims", len(batch), "Offset", offset)
}

// follow reads the claims stream for as long as the process runs.
func (c *claims) follow(ctx context.Context) error {
	var forgotten clocker.Instant
	for ctx.Err() == nil {
		c.mu.Lock()
		next := c.ledger.Next()
		c.mu.Unlock()
		batch, err := c.runner.appender.Read(ctx, appender.StreamClaims, next, readWait)
		if err != nil {
			pause(ctx, readRetryDelay)
			continue
		}
		c.applyBatch(batch)
		now := c.runner.now()
		if now.Since(forgotten) > prunePeriod {
			forgotten = now
			c.prune(now)
		}
	}
	return nil
}

func (c *claims) applyBatch(batch appender.Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.SkipTo(batch.Earliest)
	for _, entry := range batch.Entries {
		var record claimer.Record
		if err := json.Unmarshal(entry.Data, &record); err != nil {
			c.runner.deps.Log.Warn("MalformedRecord", "Stream", appender.StreamClaims, "Offset", entry.Offset, "Error", err)
		}
		c.ledger.Apply(entry.Offset, entry.AtMs, record)
	}
	if len(batch.Entries) > 0 {
		close(c.updated)
		c.updated = make(chan struct{})
	}
}

func (c *claims) prune(now clocker.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Prune(now.UnixMilli() - c.runner.deps.Settings.LogRetention.Milliseconds())
}

// headFirstSeen returns when the newest record of the head was first seen here.
func (c *claims) headFirstSeen(headOffset int64, now clocker.Instant) clocker.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if headOffset != c.headOffset || c.headSeenAt == (clocker.Instant{}) {
		c.headOffset = headOffset
		c.headSeenAt = now
	}
	return c.headSeenAt
}

// writeClosure leaves the guard's last word on the log at a planned stop.
func (r *Runner) writeClosure(ctx context.Context) {
	closure := &claimer.Closure{
		Guard:   r.incarnation,
		SinceMs: r.now().UnixMilli() - (2 * r.deps.Settings.KeyLifetime).Milliseconds(),
	}
	for _, key := range r.guard.RanKeys() {
		closure.Ran = append(closure.Ran, claimer.RanKey{
			Key:    key.Key,
			Status: key.Status,
			Known:  key.State == deduplicator.StateDone,
		})
	}
	data, err := json.Marshal(claimer.Record{Closure: closure})
	if err != nil {
		r.deps.Log.Error("ClosureUnwritten", "Error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closureTimeout)
	defer cancel()
	if _, err := r.appender.Append(ctx, appender.StreamClaims, data); err != nil {
		r.deps.Log.Warn("ClosureUnwritten", "Error", err)
		return
	}
	r.deps.Log.Info("ClosureWritten", "Keys", len(closure.Ran))
}
