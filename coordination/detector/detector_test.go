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
	b := &harness{detector: detector.New(threshold)}
	b.detector.SetBaseline(normalBaseline)
	return b
}

func (b *harness) instant() clocker.Instant {
	return clocker.Instant{Mono: b.now, Wall: b.now}
}

func (b *harness) respond(took time.Duration, bad bool) {
	b.next++
	b.detector.Start(b.instant(), b.next)
	b.now += took
	b.detector.Finish(b.instant(), b.next, bad, false, detector.Origin{})
}

// requireThresholdReached checks that at most this many responses reach the threshold.
func (b *harness) requireThresholdReached(t *testing.T, most int, took time.Duration, bad bool) {
	t.Helper()
	for range most {
		b.respond(took, bad)
		if b.detector.ThresholdReached() {
			return
		}
	}
	t.Fatalf("threshold not reached after %d responses: %+v", most, b.detector.Evidence())
}

func TestDetector(t *testing.T) {
	t.Run("HealthyServerIsClear", func(t *testing.T) {
		b := newHarness()
		for range 10000 {
			b.respond(20*time.Millisecond, false)
		}
		require.False(t, b.detector.Degraded())
	})
	t.Run("TenTimesSlow", func(t *testing.T) { newHarness().requireThresholdReached(t, 4, 200*time.Millisecond, false) })
	t.Run("ThreeTimesSlow", func(t *testing.T) { newHarness().requireThresholdReached(t, 10, 60*time.Millisecond, false) })
	t.Run("BadAnswers", func(t *testing.T) { newHarness().requireThresholdReached(t, 9, 5*time.Millisecond, true) })
	t.Run("TwoSlowRequestsAreNotEnough", func(t *testing.T) {
		b := newHarness()
		b.respond(time.Hour, false)
		b.respond(time.Hour, false)
		require.False(t, b.detector.ThresholdReached())
	})
	t.Run("HangShowsBeforeAnythingEnds", func(t *testing.T) {
		b := newHarness()
		for id := range uint64(4) {
			b.detector.Start(b.instant(), id)
		}
		for range 100 {
			b.now += 10 * time.Millisecond
			b.detector.Tick(b.instant())
		}
		require.True(t, b.detector.ThresholdReached())
	})
	t.Run("WithoutBaselineNothingIsJudged", func(t *testing.T) {
		b := &harness{detector: detector.New(threshold)}
		for range 100 {
			b.respond(10*time.Second, false)
		}
		require.False(t, b.detector.ThresholdReached())
	})
	t.Run("ResetForgets", func(t *testing.T) {
		b := newHarness()
		b.requireThresholdReached(t, 20, 500*time.Millisecond, false)
		b.detector.Reset(b.instant())
		require.Zero(t, b.detector.Evidence().Suspicion)
	})
	t.Run("CalmGuardReportsSeldom", func(t *testing.T) {
		b := newHarness()
		reports := 0
		for range 1000 {
			b.respond(20*time.Millisecond, false)
			if b.detector.ReportDue(b.instant()) {
				reports++
			}
		}
		require.LessOrEqual(t, reports, 11)
	})
}
