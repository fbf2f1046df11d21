package runner

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/stopper"
)

const (
	// drainPeriod is how often a stop looks whether callers are still served.
	drainPeriod = 10 * time.Millisecond
	// closureTimeout bounds the last word to the log at a planned stop.
	closureTimeout = 3 * time.Second
	// farewellTime lets the news of the stop spread before the process ends.
	farewellTime = 300 * time.Millisecond
	// sameRequest is the time within which a signal and the stop that it causes
	// are one request.
	sameRequest = 100 * time.Millisecond
	// answerTime is how long canceled requests may take to be answered.
	answerTime = 250 * time.Millisecond
)

// RecordStopRequest notes that the process was asked to stop, for the first time or again.
func (r *Runner) RecordStopRequest() {
	now := r.now().Mono
	before := time.Duration(r.stopAsked.Swap(int64(now)))
	if before > 0 && now-before > sameRequest {
		r.deps.Log.Info("StopAskedAgain", "Incarnation", r.incarnation, "Active", r.router.Active())
	}
}

// stop is the planned stop: callers are sent elsewhere, the backend server
// beside is drained, what runs is ended, and the fleet is told.
func (r *Runner) stop(ctx context.Context) {
	r.deps.Log.Info("Stopping", "Incarnation", r.incarnation, "Active", r.router.Active())
	r.stopAsked.CompareAndSwap(0, int64(r.now().Mono))
	stop := stopper.New(r.now().Mono, r.settings.Load().StopLimit)
	r.planned.Store(&stop)
	r.stopping.Store(true)
	if r.deps.Source != nil {
		go r.delist(ctx)
	}
	left := make(chan struct{})
	go func() {
		defer close(left)
		r.leaveService(ctx)
	}()
	pause(ctx, r.settings.Load().StopGrace)
	r.router.Drain()
	r.awaitDrained(ctx, stop, left)
	if r.router.Active() > 0 {
		r.deps.Log.Warn("RequestsCutOff", "Active", r.router.Active(), "StopLimit", r.settings.Load().StopLimit)
		r.router.Cancel()
		for end := r.now(); r.router.Active() > 0 && r.now().Since(end) < answerTime; {
			pause(ctx, drainPeriod)
		}
	}
	r.router.Refuse()
	r.farewell()
	close(r.stopped)
	pause(ctx, farewellTime)
}

// fits tells whether a request that mostly ends within a time would do so before
// a planned stop ends what runs.
func (r *Runner) fits(takes time.Duration) bool {
	stop := r.planned.Load()
	return stop == nil || stop.CanFinish(r.now().Mono, takes)
}

// leaveService takes the backend server out of service and leaves the guard's last word.
func (r *Runner) leaveService(ctx context.Context) {
	if err := r.guard.Leave(ctx); err != nil {
		r.deps.Log.Warn("LeaveFailed", "Error", err)
	}
	if r.deps.Source == nil {
		r.writeClosure(ctx)
	}
}

// awaitDrained waits until callers and backend server are served to their ends,
// or until the time before the kill is used up.
func (r *Runner) awaitDrained(ctx context.Context, stop stopper.Stop, left <-chan struct{}) {
	drained := false
	for ctx.Err() == nil {
		now := r.now().Mono
		stop = stop.WithRequest(time.Duration(r.stopAsked.Load()))
		if stop.Refuses(now) {
			r.router.Refuse()
		}
		if stop.MustCancel(now) {
			return
		}
		select {
		case <-left:
			drained = true
		default:
		}
		if drained && r.router.Active() == 0 {
			return
		}
		pause(ctx, drainPeriod)
	}
}
