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
	onceKeyLifetime  = 10 * time.Minute
	onceRetention    = 25 * time.Minute
	onceGuards       = 3
	onceRouters      = 3
	onceMaxResolves  = 3
	onceLostAfter    = 2 * time.Second
	onceClaimTimeout = 3 * time.Second
)

// onceWorld runs real memories of guards, ledgers and retry plans under a
// virtual clock, with messages late, twice or lost, guards that die or stop
// between check and dispatch, and a log with outages and lost replies.
type onceWorld struct {
	*stepper.Stepper
	random  *rand.Rand
	serial  uint64
	guards  []*onceGuard
	routers []*onceRouter

	log      []onceRecord
	logDown  bool
	lossRate int

	// runs counts what backend servers really ran, by request and by key.
	runs    map[uint64]int
	keyRuns map[string]int
	// told holds the outcome that each request's caller was told.
	told   map[uint64]retrier.Step
	counts map[retrier.Step]int
	ran    int
	// falseWords lists what guards said of keys that was not so.
	falseWords []string
}

type onceRecord struct {
	at     time.Duration
	record claimer.Record
}

type onceGuard struct {
	index       int
	incarnation uint64
	memory      *deduplicator.Deduplicator
	pausedUntil time.Duration
	leaving     bool
	active      int
	skew        time.Duration
}

type onceRouter struct {
	ledger *claimer.Ledger
	skew   time.Duration
}

// onceRequest is one request of a caller at one router.
type onceRequest struct {
	id     uint64
	kind   retrier.Kind
	key    string
	keyMs  int64
	router *onceRouter
	tries  int
	open   bool
	// ran is set once a guard said that the request ran.
	ran bool
}

func newOnceWorld(seed uint64) *onceWorld {
	w := &onceWorld{
		random:   rand.New(rand.NewPCG(seed, 11)),
		Stepper:  stepper.New(time.Hour),
		runs:     map[uint64]int{},
		keyRuns:  map[string]int{},
		told:     map[uint64]retrier.Step{},
		counts:   map[retrier.Step]int{},
		lossRate: 12,
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
	return w.between(-20*time.Second, 20*time.Second)
}

func (w *onceWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (w *onceWorld) restart(guard *onceGuard) {
	w.serial++
	guard.incarnation = w.serial<<8 | uint64(guard.index+1)
	guard.leaving = false
	guard.active = 0
	guard.memory = deduplicator.New(deduplicator.Limits{
		Attempts: 500, Keys: 200, AnswerBytes: 1 << 10, KeyLifetime: 2 * onceKeyLifetime,
	})
}

func (g *onceGuard) now(w *onceWorld) clocker.Instant {
	return clocker.Instant{Mono: w.Now(), Wall: w.Now() + g.skew}
}

// carry delivers a message late, twice, much too late, or never.
func (w *onceWorld) carry(deliver func()) {
	copies := 1
	if w.random.IntN(15) == 0 {
		copies = 2
	}
	for range copies {
		if w.random.IntN(w.lossRate) == 0 {
			continue
		}
		delay := w.between(time.Millisecond, 20*time.Millisecond)
		switch w.random.IntN(20) {
		case 0:
			delay = w.between(20*time.Millisecond, 5*time.Second)
		case 1:
			delay = w.between(5*time.Second, 10*time.Minute)
		}
		w.After(delay, deliver)
	}
}

// to carries a message to a guard's present incarnation.
func (w *onceWorld) to(guard *onceGuard, incarnation uint64, deliver func()) {
	w.carry(func() { w.arrive(guard, incarnation, deliver) })
}

func (w *onceWorld) arrive(guard *onceGuard, incarnation uint64, deliver func()) {
	if guard.incarnation != incarnation {
		return
	}
	if w.Now() < guard.pausedUntil {
		w.After(guard.pausedUntil-w.Now(), func() { w.arrive(guard, incarnation, deliver) })
		return
	}
	deliver()
}

// operate starts one operation: a request, and repeats of keyed ones elsewhere.
func (w *onceWorld) operate() {
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
			delay = w.between(0, longest[w.random.IntN(len(longest))])
		}
		w.After(delay, func() { w.request(kind, key, keyMs) })
	}
	w.After(w.between(time.Millisecond, 200*time.Millisecond), w.operate)
}

func (w *onceWorld) request(kind retrier.Kind, key string, keyMs int64) {
	w.serial++
	request := &onceRequest{
		id: w.serial, kind: kind, key: key, keyMs: keyMs, open: true,
		router: w.routers[w.random.IntN(onceRouters)],
	}
	routerMs := (w.Now() + request.router.skew).Milliseconds()
	switch {
	case key == "":
		w.attempt(request, w.guards[w.random.IntN(onceGuards)].incarnation, false)
	case claimer.CheckAge(routerMs, keyMs, onceKeyLifetime) != nil:
		w.tell(request, retrier.StepNotRun)
	case claimer.IsBound(key):
		bound, _ := claimer.ParseBound(key)
		w.follow(request, request.router.ledger.BindingAt(bound.Guard, key, keyMs))
	default:
		w.claim(request)
	}
}

