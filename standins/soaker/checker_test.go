package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
