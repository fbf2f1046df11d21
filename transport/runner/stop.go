package runner

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/stopper"
)

const (
	// drainPollPeriod is how often a stop looks whether callers are still served.
	drainPollPeriod = 10 * time.Millisecond
	// closureTimeout bounds the last word to the log at a planned stop.
	closureTimeout = 3 * time.Second
	// goneSpreadTime lets the news of the stop spread before the process ends.
	goneSpreadTime = 300 * time.Millisecond
	// duplicateStopWindow is the time within which a signal and the stop that it causes
	// are one request.
	duplicateStopWindow = 100 * time.Millisecond
	// cancelTimeout is how long canceled requests may take to be answered.
	cancelTimeout = 250 * time.Millisecond
)

// RecordStopRequest notes that the process was asked to stop, for the first time or again.
func (r *Runner) RecordStopRequest() {
	now := r.now().Mono
	before := time.Duration(r.stopRequestedAt.Swap(int64(now)))
	if before > 0 && now-before > duplicateStopWindow {
		r.deps.Log.Info("StopAskedAgain", "Incarnation", r.incarnation, "Active", r.router.Active())
	}
}

// stop is the planned stop: callers are sent elsewhere, the backend server
// beside is drained, what runs is ended, and the fleet is told.
func (r *Runner) stop(ctx context.Context) {
	r.deps.Log.Info("Stopping", "Incarnation", r.incarnation, "Active", r.router.Active())
	r.stopRequestedAt.CompareAndSwap(0, int64(r.now().Mono))
	stop := stopper.New(r.now().Mono, r.settings.Load().StopLimit)
	r.plannedStop.Store(&stop)
	r.stopping.Store(true)
	if r.deps.Source != nil {
		go r.deregister(ctx)
	}
	guardDrained := make(chan struct{})
	go func() {
		defer close(guardDrained)
		r.drainBackendServer(ctx)
	}()
	pause(ctx, r.settings.Load().StopGrace)
	r.router.Drain()
	r.awaitDrained(ctx, stop, guardDrained)
	if r.router.Active() > 0 {
		r.deps.Log.Warn("RequestsCutOff", "Active", r.router.Active(), "StopLimit", r.settings.Load().StopLimit)
		r.router.Cancel()
		for end := r.now(); r.router.Active() > 0 && r.now().Since(end) < cancelTimeout; {
			pause(ctx, drainPollPeriod)
		}
	}
	r.router.Refuse()
	r.announceGone()
	close(r.stopped)
	pause(ctx, goneSpreadTime)
}

// finishesBeforeStop tells whether a request that mostly ends within a time would do so before
// a planned stop ends what runs.
func (r *Runner) finishesBeforeStop(takes time.Duration) bool {
	stop := r.plannedStop.Load()
	return stop == nil || stop.CanFinish(r.now().Mono, takes)
}

// drainBackendServer takes the backend server out of service and leaves the guard's last word.
func (r *Runner) drainBackendServer(ctx context.Context) {
	if err := r.guard.Leave(ctx); err != nil {
		r.deps.Log.Warn("LeaveFailed", "Error", err)
	}
	if r.deps.Source == nil {
		r.writeClosure(ctx)
	}
}

// awaitDrained waits until callers and backend server are served to their ends,
// or until the time before the kill is used up.
func (r *Runner) awaitDrained(ctx context.Context, stop stopper.Stop, guardDrained <-chan struct{}) {
	drained := false
	for ctx.Err() == nil {
		now := r.now().Mono
		stop = stop.WithRequest(time.Duration(r.stopRequestedAt.Load()))
		if stop.Refuses(now) {
			r.router.Refuse()
		}
		if stop.MustCancel(now) {
			return
		}
		select {
		case <-guardDrained:
			drained = true
		default:
		}
		if drained && r.router.Active() == 0 {
			return
		}
		pause(ctx, drainPollPeriod)
	}
}
