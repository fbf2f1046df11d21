// Package ejector decides which backend servers of one service are ejected for
// failing. It counts as healthy only servers whose guards have locked the current
// round, so that the union of all ejections in force, also those of other ejectors,
// never takes the healthy capacity below the floor.
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
	// RoundLifetime is how long the replies of a round count and its orders are accepted.
	RoundLifetime = time.Second
	// maxReplyWait is how long a round waits for missing replies before it decides without them.
	maxReplyWait = 100 * time.Millisecond
	// minRoundInterval is the minimum time between the starts of two rounds.
	minRoundInterval = 200 * time.Millisecond
	// minBaselineMembers is the minimum number of servers behind a baseline.
	minBaselineMembers = 3
	// minSamples is the minimum number of samples for evidence to count towards a baseline.
	minSamples = 5
	// reportLifetime is how long a report counts towards the baseline.
	reportLifetime = 15 * time.Second
	// minLatencyExcessLog is the minimum ln of the ratio between the service time of
	// an outlier and the median of the pool.
	minLatencyExcessLog = 0.45
	// An outlier has a share of bad responses of at least minBadShareFactor times that
	// of the pool plus minBadShareExcess.
	minBadShareExcess = 0.04
	minBadShareFactor = 2.5
	// A server is ejected in place of another if its severity is above
	// replaceSeverityFactor times that of the other plus replaceSeverityMargin.
	replaceSeverityFactor = 1.5
	replaceSeverityMargin = 0.5
)

// Params are the settings for the ejections of one service.
type Params struct {
	Service string
	// FloorSlots is the healthy capacity, in slots, that ejections must leave.
	FloorSlots uint32
	// EvidenceThreshold is the evidence, in nats, from which a server may be ejected. It
	// is the policy's Caution.
	EvidenceThreshold float64
	// RoundLifetime is how long the replies of a round count and its orders are accepted.
	RoundLifetime time.Duration
}

// OrderKind says whether an order starts or ends an ejection.
type OrderKind uint8

// Kinds of orders.
const (
	// OrderEject starts an ejection.
	OrderEject OrderKind = iota + 1
	// OrderLift ends an ejection early.
	OrderLift
)

// String returns the name of the kind.
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

// ActionKind says what the caller has to do for an action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionLock sends a lock request to the member.
	ActionLock ActionKind = iota + 1
	// ActionOrder sends an order to the member.
	ActionOrder
	// ActionDecline gives the reason why a failing server is not ejected. It is only logged.
	ActionDecline
	// ActionInvariantViolated reports that the orders of a round leave less than the
	// floor by the round's own count. It never occurs unless the ejector has a bug, and
	// is logged as a broken invariant.
	ActionInvariantViolated
)

// Action is one step that an ejector asks its caller to carry out.
type Action struct {
	Kind   ActionKind
	Member registrar.Member
	Term   locker.Term
	Order  OrderKind
	// Reason is the reason for the action, for the log.
	Reason string
	// Capacity is the healthy capacity in slots that the round counted.
	Capacity uint32
}

// LockReply is a guard's reply to a lock request.
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

// Ejector runs the ejection rounds of one service in one process. It is not safe for
// concurrent use.
type Ejector struct {
	incarnation uint64
	params      Params
	// highestCounter is at least the counter of every term that this ejector has used
	// or seen in a lock reply.
	highestCounter uint64
	reports        map[uint64]report
	// round is nil between rounds.
	round *round
	// lastRoundStart is when the latest round started. It is valid if started is set.
	lastRoundStart clocker.Instant
	started        bool
	// countUnlocked also counts guards that did not lock, for tests only.
	countUnlocked bool
}

// New returns the ejector of a service in the process of the given incarnation.
func New(incarnation uint64, params Params) *Ejector {
	return &Ejector{incarnation: incarnation, params: params, reports: map[uint64]report{}}
}

// WithUnlockedCounted makes the ejector count guards that refused its lock. Tests
// use it to show that the floor is violated then.
func (e *Ejector) WithUnlockedCounted() *Ejector {
	e.countUnlocked = true
	return e
}

// SetParams applies newer settings.
func (e *Ejector) SetParams(params Params) {
	e.params = params
}

