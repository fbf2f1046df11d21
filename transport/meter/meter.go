// Package meter collects the Prometheus metrics of a process.
package meter

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the metrics of one process. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without any metrics.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// CountOutcome counts a finished request of a service by its outcome.
func (m *Meter) CountOutcome(service, outcome string) {
	m.set.GetOrCreateCounter("foxtailhall_requests_total{service=" + strconv.Quote(service) +
		",outcome=" + strconv.Quote(outcome) + "}").Inc()
}

// CountQuota counts decisions about requests of a customer with a quota.
func (m *Meter) CountQuota(customer, decision string) {
	m.set.GetOrCreateCounter("foxtailhall_quota_total{customer=" + strconv.Quote(customer) +
		",decision=" + strconv.Quote(decision) + "}").Inc()
}

// CountAttempt counts an attempt by the reason for choosing its server.
func (m *Meter) CountAttempt(service, reason string) {
	m.set.GetOrCreateCounter("foxtailhall_attempts_total{service=" + strconv.Quote(service) +
		",reason=" + strconv.Quote(reason) + "}").Inc()
}

// CountShed counts a request or attempt of a service that was rejected for lack of
// capacity, by reason.
func (m *Meter) CountShed(service, reason string) {
	m.set.GetOrCreateCounter("foxtailhall_shed_total{service=" + strconv.Quote(service) +
		",reason=" + strconv.Quote(reason) + "}").Inc()
}

// ObserveLatency records the time that a caller waited for a response.
func (m *Meter) ObserveLatency(service string, took time.Duration) {
	m.set.GetOrCreateHistogram("foxtailhall_request_seconds{service=" + strconv.Quote(service) + "}").
		Update(took.Seconds())
}

// ObserveFetch records the time that a fetch of a configuration version from a peer took.
func (m *Meter) ObserveFetch(succeeded bool, took time.Duration) {
	m.set.GetOrCreateHistogram("foxtailhall_version_fetch_seconds{succeeded=" +
		strconv.Quote(strconv.FormatBool(succeeded)) + "}").Update(took.Seconds())
}

// ObserveInquiry records the time from the start of a process until no peer was left to ask about
// the one before it.
func (m *Meter) ObserveInquiry(took time.Duration) {
	m.set.GetOrCreateHistogram("foxtailhall_inquiry_seconds").Update(took.Seconds())
}

// ObserveEstimate records the relative error of the expected service time of a request.
func (m *Meter) ObserveEstimate(service string, expected, took time.Duration) {
	m.set.GetOrCreateHistogram("foxtailhall_estimate_relative_error{service=" + strconv.Quote(service) + "}").
		Update(math.Abs(expected.Seconds()-took.Seconds()) / took.Seconds())
}

// CountEvent counts an event of the process, such as an ejection order.
func (m *Meter) CountEvent(name string) {
	m.set.GetOrCreateCounter("foxtailhall_events_total{event=" + strconv.Quote(name) + "}").Inc()
}

// CountLimit counts a refusal or a closed connection by the limit that was reached.
func (m *Meter) CountLimit(reason string) {
	m.set.GetOrCreateCounter("foxtailhall_limits_reached_total{reason=" + strconv.Quote(reason) + "}").Inc()
}

// CountPeerBytes counts the bytes of a message to or from another process, by call
// and by the relation of the two availability zones.
func (m *Meter) CountPeerBytes(method, zone string, bytes int) {
	m.set.GetOrCreateCounter("foxtailhall_peer_bytes_total{method=" + strconv.Quote(method) +
		",zone=" + strconv.Quote(zone) + "}").Add(bytes)
}

// RegisterGauge adds a gauge whose value is read at each scrape. The name gets the
// prefix foxtailhall_.
func (m *Meter) RegisterGauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("foxtailhall_"+name, read)
}

// RegisterBuild adds a gauge whose labels name the version of the program and its build.
func (m *Meter) RegisterBuild(version, build string) {
	m.set.GetOrCreateGauge("foxtailhall_build_info{version="+strconv.Quote(version)+",build="+strconv.Quote(build)+"}",
		func() float64 { return 1 })
}

// Write writes all metrics in the Prometheus text format, including those of the
// operating system process.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	_, _ = fmt.Fprintln(w)
}
