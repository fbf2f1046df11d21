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
	floorService  = "pool"
	floorCaution  = 10
	floorLifetime = ejector.RoundLifetime
)

// floorWorld runs real controllers and ejectors under a virtual clock and a
// network that delays, repeats, reorders, loses and cuts one way.
type floorWorld struct {
	t      *testing.T
	random *rand.Rand
	*stepper.Stepper
	nextID int
	nodes  []*floorNode
	floor  uint32
	// cut[from][to] swallows messages of that direction.
	cut [][]bool
	// dead holds the servers that went down without a planned stop.
	dead []deadServer

	// restless draws quick restarts and long delays alone, the schedule that the
	// cold phase of a started guard is there for.
	restless bool

	mutateNode    func(*controller.Controller) *controller.Controller
	mutateEjector func(*ejector.Ejector) *ejector.Ejector

	ejections int
	lifts     int
	declined  int
	breaches  []string
	// inWindow counts ejections that kept to the floor only by servers that had
	// died between their lock and the order.
	inWindow int
}

// deadServer is a healthy server that died, with every term that it had locked.
type deadServer struct {
	index int
	locks map[locker.Term]bool
}

type floorNode struct {
	index       int
	incarnation uint64
	slots       uint32
	alive       bool
	pausedUntil time.Duration
	// lag is how far the monotonic clock is behind, from pauses that it missed.
	lag        time.Duration
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
		w.cut = append(w.cut, make([]bool, count))
	}
	w.floor = total * uint32(40+w.random.IntN(45)) / 100
	for _, node := range w.nodes {
		w.start(node)
	}
}

func (w *floorWorld) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

func (n *floorNode) now(w *floorWorld) clocker.Instant {
	return clocker.Instant{Mono: w.Now() - n.lag, Wall: w.Now() + n.skew}
}

// start begins a new incarnation of a process and its server.
func (w *floorWorld) start(node *floorNode) {
	w.nextID++
	node.incarnation = uint64(w.nextID)<<8 | uint64(node.index+1)
	node.alive = true
	node.pausedUntil = 0
	node.locks = map[locker.Term]bool{}
	now := node.now(w)
	node.controller = w.mutateNode(controller.New(node.incarnation, now, floorLifetime))
	err := node.controller.Announce(now, controller.Config{
		Service: floorService, Slots: node.slots, FloorSlots: w.floor, EvidenceThreshold: floorCaution,
		EjectionTime: 2 * time.Second, MaxEjectionTime: 4 * time.Second,
	})
	require.NoError(w.t, err)
	node.ejector = w.mutateEjector(ejector.New(node.incarnation, ejector.Params{
		Service: floorService, FloorSlots: w.floor, EvidenceThreshold: floorCaution, RoundLifetime: floorLifetime,
	}))
	w.tick(node, node.incarnation)
}

// tick keeps a process going until its incarnation ends.
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
	w.feed(node, now)
	w.perform(node, node.ejector.Tick(now))
	w.After(w.between(80*time.Millisecond, 200*time.Millisecond), func() { w.tick(node, incarnation) })
}

