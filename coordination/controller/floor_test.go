package controller_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/controller"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/ejector"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/standins/stepper"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	floorService           = "pool"
	floorEvidenceThreshold = 10
	floorRoundLifetime     = ejector.RoundLifetime
)

// floorWorld simulates a fleet: real controllers and ejectors under a virtual clock,
// connected by a network that delays, duplicates, reorders and loses messages and
// that partitions single directions.
type floorWorld struct {
	t      *testing.T
	random *rand.Rand
	*stepper.Stepper
	nextID int
	nodes  []*floorNode
	floor  uint32
	// blocked[from][to] is set while all messages of that direction are lost.
	blocked [][]bool
	// crashed holds the healthy servers that went down without a planned stop.
	crashed []crashedServer

	// quickRestarts limits the faults to quick restarts and long delays, the schedule
	// against which a started guard has its cold phase.
	quickRestarts bool

	mutateNode    func(*controller.Controller) *controller.Controller
	mutateEjector func(*ejector.Ejector) *ejector.Ejector

	ejections  int
	lifts      int
	declined   int
	violations []string
	// coveredByCrashes counts ejections that kept to the floor only if servers that
	// crashed between their lock and the order are counted.
	coveredByCrashes int
}

// crashedServer is a server that crashed while healthy, with every term that it had locked.
type crashedServer struct {
	index int
	locks map[locker.Term]bool
}

type floorNode struct {
	index       int
	incarnation uint64
	slots       uint32
	alive       bool
	pausedUntil time.Duration
	// monoLag is how far the monotonic clock is behind, because it stood still during pauses.
	monoLag time.Duration
	// skew is how far the wall clock is ahead.
	skew       time.Duration
	controller *controller.Controller
	ejector    *ejector.Ejector
	// locks holds every term that this incarnation has locked.
	locks map[locker.Term]bool
}

func newFloorWorld(t *testing.T, seed uint64) *floorWorld {
	w := &floorWorld{
		t:             t,
		Stepper:       stepper.New(0),
		random:        rand.New(rand.NewPCG(seed, 7)),
		mutateNode:    func(c *controller.Controller) *controller.Controller { return c },
		mutateEjector: func(e *ejector.Ejector) *ejector.Ejector { return e },
	}
	return w
}

func (w *floorWorld) build() {
	count := 4 + w.random.IntN(4)
	var total uint32
	for i := range count {
		node := &floorNode{index: i, slots: uint32(4 + 3*w.random.IntN(2)), skew: time.Duration(w.random.IntN(1000)) * time.Millisecond}
		total += node.slots
		w.nodes = append(w.nodes, node)
		w.blocked = append(w.blocked, make([]bool, count))
	}
	w.floor = total * uint32(40+w.random.IntN(45)) / 100
	for _, node := range w.nodes {
		w.start(node)
	}
}

func (w *floorWorld) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (n *floorNode) now(w *floorWorld) clocker.Instant {
	return clocker.Instant{Mono: w.Now() - n.monoLag, Wall: w.Now() + n.skew}
}

// start starts a new incarnation of a process and its server.
func (w *floorWorld) start(node *floorNode) {
	w.nextID++
	node.incarnation = uint64(w.nextID)<<8 | uint64(node.index+1)
	node.alive = true
	node.pausedUntil = 0
	node.locks = map[locker.Term]bool{}
	now := node.now(w)
	node.controller = w.mutateNode(controller.New(node.incarnation, now, floorRoundLifetime))
	err := node.controller.Announce(now, controller.Config{
		Service: floorService, Slots: node.slots, FloorSlots: w.floor, EvidenceThreshold: floorEvidenceThreshold,
		EjectionTime: 2 * time.Second, MaxEjectionTime: 4 * time.Second,
	})
	require.NoError(w.t, err)
	node.ejector = w.mutateEjector(ejector.New(node.incarnation, ejector.Params{
		Service: floorService, FloorSlots: w.floor, EvidenceThreshold: floorEvidenceThreshold, RoundLifetime: floorRoundLifetime,
	}))
	w.tick(node, node.incarnation)
}

