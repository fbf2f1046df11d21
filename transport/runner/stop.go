package runner

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/stopper"
)

const (
	// drainPollPeriod is the interval of checks for requests still in flight.
	drainPollPeriod = 10 * time.Millisecond
	// closureTimeout bounds writing the guard's closure to the log.
	closureTimeout = 3 * time.Second
	// goneSpreadTime is the time for gossip to spread the stop before the process ends.
	goneSpreadTime = 300 * time.Millisecond
	// duplicateStopWindow is the time within which a signal and the stop that it
	// causes count as one stop request.
	duplicateStopWindow = 100 * time.Millisecond
	// cancelTimeout is how long the callers of canceled requests may take to
	// receive their responses.
	cancelTimeout = 250 * time.Millisecond
)

// RecordStopRequest records that the process was asked to stop, also while it is
// stopping: each further request restarts the time until the kill.
func (r *Runner) RecordStopRequest() {
	now := r.now().Mono
	before := time.Duration(r.stopRequestedAt.Swap(int64(now)))
	if before > 0 && now-before > duplicateStopWindow {
		r.deps.Log.Info("StopAskedAgain", "Incarnation", r.incarnation, "Active", r.router.Active())
	}
}

// stop performs the planned stop. It lets callers move to other processes, drains
// the backend server, cancels the requests that exceed the StopLimit, and tells
// the fleet that the process is gone.
func (r *Runner) stop(ctx context.Context) {
	r.deps.Log.Info("Stopping", "Incarnation", r.incarnation, "Active", r.router.Active())
	r.stopRequestedAt.CompareAndSwap(0, int64(r.now().Mono))
	stop := stopper.New(r.now().Mono, r.settings.Load().StopLimit, r.settings.Load().StopGrace)
	r.plannedStop.Store(&stop)
	r.stopping.Store(true)
	if r.deps.Source != nil {
		go r.deregister(ctx)
	}
	guardDrained := make(chan struct{})
	go func() {
		defer close(guardDrained)
		r.serveThroughGrace(ctx)
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

// finishesBeforeStop reports whether a request of an expected duration would
// finish before a planned stop cancels it. It is true if no stop has begun.
func (r *Runner) finishesBeforeStop(expected time.Duration) bool {
	stop := r.plannedStop.Load()
	return stop == nil || stop.CanFinish(r.now().Mono, expected)
}

// serveThroughGrace keeps the backend server in service for the StopGrace if the stop was
// not requested by the server itself. Otherwise its slots would stay empty while the
// callers' last requests elsewhere end, which in a rolling restart of many processes
// takes away more capacity than the restarts need.
func (r *Runner) serveThroughGrace(ctx context.Context) {
	select {
	case <-r.leaveRequested:
	default:
		pause(ctx, r.settings.Load().StopGrace)
	}
}

// drainBackendServer takes the backend server out of service and, if the log is
// used, writes the guard's closure.
func (r *Runner) drainBackendServer(ctx context.Context) {
	if err := r.guard.Leave(ctx); err != nil {
		r.deps.Log.Warn("LeaveFailed", "Error", err)
	}
	if r.deps.Source == nil {
		r.writeClosure(ctx)
	}
}

// awaitDrained waits until the backend server is drained and no caller's request is
// active, or until the remaining requests must be canceled before the kill.
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
