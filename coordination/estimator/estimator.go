// Package estimator learns how long requests occupy a slot of a backend server, by kind
// of request, and estimates how long one will need or still needs.
//
// It is designed for service times with heavy tails: in 3 of 100 requests the work is 7
// times the usual, so that a request that has run for long is likely to run on.
package estimator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SizeClass groups requests by the size of their body.
type SizeClass uint8

// Size classes of bodies.
const (
	// SizeAny stands for all sizes of a route.
	SizeAny SizeClass = iota
	// SizeNone is a request without a body.
	SizeNone
	// SizeSmall is a body of at most smallBodyBytes.
	SizeSmall
	// SizeMedium is a body of at most mediumBodyBytes.
	SizeMedium
	// SizeLarge is a longer body.
	SizeLarge
	// SizeUnknown is a body whose length the caller did not send.
	SizeUnknown
)

const (
	smallBodyBytes  = 16 << 10
	mediumBodyBytes = 512 << 10
)

// Kind groups requests that are expected to cost about the same.
type Kind struct {
	// Route is the hash of the name of the route.
	Route uint64
	Size  SizeClass
}

// KindOf returns the kind of a request with a body length in bytes, -1 if it is unknown.
func KindOf(route uint64, bodyBytes int64) Kind {
	kind := Kind{Route: route}
	switch {
	case bodyBytes < 0:
		kind.Size = SizeUnknown
	case bodyBytes == 0:
		kind.Size = SizeNone
	case bodyBytes <= smallBodyBytes:
		kind.Size = SizeSmall
	case bodyBytes <= mediumBodyBytes:
		kind.Size = SizeMedium
	default:
		kind.Size = SizeLarge
	}
	return kind
}

// route returns the kind that stands for all sizes of the route.
func (k Kind) route() Kind { return Kind{Route: k.Route, Size: SizeAny} }

const (
	// DefaultKinds is the number of kinds that an estimator of a process keeps. A kind
	// takes 8 KB, so that they take 2 MB.
	DefaultKinds = 256
	// MaxTime bounds samples and estimates.
	MaxTime = 10 * time.Minute
	// priorMean is the expected service time while nothing was observed.
	priorMean = 100 * time.Millisecond
	// priorSamples and parentSamples are the numbers of samples that the prior and the
	// distribution of a more general kind count for. They are halved after
	// settledSamples of the kind itself and vanish with more: at a fixed weight, a short kind beside long ones
	// keeps an estimate 80 % too high after 200 samples.
	priorSamples   = 1.0
	parentSamples  = 4.0
	settledSamples = 16.0
)

// Estimate is what is known of the service time of a kind.
type Estimate struct {
	Mean time.Duration
	// Samples is the number of samples of the kind itself, weighted by their age. The
	// estimate of a kind without samples rests on its route's or on all requests.
	Samples float64
	// Age is the time since the last sample of the kind, 0 without samples.
	Age time.Duration
}

// Estimator holds the distributions of service times. It is not safe for concurrent use.
type Estimator struct {
	maxKinds int
	// kinds holds the distributions by kind; those by route have SizeAny.
	kinds map[Kind]*distribution
	all   *distribution
}

// New returns an estimator that keeps at most maxKinds kinds.
func New(maxKinds int) *Estimator {
	return &Estimator{maxKinds: maxKinds, kinds: map[Kind]*distribution{}, all: newDistribution(0)}
}

// Observe adds the service time of a finished request at a monotonic time.
func (e *Estimator) Observe(now time.Duration, kind Kind, took time.Duration) {
	e.all.observe(now, took)
	e.distribution(now, kind.route()).observe(now, took)
	if kind.Size != SizeAny {
		e.distribution(now, kind).observe(now, took)
	}
}

// distribution returns the distribution of a kind. If there are too many, a new one
// replaces the one whose last sample is the oldest.
func (e *Estimator) distribution(now time.Duration, kind Kind) *distribution {
	if known, ok := e.kinds[kind]; ok {
		return known
	}
	if len(e.kinds) >= e.maxKinds {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(e.kinds)), func(a, b Kind) int {
			return cmp.Or(cmp.Compare(e.kinds[a].last, e.kinds[b].last),
				cmp.Compare(a.Route, b.Route), cmp.Compare(a.Size, b.Size))
		})
		delete(e.kinds, oldest)
	}
	added := newDistribution(now)
	e.kinds[kind] = added
	return added
}

// Kinds returns the number of kinds that are kept.
func (e *Estimator) Kinds() int { return len(e.kinds) }

// Estimate returns the expected service time of a request that has not started.
func (e *Estimator) Estimate(now time.Duration, kind Kind) Estimate {
	estimate := Estimate{Mean: e.Remaining(now, kind, 0)}
	if known, ok := e.kinds[kind]; ok {
		estimate.Samples, estimate.Age = known.weight(now), now-known.last
	}
	return estimate
}

// Remaining returns the expected time that a request still needs after it has run for
// the elapsed time.
func (e *Estimator) Remaining(now time.Duration, kind Kind, elapsed time.Duration) time.Duration {
	at := max(0, elapsed.Seconds())
	rest := prior(at)
	rest = rest.refine(e.all, now, at, priorSamples)
	rest = rest.refine(e.kinds[kind.route()], now, at, parentSamples)
	if kind.Size != SizeAny {
		rest = rest.refine(e.kinds[kind], now, at, parentSamples)
	}
	// The mass is positive, since the prior's is at any time. Beyond all samples it may be
	// below 1e-12 and the quotient is still that of the prior.
	return time.Duration(min(MaxTime.Seconds(), rest.excess/rest.mass) * float64(time.Second))
}

// tail describes the part of a distribution beyond a time: mass is the probability of a
// longer service time, excess the mean of the time beyond it in seconds, 0 for shorter ones.
type tail struct{ mass, excess float64 }

// prior returns the tail of the distribution that is assumed without samples, a Pareto
// distribution of type II with shape 2: the longer a request has run, the longer it is
// expected to run on.
func prior(at float64) tail {
	scale := priorMean.Seconds()
	ratio := scale / (scale + at)
	return tail{mass: ratio * ratio, excess: scale * ratio}
}

// refine combines the tail of a more general kind, which counts for a number of samples,
// with that of a distribution. The distribution may be nil.
func (t tail) refine(d *distribution, now time.Duration, at, samples float64) tail {
	if d == nil {
		return t
	}
	weight := d.weight(now)
	own := d.tail(at)
	samples *= settledSamples / (settledSamples + weight)
	sum := weight + samples
	return tail{
		mass:   (weight*own.mass + samples*t.mass) / sum,
		excess: (weight*own.excess + samples*t.excess) / sum,
	}
}