// feed gives a server answers: good ones, or bad ones while it is sick.
func (w *floorWorld) feed(node *floorNode, now clocker.Instant) {
	node.controller.Detector().SetBaseline(detector.Baseline{MedianLog: 9, SpreadLog: 0.3, Members: 3})
	sick := w.random.IntN(8) == 0
	evidence := node.controller.Evidence()
	if !sick && evidence.Samples >= 6 && evidence.Suspicion == 0 && node.controller.State().Healthy() {
		return
	}
	for i := range 6 {
		id := uint64(i)
		node.controller.Detector().Start(now, id)
		node.controller.Detector().Finish(now.Add(8*time.Millisecond), id, sick, false, detector.Origin{})
		require.NoError(w.t, node.controller.RecordResponse(now, !sick))
	}
	if evidence = node.controller.Evidence(); evidence.Suspicion >= floorCaution && node.controller.State().Healthy() {
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

// send delivers a message late, twice, out of order, or never.
func (w *floorWorld) send(from, to *floorNode, deliver func()) {
	copies := 1
	if w.random.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		if w.cut[from.index][to.index] || w.random.IntN(50) == 0 {
			continue
		}
		delay := w.between(time.Millisecond, 6*time.Millisecond)
		if w.random.IntN(12) == 0 {
			delay = w.between(6*time.Millisecond, 4*time.Second)
		}
		if w.restless && w.random.IntN(3) == 0 {
			delay = w.between(6*time.Millisecond, time.Second)
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
			w.breaches = append(w.breaches, fmt.Sprintf("at %s: %s, capacity %d", w.Now(), action.Reason, action.Capacity))
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
		answer := target.controller.Lock(target.now(w), action.Term, floorService)
		if answer.Locked {
			target.locks[action.Term] = true
		}
		w.send(target, from, func() {
			w.perform(from, from.ejector.HandleLockReply(from.now(w), action.Term, action.Member.Incarnation, answer))
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

// checkFloor asserts the promise each time an ejection takes effect, over the
// union of all ejections in force. The one stated window: a server that died
// after it locked the round and is not back in service yet.
func (w *floorWorld) checkFloor(action ejector.Action) {
	var healthy, window uint32
	for _, node := range w.nodes {
		switch {
		case node.alive && node.controller.State().Healthy():
			healthy += node.slots
		case w.down(node) && w.diedLocked(node, action.Term):
			window += node.slots
		}
	}
	if healthy >= w.floor {
		return
	}
	if healthy+window >= w.floor {
		w.inWindow++
		return
	}
	w.breaches = append(w.breaches, fmt.Sprintf("at %s: %d healthy, %d died in the round, floor %d, term %v",
		w.Now(), healthy, window, w.floor, action.Term))
}

func (w *floorWorld) down(node *floorNode) bool {
	return !node.alive || node.controller.State() == registrar.StateStarting
}

func (w *floorWorld) diedLocked(node *floorNode, term locker.Term) bool {
	for _, dead := range w.dead {
		if dead.index == node.index && dead.locks[term] {
			return true
		}
	}
	return false
}

// disturb draws one fault.
func (w *floorWorld) disturb() {
	node := w.nodes[w.random.IntN(len(w.nodes))]
	if w.restless {
		w.crash(node)
		w.After(w.between(50*time.Millisecond, time.Second), w.disturb)
		return
	}
	switch w.random.IntN(6) {
	case 0:
		w.crash(node)
	case 1:
		node.pausedUntil = w.Now() + w.between(100*time.Millisecond, 5*time.Second)
	case 2:
		pause := w.between(100*time.Millisecond, 5*time.Second)
		node.pausedUntil = w.Now() + pause
		node.lag += pause
	case 3:
		w.leave(node)
	case 4:
		other := w.random.IntN(len(w.nodes))
		w.cut[node.index][other] = !w.cut[node.index][other]
	case 5:
		for i := range w.cut {
			clear(w.cut[i])
		}
	}
	w.After(w.between(500*time.Millisecond, 4*time.Second), w.disturb)
}

// crash ends a process without notice and starts it again soon.
func (w *floorWorld) crash(node *floorNode) {
	if !node.alive {
		return
	}
	node.alive = false
	if node.controller.State().Healthy() {
		w.dead = append(w.dead, deadServer{index: node.index, locks: node.locks})
	}
	down := w.between(time.Millisecond, 2*time.Second)
	if w.restless || w.random.IntN(2) == 0 {
		down = w.between(time.Millisecond, 50*time.Millisecond)
	}
	w.After(down, func() { w.start(node) })
}

// leave is a planned stop, followed by a new start.
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
		w.After(w.between(time.Millisecond, time.Second), func() {
			if node.incarnation == incarnation && node.alive {
				node.alive = false
				w.start(node)
			}
		})
	})
}

func (w *floorWorld) live(length time.Duration) {
	w.build()
	w.After(3*time.Second, w.disturb)
	w.Run(length)
}

// totals adds up the worlds of several seeds.
type totals struct {
	ejections, lifts, declined, inWindow int
	breaches                             []string
}

// shards is the number of worlds that run side by side.
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
					world.live(length)
					mu.Lock()
					sum.add(seed, world)
					mu.Unlock()
				}
			})
		}
	})
	t.Logf("ejections %d, lifts %d, declined %d, kept by the stated window %d, breaches %d",
		sum.ejections, sum.lifts, sum.declined, sum.inWindow, len(sum.breaches))
	return sum
}

func (s *totals) add(seed int, world *floorWorld) {
	s.ejections += world.ejections
	s.lifts += world.lifts
	s.declined += world.declined
	s.inWindow += world.inWindow
	for _, breach := range world.breaches {
		s.breaches = append(s.breaches, fmt.Sprintf("seed %d %s", seed, breach))
	}
}

