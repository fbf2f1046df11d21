package claimer_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/claimer"
	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/deduplicator"
	"github.com/foxtailhall/foxtailhall/coordination/retrier"
	"github.com/foxtailhall/foxtailhall/standins/stepper"
)

const (
	onceKeyLifetime       = 10 * time.Minute
	onceRetention         = 25 * time.Minute
	onceGuards            = 3
	onceRouters           = 3
	onceMaxResolveRetries = 3
	onceAttemptTimeout    = 2 * time.Second
	onceClaimTimeout      = 3 * time.Second
)

// onceWorld simulates routers, guards and the log under a virtual clock, with the
// real deduplicators, ledgers and retry decisions. Messages arrive late, twice or not
// at all, guards crash or stop between check and dispatch, and the log has outages
// and loses replies, so that a write takes effect after its writer has given up.
type onceWorld struct {
	*stepper.Stepper
	random  *rand.Rand
	lastID  uint64
	guards  []*onceGuard
	routers []*onceRouter

	log     []onceRecord
	logDown bool
	// lossOneIn is n if one message in n is lost.
	lossOneIn int

	// runs and keyRuns count the actual runs at backend servers, by request and by key.
	runs    map[uint64]int
	keyRuns map[string]int
	// outcomes holds the outcome that was reported to the caller of each request.
	outcomes      map[uint64]retrier.Step
	outcomeCounts map[retrier.Step]int
	totalRuns     int
	// falseReplies lists replies and dispatches of guards that contradict the actual runs.
	falseReplies []string
}

type onceRecord struct {
	at     time.Duration
	record claimer.Record
}

type onceGuard struct {
	index       int
	incarnation uint64
	dedup       *deduplicator.Deduplicator
	pausedUntil time.Duration
	leaving     bool
	active      int
	skew        time.Duration
}

type onceRouter struct {
	ledger *claimer.Ledger
	skew   time.Duration
}

// onceRequest is one request of a caller to one router.
type onceRequest struct {
	id       uint64
	kind     retrier.Kind
	key      string
	keyMs    int64
	router   *onceRouter
	attempts int
	open     bool
	// knownToRun is set once a guard has replied that the request ran.
	knownToRun bool
}

func newOnceWorld(seed uint64) *onceWorld {
	w := &onceWorld{
		random:        rand.New(rand.NewPCG(seed, 11)),
		Stepper:       stepper.New(time.Hour),
		runs:          map[uint64]int{},
		keyRuns:       map[string]int{},
		outcomes:      map[uint64]retrier.Step{},
		outcomeCounts: map[retrier.Step]int{},
		lossOneIn:     12,
	}
	for i := range onceGuards {
		w.guards = append(w.guards, &onceGuard{index: i, skew: w.skew()})
		w.restart(w.guards[i])
	}
	for range onceRouters {
		w.routers = append(w.routers, &onceRouter{ledger: claimer.New(), skew: w.skew()})
	}
	return w
}

func (w *onceWorld) skew() time.Duration {
	return w.randomDuration(-20*time.Second, 20*time.Second)
}

func (w *onceWorld) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *onceWorld) restart(guard *onceGuard) {
	w.lastID++
	guard.incarnation = w.lastID<<8 | uint64(guard.index+1)
	guard.leaving = false
	guard.active = 0
	guard.dedup = deduplicator.New(deduplicator.Limits{
		Attempts: 500, Keys: 200, AnswerBytes: 1 << 10, KeyLifetime: 2 * onceKeyLifetime,
	})
}

func (g *onceGuard) now(w *onceWorld) clocker.Instant {
	return clocker.Instant{Mono: w.Now(), Wall: w.Now() + g.skew}
}

