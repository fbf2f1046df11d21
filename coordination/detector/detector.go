// Package detector judges one backend server against its pool by sequential
// tests over service times and bad answers, measured beside the server.
package detector

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// Cause names the test behind a suspicion.
type Cause uint8

// Causes of suspicion.
const (
	CauseNone Cause = iota
	CauseLatency
	CauseErrors
)

// String gives the name of the cause.
func (c Cause) String() string {
	switch c {
	case CauseLatency:
		return "Latency"
	case CauseErrors:
		return "Errors"
	default:
		return "None"
	}
}

const (
	// shiftLog is the slowdown that the latency test looks for, as ln of a ratio.
	shiftLog = math.Ln2
	// minSlowRequests is how many requests it takes at least to condemn a server as slow.
	minSlowRequests = 3
	// maxFastNats bounds what one quick request takes from the latency test.
	maxFastNats = 2.0
	// minSpread and maxSpread bound the pool's standard deviation of ln of service time.
	minSpread = 0.3
	maxSpread = 1.0
	// minBadShare is the least share of bad answers taken as normal.
	minBadShare = 0.005
	// badShareFactor and minSickShare set the share of bad answers that the test looks for.
	badShareFactor = 4.0
	minSickShare   = 0.10
	// maxSickShare bounds the share that the test looks for.
	maxSickShare = 0.9
	// smoothing is the weight of a new sample in the smoothed figures.
	smoothing = 0.1
	// spreadSmoothing is the weight of a new sample in the smoothed spread.
	spreadSmoothing = 0.02
	// calmPeriod is how often a calm guard reports.
	calmPeriod = 2 * time.Second
	// newPeriod is how often a guard without a baseline reports.
	newPeriod = 500 * time.Millisecond
	// watchedPeriod is how often a guard reports that looks worse than its peers.
	watchedPeriod = 100 * time.Millisecond
	// watchedShare is the share of the caution from which a guard counts as watched.
	watchedShare = 0.25
	// watchedLog is the excess over the median, as ln of a ratio, of a watched guard.
	watchedLog = 0.4
	// minServiceTime floors a service time before its logarithm is taken.
	minServiceTime = 10 * time.Microsecond
)

// Baseline is what is normal in the pool.
type Baseline struct {
	// MedianLog is the median of the members' smoothed ln of service time in microseconds.
	MedianLog float64
	// SpreadLog is the median of the members' standard deviations.
	SpreadLog float64
	// BadShare is the median share of bad answers, from 0 to 1.
	BadShare float64
	// Members is the number of servers behind the figures; 0 means no baseline.
	Members int
}

// Evidence is the digest that a guard sends about its server.
type Evidence struct {
	// Suspicion is the higher of the two tests, in nats.
	Suspicion float64
	Cause     Cause
	// MeanLog is the smoothed ln of service time in microseconds.
	MeanLog   float64
	SpreadLog float64
	BadShare  float64
	Samples   uint64
}

// Severity orders sick servers: excess of service time plus share of bad answers.
func (e Evidence) Severity(baseline Baseline) float64 {
	const badWeight = 5
	return max(0, e.MeanLog-baseline.MedianLog) + badWeight*max(0, e.BadShare-baseline.BadShare)
}

// Origin identifies where a request came from, for evidence from distinct sources.
type Origin struct {
	Caller uint64
	Route  uint64
}

type flight struct {
	started clocker.Instant
	// nats is what the request has added to the latency test so far.
	nats float64
	// noted is the ln of the age at which the request was last counted.
	noted float64
	// shift is added to the ln of the request's time, so that routes of unequal
	// work compare.
	shift float64
	// unrated is set if nothing is known of the route's usual time.
	unrated bool
}

// Detector accumulates evidence on one server. It is not safe for concurrent use.
type Detector struct {
	caution  float64
	baseline Baseline
	flights  map[uint64]flight
	// latency and errors are cumulative sums that never fall below 0.
	latency float64
	errors  float64
	meanLog float64
	// variance is the smoothed square deviation of ln of service time.
	variance float64
	badShare float64
	samples  uint64
	reported clocker.Instant
	origins  Origins
	// joint demands bad answers from several callers and routes.
	joint bool
}

// New returns a detector that condemns at the given evidence in nats.
func New(caution float64) *Detector {
	return &Detector{
		caution:  caution,
		flights:  map[uint64]flight{},
		variance: minSpread * minSpread,
	}
}

// SetThreshold sets the evidence that condemns, for a newer policy.
func (d *Detector) SetThreshold(caution float64) *Detector {
	d.caution = caution
	return d
}

// RequireDistinctOrigins demands a minimum of distinct callers and routes behind bad answers.
func (d *Detector) RequireDistinctOrigins() *Detector {
	d.joint = true
	return d
}

// Reset forgets the evidence, but not the requests in flight, whose ages count anew.
func (d *Detector) Reset(now clocker.Instant) {
	d.latency = 0
	d.errors = 0
	d.badShare = 0
	d.samples = 0
	d.meanLog = d.baseline.MedianLog
	d.origins = Origins{}
	for id, current := range d.flights {
		d.flights[id] = flight{started: now, shift: current.shift, unrated: current.unrated}
	}
}