// Elect returns the member that runs the ejector of a service, by rendezvous
// hashing. It reports false if the pool has no eligible member. Safety does not
// depend on all processes electing the same member.
func Elect(service string, members []registrar.Member) (registrar.Member, bool) {
	var best registrar.Member
	var bestScore uint64
	for _, member := range members {
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

// HandleReport records a guard's evidence, starts a round if it reaches the
// threshold, and returns the current baseline of the pool.
func (e *Ejector) HandleReport(
	now clocker.Instant, pool []registrar.Member, from uint64, evidence detector.Evidence,
) (detector.Baseline, []Action) {
	e.reports[from] = report{evidence: evidence, at: now}
	baseline := e.baseline(now)
	if evidence.Suspicion < e.params.EvidenceThreshold {
		return baseline, nil
	}
	return baseline, e.startRound(now, pool)
}

func (e *Ejector) baseline(now clocker.Instant) detector.Baseline {
	fresh := make([]detector.Evidence, 0, len(e.reports))
	for from, latest := range e.reports {
		if now.Since(latest.at) > reportLifetime {
			delete(e.reports, from)
			continue
		}
		if latest.evidence.Samples >= minSamples {
			fresh = append(fresh, latest.evidence)
		}
	}
	return newBaseline(fresh)
}

// newBaseline returns the medians over the evidence of the members, or no baseline
// for fewer than minBaselineMembers.
func newBaseline(evidence []detector.Evidence) detector.Baseline {
	if len(evidence) < minBaselineMembers {
		return detector.Baseline{}
	}
	return detector.Baseline{
		MedianLog: median(evidence, func(e detector.Evidence) float64 { return e.MeanLog }),
		SpreadLog: median(evidence, func(e detector.Evidence) float64 { return e.SpreadLog }),
		BadShare:  median(evidence, func(e detector.Evidence) float64 { return e.BadShare }),
		Members:   len(evidence),
	}
}

func median(evidence []detector.Evidence, figure func(detector.Evidence) float64) float64 {
	values := make([]float64, 0, len(evidence))
	for _, summary := range evidence {
		values = append(values, figure(summary))
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

func (e *Ejector) startRound(now clocker.Instant, pool []registrar.Member) []Action {
	if e.round != nil && now.Since(e.round.started) < e.params.RoundLifetime && !e.round.decided {
		return nil
	}
	if e.started && now.Since(e.lastRoundStart) < minRoundInterval {
		return nil
	}
	e.started = true
	e.lastRoundStart = now
	e.highestCounter++
	e.round = newRound(locker.Term{Counter: e.highestCounter, Owner: e.incarnation}, now)
	actions := make([]Action, 0, len(pool))
	for _, member := range pool {
		e.round.members[member.Incarnation] = member
		actions = append(actions, Action{Kind: ActionLock, Member: member, Term: e.round.term})
	}
	return actions
}

// HandleLockReply records a guard's reply to a lock request and decides the round
// once all guards have replied.
func (e *Ejector) HandleLockReply(now clocker.Instant, term locker.Term, from uint64, reply LockReply) []Action {
	e.highestCounter = max(e.highestCounter, reply.Highest.Counter)
	r := e.currentRound(now, term)
	if r == nil || !r.addReply(from, reply) {
		return nil
	}
	if len(r.replies) < len(r.members) {
		return nil
	}
	return e.decide()
}

// HandleOrderReply records a guard's reply to an order. A confirmed lift may make
// room for another ejection, so the round is decided again.
func (e *Ejector) HandleOrderReply(now clocker.Instant, term locker.Term, from uint64, kind OrderKind, done bool) []Action {
	r := e.currentRound(now, term)
	if r == nil || kind != OrderLift || !done {
		return nil
	}
	reply, ok := r.replies[from]
	if !ok || r.orders[from] != OrderLift {
		return nil
	}
	reply.State = registrar.StateServing
	reply.Evidence.Suspicion = 0
	r.replies[from] = reply
	return e.decide()
}

// Tick decides a round that has waited maxReplyWait for its replies, and drops one
// that is past its lifetime.
func (e *Ejector) Tick(now clocker.Instant) []Action {
	r := e.round
	if r == nil {
		return nil
	}
	if now.Since(r.started) >= e.params.RoundLifetime {
		e.round = nil
		return nil
	}
	if r.decided || now.Since(r.started) < maxReplyWait {
		return nil
	}
	return e.decide()
}

func (e *Ejector) currentRound(now clocker.Instant, term locker.Term) *round {
	if e.round == nil || e.round.term != term {
		return nil
	}
	if now.Since(e.round.started) >= e.params.RoundLifetime {
		e.round = nil
		return nil
	}
	return e.round
}

// decide returns the orders that the replies of the current round allow. Below the
// floor it only lifts. It ejects only against a baseline that covers more than half
// of the members that are not ejected.
func (e *Ejector) decide() []Action {
	r := e.round
	r.decided = true
	baseline := newBaseline(r.evidence(e.countUnlocked))
	capacity := r.capacity(e.countUnlocked)
	if capacity < e.params.FloorSlots {
		return e.liftMildest(r, baseline, capacity)
	}
	if baseline.Members == 0 || 2*baseline.Members <= len(r.members)-len(r.inState(registrar.StateEjected)) {
		return nil
	}
	var actions []Action
	for _, target := range r.ejectionCandidates(e.params.EvidenceThreshold, baseline) {
		slots := r.replies[target].Slots
		if capacity >= slots && capacity-slots >= e.params.FloorSlots {
			capacity -= slots
			actions = append(actions, r.addOrder(target, OrderEject, "Sick", capacity))
			continue
		}
		actions = append(actions, e.replaceMildest(r, target, baseline, capacity)...)
		break
	}
	return e.verifyFloor(r, actions)
}

// verifyFloor checks that the healthy slots of the round without the ejected targets
// still reach the floor, and appends ActionInvariantViolated if they don't.
func (e *Ejector) verifyFloor(r *round, actions []Action) []Action {
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

// replaceMildest lifts the least severe ejection if the target is clearly more
// severe, and declines the target otherwise. The order to eject the target follows
// when the lift is confirmed.
func (e *Ejector) replaceMildest(r *round, target uint64, baseline detector.Baseline, capacity uint32) []Action {
	severity := r.replies[target].Evidence.Severity(baseline)
	mildest, ok := r.mildest(baseline)
	if ok && severity > replaceSeverityFactor*r.replies[mildest].Evidence.Severity(baseline)+replaceSeverityMargin {
		return []Action{r.addOrder(mildest, OrderLift, "SickerServerWaits", capacity)}
	}
	return []Action{{
		Kind:     ActionDecline,
		Member:   r.members[target],
		Term:     r.term,
		Reason:   "Floor",
		Capacity: capacity,
	}}
}

func (e *Ejector) liftMildest(r *round, baseline detector.Baseline, capacity uint32) []Action {
	mildest, ok := r.mildest(baseline)
	if !ok {
		return nil
	}
	return []Action{r.addOrder(mildest, OrderLift, "BelowFloor", capacity)}
}