// send delivers a message late, twice, up to 10 minutes late or not at all.
func (w *onceWorld) send(deliver func()) {
	copies := 1
	if w.random.IntN(15) == 0 {
		copies = 2
	}
	for range copies {
		if w.random.IntN(w.lossOneIn) == 0 {
			continue
		}
		delay := w.randomDuration(time.Millisecond, 20*time.Millisecond)
		switch w.random.IntN(20) {
		case 0:
			delay = w.randomDuration(20*time.Millisecond, 5*time.Second)
		case 1:
			delay = w.randomDuration(5*time.Second, 10*time.Minute)
		}
		w.After(delay, deliver)
	}
}

// sendToGuard sends a message to one incarnation of a guard.
func (w *onceWorld) sendToGuard(guard *onceGuard, incarnation uint64, deliver func()) {
	w.send(func() { w.deliverToGuard(guard, incarnation, deliver) })
}

func (w *onceWorld) deliverToGuard(guard *onceGuard, incarnation uint64, deliver func()) {
	if guard.incarnation != incarnation {
		return
	}
	if w.Now() < guard.pausedUntil {
		w.After(guard.pausedUntil-w.Now(), func() { w.deliverToGuard(guard, incarnation, deliver) })
		return
	}
	deliver()
}

// startOperation starts one operation and schedules the next: a request and, if it
// has a key, repeats of it at random routers.
func (w *onceWorld) startOperation() {
	kind := retrier.KindUnkeyed
	key := ""
	keyMs := w.Now().Milliseconds()
	repeats := 0
	switch w.random.IntN(3) {
	case 0:
		kind = retrier.KindKeyed
		guard := w.guards[w.random.IntN(onceGuards)]
		key = claimer.BoundKey{Guard: guard.incarnation, IssuedMs: keyMs, Random: w.random.Uint64()}.String()
		repeats = w.random.IntN(4)
	case 1:
		kind = retrier.KindKeyed
		key = fmt.Sprintf("own-%d", w.random.Uint64())
		repeats = w.random.IntN(4)
	}
	for n := range repeats + 1 {
		delay := time.Duration(0)
		if n > 0 {
			longest := []time.Duration{5 * time.Millisecond, 10 * time.Second, 15 * time.Minute}
			delay = w.randomDuration(0, longest[w.random.IntN(len(longest))])
		}
		w.After(delay, func() { w.request(kind, key, keyMs) })
	}
	w.After(w.randomDuration(time.Millisecond, 200*time.Millisecond), w.startOperation)
}

func (w *onceWorld) request(kind retrier.Kind, key string, keyMs int64) {
	w.lastID++
	request := &onceRequest{
		id: w.lastID, kind: kind, key: key, keyMs: keyMs, open: true,
		router: w.routers[w.random.IntN(onceRouters)],
	}
	routerMs := (w.Now() + request.router.skew).Milliseconds()
	switch {
	case key == "":
		w.attempt(request, w.guards[w.random.IntN(onceGuards)].incarnation, false)
	case claimer.CheckAge(routerMs, keyMs, onceKeyLifetime) != nil:
		w.reportOutcome(request, retrier.StepNotRun)
	case claimer.IsBound(key):
		bound, _ := claimer.ParseBound(key)
		w.runBound(request, request.router.ledger.BindingAt(bound.Guard, key, keyMs))
	default:
		w.claim(request)
	}
}

// claim binds the key of a request through the log, as a router does.
func (w *onceWorld) claim(request *onceRequest) {
	binding := request.router.ledger.Binding(request.key)
	if binding.State == claimer.StateUnclaimed || binding.State == claimer.StateNeverRan {
		claim := claimer.Claim{Key: request.key, Guard: w.guards[w.random.IntN(onceGuards)].incarnation}
		w.append(claimer.Record{Claims: []claimer.Claim{claim}})
		w.awaitClaim(request, w.Now()+onceClaimTimeout)
		return
	}
	w.runBound(request, binding)
}