// worlds returns how many seeds to run: a few in every test run, many with PROVE=long.
func worlds(few, many int) int {
	if os.Getenv("PROVE") == "long" {
		return many
	}
	return few
}

func TestFloorHoldsForTheUnionOfEjections(t *testing.T) {
	sum := runFloor(t, worlds(24, 480), 20*time.Minute, func(*floorWorld) {})
	require.Empty(t, sum.breaches)
	require.Positive(t, sum.ejections)
	require.Positive(t, sum.lifts)
	require.Positive(t, sum.declined)
}

func TestFloorHoldsUnderQuickRestarts(t *testing.T) {
	sum := runFloor(t, worlds(16, 320), 20*time.Minute, func(w *floorWorld) { w.restless = true })
	require.Empty(t, sum.breaches)
	require.Positive(t, sum.ejections)
}

func TestFloorBreaksIfUnlockedGuardsCount(t *testing.T) {
	sum := runFloor(t, 16, 10*time.Minute, func(w *floorWorld) {
		w.mutateEjector = (*ejector.Ejector).WithUnlockedCounted
	})
	require.NotEmpty(t, sum.breaches)
}

const (
	overlapNodes = 5
	overlapFloor = 16
)

// overlap plays the schedule that the cold phase is there for: a guard locks a
// round, its guard restarts while the server goes on serving, and a lower round
// that overlaps counts it. It returns the slots in service of 20, with a floor of 16.
func overlap(t *testing.T, coldPhase bool) uint32 {
	w := newFloorWorld(t, 1)
	w.floor = overlapFloor
	if !coldPhase {
		w.mutateNode = (*controller.Controller).WithoutColdPhase
	}
	for i := range overlapNodes {
		w.nodes = append(w.nodes, &floorNode{index: i, slots: 4})
		w.cut = append(w.cut, make([]bool, overlapNodes))
	}
	for _, node := range w.nodes {
		w.start(node)
	}
	w.Advance(10 * time.Second)
	first, second, third := w.nodes[0], w.nodes[1], w.nodes[2]
	for _, node := range w.nodes {
		w.serve(node, node == second)
	}
	high := w.open(third, second, locker.Term{Counter: 9})
	w.answer(third, first, high)
	second.controller.Detector().Reset(second.now(w))
	w.serve(second, false)

	w.start(first)
	w.Advance(50 * time.Millisecond)
	w.serve(first, true)
	low := w.open(second, first, locker.Term{})
	for _, node := range w.nodes {
		w.answer(second, node, low)
	}
	w.serve(second, true)
	for _, node := range w.nodes[1:] {
		w.answer(third, node, high)
	}
	var serving uint32
	for _, node := range w.nodes {
		if state := node.controller.State(); state.Healthy() || state == registrar.StateStarting {
			serving += node.slots
		}
	}
	return serving
}

// serve brings a server into service and gives it evidence.
func (w *floorWorld) serve(node *floorNode, sick bool) {
	for i := range 12 {
		w.sample(node, uint64(i), sick)
	}
	require.NoError(w.t, node.controller.Tick(node.now(w), w.floor))
}

func (w *floorWorld) sample(node *floorNode, id uint64, sick bool) {
	now := node.now(w)
	node.controller.Detector().SetBaseline(detector.Baseline{MedianLog: 9, SpreadLog: 0.3, Members: 3})
	node.controller.Detector().Start(now, id)
	node.controller.Detector().Finish(now.Add(8*time.Millisecond), id, sick, false, detector.Origin{})
}

// open starts a round of an ejector about a target and returns its lock
// requests. The ejector has seen the given term before.
func (w *floorWorld) open(from, target *floorNode, seen locker.Term) []ejector.Action {
	from.ejector.HandleLockReply(from.now(w), locker.Term{}, target.incarnation, ejector.LockReply{Highest: seen})
	_, actions := from.ejector.HandleReport(from.now(w), w.pool(), target.incarnation, target.controller.Evidence())
	require.Len(w.t, actions, len(w.nodes))
	return actions
}

// answer carries one lock request to a node, its answer back, and the orders that follow.
func (w *floorWorld) answer(from, node *floorNode, locks []ejector.Action) {
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
		require.GreaterOrEqual(t, overlap(t, true), uint32(overlapFloor))
	})
	t.Run("BreaksWithoutColdPhase", func(t *testing.T) {
		require.Less(t, overlap(t, false), uint32(overlapFloor))
	})
}
