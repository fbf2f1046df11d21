package detector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
)

const threshold = 24

// normalBaseline is that of a pool with service times of about 20 ms (ln of 20,000 us is 9.9).
var normalBaseline = detector.Baseline{MedianLog: 9.9, SpreadLog: 0.3, BadShare: 0.001, Members: 6}

type harness struct {
	detector *detector.Detector
	now      time.Duration
	next     uint64
}

func newHarness() *harness {
	h := &harness{detector: detector.New(threshold)}
	h.detector.SetBaseline(normalBaseline)
	return h
}

func (h *harness) instant() clocker.Instant {
	return clocker.Instant{Mono: h.now, Wall: h.now}
}

func (h *harness) respond(took time.Duration, bad bool) {
	h.next++
	h.detector.Start(h.instant(), h.next)
	h.now += took
	h.detector.Finish(h.instant(), h.next, bad, false, detector.Origin{})
}

// requireThresholdReached checks that at most this many responses reach the threshold.
func (h *harness) requireThresholdReached(t *testing.T, most int, took time.Duration, bad bool) {
	t.Helper()
	for range most {
		h.respond(took, bad)
		if h.detector.ThresholdReached() {
			return
		}
	}
	t.Fatalf("threshold not reached after %d responses: %+v", most, h.detector.Evidence())
}

func TestDetector(t *testing.T) {
	t.Run("HealthyServerIsClear", func(t *testing.T) {
		h := newHarness()
		for range 10000 {
			h.respond(20*time.Millisecond, false)
		}
		require.False(t, h.detector.Degraded())
	})
	t.Run("TenTimesSlow", func(t *testing.T) { newHarness().requireThresholdReached(t, 4, 200*time.Millisecond, false) })
	t.Run("ThreeTimesSlow", func(t *testing.T) { newHarness().requireThresholdReached(t, 10, 60*time.Millisecond, false) })
	t.Run("BadAnswers", func(t *testing.T) { newHarness().requireThresholdReached(t, 9, 5*time.Millisecond, true) })
	t.Run("TwoSlowRequestsAreNotEnough", func(t *testing.T) {
		h := newHarness()
		h.respond(time.Hour, false)
		h.respond(time.Hour, false)
		require.False(t, h.detector.ThresholdReached())
	})
	t.Run("HangIsDetectedBeforeAnyResponse", func(t *testing.T) {
		h := newHarness()
		for id := range uint64(4) {
			h.detector.Start(h.instant(), id)
		}
		for range 100 {
			h.now += 10 * time.Millisecond
			h.detector.Tick(h.instant())
		}
		require.True(t, h.detector.ThresholdReached())
	})
	t.Run("WithoutBaselineThresholdIsNotReached", func(t *testing.T) {
		h := &harness{detector: detector.New(threshold)}
		for range 100 {
			h.respond(10*time.Second, false)
		}
		require.False(t, h.detector.ThresholdReached())
	})
	t.Run("ResetForgets", func(t *testing.T) {
		h := newHarness()
		h.requireThresholdReached(t, 20, 500*time.Millisecond, false)
		h.detector.Reset(h.instant())
		require.Zero(t, h.detector.Evidence().Suspicion)
	})
	t.Run("HealthyServerIsReportedSeldom", func(t *testing.T) {
		h := newHarness()
		reports := 0
		for range 1000 {
			h.respond(20*time.Millisecond, false)
			if h.detector.ReportDue(h.instant()) {
				reports++
			}
		}
		require.LessOrEqual(t, reports, 11)
	})
}