func (w *onceWorld) awaitClaim(request *onceRequest, until time.Duration) {
	binding := request.router.ledger.Binding(request.key)
	switch {
	case binding.State != claimer.StateUnclaimed && binding.State != claimer.StateNeverRan:
		w.runBound(request, binding)
	case w.Now() >= until:
		w.reportOutcome(request, retrier.StepNotRun)
	default:
		w.After(20*time.Millisecond, func() { w.awaitClaim(request, until) })
	}
}

// append appends a record to the log unless the log is down. The write may take
// effect late.
func (w *onceWorld) append(record claimer.Record) {
	if w.logDown {
		return
	}
	delay := w.randomDuration(0, 10*time.Millisecond)
	if w.random.IntN(10) == 0 {
		delay = w.randomDuration(0, 10*time.Second)
	}
	w.After(delay, func() { w.log = append(w.log, onceRecord{at: w.Now(), record: record}) })
}

// read lets a router read the log periodically. Now and then the router restarts and
// reads again from the earliest record that the log retains.
func (w *onceWorld) read(router *onceRouter) {
	if !w.logDown && w.random.IntN(10) > 0 {
		earliest := int64(0)
		for earliest < int64(len(w.log)) && w.Now()-w.log[earliest].at > onceRetention {
			earliest++
		}
		router.ledger.SkipTo(earliest)
		for router.ledger.Next() < int64(len(w.log)) {
			at := router.ledger.Next()
			router.ledger.Apply(at, w.log[at].at.Milliseconds(), w.log[at].record)
		}
		if w.random.IntN(200) == 0 {
			router.ledger.Prune((w.Now() - onceRetention).Milliseconds())
		}
	}
	if w.random.IntN(3000) == 0 {
		router.ledger = claimer.New()
	}
	w.After(w.randomDuration(5*time.Millisecond, 50*time.Millisecond), func() { w.read(router) })
}

// runBound sends a keyed request to the guard that its key is bound to, or ends it.
func (w *onceWorld) runBound(request *onceRequest, binding claimer.Binding) {
	switch binding.State {
	case claimer.StateBound:
		w.attempt(request, binding.Guard, false)
	case claimer.StateRan:
		w.reportOutcome(request, retrier.StepRan)
	case claimer.StateNeverRan:
		w.checkKeyNotRun(request)
		w.reportOutcome(request, retrier.StepNotRun)
	default:
		w.reportOutcome(request, retrier.StepUnknown)
	}
}

// attempt sends a request to a guard and handles its reply or the timeout.
func (w *onceWorld) attempt(request *onceRequest, incarnation uint64, repeat bool) {
	guard := w.guards[incarnation&0xFF-1]
	var id deduplicator.AttemptID
	binary.BigEndian.PutUint64(id[:], w.random.Uint64())
	issued := (w.Now() + request.router.skew).Milliseconds()
	ended := false
	end := func(how retrier.Result) {
		if ended || !request.open {
			return
		}
		ended = true
		w.afterAttempt(request, how, incarnation, id, issued)
	}
	request.attempts++
	request.knownToRun = request.knownToRun || repeat
	w.sendToGuard(guard, incarnation, func() { w.begin(guard, request, id, issued, end) })
	w.After(onceAttemptTimeout, func() { end(retrier.ResultLost) })
}

// begin is the guard's part of an attempt: it asks the deduplicator, refuses some
// requests at random, and dispatches the others after a delay.
func (w *onceWorld) begin(
	guard *onceGuard, request *onceRequest, id deduplicator.AttemptID, issued int64, end func(retrier.Result),
) {
	incarnation := guard.incarnation
	reply := func(how retrier.Result) { w.send(func() { end(how) }) }
	decision, _ := guard.dedup.Begin(guard.now(w), id, request.key, issued)
	switch decision {
	case deduplicator.DecisionRun:
	case deduplicator.DecisionReplay:
		reply(retrier.ResultAnswered)
		return
	case deduplicator.DecisionKeyRan:
		reply(retrier.ResultRan)
		return
	case deduplicator.DecisionKeyRunning, deduplicator.DecisionDuplicate:
		reply(retrier.ResultUnknown)
		return
	default:
		w.refuse(guard, request, id, reply)
		return
	}
	if guard.leaving || w.random.IntN(6) == 0 {
		guard.dedup.Withdraw(id, request.key)
		w.refuse(guard, request, id, reply)
		return
	}
	guard.active++
	w.After(w.randomDuration(0, 30*time.Millisecond), func() {
		w.deliverToGuard(guard, incarnation, func() { w.dispatch(guard, request, id, reply) })
	})
}

