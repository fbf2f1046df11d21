package detector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
)

const caution = 24

// normal is a pool that answers in about 20 ms (ln of 20,000 us is 9.9).
var normal = detector.Baseline{MedianLog: 9.9, SpreadLog: 0.3, BadShare: 0.001, Members: 6}

type bench struct {
	detector *detector.Detector
	now      time.Duration
	next     uint64
}

func newBench() *bench {
	b := &bench{detector: detector.New(caution)}
	b.detector.SetBaseline(normal)
	return b
}

func (b *bench) instant() clocker.Instant {
	return clocker.Instant{Mono: b.now, Wall: b.now}
}

func (b *bench) answer(took time.Duration, bad bool) {
	b.next++
	b.detector.Start(b.instant(), b.next)
	b.now += took
	b.detector.Finish(b.instant(), b.next, bad, false, detector.Origin{})
}

// requireCondemned asserts after how many answers at most the server is condemned.
func (b *bench) requireCondemned(t *testing.T, most int, took time.Duration, bad bool) {
	t.Helper()
	for range most {
		b.answer(took, bad)
		if b.detector.ThresholdReached() {
			return
		}
	}
	t.Fatalf("not condemned after %d answers: %+v", most, b.detector.Evidence())
}

func TestDetector(t *testing.T) {
	t.Run("HealthyServerIsClear", func(t *testing.T) {
		b := newBench()
		for range 10000 {
			b.answer(20*time.Millisecond, false)
		}
		require.False(t, b.detector.Degraded())
	})
	t.Run("TenTimesSlow", func(t *testing.T) { newBench().requireCondemned(t, 4, 200*time.Millisecond, false) })
	t.Run("ThreeTimesSlow", func(t *testing.T) { newBench().requireCondemned(t, 10, 60*time.Millisecond, false) })
	t.Run("BadAnswers", func(t *testing.T) { newBench().requireCondemned(t, 9, 5*time.Millisecond, true) })
	t.Run("TwoSlowRequestsAreNotEnough", func(t *testing.T) {
		b := newBench()
		b.answer(time.Hour, false)
		b.answer(time.Hour, false)
		require.False(t, b.detector.ThresholdReached())
	})
	t.Run("HangShowsBeforeAnythingEnds", func(t *testing.T) {
		b := newBench()
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
		b := &bench{detector: detector.New(caution)}
		for range 100 {
			b.answer(10*time.Second, false)
		}
		require.False(t, b.detector.ThresholdReached())
	})
	t.Run("ResetForgets", func(t *testing.T) {
		b := newBench()
		b.requireCondemned(t, 20, 500*time.Millisecond, false)
		b.detector.Reset(b.instant())
		require.Zero(t, b.detector.Evidence().Suspicion)
	})
	t.Run("CalmGuardReportsSeldom", func(t *testing.T) {
		b := newBench()
		reports := 0
		for range 1000 {
			b.answer(20*time.Millisecond, false)
			if b.detector.ReportDue(b.instant()) {
				reports++
			}
		}
		require.LessOrEqual(t, reports, 11)
	})
}
