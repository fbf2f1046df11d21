package measurer

import (
	"time"
)

// learn is the baselines' ejection, by each router for itself.
func (w *world) learn(at *router, r *request, took time.Duration) {
	if w.policy.ConsecutiveErrors == 0 && !w.policy.Window || r.refused {
		return
	}
	kept := &at.local[r.server]
	bad := r.bad || w.now-r.born >= patience
	if w.policy.ConsecutiveErrors > 0 {
		kept.errors++
		if !bad {
			kept.errors = 0
		}
		if kept.errors >= w.policy.ConsecutiveErrors {
			kept.errors = 0
			w.setAside(at, r.server)
		}
		return
	}
	kept.samples = append(kept.samples, sample{at: w.now, took: took, bad: bad})
}

const (
	localEjection = 10 * time.Second
	window        = 10 * time.Second
	windowSamples = 20
	windowFactor  = 2.0
	windowErrors  = 0.10
	maxAside      = 0.34
)

func (w *world) setAside(at *router, index int) {
	aside := 0
	for i := range at.local {
		if w.now < at.local[i].until {
			aside++
		}
	}
	if float64(aside+1) > maxAside*float64(len(at.local)) {
		return
	}
	at.local[index].until = w.now + localEjection
	w.noteEjection(index)
}

func (w *world) noteEjection(index int) {
	w.ejections++
	if w.sick(index) {
		w.sickEjected = true
		return
	}
	w.falseEjections++
}

// judgeWindow is the baseline with a fixed threshold on a window.
func (w *world) judgeWindow(at *router) {
	var total time.Duration
	var count int
	means := make([]time.Duration, len(at.local))
	shares := make([]float64, len(at.local))
	for i := range at.local {
		kept := &at.local[i]
		for len(kept.samples) > 0 && w.now-kept.samples[0].at > window {
			kept.samples = kept.samples[1:]
		}
		for _, s := range kept.samples {
			means[i] += s.took
			if s.bad {
				shares[i]++
			}
		}
		total += means[i]
		count += len(kept.samples)
		means[i] /= time.Duration(max(len(kept.samples), 1))
		shares[i] /= float64(max(len(kept.samples), 1))
	}
	overall := total / time.Duration(max(count, 1))
	for i := range at.local {
		enough := len(at.local[i].samples) >= windowSamples && w.now >= at.local[i].until
		if enough && (float64(means[i]) > windowFactor*float64(overall) || shares[i] > windowErrors) {
			at.local[i].samples = nil
			w.setAside(at, i)
		}
	}
}
