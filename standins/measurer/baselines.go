package measurer

import (
	"time"
)

// recordForBaseline records an attempt for the baselines, in which each router ejects servers on its
// own. Refused attempts do not count.
func (w *world) recordForBaseline(router *router, r *request, took time.Duration) {
	if w.policy.ConsecutiveErrors == 0 && !w.policy.Window || r.refused {
		return
	}
	stats := &router.local[r.server]
	bad := r.bad || w.now-r.arrivedAt >= requestTimeout
	if w.policy.ConsecutiveErrors > 0 {
		stats.errors++
		if !bad {
			stats.errors = 0
		}
		if stats.errors >= w.policy.ConsecutiveErrors {
			stats.errors = 0
			w.ejectLocally(router, r.server)
		}
		return
	}
	stats.samples = append(stats.samples, sample{at: w.now, took: took, bad: bad})
}

const (
	localEjectionTime   = 10 * time.Second
	windowLength        = 10 * time.Second
	minWindowSamples    = 20
	windowLatencyFactor = 2.0
	windowErrorShare    = 0.10
	maxEjectedShare     = 0.34
)

func (w *world) ejectLocally(router *router, index int) {
	ejected := 0
	for i := range router.local {
		if w.now < router.local[i].ejectedUntil {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(router.local)) {
		return
	}
	router.local[index].ejectedUntil = w.now + localEjectionTime
	w.countEjection(index)
}

func (w *world) countEjection(index int) {
	w.ejections++
	if w.isFaulty(index) {
		w.faultyEjected = true
		return
	}
	w.falseEjections++
}

// ejectByWindow ejects servers whose latency or error share over the window exceeds a fixed threshold.
func (w *world) ejectByWindow(router *router) {
	var total time.Duration
	var count int
	means := make([]time.Duration, len(router.local))
	shares := make([]float64, len(router.local))
	for i := range router.local {
		stats := &router.local[i]
		for len(stats.samples) > 0 && w.now-stats.samples[0].at > windowLength {
			stats.samples = stats.samples[1:]
		}
		for _, s := range stats.samples {
			means[i] += s.took
			if s.bad {
				shares[i]++
			}
		}
		total += means[i]
		count += len(stats.samples)
		means[i] /= time.Duration(max(len(stats.samples), 1))
		shares[i] /= float64(max(len(stats.samples), 1))
	}
	overall := total / time.Duration(max(count, 1))
	for i := range router.local {
		enough := len(router.local[i].samples) >= minWindowSamples && w.now >= router.local[i].ejectedUntil
		if enough && (float64(means[i]) > windowLatencyFactor*float64(overall) || shares[i] > windowErrorShare) {
			router.local[i].samples = nil
			w.ejectLocally(router, i)
		}
	}
}
