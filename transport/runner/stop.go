package runner

import (
	"context"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// drainPeriod is how often a stop looks whether callers are still served.
	drainPeriod = 10 * time.Millisecond
	// closureTimeout bounds the last word to the log at a planned stop.
	closureTimeout = 3 * time.Second
	// farewellTime lets the news of the stop spread before the process ends.
	farewellTime = 300 * time.Millisecond
	// refuseShare is the part of the time until the kill after which new requests
	// are refused. What is taken before has the rest of the time to end.
	refuseShare = 0.45
	// cancelMargin is kept between the end of all requests and the kill. Within
	// it the last answers are written and the fleet is told.
	cancelMargin = 700 * time.Millisecond
	// answerTime is how long canceled requests may take to be answered.
	answerTime = 250 * time.Millisecond
)

// stop is the planned stop: callers are sent elsewhere, the backend server
// beside is drained, what runs is ended, and the fleet is told.
func (r *Runner) stop(ctx context.Context) {
	r.deps.Log.Info("Stopping", "Incarnation", r.incarnation, "Active", r.router.Active())
	began := r.now()
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
	r.awaitDrained(ctx, began, left)
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
func (r *Runner) awaitDrained(ctx context.Context, began clocker.Instant, left <-chan struct{}) {
	limit := r.settings.Load().StopLimit
	drained := false
	for ctx.Err() == nil {
		passed := r.now().Since(began)
		if limit > 0 && passed > time.Duration(refuseShare*float64(limit)) {
			r.router.Refuse()
		}
		if limit > 0 && passed > limit-cancelMargin {
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