// checkKeyNotRun checks that a key has not run at the time when a guard replies that
// it has not.
func (w *onceWorld) checkKeyNotRun(request *onceRequest) {
	if request.key != "" && w.keyRuns[request.key] > 0 {
		w.falseReplies = append(w.falseReplies, fmt.Sprintf("key %s was reported as not run, but ran", request.key))
	}
}

func (w *onceWorld) refuse(guard *onceGuard, request *onceRequest, id deduplicator.AttemptID, reply func(retrier.Result)) {
	if guard.dedup.Fence(guard.now(w), id) {
		w.checkKeyNotRun(request)
		reply(retrier.ResultRefused)
		return
	}
	reply(retrier.ResultUnknown)
}

// dispatch runs the request at the backend server.
func (w *onceWorld) dispatch(guard *onceGuard, request *onceRequest, id deduplicator.AttemptID, reply func(retrier.Result)) {
	incarnation := guard.incarnation
	if !guard.dedup.MayDispatch(id, request.key) {
		w.falseReplies = append(w.falseReplies, fmt.Sprintf("request %d was dispatched against the deduplicator", request.id))
	}
	w.totalRuns++
	w.runs[request.id]++
	if request.key != "" {
		w.keyRuns[request.key]++
	}
	w.After(w.randomDuration(time.Millisecond, 300*time.Millisecond), func() {
		w.deliverToGuard(guard, incarnation, func() {
			guard.active--
			state, answer := deduplicator.StateDone, &deduplicator.Answer{Status: 200, Body: make([]byte, 100)}
			how := retrier.ResultAnswered
			if w.random.IntN(20) == 0 {
				state, answer, how = deduplicator.StateBroken, nil, retrier.ResultUnknown
			}
			guard.dedup.Finish(guard.now(w), id, request.key, state, 200, answer)
			reply(how)
		})
	})
}

func (w *onceWorld) afterAttempt(
	request *onceRequest, how retrier.Result, incarnation uint64, id deduplicator.AttemptID, issued int64,
) {
	history := retrier.History{Kind: request.kind, CanRetry: request.attempts < retrier.MaxAttempts, Ran: request.knownToRun}
	step := history.AfterAttempt(how)
	if step == retrier.StepResolve {
		w.resolve(request, history, incarnation, id, issued, onceMaxResolveRetries)
		return
	}
	w.nextStep(request, step, incarnation)
}

func (w *onceWorld) nextStep(request *onceRequest, step retrier.Step, incarnation uint64) {
	switch step {
	case retrier.StepRetry:
		w.attempt(request, w.guards[w.random.IntN(onceGuards)].incarnation, false)
	case retrier.StepReplay:
		w.attempt(request, incarnation, true)
	default:
		w.reportOutcome(request, step)
	}
}

func (w *onceWorld) resolve(
	request *onceRequest, history retrier.History, incarnation uint64, id deduplicator.AttemptID, issued int64, left int,
) {
	guard := w.guards[incarnation&0xFF-1]
	ended := false
	finish := func(state deduplicator.State) {
		if ended {
			return
		}
		ended = true
		again := state == deduplicator.StateRunning || state == deduplicator.StateUnseen
		if again && left > 0 {
			w.resolve(request, history, incarnation, id, issued, left-1)
			return
		}
		w.nextStep(request, history.AfterResolve(state), incarnation)
	}
	w.sendToGuard(guard, incarnation, func() {
		state, _ := guard.dedup.Resolve(guard.now(w), id, request.key, issued)
		if state == deduplicator.StateFenced {
			w.checkKeyNotRun(request)
		}
		w.send(func() { finish(state) })
	})
	w.After(time.Second, func() { finish(deduplicator.StateUnseen) })
}

