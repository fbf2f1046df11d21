// Package detector detects gray failures of one backend server. Sequential tests
// compare its service times and its share of bad responses, both measured by the
// guard on the same VM, with the baseline of the pool.
package detector

import (
	"math"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

// Cause names the test behind the suspicion.
type Cause uint8

// Causes of suspicion.
const (
	CauseNone Cause = iota
	CauseLatency
	CauseErrors
)

// String returns the name of the cause.
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
	// targetSlowdownLog is the slowdown that the latency test is tuned to, as ln of a ratio.
	targetSlowdownLog = math.Ln2
	// minSlowSamples is the minimum number of slow requests that reach the threshold.
	minSlowSamples = 3
	// maxDecreaseNats bounds by how much one fast request lowers the latency test.
	maxDecreaseNats = 2.0
	// minSpreadLog and maxSpreadLog bound the pool's standard deviation of ln of
	// service time.
	minSpreadLog = 0.3
	maxSpreadLog = 1.0
	// minNormalBadShare is the minimum share of bad responses that counts as normal.
	minNormalBadShare = 0.005
	// targetBadShareFactor is the ratio between the share of bad responses that the
	// error test is tuned to and the normal share.
	targetBadShareFactor = 4.0
	// minTargetBadShare and maxTargetBadShare bound the share that the test is tuned to.
	minTargetBadShare = 0.10
	maxTargetBadShare = 0.9
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.1
	// spreadSampleWeight is the weight of a new sample in the moving variance.
	spreadSampleWeight = 0.02
	// normalReportPeriod is the time between reports on a server that looks like its peers.
	normalReportPeriod = 5 * time.Second
	// initialReportPeriod is the time between reports while there is no baseline.
	initialReportPeriod = 500 * time.Millisecond
	// degradedReportPeriod is the time between reports on a degraded server.
	degradedReportPeriod = 100 * time.Millisecond
	// degradedThresholdShare is the share of the threshold from which a server counts
	// as degraded.
	degradedThresholdShare = 0.25
	// degradedExcessLog is the ln of the ratio between mean service time and the pool's
	// median above which a server counts as degraded.
	degradedExcessLog = 0.4
	// minServiceTime is the lower bound of service times before their logarithm is taken.
	minServiceTime = 10 * time.Microsecond
)

// Baseline describes the normal behavior of the pool.
type Baseline struct {
	// MedianLog is the median of the members' mean ln of service time in microseconds.
	MedianLog float64
	// SpreadLog is the median of the members' standard deviations of ln of service time.
	SpreadLog float64
	// BadShare is the median share of bad responses, from 0 to 1.
	BadShare float64
	// Members is the number of servers that the medians are taken over; 0 means that
	// there is no baseline.
	Members int
}

// Evidence summarizes what a guard has measured on its server.
type Evidence struct {
	// Suspicion is the higher result of the two tests, in nats.
	Suspicion float64
	Cause     Cause
	// MeanLog is the moving average of ln of service time in microseconds.
	MeanLog float64
	// SpreadLog is the standard deviation of ln of service time.
	SpreadLog float64
	// BadShare is the moving average of the share of bad responses, from 0 to 1.
	BadShare float64
	Samples  uint64
}

// Severity ranks failing servers. It is the excess of ln of service time over the
// baseline plus the weighted excess of the share of bad responses.
func (e Evidence) Severity(baseline Baseline) float64 {
	const badShareWeight = 5
	return max(0, e.MeanLog-baseline.MedianLog) + badShareWeight*max(0, e.BadShare-baseline.BadShare)
}

// Origin identifies the source of a request by hashes of its caller and its route.
type Origin struct {
	Caller uint64
	Route  uint64
}

type request struct {
	started clocker.Instant
	// contributionNats is what the request has added to latencySum so far.
	contributionNats float64
	// countedAgeLog is the ln of the age, in microseconds, at which the request was last
	// counted by Tick.
	countedAgeLog float64
	// routeOffsetLog is added to the ln of the request's time, so that routes with
	// different amounts of work are comparable.
	routeOffsetLog float64
	// ignoreLatency is set if the typical time of the route is not known.
	ignoreLatency bool
}

