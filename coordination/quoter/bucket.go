package quoter

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// slotTime is the time that is kept together in a bucket's past.
	slotTime = 100 * time.Millisecond
	// slots is how many of them are kept. Quota of older requests isn't given back.
	slots = 64
)

// slot is what happened to a bucket in one slotTime.
type slot struct {
	// level is that at the beginning.
	level   float64
	refill  float64
	limit   float64
	granted float64
}

// bucket is a token bucket. It keeps its recent past, so that quota is given back as if it
// had never been taken: tokens that a full bucket would not have held are not added.
type bucket struct {
	level     float64
	updatedAt clocker.Instant
	past      [slots]slot
	// number is that of the current slot, which is at number % slots.
	number int64
}

func newBucket(now clocker.Instant, level float64) *bucket {
	b := &bucket{level: level, updatedAt: now, number: int64(now.Mono / slotTime)}
	b.past[b.number%slots].level = level
	return b
}

// update adds the refill of a rate, in tokens a second, up to a limit.
func (b *bucket) update(now clocker.Instant, rate, limit float64) {
	refill := max(0, rate*now.Since(b.updatedAt).Seconds())
	b.updatedAt = now
	b.advance(int64(now.Mono / slotTime))
	current := &b.past[b.number%slots]
	current.refill += refill
	current.limit = limit
	b.level = min(b.level+refill, limit)
}

// advance begins a new slot.
func (b *bucket) advance(number int64) {
	if number-b.number >= slots {
		b.number = number - slots
	}
	for b.number < number {
		limit := b.past[b.number%slots].limit
		b.number++
		b.past[b.number%slots] = slot{level: b.level, limit: limit}
	}
}

// take takes up to count whole tokens and returns how many there were. In a bucket that holds
// less than one token, the level is the probability of one and is used up either way.
func (b *bucket) take(count int, random func() float64) int {
	current := &b.past[b.number%slots]
	if current.limit < 1 && count > 0 {
		probability := b.level
		b.level = 0
		current.granted += probability
		if probability > 0 && random() < probability {
			return 1
		}
		return 0
	}
	taken := max(0, min(count, int(b.level)))
	b.level -= float64(taken)
	current.granted += float64(taken)
	return taken
}

// giveBack returns tokens that were taken some time ago.
func (b *bucket) giveBack(now clocker.Instant, count float64, age time.Duration) {
	taken := int64((now.Mono - age) / slotTime)
	if age < 0 || b.number-taken >= slots || taken > b.number {
		return
	}
	left := count
	level := b.past[max(0, taken)%slots].level
	for number := max(0, taken); number <= b.number; number++ {
		at := &b.past[number%slots]
		returned := min(left, at.granted)
		at.granted -= returned
		left -= returned
		at.level = level
		level = min(level+at.refill, at.limit) - at.granted
	}
	b.level = max(b.level, min(b.level+count, level))
}
