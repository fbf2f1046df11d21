package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
)

const (
	// departureTimeout is how long an announcement waits until the Source keeps that its
	// server leaves. Servers give up an announcement after a second.
	departureTimeout = 600 * time.Millisecond
	// departureCallTimeout bounds each call about departures. A connection to the store
	// that went silent is found by it, and the next call uses another one.
	departureCallTimeout = time.Second
	// departureRetryDelay is the first delay after a failed call about departures. It
	// doubles up to maxDepartureRetryDelay.
	departureRetryDelay    = 200 * time.Millisecond
	maxDepartureRetryDelay = 1600 * time.Millisecond
)

// errDepartureNotKept means that a departure is applied but would be forgotten by a
// restart of the process, so that it must not be acknowledged.
var errDepartureNotKept = eris.New("departure is not kept yet")

// departures keeps the last departure of the backend server beside in the Source. It is
// safe for concurrent use.
type departures struct {
	// record writes a departure to the Source, and recall reads the last one.
	record func(ctx context.Context, departure enroller.Departure) error
	recall func(ctx context.Context) (enroller.Departure, error)
	log    *slog.Logger

	mu sync.Mutex
	// wanted is the last departure, and kept the last one that the Source has.
	wanted enroller.Departure
	kept   enroller.Departure
	// written is closed and replaced whenever kept changes.
	written chan struct{}
	// wake tells run that wanted has changed.
	wake chan struct{}
}

func newDepartures(
	record func(ctx context.Context, departure enroller.Departure) error,
	recall func(ctx context.Context) (enroller.Departure, error), log *slog.Logger,
) *departures {
	return &departures{
		record: record, recall: recall, log: log,
		written: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// keep makes the Source keep a departure, unless it is the zero value. The caller calls it
// in the order of departures.
func (d *departures) keep(departure enroller.Departure) {
	if departure.ID == "" {
		return
	}
	d.mu.Lock()
	d.wanted = departure
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// await returns nil once the Source keeps a departure, or an error after
// departureTimeout. Writing goes on after an error.
func (d *departures) await(departure enroller.Departure) error {
	timer := time.NewTimer(departureTimeout)
	defer timer.Stop()
	for {
		d.mu.Lock()
		done, written := d.kept == departure, d.written
		d.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-written:
		case <-timer.C:
			return errDepartureNotKept
		}
	}
}

// run recalls the last departure, passes it to apply, which returns the last one that is
// then known, and writes that and later ones until the context is done. Nothing is written
// before, since that could replace a later departure by an earlier one. It stops recalling
// once needless returns true.
func (d *departures) run(ctx context.Context, apply func(enroller.Departure) enroller.Departure, needless func() bool) {
	retry := departureRetryDelay
	for ctx.Err() == nil && !needless() {
		callCtx, cancel := context.WithTimeout(ctx, departureCallTimeout)
		departure, err := d.recall(callCtx)
		cancel()
		if err == nil {
			d.setKept(departure)
			d.keep(apply(departure))
			break
		}
		d.log.Warn("DepartureNotRecalled", "Error", err)
		pause(ctx, retry)
		retry = min(2*retry, maxDepartureRetryDelay)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
			d.write(ctx)
		}
	}
}

// write writes the wanted departure until the Source keeps it.
func (d *departures) write(ctx context.Context) {
	for retry := departureRetryDelay; ctx.Err() == nil; retry = min(2*retry, maxDepartureRetryDelay) {
		d.mu.Lock()
		wanted := d.wanted
		done := d.kept == wanted
		d.mu.Unlock()
		if done {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, departureCallTimeout)
		err := d.record(callCtx, wanted)
		cancel()
		if err == nil {
			d.setKept(wanted)
			d.log.Info("DepartureKept", "Server", wanted.ID, "StartedMs", wanted.StartedMs)
			continue
		}
		d.log.Warn("DepartureNotKept", "Server", wanted.ID, "Error", err)
		pause(ctx, retry)
	}
}

func (d *departures) setKept(departure enroller.Departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = departure
	close(d.written)
	d.written = make(chan struct{})
}
