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
	// batchPeriod is how long claims wait for others to share a record.
	batchPeriod = 10 * time.Millisecond
	// maxBatch bounds the claims of one record.
	maxBatch = 500
	// maxWaiting bounds the claims that wait to be written.
	maxWaiting = 5000
	// forgetPeriod is how often old claims are dropped.
	forgetPeriod = 10 * time.Second
)

var (
	errClaimsFull = eris.New("too many claims wait for the log")
	errNotClaimed = eris.New("claim was not confirmed in time")
)

// claims follows the claims stream and writes to it.
type claims struct {
	runner *Runner
	queue  chan claimer.Claim

	mu     sync.Mutex
	ledger *claimer.Ledger
	// advanced is closed and replaced whenever the ledger has moved on.
	advanced chan struct{}
	// headAt and headAtSeen tell when the newest record of the head was first seen.
	headAt     int64
	headAtSeen clocker.Instant
}

func newClaims(runner *Runner) *claims {
	return &claims{
		runner:   runner,
		queue:    make(chan claimer.Claim, maxWaiting),
		ledger:   claimer.New(),
		advanced: make(chan struct{}),
		headAt:   -1,
	}
}

// Claim binds a key through the log and returns what stands. An error means
// that this request must not be given to any guard.
func (c *claims) Claim(ctx context.Context, claim claimer.Claim) (claimer.Binding, error) {
	select {
	case c.queue <- claim:
	default:
		return claimer.Binding{}, errClaimsFull
	}
	for {
		c.mu.Lock()
		binding := c.ledger.Binding(claim.Key)
		advanced := c.advanced
		c.mu.Unlock()
		if binding.State != claimer.StateUnclaimed && binding.State != claimer.StateNeverRan {
			return binding, nil
		}
		select {
		case <-ctx.Done():
			return claimer.Binding{}, fmt.Errorf("claiming a key: %w", errNotClaimed)
		case <-advanced:
		}
	}
}

// Binding returns what is known of a caller's own key.
func (c *claims) Binding(key string) claimer.Binding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Binding(key)
}

// Fate returns what is known of a key bound to a guard.
func (c *claims) Fate(guard uint64, key string, sinceMs int64) claimer.Binding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.BindingAt(guard, key, sinceMs)
}

// write appends waiting claims in batches.
func (c *claims) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.queue:
			pause(ctx, batchPeriod)
			c.append(ctx, c.batch(first))
		}
	}
}

func (c *claims) batch(first claimer.Claim) []claimer.Claim {
	batch := []claimer.Claim{first}
	for len(batch) < maxBatch {
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
		batch, err := c.runner.appender.Read(ctx, appender.StreamClaims, next, followWait)
		if err != nil {
			pause(ctx, followRetry)
			continue
		}
		c.take(batch)
		now := c.runner.now()
		if now.Since(forgotten) > forgetPeriod {
			forgotten = now
			c.forget(now)
		}
	}
	return nil
}

func (c *claims) take(batch appender.Batch) {
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
		close(c.advanced)
		c.advanced = make(chan struct{})
	}
}

func (c *claims) forget(now clocker.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Prune(now.UnixMilli() - c.runner.deps.Settings.LogRetention.Milliseconds())
}

// headSeen returns when the newest record of the head was first seen here.
func (c *claims) headSeen(headAt int64, now clocker.Instant) clocker.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if headAt != c.headAt || c.headAtSeen == (clocker.Instant{}) {
		c.headAt = headAt
		c.headAtSeen = now
	}
	return c.headAtSeen
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