// SetBaseline takes a newer measure of the pool.
func (d *Detector) SetBaseline(baseline Baseline) {
	if baseline.Members > 0 {
		d.baseline = baseline
	}
}

// Start notes that a request is wholly at the server.
func (d *Detector) Start(now clocker.Instant, id uint64) {
	d.flights[id] = flight{started: now}
}

// referenceTime stands for the usual time of every route.
const referenceTime = 100 * time.Millisecond

// StartNormalized is Start for a request of a route whose usual time at the server
// is known, or 0: then only the quality of its answer counts.
func (d *Detector) StartNormalized(now clocker.Instant, id uint64, typical time.Duration) {
	if typical <= 0 {
		d.flights[id] = flight{started: now, unrated: true}
		return
	}
	d.flights[id] = flight{started: now, shift: logOf(referenceTime) - logOf(typical)}
}

// Finish notes the answer, or the end by cancellation if censored.
func (d *Detector) Finish(now clocker.Instant, id uint64, bad, censored bool, origin Origin) {
	current, ok := d.flights[id]
	if !ok {
		return
	}
	delete(d.flights, id)
	value := logOf(now.Since(current.started)) + current.shift
	if !current.unrated && (!censored || value > d.meanLog) {
		d.observe(value, current)
	}
	if censored {
		return
	}
	d.observeAnswer(bad, origin)
}

// RecordLateFailure notes a bad answer that showed only after Finish, such as a body cut off late.
func (d *Detector) RecordLateFailure(origin Origin) {
	d.observeAnswer(true, origin)
}

// Tick counts the requests in flight whose age has doubled since they were last counted.
func (d *Detector) Tick(now clocker.Instant) {
	for id, current := range d.flights {
		age := logOf(now.Since(current.started)) + current.shift
		due := max(d.baseline.MedianLog, current.noted) + math.Ln2
		if d.baseline.Members == 0 || current.unrated || age < due {
			continue
		}
		current.nats += d.observe(age, current)
		current.noted = age
		d.flights[id] = current
	}
}

// observe adds a service time, or an age as its lower bound, and returns what it
// added to the latency test beyond what the request had added before.
func (d *Detector) observe(value float64, current flight) float64 {
	d.samples++
	if d.samples == 1 && d.meanLog == 0 {
		d.meanLog = value
	}
	deviation := value - d.meanLog
	d.meanLog += smoothing * deviation
	d.variance += spreadSmoothing * (min(deviation*deviation, maxSpread) - d.variance)
	if d.baseline.Members == 0 {
		return 0
	}
	added := d.ratio(value) - current.nats
	if current.nats > 0 && added < 0 {
		return 0
	}
	d.latency = max(0, d.latency+added)
	return added
}

// ratio is the log likelihood ratio of a service time under the shifted and the normal pool.
func (d *Detector) ratio(value float64) float64 {
	spread := min(max(d.baseline.SpreadLog, minSpread), maxSpread)
	excess := value - d.baseline.MedianLog
	nats := shiftLog / (spread * spread) * (excess - shiftLog/2)
	return min(max(nats, -maxFastNats), d.caution/minSlowRequests)
}

func (d *Detector) observeAnswer(bad bool, origin Origin) {
	share := 0.0
	if bad {
		share = 1
		d.origins = d.origins.With(origin)
	}
	d.badShare += smoothing * (share - d.badShare)
	normal := max(d.baseline.BadShare, minBadShare)
	sick := min(max(badShareFactor*normal, minSickShare), maxSickShare)
	if sick <= normal {
		return
	}
	if bad {
		d.errors += math.Log(sick / normal)
		return
	}
	d.errors = max(0, d.errors+math.Log((1-sick)/(1-normal)))
}

// Evidence returns the present digest.
func (d *Detector) Evidence() Evidence {
	evidence := Evidence{
		MeanLog:   d.meanLog,
		SpreadLog: math.Sqrt(d.variance),
		BadShare:  d.badShare,
		Samples:   d.samples,
	}
	errors := d.errors
	if d.joint && !d.origins.Distinct() {
		errors = min(errors, d.caution/2)
	}
	switch {
	case d.latency > 0 && d.latency >= errors:
		evidence.Suspicion = d.latency
		evidence.Cause = CauseLatency
	case errors > 0:
		evidence.Suspicion = errors
		evidence.Cause = CauseErrors
	}
	return evidence
}

// ThresholdReached tells whether the evidence has reached the caution.
func (d *Detector) ThresholdReached() bool {
	return d.Evidence().Suspicion >= d.caution
}

// Degraded tells whether the server looks worse than its peers.
func (d *Detector) Degraded() bool {
	if d.baseline.Members == 0 {
		return false
	}
	if d.Evidence().Suspicion >= watchedShare*d.caution {
		return true
	}
	return d.meanLog > d.baseline.MedianLog+watchedLog
}

// ReportDue tells whether a report is due, and notes it as sent.
func (d *Detector) ReportDue(now clocker.Instant) bool {
	period := calmPeriod
	if d.baseline.Members == 0 {
		period = newPeriod
	}
	if d.Degraded() {
		period = watchedPeriod
	}
	if now.Since(d.reported) < period {
		return false
	}
	d.reported = now
	return true
}

func logOf(d time.Duration) float64 {
	return math.Log(float64(max(d, minServiceTime)) / float64(time.Microsecond))
}