// tick runs the periodic work of a process until its incarnation ends.
func (w *floorWorld) tick(node *floorNode, incarnation uint64) {
	if node.incarnation != incarnation || !node.alive {
		return
	}
	if w.Now() < node.pausedUntil {
		w.After(node.pausedUntil-w.Now(), func() { w.tick(node, incarnation) })
		return
	}
	now := node.now(w)
	require.NoError(w.t, node.controller.Tick(now, w.floor))
	w.respond(node, now)
	w.perform(node, node.ejector.Tick(now))
	w.After(w.randomDuration(80*time.Millisecond, 200*time.Millisecond), func() { w.tick(node, incarnation) })
}

// respond simulates six responses of a server, all good or all bad, and reports the
// evidence to a random ejector once it reaches the threshold.
func (w *floorWorld) respond(node *floorNode, now clocker.Instant) {
	node.controller.Detector().SetBaseline(detector.Baseline{MedianLog: 9, SpreadLog: 0.3, Members: 3})
	failing := w.random.IntN(8) == 0
	evidence := node.controller.Evidence()
	if !failing && evidence.Samples >= 6 && evidence.Suspicion == 0 && node.controller.State().Healthy() {
		return
	}
	for i := range 6 {
		id := uint64(i)
		node.controller.Detector().Start(now, id)
		node.controller.Detector().Finish(now.Add(8*time.Millisecond), id, failing, false, detector.Origin{})
		require.NoError(w.t, node.controller.RecordResponse(now, !failing))
	}
	if evidence = node.controller.Evidence(); evidence.Suspicion >= floorEvidenceThreshold && node.controller.State().Healthy() {
		to := w.nodes[w.random.IntN(len(w.nodes))]
		incarnation := node.incarnation
		w.send(node, to, func() {
			_, actions := to.ejector.HandleReport(to.now(w), w.pool(), incarnation, evidence)
			w.perform(to, actions)
		})
	}
}

func (w *floorWorld) pool() []registrar.Member {
	members := make([]registrar.Member, 0, len(w.nodes))
	for _, node := range w.nodes {
		members = append(members, registrar.Member{Incarnation: node.incarnation, Slots: node.slots, Service: floorService})
	}
	return members
}

// send delivers a message late, twice, out of order or not at all.
func (w *floorWorld) send(from, to *floorNode, deliver func()) {
	copies := 1
	if w.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if w.blocked[from.index][to.index] || w.random.IntN(50) == 0 {
			continue
		}
		delay := w.randomDuration(time.Millisecond, 6*time.Millisecond)
		if w.random.IntN(12) == 0 {
			delay = w.randomDuration(6*time.Millisecond, 4*time.Second)
		}
		if w.quickRestarts && w.random.IntN(3) == 0 {
			delay = w.randomDuration(6*time.Millisecond, time.Second)
		}
		w.After(delay, func() { w.deliver(to, deliver) })
	}
}

func (w *floorWorld) deliver(to *floorNode, deliver func()) {
	switch {
	case !to.alive:
	case w.Now() < to.pausedUntil:
		w.After(to.pausedUntil-w.Now(), func() { w.deliver(to, deliver) })
	default:
		deliver()
	}
}

func (w *floorWorld) perform(from *floorNode, actions []ejector.Action) {
	for _, action := range actions {
		target := w.nodeOf(action.Member.Incarnation)
		switch action.Kind {
		case ejector.ActionLock:
			w.sendLock(from, target, action)
		case ejector.ActionOrder:
			w.sendOrder(from, target, action)
		case ejector.ActionDecline:
			w.declined++
		case ejector.ActionInvariantViolated:
			w.violations = append(w.violations, fmt.Sprintf("at %s: %s, capacity %d", w.Now(), action.Reason, action.Capacity))
		}
	}
}