// Detector accumulates the evidence on one server. It is not safe for concurrent use.
type Detector struct {
	threshold float64
	baseline  Baseline
	inFlight  map[uint64]request
	// latencySum and errorSum are CUSUM statistics: cumulative sums of log likelihood
	// ratios, in nats, that never fall below 0.
	latencySum float64
	errorSum   float64
	meanLog    float64
	// variance is the moving average of the squared deviation of ln of service time.
	variance   float64
	badShare   float64
	samples    uint64
	reportedAt clocker.Instant
	origins    Origins
	// distinctOrigins is set if bad responses must come from several callers and routes.
	distinctOrigins bool
}

// New returns a detector with a threshold in nats.
func New(threshold float64) *Detector {
	return &Detector{
		threshold: threshold,
		inFlight:  map[uint64]request{},
		variance:  minSpreadLog * minSpreadLog,
	}
}

// SetThreshold sets the evidence, in nats, from which the server counts as failing.
func (d *Detector) SetThreshold(threshold float64) *Detector {
	d.threshold = threshold
	return d
}

// RequireDistinctOrigins makes the error test stay below the threshold until the
// recent bad responses come from a minimum of distinct callers and routes.
func (d *Detector) RequireDistinctOrigins() *Detector {
	d.distinctOrigins = true
	return d
}

// Reset discards the evidence. Requests in flight stay known, with ages that count from now.
func (d *Detector) Reset(now clocker.Instant) {
	d.latencySum = 0
	d.errorSum = 0
	d.badShare = 0
	d.samples = 0
	d.meanLog = d.baseline.MedianLog
	d.origins = Origins{}
	for id, current := range d.inFlight {
		d.inFlight[id] = request{started: now, routeOffsetLog: current.routeOffsetLog, ignoreLatency: current.ignoreLatency}
	}
}

// SetBaseline sets the baseline to compare with. A baseline without members is ignored.
func (d *Detector) SetBaseline(baseline Baseline) {
	if baseline.Members > 0 {
		d.baseline = baseline
	}
}

// Start records that a request has been sent to the server in full.
func (d *Detector) Start(now clocker.Instant, id uint64) {
	d.inFlight[id] = request{started: now}
}

// referenceServiceTime is the time that the typical time of each route is scaled to.
const referenceServiceTime = 100 * time.Millisecond

// StartNormalized is Start for a request whose service time is measured relative to
// the typical time of its route. If that is not known, typical is 0 and the service
// time is ignored: only the success of the response counts.
func (d *Detector) StartNormalized(now clocker.Instant, id uint64, typical time.Duration) {
	if typical <= 0 {
		d.inFlight[id] = request{started: now, ignoreLatency: true}
		return
	}
	d.inFlight[id] = request{started: now, routeOffsetLog: logMicroseconds(referenceServiceTime) - logMicroseconds(typical)}
}

// Finish records the end of a request; bad says that its response counts as a
// failure. A censored request was canceled before its response, so its age is only a
// lower bound of the service time and bad is ignored.
func (d *Detector) Finish(now clocker.Instant, id uint64, bad, censored bool, origin Origin) {
	current, ok := d.inFlight[id]
	if !ok {
		return
	}
	delete(d.inFlight, id)
	value := logMicroseconds(now.Since(current.started)) + current.routeOffsetLog
	if !current.ignoreLatency && (!censored || value > d.meanLog) {
		d.addSample(value, current)
	}
	if censored {
		return
	}
	d.addResponse(bad, origin)
}

// RecordLateFailure records a response that turned out to be bad only after Finish,
// such as one with a truncated body.
func (d *Detector) RecordLateFailure(origin Origin) {
	d.addResponse(true, origin)
}

// Tick counts the age of requests in flight as a lower bound of their service time:
// first at twice the pool's median, then whenever it has doubled again. So a server
// that hangs is detected before any request ends.
func (d *Detector) Tick(now clocker.Instant) {
	for id, current := range d.inFlight {
		age := logMicroseconds(now.Since(current.started)) + current.routeOffsetLog
		due := max(d.baseline.MedianLog, current.countedAgeLog) + math.Ln2
		if d.baseline.Members == 0 || current.ignoreLatency || age < due {
			continue
		}
		current.contributionNats += d.addSample(age, current)
		current.countedAgeLog = age
		d.inFlight[id] = current
	}
}