// claim binds the key through the log, as a router does.
func (w *onceWorld) claim(request *onceRequest) {
	binding := request.router.ledger.Binding(request.key)
	if binding.State == claimer.StateUnclaimed || binding.State == claimer.StateNeverRan {
		claim := claimer.Claim{Key: request.key, Guard: w.guards[w.random.IntN(onceGuards)].incarnation}
		w.append(claimer.Record{Claims: []claimer.Claim{claim}})
		w.await(request, w.Now()+onceClaimTimeout)
		return
	}
	w.follow(request, binding)
}

func (w *onceWorld) await(request *onceRequest, until time.Duration) {
	binding := request.router.ledger.Binding(request.key)
	switch {
	case binding.State != claimer.StateUnclaimed && binding.State != claimer.StateNeverRan:
		w.follow(request, binding)
	case w.Now() >= until:
		w.tell(request, retrier.StepNotRun)
	default:
		w.After(20*time.Millisecond, func() { w.await(request, until) })
	}
}

// append puts a record on the log, unless it is down. The write may land late.
func (w *onceWorld) append(record claimer.Record) {
	if w.logDown {
		return
	}
	delay := w.between(0, 10*time.Millisecond)
	if w.random.IntN(10) == 0 {
		delay = w.between(0, 10*time.Second)
	}
	w.After(delay, func() { w.log = append(w.log, onceRecord{at: w.Now(), record: record}) })
}

// read lets a router follow the log, and a new router start from what is kept.
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
	w.After(w.between(5*time.Millisecond, 50*time.Millisecond), func() { w.read(router) })
}

// follow runs a keyed request at the guard that its key is bound to.
func (w *onceWorld) follow(request *onceRequest, binding claimer.Binding) {
	switch binding.State {
	case claimer.StateBound:
		w.attempt(request, binding.Guard, false)
	case claimer.StateRan:
		w.tell(request, retrier.StepRan)
	case claimer.StateNeverRan:
		w.checkKeyNotRun(request)
		w.tell(request, retrier.StepNotRun)
	default:
		w.tell(request, retrier.StepUnknown)
	}
}

// attempt sends a request to a guard and handles the end or the lack of one.
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
	request.tries++
	request.ran = request.ran || repeat
	w.to(guard, incarnation, func() { w.begin(guard, request, id, issued, end) })
	w.After(onceLostAfter, func() { end(retrier.ResultLost) })
}

// begin is the guard's part: rule, maybe refuse, dispatch after a while, answer.
func (w *onceWorld) begin(
	guard *onceGuard, request *onceRequest, id deduplicator.AttemptID, issued int64, end func(retrier.Result),
) {
	incarnation := guard.incarnation
	reply := func(how retrier.Result) { w.carry(func() { end(how) }) }
	ruling, _ := guard.memory.Begin(guard.now(w), id, request.key, issued)
	switch ruling {
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
		guard.memory.Withdraw(id, request.key)
		w.refuse(guard, request, id, reply)
		return
	}
	guard.active++
	w.After(w.between(0, 30*time.Millisecond), func() {
		w.arrive(guard, incarnation, func() { w.dispatch(guard, request, id, reply) })
	})
}

// checkKeyNotRun asserts, at the moment of a guard's word, that a key said not
// to have run has not.
func (w *onceWorld) checkKeyNotRun(request *onceRequest) {
	if request.key != "" && w.keyRuns[request.key] > 0 {
		w.falseWords = append(w.falseWords, fmt.Sprintf("key %s was said not to have run, but ran", request.key))
	}
}

func (w *onceWorld) refuse(guard *onceGuard, request *onceRequest, id deduplicator.AttemptID, reply func(retrier.Result)) {
	if guard.memory.Fence(guard.now(w), id) {
		w.checkKeyNotRun(request)
		reply(retrier.ResultRefused)
		return
	}
	reply(retrier.ResultUnknown)
}

