// Package pacer limits the requests a second that a backend server gets, once the server
// has named a limit.
package pacer

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// burstTime is the time over which unused requests add up.
	burstTime = 500 * time.Millisecond
	// minBurst is the least number of requests that add up.
	minBurst = 1
	// minPerSecond is the least rate. Only an answer can raise or lift a limit, so a server
	// that takes nothing still gets a request now and then.
	minPerSecond = 0.25
)

// Pacer is a token bucket with the rate of the server's limit. The zero value sets no
// limit. It is not safe for concurrent use.
type Pacer struct {
	// perSecond is 0 without a limit.
	perSecond float64
	// heard is set once the server itself has shown what it takes.
	heard bool
	// tokens is the number of requests that the server takes at the time updatedAt.
	tokens    float64
	updatedAt clocker.Instant
}

// SetLimit limits the server to a number of requests a second, and reports whether the
// limit changed. Numbers that are no rate are ignored.
func (p *Pacer) SetLimit(now clocker.Instant, perSecond float64) bool {
	if !isRate(perSecond) {
		return false
	}
	p.heard = true
	return p.set(now, perSecond)
}

// Recall sets the limit that the server named to an earlier process, and reports whether the
// limit changed. What the server itself has shown since goes first, and then the lowest of
// several limits.
func (p *Pacer) Recall(now clocker.Instant, perSecond float64) bool {
	if !isRate(perSecond) || p.heard || p.perSecond > 0 && p.perSecond <= perSecond {
		return false
	}
	return p.set(now, perSecond)
}

func isRate(perSecond float64) bool {
	return !math.IsNaN(perSecond) && !math.IsInf(perSecond, 0) && perSecond >= 0
}

func (p *Pacer) set(now clocker.Instant, perSecond float64) bool {
	perSecond = max(perSecond, minPerSecond)
	if perSecond == p.perSecond {
		return false
	}
	p.refill(now)
	p.perSecond = perSecond
	p.tokens = min(p.tokens, p.burst())
	return true
}

// Lift removes the limit and reports whether there was one.
func (p *Pacer) Lift() bool {
	limited := p.perSecond > 0
	*p = Pacer{heard: true}
	return limited
}

// Limit returns the requests a second that the server gets at most, 0 without a limit.
func (p *Pacer) Limit() float64 { return p.perSecond }

// Take counts a request, or reports that the server takes none at the moment.
func (p *Pacer) Take(now clocker.Instant) bool {
	if p.perSecond == 0 {
		return true
	}
	p.refill(now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Return reverts Take for a request that did not reach the server.
func (p *Pacer) Return() {
	if p.perSecond > 0 {
		p.tokens = min(p.tokens+1, p.burst())
	}
}

// Wait returns the time until the server takes a request.
func (p *Pacer) Wait(now clocker.Instant) time.Duration {
	if p.perSecond == 0 {
		return 0
	}
	p.refill(now)
	return time.Duration(max(0, 1-p.tokens) / p.perSecond * float64(time.Second))
}

func (p *Pacer) refill(now clocker.Instant) {
	if passed := now.Mono - p.updatedAt.Mono; p.perSecond > 0 && passed > 0 {
		p.tokens = min(p.tokens+passed.Seconds()*p.perSecond, p.burst())
	}
	p.updatedAt = now
}

// burst is the highest number of tokens.
func (p *Pacer) burst() float64 { return minBurst + burstTime.Seconds()*p.perSecond }
