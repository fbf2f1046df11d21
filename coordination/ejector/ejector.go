// Package ejector decides which backend servers of one service are set aside.
// It counts as healthy only servers whose guards have locked the present round,
// so that the union of all ejections in force keeps to the floor.
package ejector

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/detector"
	"github.com/foxtailhall/foxtailhall/coordination/locker"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

const (
	// RoundLifetime is the time within which a round's answers count and its orders are obeyed.
	RoundLifetime = time.Second
	// gatherTime is how long a round waits for the last answers before it decides.
	gatherTime = 100 * time.Millisecond
	// roundGap is the least time between the starts of two rounds.
	roundGap = 200 * time.Millisecond
	// minJudged is the least number of answers that a server is judged against.
	minJudged = 3
	// minSamples is the least number of samples behind a digest that counts.
	minSamples = 5
	// evidenceLifetime is how long a report counts towards the baseline.
	evidenceLifetime = 6 * time.Second
	// minExcessLog is the least excess over the median, as ln of a ratio, of a slow server.
	minExcessLog = 0.45
	// minExcessShare and minShareFactor tell how far a failing server's share of bad
	// answers lies above the pool's: by the one at least, and by that factor of it.
	minExcessShare = 0.04
	minShareFactor = 2.5
	// swapFactor and swapMargin tell how much sicker a server must be to take another's place.
	swapFactor = 1.5
	swapMargin = 0.5
)

// Params steer the ejections of one service.
type Params struct {
	Service string
	// FloorSlots is the healthy capacity that no ejection goes below.
	FloorSlots uint32
	// EvidenceThreshold is the evidence in nats that condemns a server.
	EvidenceThreshold float64
	// RoundLifetime is that of a round.
	RoundLifetime time.Duration
}

// OrderKind is what an order asks of a guard.
type OrderKind uint8

// Kinds of orders.
const (
	OrderEject OrderKind = iota + 1
	OrderLift
)

// String gives the name of the kind.
func (k OrderKind) String() string {
	switch k {
	case OrderEject:
		return "Eject"
	case OrderLift:
		return "Lift"
	default:
		return "Unknown"
	}
}

// ActionKind is what the process is to do.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionLock sends a lock request to the member.
	ActionLock ActionKind = iota + 1
	// ActionOrder sends an order to the member.
	ActionOrder
	// ActionDecline tells why a condemned server is not ejected; it is only logged.
	ActionDecline
	// ActionInvariantViolated tells that the round's own count is below the floor after its
	// orders. It must never come; it is logged as a broken invariant.
	ActionInvariantViolated
)

// Action is one decision.
type Action struct {
	Kind   ActionKind
	Member registrar.Member
	Term   locker.Term
	Order  OrderKind
	// Reason says why, for the log.
	Reason string
	// Capacity is the healthy capacity in slots that the round counted.
	Capacity uint32
}

// LockReply is what a guard said to a lock request.
type LockReply struct {
	Locked   bool
	Highest  locker.Term
	Slots    uint32
	State    registrar.State
	Evidence detector.Evidence
}

type report struct {
	evidence detector.Evidence
	at       clocker.Instant
}

// Ejector runs the rounds of one service at one process. It is not safe for concurrent use.
type Ejector struct {
	self   uint64
	params Params
	// counter is at least that of the highest term seen anywhere.
	counter uint64
	reports map[uint64]report
	// round is nil between rounds.
	round *round
	// lastStart is the start of the latest round.
	lastStart clocker.Instant
	started   bool
	// countUnlocked counts guards that did not lock, for the test that shows the harm.
	countUnlocked bool
}

// New returns the ejector of a service at the process of the given incarnation.
func New(self uint64, params Params) *Ejector {
	return &Ejector{self: self, params: params, reports: map[uint64]report{}}
}

// WithUnlockedCounted returns the ejector changed to count guards that refused
// its lock. It exists to show that the floor breaks then.
func (e *Ejector) WithUnlockedCounted() *Ejector {
	e.countUnlocked = true
	return e
}

// SetParams takes a newer policy.
func (e *Ejector) SetParams(params Params) {
	e.params = params
}

// Elect returns the member that runs the ejector of a service, by rendezvous
// hashing. Safety does not depend on all processes agreeing on it.
func Elect(service string, pool []registrar.Member) (registrar.Member, bool) {
	var best registrar.Member
	var bestScore uint64
	for _, member := range pool {
		if !member.State.Live() || member.State == registrar.StateLeaving {
			continue
		}
		score := rendezvous(service, member.Incarnation)
		if score >= bestScore {
			best, bestScore = member, score
		}
	}
	return best, bestScore > 0
}

func rendezvous(service string, incarnation uint64) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(service))
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(incarnation >> (8 * i))
	}
	_, _ = hash.Write(bytes[:])
	sum := hash.Sum64()
	sum ^= sum >> 33
	sum *= 0xFF51AFD7ED558CCD
	return sum ^ sum>>33
}

// HandleReport takes a guard's evidence and starts a round if it condemns the server.
func (e *Ejector) HandleReport(
	now clocker.Instant, pool []registrar.Member, from uint64, evidence detector.Evidence,
) (detector.Baseline, []Action) {
	e.reports[from] = report{evidence: evidence, at: now}
	baseline := e.baseline(now)
	if evidence.Suspicion < e.params.EvidenceThreshold {
		return baseline, nil
	}
	return baseline, e.begin(now, pool)
}

func (e *Ejector) baseline(now clocker.Instant) detector.Baseline {
	fresh := make([]detector.Evidence, 0, len(e.reports))
	for from, known := range e.reports {
		if now.Since(known.at) > evidenceLifetime {
			delete(e.reports, from)
			continue
		}
		if known.evidence.Samples >= minSamples {
			fresh = append(fresh, known.evidence)
		}
	}
	return measured(fresh)
}