func (w *onceWorld) reportOutcome(request *onceRequest, step retrier.Step) {
	if !request.open {
		return
	}
	request.open = false
	w.outcomes[request.id] = step
	w.outcomeCounts[step]++
}

// injectFault injects one random fault and schedules the next.
func (w *onceWorld) injectFault() {
	guard := w.guards[w.random.IntN(onceGuards)]
	switch w.random.IntN(5) {
	case 0:
		w.restart(guard)
	case 1:
		guard.pausedUntil = w.Now() + w.randomDuration(time.Millisecond, 8*time.Second)
	case 2:
		w.stop(guard)
	case 3:
		w.logDown = true
	case 4:
		w.logDown = false
		w.lossOneIn = 4 + w.random.IntN(30)
	}
	w.After(w.randomDuration(time.Second, 20*time.Second), w.injectFault)
}

// stop performs a planned stop: drain, append the closure to the log, restart.
func (w *onceWorld) stop(guard *onceGuard) {
	guard.leaving = true
	incarnation := guard.incarnation
	w.After(50*time.Millisecond, func() { w.drain(guard, incarnation) })
}

func (w *onceWorld) drain(guard *onceGuard, incarnation uint64) {
	if guard.incarnation != incarnation {
		return
	}
	if guard.active > 0 {
		w.After(50*time.Millisecond, func() { w.drain(guard, incarnation) })
		return
	}
	closure := &claimer.Closure{Guard: incarnation, SinceMs: (w.Now() - 2*onceKeyLifetime).Milliseconds()}
	for _, key := range guard.dedup.RanKeys() {
		closure.Ran = append(closure.Ran, claimer.RanKey{Key: key.Key, Status: key.Status, Known: key.State == deduplicator.StateDone})
	}
	w.append(claimer.Record{Closure: closure})
	w.restart(guard)
}

func (w *onceWorld) simulate(length time.Duration) {
	for _, router := range w.routers {
		w.read(router)
	}
	w.startOperation()
	w.After(5*time.Second, w.injectFault)
	w.Run(w.Now() + length)
}

// violations lists the guarantees that were violated.
func (w *onceWorld) violations() []string {
	violations := w.falseReplies
	for key, runs := range w.keyRuns {
		if runs > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, runs))
		}
	}
	for id, runs := range w.runs {
		if runs > 1 {
			violations = append(violations, fmt.Sprintf("request %d ran %d times", id, runs))
		}
	}
	for id, step := range w.outcomes {
		if step == retrier.StepNotRun && w.runs[id] > 0 {
			violations = append(violations, fmt.Sprintf("request %d was reported as NotRun, but ran", id))
		}
	}
	return violations
}

func TestNonIdempotentRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	seeds := 8
	if os.Getenv("PROVE") == "long" {
		seeds = 400
	}
	var mu sync.Mutex
	totalRuns := 0
	outcomeCounts := map[retrier.Step]int{}
	t.Run("Worlds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				world := newOnceWorld(uint64(seed))
				world.simulate(40 * time.Minute)
				violations := world.violations()
				require.Empty(t, violations[:min(len(violations), 5)], "%d in all", len(violations))
				mu.Lock()
				defer mu.Unlock()
				totalRuns += world.totalRuns
				for step, count := range world.outcomeCounts {
					outcomeCounts[step] += count
				}
			})
		}
	})
	t.Logf("ran %d, outcomes %v", totalRuns, outcomeCounts)
	for _, step := range []retrier.Step{retrier.StepAnswer, retrier.StepNotRun, retrier.StepUnknown, retrier.StepRan} {
		require.Positive(t, outcomeCounts[step], step.String())
	}
}
