// Package quoter bounds the requests of each customer over the whole fleet. Large limits are
// divided into parts. One process, the home of a part, holds its token bucket, and routers ask
// it for each request. What follows applies to each part as if it were a customer's limit.
//
// Each member of the fleet has an equal share of a limit. A router lends its share to the
// home that it asks, and a home fills its bucket with the shares lent to it. A router lends
// to another home, or uses its share itself, only after the first home has ceased to count
// it. Processes that disagree about the home or can't reach each other thus share one limit.
//
// It is designed for 30 to 2,300 processes, 85 active customers whose callers are spread
// over all processes, and a customer at eight times its usual rate.
package quoter

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// lendTime is the shortest time for which a home counts a router after an ask.
	lendTime = time.Second
	// viewTime is how long gossip takes to tell that members are cut off. A router that
	// asks rarely waits for it before it uses a share that it has lent, since the home
	// can't tell from its silence that it is cut off.
	viewTime = 3 * time.Second
	// lendMargin is the longest delay of an ask that a router reckons with before it uses
	// a share that it has lent.
	lendMargin = 250 * time.Millisecond
	// AnswerTimeout is how long a router waits for a home.
	AnswerTimeout = 150 * time.Millisecond
	// TickPeriod is the time between two calls of Home.Tick.
	TickPeriod = 100 * time.Millisecond
	// pauseLimit is the time without a tick after which a home counts as paused. A home
	// on a throttled core may be some ticks late.
	pauseLimit = 500 * time.Millisecond
	// settleTime is how long a home decides nothing after a pause, so that the asks that
	// were waiting for it are not taken for new ones.
	settleTime = lendMargin
	// youngTime is how long a home counts as new: in this time all routers learn of it.
	youngTime = 1250 * time.Millisecond
	// MaxYoungWait is the longest wait for the first tokens of a new bucket.
	MaxYoungWait = 60 * time.Millisecond
	// startShare and reserveShare are the parts of the tolerance that a new bucket starts
	// with, and that all routers together may use up at once, and again in each window,
	// while their homes don't answer.
	startShare   = 0.25
	reserveShare = 0.125
)

// Limit is the quota of one customer.
type Limit struct {
	// Rate is in requests a second. A limit without a rate doesn't apply.
	Rate float64
	// Burst is the number of requests that can be saved up.
	Burst float64
	// Parts is the number of equal parts of a customer's limit of which this is one; 0
	// counts as 1.
	Parts int
}

// Tolerance is by how much the fleet may exceed a limit.
type Tolerance struct {
	// Window is the time over which Share and Slack apply.
	Window time.Duration
	// Share is a share of what the limit allows within the window.
	Share float64
	// Slack is a number of requests.
	Slack float64
}

// Requests returns by how many requests the fleet may exceed a limit within one window. The
// parts of a limit share the slack.
func (t Tolerance) Requests(limit Limit) float64 {
	return t.Share*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack/float64(max(1, limit.Parts))
}

// Ask is a router's message to a home.
type Ask struct {
	// Sender is the incarnation of the router's process.
	Sender   uint64
	Customer string
	// Count is the number of requests that quota is asked for.
	Count int
	// Returned is the number of requests that took quota here and did not run, and
	// ReturnedAge the time since the first of them did.
	Returned    int
	ReturnedAge time.Duration
	// Lends is set if the router lends its share of the limit to the home. An ask for
	// nothing that doesn't lend takes it back.
	Lends bool
	// Members is the size of the fleet that the router knows.
	Members int
}

// Answer is a home's reply.
type Answer struct {
	Granted int
	// RetryAfter is the time after which there is quota for one who is refused now.
	RetryAfter time.Duration
	// Undecided is set if the home can't decide.
	Undecided bool
	// Young is set if the bucket is new and has not filled yet.
	Young   bool
	Members int
	// Patience is the silence after which the home ceases to count the router. It may take
	// the router for an idle one after askerLifetime.
	Patience time.Duration
}

// View is what a process knows about the fleet.
type View struct {
	// Holder is set if the process is the customer's home in its own view, and HeldSince
	// is when it became that.
	Holder    bool
	HeldSince clocker.Instant
	// Live is the number of members that can be reached, this process included.
	Live int
	// Fresh holds the members that became live not long ago. They may not know yet who is
	// the home and use their shares elsewhere.
	Fresh []uint64
	// Members is the number of members that are live or not known to have left.
	Members int
	// Known is Members without what a process assumes at its start. It is what others are told.
	Known int
}

// later returns the later of two instants, by the monotonic clock.
func later(a, b clocker.Instant) clocker.Instant {
	if a.Mono >= b.Mono {
		return a
	}
	return b
}
