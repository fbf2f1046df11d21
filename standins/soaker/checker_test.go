package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/standins/responder"
)

// TestGarbledAnswersAreViolations guards against a soak that plays garbled answers and passes
// those that reach a caller.
func TestGarbledAnswersAreViolations(t *testing.T) {
	requireViolations := func(t *testing.T, got answer, want map[string]int) {
		t.Helper()
		c := newChecker()
		c.recordAnswer(got)
		require.Equal(t, want, c.violations)
	}
	whole := answer{ID: "a", Status: 200, BodyRead: true, SealMatches: true, BodyMatches: true}
	requireViolations(t, whole, map[string]int{})
	garbled := whole
	garbled.Garbled = true
	requireViolations(t, garbled, map[string]int{"GarbledAnswer": 1})
	cut := garbled
	cut.BodyRead = false
	requireViolations(t, cut, map[string]int{})
}

func TestPlansDrawGarbledAnswers(t *testing.T) {
	const duration, vms = 20 * time.Second, 9
	drawn := 0
	for _, event := range NewPlan(1, duration, vms) {
		if event.Kind == KindGarbled {
			drawn++
			require.LessOrEqual(t, event.At+event.Length, duration)
		}
	}
	require.Positive(t, drawn)
}

// TestWorkAfterALeavingAnswerIsAViolation guards against a soak that passes requests which reach a
// server through a VM that has passed on that the server leaves.
func TestWorkAfterALeavingAnswerIsAViolation(t *testing.T) {
	began := time.Now()
	at := func(after time.Duration) time.Time { return began.Add(after) }
	requireViolations := func(t *testing.T, vm int, sent time.Duration, f *fleet, want int) {
		t.Helper()
		c := newChecker()
		c.recordAnswer(answer{ID: "a", VM: 1, Server: "i-0-1", SaysLeaving: true, Ended: at(0)})
		c.recordAnswer(answer{ID: "b", VM: 1, Server: "i-0-1", SaysLeaving: true, Ended: at(time.Second)})
		c.recordAnswer(answer{ID: "c", VM: vm, Sent: at(sent)})
		c.recordRun(responder.Run{Request: "c", ServerID: "i-0-1", At: at(sent)})
		require.True(t, c.saidLeaving("i-0-1"))
		require.False(t, c.saidLeaving("i-0-2"))
		c.checkLeavingAnswers(f)
		require.Equal(t, want, c.violations["NoWorkAfterALeavingAnswer"])
	}
	calm := &fleet{vms: []*vm{{}, {}, {}}}
	requireViolations(t, 1, 2500*time.Millisecond, calm, 1)
	requireViolations(t, 1, 1500*time.Millisecond, calm, 0)
	requireViolations(t, 2, 2500*time.Millisecond, calm, 0)
	killed := &fleet{vms: []*vm{{}, {crashes: []time.Time{at(time.Second)}}}}
	requireViolations(t, 1, 2500*time.Millisecond, killed, 0)
	disturbed := func(kind Kind) *fleet {
		during := disturbance{kind: kind, vm: 1, from: at(time.Second), to: at(2 * time.Second)}
		return &fleet{vms: calm.vms, disturbances: []disturbance{during}}
	}
	requireViolations(t, 1, 2500*time.Millisecond, disturbed(KindPause), 0)
	requireViolations(t, 1, 2500*time.Millisecond, disturbed(KindCutBoth), 1)
}
