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
	// batchDelay is how long a claim waits for others that can share its record.
	batchDelay = 10 * time.Millisecond
	// maxBatchClaims is the maximum number of claims in one record.
	maxBatchClaims = 500
	// maxQueuedClaims is the maximum number of claims that wait to be written.
	maxQueuedClaims = 5000
	// prunePeriod is the interval at which old claims are removed.
	prunePeriod = 10 * time.Second
)

var (
	errClaimQueueFull   = eris.New("too many claims are waiting to be written to the log")
	errClaimUnconfirmed = eris.New("claim was not confirmed by the log in time")
)

// claims reads and writes the claims stream of the log.
type claims struct {
	runner *Runner
	queue  chan claimer.Claim

	mu     sync.Mutex
	ledger *claimer.Ledger
	// updated is closed and replaced whenever records were applied to the ledger.
	updated chan struct{}
	// headOffset is the offset of the last publication or snapshot of the current
	// configuration, and headSeenAt the time at which this process first saw it.
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

// Claim binds a key through the log and returns its binding, which may be that of
// an earlier claim. After an error the request must not be sent to any guard.
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

// Binding returns the binding of a key that a caller made itself.
func (c *claims) Binding(key string) claimer.Binding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Binding(key)
}

// GuardBinding returns the binding of a key that only the given guard may run and
// that was issued at the Unix time sinceMs in ms.
func (c *claims) GuardBinding(guard uint64, key string, sinceMs int64) claimer.Binding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.BindingAt(guard, key, sinceMs)
}

// writeBatches appends queued claims to the log in batches.
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

// batch returns the first claim and those queued behind it, up to maxBatchClaims.
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

// append writes one batch. If the reply is lost, only reading the stream shows
// whether the record is there. A failed batch is never written again.
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

// follow reads the claims stream until the context is done.
func (c *claims) follow(ctx context.Context) error {
	var lastPrune clocker.Instant
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
		if now.Since(lastPrune) > prunePeriod {
			lastPrune = now
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

// headFirstSeen returns the time at which this process first saw the last
// publication or snapshot of the current configuration, given its offset.
func (c *claims) headFirstSeen(headOffset int64, now clocker.Instant) clocker.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if headOffset != c.headOffset || c.headSeenAt == (clocker.Instant{}) {
		c.headOffset = headOffset
		c.headSeenAt = now
	}
	return c.headSeenAt
}

// writeClosure appends the guard's closure to the log at a planned stop: the keys
// that it ran. Other processes then know the outcome of its bound keys.
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
