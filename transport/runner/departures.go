package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/enroller"
	"github.com/foxtailhall/foxtailhall/coordination/keeper"
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
	record func(ctx context.Context, departure enroller.Departure) (era uint64, err error)
	recall func(ctx context.Context) (departure enroller.Departure, era uint64, err error)
	log    *slog.Logger

	mu sync.Mutex
	// wanted is the last departure, and keeper tracks whether the Source has it.
	wanted enroller.Departure
	keeper keeper.Keeper
	// written is closed and replaced whenever the Source has acknowledged a departure.
	written chan struct{}
	// wake tells run that wanted or the era has changed.
	wake chan struct{}
}

func newDepartures(
	record func(ctx context.Context, departure enroller.Departure) (era uint64, err error),
	recall func(ctx context.Context) (departure enroller.Departure, era uint64, err error), log *slog.Logger,
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
	if departure != d.wanted {
		d.log.Info("DepartureToKeep", "Server", departure.ID, "StartedMs", departure.StartedMs, "LeftMs", departure.LeftMs)
		d.wanted = departure
		d.keeper = d.keeper.WithValue()
	}
	d.mu.Unlock()
	d.wakeUp()
}

// setEra records the latest known era of the Source. A departure that was kept in an
// earlier one is written again.
func (d *departures) setEra(era uint64) {
	d.mu.Lock()
	d.keeper = d.keeper.WithEra(era)
	d.mu.Unlock()
	d.wakeUp()
}

func (d *departures) wakeUp() {
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
		done, written := d.wanted == departure && !d.keeper.Due(), d.written
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
func (d *departures) run(
	ctx context.Context, apply func(departure enroller.Departure, era uint64) enroller.Departure, needless func() bool,
) {
	retry := departureRetryDelay
	for ctx.Err() == nil && !needless() {
		callCtx, cancel := context.WithTimeout(ctx, departureCallTimeout)
		departure, era, err := d.recall(callCtx)
		cancel()
		if err == nil {
			d.setRecalled(departure, era)
			d.keep(apply(departure, era))
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
		wanted, value, due := d.wanted, d.keeper.Value(), d.keeper.Due()
		d.mu.Unlock()
		if !due {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, departureCallTimeout)
		era, err := d.record(callCtx, wanted)
		cancel()
		if err == nil {
			d.setKept(value, era)
			d.log.Info("DepartureKept", "Server", wanted.ID, "StartedMs", wanted.StartedMs, "Era", era)
			continue
		}
		d.log.Warn("DepartureNotKept", "Server", wanted.ID, "Error", err)
		pause(ctx, retry)
	}
}

// setRecalled records that the Source has a departure in an era.
func (d *departures) setRecalled(departure enroller.Departure, era uint64) {
	d.mu.Lock()
	if departure.ID != "" {
		d.wanted = departure
		d.keeper = d.keeper.WithValue()
	}
	value := d.keeper.Value()
	d.mu.Unlock()
	if departure.ID != "" {
		d.setKept(value, era)
	}
}

// setKept records that the Source has acknowledged a value of the keeper in an era.
func (d *departures) setKept(value, era uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keeper = d.keeper.WithKept(value, era)
	close(d.written)
	d.written = make(chan struct{})
}