// dispatch hands the request to the backend server, which runs it.
func (w *onceWorld) dispatch(guard *onceGuard, request *onceRequest, id deduplicator.AttemptID, reply func(retrier.Result)) {
	incarnation := guard.incarnation
	if !guard.memory.MayDispatch(id, request.key) {
		w.falseWords = append(w.falseWords, fmt.Sprintf("request %d was dispatched against the guard's memory", request.id))
	}
	w.ran++
	w.runs[request.id]++
	if request.key != "" {
		w.keyRuns[request.key]++
	}
	w.After(w.between(time.Millisecond, 300*time.Millisecond), func() {
		w.arrive(guard, incarnation, func() {
			guard.active--
			state, answer := deduplicator.StateDone, &deduplicator.Answer{Status: 200, Body: make([]byte, 100)}
			how := retrier.ResultAnswered
			if w.random.IntN(20) == 0 {
				state, answer, how = deduplicator.StateBroken, nil, retrier.ResultUnknown
			}
			guard.memory.Finish(guard.now(w), id, request.key, state, 200, answer)
			reply(how)
		})
	})
}

func (w *onceWorld) afterAttempt(
	request *onceRequest, how retrier.Result, incarnation uint64, id deduplicator.AttemptID, issued int64,
) {
	history := retrier.History{Kind: request.kind, CanRetry: request.tries < retrier.MaxAttempts, Ran: request.ran}
	step := history.AfterAttempt(how)
	if step == retrier.StepResolve {
		w.resolve(request, history, incarnation, id, issued, onceMaxResolves)
		return
	}
	w.take(request, step, incarnation)
}

func (w *onceWorld) take(request *onceRequest, step retrier.Step, incarnation uint64) {
	switch step {
	case retrier.StepRetry:
		w.attempt(request, w.guards[w.random.IntN(onceGuards)].incarnation, false)
	case retrier.StepReplay:
		w.attempt(request, incarnation, true)
	default:
		w.tell(request, step)
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
		w.take(request, history.AfterResolve(state), incarnation)
	}
	w.to(guard, incarnation, func() {
		state, _ := guard.memory.Resolve(guard.now(w), id, request.key, issued)
		if state == deduplicator.StateFenced {
			w.checkKeyNotRun(request)
		}
		w.carry(func() { finish(state) })
	})
	w.After(time.Second, func() { finish(deduplicator.StateUnseen) })
}

func (w *onceWorld) tell(request *onceRequest, step retrier.Step) {
	if !request.open {
		return
	}
	request.open = false
	w.told[request.id] = step
	w.counts[step]++
}

// disturb draws one fault.
func (w *onceWorld) disturb() {
	guard := w.guards[w.random.IntN(onceGuards)]
	switch w.random.IntN(5) {
	case 0:
		w.restart(guard)
	case 1:
		guard.pausedUntil = w.Now() + w.between(time.Millisecond, 8*time.Second)
	case 2:
		w.stop(guard)
	case 3:
		w.logDown = true
	case 4:
		w.logDown = false
		w.lossRate = 4 + w.random.IntN(30)
	}
	w.After(w.between(time.Second, 20*time.Second), w.disturb)
}

// stop is a planned stop: drain, leave the last word on the log, restart.
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
	for _, key := range guard.memory.RanKeys() {
		closure.Ran = append(closure.Ran, claimer.RanKey{Key: key.Key, Status: key.Status, Known: key.State == deduplicator.StateDone})
	}
	w.append(claimer.Record{Closure: closure})
	w.restart(guard)
}

func (w *onceWorld) live(length time.Duration) {
	for _, router := range w.routers {
		w.read(router)
	}
	w.operate()
	w.After(5*time.Second, w.disturb)
	w.Run(w.Now() + length)
}

// broken lists the promises that the world broke.
func (w *onceWorld) broken() []string {
	broken := w.falseWords
	for key, runs := range w.keyRuns {
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("key %s ran %d times", key, runs))
		}
	}
	for id, runs := range w.runs {
		if runs > 1 {
			broken = append(broken, fmt.Sprintf("request %d ran %d times", id, runs))
		}
	}
	for id, step := range w.told {
		if step == retrier.StepNotRun && w.runs[id] > 0 {
			broken = append(broken, fmt.Sprintf("request %d was told NotRun but ran", id))
		}
	}
	return broken
}

func TestNonIdempotentRunsAtMostOnceAndNotRunIsTrue(t *testing.T) {
	seeds := 8
	if os.Getenv("PROVE") == "long" {
		seeds = 400
	}
	var mu sync.Mutex
	ran := 0
	counts := map[retrier.Step]int{}
	t.Run("Worlds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				world := newOnceWorld(uint64(seed))
				world.live(40 * time.Minute)
				broken := world.broken()
				require.Empty(t, broken[:min(len(broken), 5)], "%d in all", len(broken))
				mu.Lock()
				defer mu.Unlock()
				ran += world.ran
				for step, count := range world.counts {
					counts[step] += count
				}
			})
		}
	})
	t.Logf("ran %d, told %v", ran, counts)
	for _, step := range []retrier.Step{retrier.StepAnswer, retrier.StepNotRun, retrier.StepUnknown, retrier.StepRan} {
		require.Positive(t, counts[step], step.String())
	}
}
