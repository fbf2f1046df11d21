// Package meter counts what a process does, for its metrics page.
package meter

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds the metrics of one process. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set
}

// New returns a meter without metrics.
func New() *Meter {
	return &Meter{set: metrics.NewSet()}
}

// CountOutcome counts a finished request.
func (m *Meter) CountOutcome(service, outcome string) {
	m.set.GetOrCreateCounter("foxtailhall_requests_total{service=" + strconv.Quote(service) +
		",outcome=" + strconv.Quote(outcome) + "}").Inc()
}

// CountAttempt counts an attempt and why its server was chosen.
func (m *Meter) CountAttempt(service, reason string) {
	m.set.GetOrCreateCounter("foxtailhall_attempts_total{service=" + strconv.Quote(service) +
		",reason=" + strconv.Quote(reason) + "}").Inc()
}

// ObserveLatency takes the time that a caller waited.
func (m *Meter) ObserveLatency(service string, took time.Duration) {
	m.set.GetOrCreateHistogram("foxtailhall_request_seconds{service=" + strconv.Quote(service) + "}").
		Update(took.Seconds())
}

// CountEvent counts something that happens to the process, such as an ejection.
func (m *Meter) CountEvent(name string) {
	m.set.GetOrCreateCounter("foxtailhall_events_total{event=" + strconv.Quote(name) + "}").Inc()
}

// RegisterGauge shows a value that is read when the page is.
func (m *Meter) RegisterGauge(name string, read func() float64) {
	m.set.GetOrCreateGauge("foxtailhall_"+name, read)
}

// Write prints all metrics, those of the process included.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	_, _ = fmt.Fprintln(w)
}