func (w *floorWorld) nodeOf(incarnation uint64) *floorNode {
	return w.nodes[incarnation&0xFF-1]
}

func (w *floorWorld) sendLock(from, target *floorNode, action ejector.Action) {
	w.send(from, target, func() {
		if target.incarnation != action.Member.Incarnation {
			return
		}
		reply := target.controller.Lock(target.now(w), action.Term, floorService)
		if reply.Locked {
			target.locks[action.Term] = true
		}
		w.send(target, from, func() {
			w.perform(from, from.ejector.HandleLockReply(from.now(w), action.Term, action.Member.Incarnation, reply))
		})
	})
}

func (w *floorWorld) sendOrder(from, target *floorNode, action ejector.Action) {
	w.send(from, target, func() {
		ejection, err := target.controller.Order(target.now(w), action.Term, action.Member.Incarnation, action.Order)
		if ejection != nil {
			w.ejections++
			w.checkFloor(action)
		}
		if err == nil && action.Order == ejector.OrderLift {
			w.lifts++
		}
		w.send(target, from, func() {
			w.perform(from, from.ejector.HandleOrderReply(from.now(w), action.Term, action.Member.Incarnation, action.Order, err == nil))
		})
	})
}

// checkFloor checks the floor against the union of all ejections in force each time
// an ejection takes effect. The one accepted exception is a server that crashed
// after it had locked the round and is not back in service yet.
func (w *floorWorld) checkFloor(action ejector.Action) {
	var healthy, crashed uint32
	for _, node := range w.nodes {
		switch {
		case node.alive && node.controller.State().Healthy():
			healthy += node.slots
		case w.down(node) && w.crashedAfterLock(node, action.Term):
			crashed += node.slots
		}
	}
	if healthy >= w.floor {
		return
	}
	if healthy+crashed >= w.floor {
		w.coveredByCrashes++
		return
	}
	w.violations = append(w.violations, fmt.Sprintf("at %s: %d healthy, %d crashed in the round, floor %d, term %v",
		w.Now(), healthy, crashed, w.floor, action.Term))
}

func (w *floorWorld) down(node *floorNode) bool {
	return !node.alive || node.controller.State() == registrar.StateStarting
}

func (w *floorWorld) crashedAfterLock(node *floorNode, term locker.Term) bool {
	for _, crashed := range w.crashed {
		if crashed.index == node.index && crashed.locks[term] {
			return true
		}
	}
	return false
}

// injectFault injects one random fault and schedules the next.
func (w *floorWorld) injectFault() {
	node := w.nodes[w.random.IntN(len(w.nodes))]
	if w.quickRestarts {
		w.crash(node)
		w.After(w.randomDuration(50*time.Millisecond, time.Second), w.injectFault)
		return
	}
	switch w.random.IntN(6) {
	case 0:
		w.crash(node)
	case 1:
		node.pausedUntil = w.Now() + w.randomDuration(100*time.Millisecond, 5*time.Second)
	case 2:
		pause := w.randomDuration(100*time.Millisecond, 5*time.Second)
		node.pausedUntil = w.Now() + pause
		node.monoLag += pause
	case 3:
		w.leave(node)
	case 4:
		other := w.random.IntN(len(w.nodes))
		w.blocked[node.index][other] = !w.blocked[node.index][other]
	case 5:
		for i := range w.blocked {
			clear(w.blocked[i])
		}
	}
	w.After(w.randomDuration(500*time.Millisecond, 4*time.Second), w.injectFault)
}

// crash stops a process without notice and restarts it within 2 s.
func (w *floorWorld) crash(node *floorNode) {
	if !node.alive {
		return
	}
	node.alive = false
	if node.controller.State().Healthy() {
		w.crashed = append(w.crashed, crashedServer{index: node.index, locks: node.locks})
	}
	down := w.randomDuration(time.Millisecond, 2*time.Second)
	if w.quickRestarts || w.random.IntN(2) == 0 {
		down = w.randomDuration(time.Millisecond, 50*time.Millisecond)
	}
	w.After(down, func() { w.start(node) })
}

