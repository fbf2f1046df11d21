package quoter

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// maxParts is the number of parts of a large limit. Limits are mostly well above what
	// customers use, so that three homes out of four serve a customer whose fourth is lost.
	maxParts = 4
	// minPartBurst is the smallest burst of a part. With 3, a customer with Rate 16 and Burst 16
	// was refused 0.026 of its requests at its usual load, with 6 it was 0.009.
	minPartBurst = 6.0
	// changeTime is the time within which all processes have a new limit.
	changeTime = 2500 * time.Millisecond
	// divisionLifetime is how long a customer's limit is remembered after its last request.
	divisionLifetime = 5 * time.Minute
)

// Split returns the limit of one of the parts that a customer's limit is divided into. Each
// has a home of its own, so that the loss of a home leaves the customer the other parts.
func (l Limit) Split() Limit {
	parts := min(maxParts, max(1, int(l.Burst/minPartBurst)))
	return Limit{Rate: l.Rate / float64(parts), Burst: l.Burst / float64(parts), Parts: parts}
}

// Divider divides limits into parts. While a new number of parts spreads over the fleet, a
// part gets the smaller of its two limits: homes with the old number and homes with the new
// one would otherwise grant up to 1.75 times the limit. It is not safe for concurrent use.
type Divider struct {
	divisions map[string]*division
}

// division is how a customer's limit is divided now, and how it was before.
type division struct {
	part      Limit
	before    Limit
	changedAt clocker.Instant
	usedAt    clocker.Instant
}

// NewDivider returns a divider that knows no customers.
func NewDivider() *Divider { return &Divider{divisions: map[string]*division{}} }

// burstOf returns the burst of a part. Bursts of parts differ by up to one whole token, since
// a fraction of a token can't be granted.
func (l Limit) burstOf(index, parts int) float64 {
	each := math.Floor(l.Burst / float64(parts))
	rest := l.Burst - each*float64(parts)
	return each + min(1, max(0, rest-float64(index)))
}

// Part returns the limit of a part of a customer's limit. Its rate is 0 if there is no such
// part, or not yet.
func (d *Divider) Part(now clocker.Instant, customer string, limit Limit, index int) Limit {
	part := limit.Split()
	known := d.divisions[customer]
	if known == nil {
		known = &division{part: part}
		d.divisions[customer] = known
	}
	if known.part.Parts != part.Parts {
		known.before, known.changedAt = known.part, now
	}
	known.part, known.usedAt = part, now
	if index >= part.Parts {
		return Limit{Parts: part.Parts}
	}
	part.Burst = limit.burstOf(index, part.Parts)
	if known.before.Parts == 0 || now.Since(known.changedAt) >= changeTime {
		return part
	}
	if index >= known.before.Parts {
		return Limit{Parts: part.Parts}
	}
	part.Rate, part.Burst = min(part.Rate, known.before.Rate), min(part.Burst, known.before.Burst)
	return part
}

// Tick forgets idle customers.
func (d *Divider) Tick(now clocker.Instant) {
	for customer, known := range d.divisions {
		if now.Since(known.usedAt) > divisionLifetime {
			delete(d.divisions, customer)
		}
	}
}
