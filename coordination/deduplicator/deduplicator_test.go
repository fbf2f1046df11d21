package deduplicator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
)

var limits = deduplicator.Limits{Attempts: 4, Keys: 2, AnswerBytes: 10, KeyLifetime: time.Hour}

func at(d time.Duration) clocker.Instant {
	return clocker.Instant{Mono: d, Wall: time.Hour + d}
}

func issued(d time.Duration) int64 {
	return (time.Hour + d).Milliseconds()
}

func id(n byte) deduplicator.AttemptID {
	return deduplicator.AttemptID{n}
}

func requireDecision(t *testing.T, d *deduplicator.Deduplicator, n byte, key string, want deduplicator.Decision) {
	t.Helper()
	decision, _ := d.Begin(at(0), id(n), key, issued(0))
	require.Equal(t, want.String(), decision.String())
}

func TestBegin(t *testing.T) {
	t.Run("SecondCopyIsDropped", func(t *testing.T) {
		d := deduplicator.New(limits)
		requireDecision(t, d, 1, "", deduplicator.DecisionRun)
		requireDecision(t, d, 1, "", deduplicator.DecisionDuplicate)
	})
	t.Run("FencedAttemptIsRefused", func(t *testing.T) {
		d := deduplicator.New(limits)
		state, _ := d.Resolve(at(0), id(1), "", issued(0))
		require.Equal(t, deduplicator.StateFenced, state)
		requireDecision(t, d, 1, "", deduplicator.DecisionFenced)
	})
	t.Run("OldAttemptIsStale", func(t *testing.T) {
		d := deduplicator.New(limits)
		decision, _ := d.Begin(at(10*time.Minute), id(1), "", issued(0))
		require.Equal(t, deduplicator.DecisionStale, decision)
	})
	t.Run("AttemptFromTheFutureIsStale", func(t *testing.T) {
		d := deduplicator.New(limits)
		decision, _ := d.Begin(at(0), id(1), "", issued(10*time.Minute))
		require.Equal(t, deduplicator.DecisionStale, decision)
	})
	t.Run("FullMemoryRefuses", func(t *testing.T) {
		d := deduplicator.New(limits)
		for n := range byte(4) {
			requireDecision(t, d, n, "", deduplicator.DecisionRun)
		}
		requireDecision(t, d, 9, "", deduplicator.DecisionMemoryFull)
		state, _ := d.Resolve(at(0), id(9), "", issued(0))
		require.Equal(t, deduplicator.StateUnseen, state, "an attempt that cannot be recorded is not fenced")
	})
}

func TestKeys(t *testing.T) {
	t.Run("RunningKeyRunsNotAgain", func(t *testing.T) {
		d := deduplicator.New(limits)
		requireDecision(t, d, 1, "k", deduplicator.DecisionRun)
		requireDecision(t, d, 2, "k", deduplicator.DecisionKeyRunning)
	})
	t.Run("FinishedKeyGetsStoredAnswer", func(t *testing.T) {
		d := deduplicator.New(limits)
		requireDecision(t, d, 1, "k", deduplicator.DecisionRun)
		d.Finish(at(0), id(1), "k", deduplicator.StateDone, 200, &deduplicator.Answer{Status: 200, Body: []byte("ok")})
		decision, answer := d.Begin(at(0), id(2), "k", issued(0))
		require.Equal(t, deduplicator.DecisionReplay, decision)
		require.Equal(t, "ok", string(answer.Body))
	})
	t.Run("KeyWithEvictedAnswerHasRun", func(t *testing.T) {
		d := deduplicator.New(limits)
		for n, key := range []string{"a", "b"} {
			requireDecision(t, d, byte(n), key, deduplicator.DecisionRun)
			d.Finish(at(0), id(byte(n)), key, deduplicator.StateDone, 200, &deduplicator.Answer{Body: make([]byte, 8)})
		}
		requireDecision(t, d, 3, "a", deduplicator.DecisionKeyRan)
		requireDecision(t, d, 3, "b", deduplicator.DecisionReplay)
	})
	t.Run("OnlyTheRunningAttemptMayBeDispatched", func(t *testing.T) {
		d := deduplicator.New(limits)
		requireDecision(t, d, 1, "k", deduplicator.DecisionRun)
		require.True(t, d.MayDispatch(id(1), "k"))
		require.False(t, d.MayDispatch(id(2), "k"))
		d.Finish(at(0), id(1), "k", deduplicator.StateDone, 200, nil)
		require.False(t, d.MayDispatch(id(1), "k"))
	})
	t.Run("WithdrawnKeyMayRun", func(t *testing.T) {
		d := deduplicator.New(limits)
		requireDecision(t, d, 1, "k", deduplicator.DecisionRun)
		d.Withdraw(id(1), "k")
		requireDecision(t, d, 1, "k", deduplicator.DecisionFenced)
		requireDecision(t, d, 2, "k", deduplicator.DecisionRun)
	})
	t.Run("LostRepeatOfFinishedKeyIsNotFenced", func(t *testing.T) {
		d := deduplicator.New(limits)
		requireDecision(t, d, 1, "k", deduplicator.DecisionRun)
		d.Finish(at(0), id(1), "k", deduplicator.StateDone, 201, nil)
		state, status := d.Resolve(at(0), id(2), "k", issued(0))
		require.Equal(t, deduplicator.StateDone, state)
		require.Equal(t, 201, status)
		requireDecision(t, d, 2, "k", deduplicator.DecisionKeyRan)
	})
}