// leave performs a planned stop, followed by a new start.
func (w *floorWorld) leave(node *floorNode) {
	if !node.alive || node.controller.Leaving() || w.Now() < node.pausedUntil {
		return
	}
	incarnation := node.incarnation
	delay := node.controller.BeginLeave(node.now(w))
	w.After(delay, func() {
		if node.incarnation != incarnation || !node.alive {
			return
		}
		require.NoError(w.t, node.controller.Leave(node.now(w)))
		w.After(w.randomDuration(time.Millisecond, time.Second), func() {
			if node.incarnation == incarnation && node.alive {
				node.alive = false
				w.start(node)
			}
		})
	})
}

func (w *floorWorld) simulate(length time.Duration) {
	w.build()
	w.After(3*time.Second, w.injectFault)
	w.Run(length)
}

// totals sums the results of all seeds.
type totals struct {
	ejections, lifts, declined, coveredByCrashes int
	violations                                   []string
}

// shards is the number of simulations that run in parallel.
const shards = 8

func runFloor(t *testing.T, seeds int, length time.Duration, change func(*floorWorld)) totals {
	t.Helper()
	var mu sync.Mutex
	var sum totals
	t.Run("Worlds", func(t *testing.T) {
		for shard := range shards {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < seeds; seed += shards {
					world := newFloorWorld(t, uint64(seed))
					change(world)
					world.simulate(length)
					mu.Lock()
					sum.add(seed, world)
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("ejections %d, lifts %d, declined %d, covered only by crashed servers %d, floor violations %d",
		sum.ejections, sum.lifts, sum.declined, sum.coveredByCrashes, len(sum.violations))
	return sum
}

func (s *totals) add(seed int, world *floorWorld) {
	s.ejections += world.ejections
	s.lifts += world.lifts
	s.declined += world.declined
	s.coveredByCrashes += world.coveredByCrashes
	for _, violation := range world.violations {
		s.violations = append(s.violations, fmt.Sprintf("seed %d %s", seed, violation))
	}
}

// worlds returns the number of seeds to run: few by default, many with PROVE=long.
func worlds(few, many int) int {
	if os.Getenv("PROVE") == "long" {
		return many
	}
	return few
}

func TestFloorHoldsForTheUnionOfEjections(t *testing.T) {
	sum := runFloor(t, worlds(24, 480), 20*time.Minute, func(*floorWorld) {})
	require.Empty(t, sum.violations)
	require.Positive(t, sum.ejections)
	require.Positive(t, sum.lifts)
	require.Positive(t, sum.declined)
}

func TestFloorHoldsUnderQuickRestarts(t *testing.T) {
	sum := runFloor(t, worlds(16, 320), 20*time.Minute, func(w *floorWorld) { w.quickRestarts = true })
	require.Empty(t, sum.violations)
	require.Positive(t, sum.ejections)
}

func TestFloorBreaksIfUnlockedGuardsCount(t *testing.T) {
	sum := runFloor(t, 16, 10*time.Minute, func(w *floorWorld) {
		w.mutateEjector = (*ejector.Ejector).WithUnlockedCounted
	})
	require.NotEmpty(t, sum.violations)
}

const (
	overlapNodes = 5
	overlapFloor = 16
)

// playOverlap runs the schedule against which the cold phase protects: a guard locks
// a round and restarts while its server keeps serving, so it has forgotten the lock,
// and an overlapping round with a lower term counts it as well. It returns the slots
// in service, out of 20, with a floor of 16.
func playOverlap(t *testing.T, coldPhase bool) uint32 {
	w := newFloorWorld(t, 1)
	w.floor = overlapFloor
	if !coldPhase {
		w.mutateNode = (*controller.Controller).WithoutColdPhase
	}
	for i := range overlapNodes {
		w.nodes = append(w.nodes, &floorNode{index: i, slots: 4})
		w.blocked = append(w.blocked, make([]bool, overlapNodes))
	}
	for _, node := range w.nodes {
		w.start(node)
	}
	w.Advance(10 * time.Second)
	first, second, third := w.nodes[0], w.nodes[1], w.nodes[2]
	for _, node := range w.nodes {
		w.bringIntoService(node, node == second)
	}
	high := w.startRound(third, second, locker.Term{Counter: 9})
	w.deliverLock(third, first, high)
	second.controller.Detector().Reset(second.now(w))
	w.bringIntoService(second, false)

	w.start(first)
	w.Advance(50 * time.Millisecond)
	w.bringIntoService(first, true)
	low := w.startRound(second, first, locker.Term{})
	for _, node := range w.nodes {
		w.deliverLock(second, node, low)
	}
	w.bringIntoService(second, true)
	for _, node := range w.nodes[1:] {
		w.deliverLock(third, node, high)
	}
	var serving uint32
	for _, node := range w.nodes {
		if state := node.controller.State(); state.Healthy() || state == registrar.StateStarting {
			serving += node.slots
		}
	}
	return serving
}

// bringIntoService simulates 12 responses of a server, all bad if it is failing, and a tick.
func (w *floorWorld) bringIntoService(node *floorNode, failing bool) {
	for i := range 12 {
		w.addResponse(node, uint64(i), failing)
	}
	require.NoError(w.t, node.controller.Tick(node.now(w), w.floor))
}

func (w *floorWorld) addResponse(node *floorNode, id uint64, failing bool) {
	now := node.now(w)
	node.controller.Detector().SetBaseline(detector.Baseline{MedianLog: 9, SpreadLog: 0.3, Members: 3})
	node.controller.Detector().Start(now, id)
	node.controller.Detector().Finish(now.Add(8*time.Millisecond), id, failing, false, detector.Origin{})
}

// startRound makes an ejector start a round against a target and returns the lock
// requests. The ejector has seen the given term before, so its own is higher.
func (w *floorWorld) startRound(from, target *floorNode, seen locker.Term) []ejector.Action {
	from.ejector.HandleLockReply(from.now(w), locker.Term{}, target.incarnation, ejector.LockReply{Highest: seen})
	_, actions := from.ejector.HandleReport(from.now(w), w.pool(), target.incarnation, target.controller.Evidence())
	require.Len(w.t, actions, len(w.nodes))
	return actions
}

// deliverLock delivers the lock request for a node, the reply, and the orders that follow from it.
func (w *floorWorld) deliverLock(from, node *floorNode, locks []ejector.Action) {
	for _, lock := range locks {
		if lock.Member.Incarnation&0xFF != node.incarnation&0xFF {
			continue
		}
		reply := ejector.LockReply{}
		if lock.Member.Incarnation == node.incarnation {
			reply = node.controller.Lock(node.now(w), lock.Term, floorService)
		}
		for _, order := range from.ejector.HandleLockReply(from.now(w), lock.Term, lock.Member.Incarnation, reply) {
			if order.Kind == ejector.ActionOrder {
				target := w.nodeOf(order.Member.Incarnation)
				_, _ = target.controller.Order(target.now(w), order.Term, order.Member.Incarnation, order.Order)
			}
		}
	}
}

func TestFloorNeedsColdPhase(t *testing.T) {
	t.Run("Holds", func(t *testing.T) {
		require.GreaterOrEqual(t, playOverlap(t, true), uint32(overlapFloor))
	})
	t.Run("BreaksWithoutColdPhase", func(t *testing.T) {
		require.Less(t, playOverlap(t, false), uint32(overlapFloor))
	})
}
