package dispatcher_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/dispatcher"
)

var limits = dispatcher.Limits{Attempts: 4, Keys: 2, AnswerBytes: 10, KeyLifetime: time.Hour}

func at(d time.Duration) clocker.Instant {
	return clocker.Instant{Mono: d, Wall: time.Hour + d}
}

func issued(d time.Duration) int64 {
	return (time.Hour + d).Milliseconds()
}

func id(n byte) dispatcher.AttemptID {
	return dispatcher.AttemptID{n}
}

func requireRuling(t *testing.T, d *dispatcher.Dispatcher, n byte, key string, want dispatcher.Ruling) {
	t.Helper()
	ruling, _ := d.Begin(at(0), id(n), key, issued(0))
	require.Equal(t, want.String(), ruling.String())
}

func TestBegin(t *testing.T) {
	t.Run("SecondCopyIsDropped", func(t *testing.T) {
		d := dispatcher.New(limits)
		requireRuling(t, d, 1, "", dispatcher.RulingRun)
		requireRuling(t, d, 1, "", dispatcher.RulingDuplicate)
	})
	t.Run("FencedAttemptIsRefused", func(t *testing.T) {
		d := dispatcher.New(limits)
		state, _ := d.Resolve(at(0), id(1), "", issued(0))
		require.Equal(t, dispatcher.StateFenced, state)
		requireRuling(t, d, 1, "", dispatcher.RulingFenced)
	})
	t.Run("OldAttemptIsStale", func(t *testing.T) {
		d := dispatcher.New(limits)
		ruling, _ := d.Begin(at(10*time.Minute), id(1), "", issued(0))
		require.Equal(t, dispatcher.RulingStale, ruling)
	})
	t.Run("AttemptFromTheFutureIsStale", func(t *testing.T) {
		d := dispatcher.New(limits)
		ruling, _ := d.Begin(at(0), id(1), "", issued(10*time.Minute))
		require.Equal(t, dispatcher.RulingStale, ruling)
	})
	t.Run("FullMemoryRefuses", func(t *testing.T) {
		d := dispatcher.New(limits)
		for n := range byte(4) {
			requireRuling(t, d, n, "", dispatcher.RulingRun)
		}
		requireRuling(t, d, 9, "", dispatcher.RulingFull)
		state, _ := d.Resolve(at(0), id(9), "", issued(0))
		require.Equal(t, dispatcher.StateUnseen, state, "what cannot be remembered is not fenced")
	})
}

func TestKeys(t *testing.T) {
	t.Run("RunningKeyRunsNotAgain", func(t *testing.T) {
		d := dispatcher.New(limits)
		requireRuling(t, d, 1, "k", dispatcher.RulingRun)
		requireRuling(t, d, 2, "k", dispatcher.RulingRunning)
	})
	t.Run("FinishedKeyGetsKeptAnswer", func(t *testing.T) {
		d := dispatcher.New(limits)
		requireRuling(t, d, 1, "k", dispatcher.RulingRun)
		d.Finish(at(0), id(1), "k", dispatcher.StateDone, 200, &dispatcher.Answer{Status: 200, Body: []byte("ok")})
		ruling, answer := d.Begin(at(0), id(2), "k", issued(0))
		require.Equal(t, dispatcher.RulingRepeat, ruling)
		require.Equal(t, "ok", string(answer.Body))
	})
	t.Run("DroppedAnswerSaysThatItRan", func(t *testing.T) {
		d := dispatcher.New(limits)
		for n, key := range []string{"a", "b"} {
			requireRuling(t, d, byte(n), key, dispatcher.RulingRun)
			d.Finish(at(0), id(byte(n)), key, dispatcher.StateDone, 200, &dispatcher.Answer{Body: make([]byte, 8)})
		}
		requireRuling(t, d, 3, "a", dispatcher.RulingRan)
		requireRuling(t, d, 3, "b", dispatcher.RulingRepeat)
	})
	t.Run("OnlyTheRunningAttemptMayBeDispatched", func(t *testing.T) {
		d := dispatcher.New(limits)
		requireRuling(t, d, 1, "k", dispatcher.RulingRun)
		require.True(t, d.MayDispatch(id(1), "k"))
		require.False(t, d.MayDispatch(id(2), "k"))
		d.Finish(at(0), id(1), "k", dispatcher.StateDone, 200, nil)
		require.False(t, d.MayDispatch(id(1), "k"))
	})
	t.Run("WithdrawnKeyMayRun", func(t *testing.T) {
		d := dispatcher.New(limits)
		requireRuling(t, d, 1, "k", dispatcher.RulingRun)
		d.Withdraw(id(1), "k")
		requireRuling(t, d, 1, "k", dispatcher.RulingFenced)
		requireRuling(t, d, 2, "k", dispatcher.RulingRun)
	})
	t.Run("LostRepeatOfFinishedKeyIsNotFenced", func(t *testing.T) {
		d := dispatcher.New(limits)
		requireRuling(t, d, 1, "k", dispatcher.RulingRun)
		d.Finish(at(0), id(1), "k", dispatcher.StateDone, 201, nil)
		state, status := d.Resolve(at(0), id(2), "k", issued(0))
		require.Equal(t, dispatcher.StateDone, state)
		require.Equal(t, 201, status)
		requireRuling(t, d, 2, "k", dispatcher.RulingRan)
	})
}
