package estimator

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minSampleUs and significantDigits set the resolution of the histograms: a sample is
	// kept with an error of at most 1/32 of its value.
	minSampleUs       = 500
	significantDigits = 1
	// windowSamples is the number of samples after which a window ends. It holds some 15
	// requests of the 3 in 100 that take 7 times as long.
	windowSamples = 512
	// windowTime is the time after which a window of at least minWindowSamples ends.
	windowTime       = 30 * time.Second
	minWindowSamples = 128
	// previousWeight is the weight of the samples of the previous window.
	previousWeight = 0.5
	// lifetime is the time after the last sample over which the weight of a distribution falls to 0.
	lifetime = 10 * time.Minute
	// rebuildShare is the number of samples, as a share of all, after which the tail
	// table is made again. It bounds both the work per sample and the table's error.
	rebuildShare = 16
)

// distribution holds the samples of the current and of the previous window.
type distribution struct {
	current *hdrhistogram.Histogram
	// previous is nil before the first window has ended.
	previous *hdrhistogram.Histogram
	// since is the start of the current window, last the time of the last sample.
	since, last time.Duration
	// unseen counts the samples that steps does not contain.
	unseen int64
	steps  []step
}

// step is one bar of the histograms with the sums over it and all longer ones.
type step struct {
	seconds, count float64
	// mass is the number of samples from here on, sum that of their seconds.
	mass, sum float64
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minSampleUs, MaxTime.Microseconds(), significantDigits)
}

func newDistribution(now time.Duration) *distribution {
	return &distribution{current: newHistogram(), since: now, last: now}
}

func (d *distribution) observe(now, took time.Duration) {
	count := d.current.TotalCount()
	if count >= windowSamples || count >= minWindowSamples && now-d.since >= windowTime {
		spare := d.previous
		if spare == nil {
			spare = newHistogram()
		}
		spare.Reset()
		d.previous, d.current, d.since = d.current, spare, now
	}
	// The value is inside the bounds of the histogram, so that there is no error.
	_ = d.current.RecordValue(min(max(took, 0), MaxTime).Microseconds())
	d.last = max(d.last, now)
	d.unseen++
}

// samples returns the number of samples, weighted by window.
func (d *distribution) samples() float64 {
	sum := float64(d.current.TotalCount())
	if d.previous != nil {
		sum += previousWeight * float64(d.previous.TotalCount())
	}
	return sum
}

// weight returns the number of samples, weighted by window and by the time since the last one.
func (d *distribution) weight(now time.Duration) float64 {
	return d.samples() * max(0, 1-float64(now-d.last)/float64(lifetime))
}

// tail returns the tail beyond a time in seconds, with an empty one if there are no samples.
func (d *distribution) tail(at float64) tail {
	if d.unseen > 0 && d.unseen >= int64(d.samples())/rebuildShare {
		d.rebuild()
	}
	if len(d.steps) == 0 {
		return tail{}
	}
	i, _ := slices.BinarySearchFunc(d.steps, at, func(s step, at float64) int { return cmp.Compare(s.seconds, at) })
	if i == len(d.steps) {
		return tail{}
	}
	total := d.steps[0].mass
	return tail{mass: d.steps[i].mass / total, excess: (d.steps[i].sum - at*d.steps[i].mass) / total}
}

// rebuild makes the tail table from both windows.
func (d *distribution) rebuild() {
	d.unseen = 0
	d.steps = d.steps[:0]
	d.appendSteps(d.current, 1)
	if d.previous != nil {
		d.appendSteps(d.previous, previousWeight)
	}
	slices.SortFunc(d.steps, func(a, b step) int { return cmp.Compare(a.seconds, b.seconds) })
	mass, sum := 0.0, 0.0
	for i := len(d.steps) - 1; i >= 0; i-- {
		mass += d.steps[i].count
		sum += d.steps[i].count * d.steps[i].seconds
		d.steps[i].mass, d.steps[i].sum = mass, sum
	}
}

func (d *distribution) appendSteps(histogram *hdrhistogram.Histogram, weight float64) {
	for _, bar := range histogram.Distribution() {
		if bar.Count > 0 {
			middle := time.Duration(bar.From+bar.To) * time.Microsecond / 2
			d.steps = append(d.steps, step{seconds: middle.Seconds(), count: weight * float64(bar.Count)})
		}
	}
}