// addSample adds ln of a service time, or of an age as its lower bound, to the
// statistics. It returns the change of latencySum on top of what the request had
// contributed before.
func (d *Detector) addSample(value float64, current request) float64 {
	d.samples++
	if d.samples == 1 && d.meanLog == 0 {
		d.meanLog = value
	}
	deviation := value - d.meanLog
	d.meanLog += sampleWeight * deviation
	d.variance += spreadSampleWeight * (min(deviation*deviation, maxSpreadLog) - d.variance)
	if d.baseline.Members == 0 {
		return 0
	}
	added := d.logLikelihoodRatio(value) - current.contributionNats
	if current.contributionNats > 0 && added < 0 {
		return 0
	}
	d.latencySum = max(0, d.latencySum+added)
	return added
}

// logLikelihoodRatio returns how much more likely ln of a service time is for a pool
// slowed down by targetSlowdownLog than for the normal pool, in nats. It is bounded
// so that a single request can't reach the threshold.
func (d *Detector) logLikelihoodRatio(value float64) float64 {
	spread := min(max(d.baseline.SpreadLog, minSpreadLog), maxSpreadLog)
	excess := value - d.baseline.MedianLog
	nats := targetSlowdownLog / (spread * spread) * (excess - targetSlowdownLog/2)
	return min(max(nats, -maxDecreaseNats), d.threshold/minSlowSamples)
}

func (d *Detector) addResponse(bad bool, origin Origin) {
	share := 0.0
	if bad {
		share = 1
		d.origins = d.origins.With(origin)
	}
	d.badShare += sampleWeight * (share - d.badShare)
	normal := max(d.baseline.BadShare, minNormalBadShare)
	target := min(max(targetBadShareFactor*normal, minTargetBadShare), maxTargetBadShare)
	if target <= normal {
		return
	}
	if bad {
		d.errorSum += math.Log(target / normal)
		return
	}
	d.errorSum = max(0, d.errorSum+math.Log((1-target)/(1-normal)))
}

// Evidence returns the current evidence.
func (d *Detector) Evidence() Evidence {
	evidence := Evidence{
		MeanLog:   d.meanLog,
		SpreadLog: math.Sqrt(d.variance),
		BadShare:  d.badShare,
		Samples:   d.samples,
	}
	errorSum := d.errorSum
	if d.distinctOrigins && !d.origins.FromDistinctSources() {
		errorSum = min(errorSum, d.threshold/2)
	}
	switch {
	case d.latencySum > 0 && d.latencySum >= errorSum:
		evidence.Suspicion = d.latencySum
		evidence.Cause = CauseLatency
	case errorSum > 0:
		evidence.Suspicion = errorSum
		evidence.Cause = CauseErrors
	}
	return evidence
}

// ThresholdReached reports whether the suspicion has reached the threshold.
func (d *Detector) ThresholdReached() bool {
	return d.Evidence().Suspicion >= d.threshold
}

// Degraded reports whether the server looks worse than its peers, which takes less
// evidence than the threshold.
func (d *Detector) Degraded() bool {
	if d.baseline.Members == 0 {
		return false
	}
	if d.Evidence().Suspicion >= degradedThresholdShare*d.threshold {
		return true
	}
	return d.meanLog > d.baseline.MedianLog+degradedExcessLog
}

// ReportDue reports whether evidence is due to be sent, and records it as sent.
func (d *Detector) ReportDue(now clocker.Instant) bool {
	period := normalReportPeriod
	if d.baseline.Members == 0 {
		period = initialReportPeriod
	}
	if d.Degraded() {
		period = degradedReportPeriod
	}
	if now.Since(d.reportedAt) < period {
		return false
	}
	d.reportedAt = now
	return true
}

func logMicroseconds(d time.Duration) float64 {
	return math.Log(float64(max(d, minServiceTime)) / float64(time.Microsecond))
}