// measured takes the medians over the members' digests.
func measured(digests []detector.Evidence) detector.Baseline {
	if len(digests) < minJudged {
		return detector.Baseline{}
	}
	return detector.Baseline{
		MedianLog: median(digests, func(e detector.Evidence) float64 { return e.MeanLog }),
		SpreadLog: median(digests, func(e detector.Evidence) float64 { return e.SpreadLog }),
		BadShare:  median(digests, func(e detector.Evidence) float64 { return e.BadShare }),
		Members:   len(digests),
	}
}

func median(digests []detector.Evidence, of func(detector.Evidence) float64) float64 {
	values := make([]float64, 0, len(digests))
	for _, digest := range digests {
		values = append(values, of(digest))
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

func (e *Ejector) begin(now clocker.Instant, pool []registrar.Member) []Action {
	if e.round != nil && now.Since(e.round.started) < e.params.RoundLifetime && !e.round.decided {
		return nil
	}
	if e.started && now.Since(e.lastStart) < roundGap {
		return nil
	}
	e.started = true
	e.lastStart = now
	e.counter++
	e.round = newRound(locker.Term{Counter: e.counter, Owner: e.self}, now)
	actions := make([]Action, 0, len(pool))
	for _, member := range pool {
		e.round.asked[member.Incarnation] = member
		actions = append(actions, Action{Kind: ActionLock, Member: member, Term: e.round.term})
	}
	return actions
}

// HandleLockReply takes a guard's answer to a lock request and decides once all have answered.
func (e *Ejector) HandleLockReply(now clocker.Instant, term locker.Term, from uint64, answer LockReply) []Action {
	e.counter = max(e.counter, answer.Highest.Counter)
	r := e.current(now, term)
	if r == nil || !r.take(from, answer) {
		return nil
	}
	if len(r.answers) < len(r.asked) {
		return nil
	}
	return e.decide()
}

// HandleOrderReply takes a guard's answer to an order.
func (e *Ejector) HandleOrderReply(now clocker.Instant, term locker.Term, from uint64, kind OrderKind, done bool) []Action {
	r := e.current(now, term)
	if r == nil || kind != OrderLift || !done {
		return nil
	}
	answer, ok := r.answers[from]
	if !ok || r.ordered[from] != OrderLift {
		return nil
	}
	answer.State = registrar.StateServing
	answer.Evidence.Suspicion = 0
	r.answers[from] = answer
	return e.decide()
}

// Tick decides a round whose last answers are overdue.
func (e *Ejector) Tick(now clocker.Instant) []Action {
	r := e.round
	if r == nil {
		return nil
	}
	if now.Since(r.started) >= e.params.RoundLifetime {
		e.round = nil
		return nil
	}
	if r.decided || now.Since(r.started) < gatherTime {
		return nil
	}
	return e.decide()
}

func (e *Ejector) current(now clocker.Instant, term locker.Term) *round {
	if e.round == nil || e.round.term != term {
		return nil
	}
	if now.Since(e.round.started) >= e.params.RoundLifetime {
		e.round = nil
		return nil
	}
	return e.round
}

// decide orders what the answers of the present round allow.
func (e *Ejector) decide() []Action {
	r := e.round
	r.decided = true
	baseline := measured(r.digests(e.countUnlocked))
	capacity := r.capacity(e.countUnlocked)
	if capacity < e.params.FloorSlots {
		return e.liftOne(r, baseline, capacity)
	}
	if baseline.Members == 0 || 2*baseline.Members <= len(r.asked)-len(r.set(registrar.StateEjected)) {
		return nil
	}
	var actions []Action
	for _, target := range r.condemned(e.params.EvidenceThreshold, baseline) {
		slots := r.answers[target].Slots
		if capacity >= slots && capacity-slots >= e.params.FloorSlots {
			capacity -= slots
			actions = append(actions, r.order(target, OrderEject, "Sick", capacity))
			continue
		}
		actions = append(actions, e.makeRoom(r, target, baseline, capacity)...)
		break
	}
	return e.checked(r, actions)
}

// checked asserts that the count without the targets still reaches the floor.
func (e *Ejector) checked(r *round, actions []Action) []Action {
	capacity := r.capacity(e.countUnlocked)
	for _, action := range actions {
		if action.Kind == ActionOrder && action.Order == OrderEject && capacity < e.params.FloorSlots {
			action.Kind = ActionInvariantViolated
			action.Reason = "FloorInRound"
			action.Capacity = capacity
			return append(actions, action)
		}
	}
	return actions
}

// makeRoom lifts the least sick ejection if the target is clearly sicker. The
// target's own order follows when the lift is confirmed.
func (e *Ejector) makeRoom(r *round, target uint64, baseline detector.Baseline, capacity uint32) []Action {
	severity := r.answers[target].Evidence.Severity(baseline)
	mildest, ok := r.mildest(baseline)
	if ok && severity > swapFactor*r.answers[mildest].Evidence.Severity(baseline)+swapMargin {
		return []Action{r.order(mildest, OrderLift, "SickerServerWaits", capacity)}
	}
	return []Action{{
		Kind:     ActionDecline,
		Member:   r.asked[target],
		Term:     r.term,
		Reason:   "Floor",
		Capacity: capacity,
	}}
}

func (e *Ejector) liftOne(r *round, baseline detector.Baseline, capacity uint32) []Action {
	mildest, ok := r.mildest(baseline)
	if !ok {
		return nil
	}
	return []Action{r.order(mildest, OrderLift, "BelowFloor", capacity)}
}
