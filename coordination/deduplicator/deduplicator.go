// Package deduplicator keeps a guard's record of attempts and idempotency keys,
// so that no attempt and no key is handed to the backend server twice.
package deduplicator

import (
	"container/list"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
	"github.com/foxtailhall/foxtailhall/coordination/enroller"
)

const (
	// MaxAttemptAge is the age above which an attempt is refused.
	MaxAttemptAge = 60 * time.Second
	// MaxClockSkew is the largest difference between the wall clocks of two VMs that is tolerated.
	MaxClockSkew = 60 * time.Second
	// tombstoneLifetime is at least the age at which a late copy of an attempt is
	// refused as stale, at any tolerated clock skew.
	tombstoneLifetime = MaxAttemptAge + 2*MaxClockSkew
)

// AttemptID identifies one attempt of one request.
type AttemptID [16]byte

// State is the execution state of an attempt or a key, as recorded by a guard.
type State uint8

// States of an attempt or a key.
const (
	// StateUnseen means that the guard has no record and has not fenced the attempt.
	StateUnseen State = iota
	// StateRunning means that the request was handed to the backend server.
	StateRunning
	// StateDone means that the backend server answered.
	StateDone
	// StateFenced means that the attempt has not run and never will.
	StateFenced
	// StateBroken means that the request was handed over and its outcome is unknown.
	StateBroken
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"Unseen", "Running", "Done", "Fenced", "Broken"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Unknown"
}

// Decision is what a guard does with an arriving attempt.
type Decision uint8

// Decisions on an arriving attempt.
const (
	// DecisionRun hands the request to the backend server.
	DecisionRun Decision = iota + 1
	// DecisionFenced refuses an attempt that was fenced; it has not run.
	DecisionFenced
	// DecisionStale refuses an attempt whose issue time is too old or in the future; it has not run.
	DecisionStale
	// DecisionDuplicate drops a second copy of an attempt; the first copy determines the outcome.
	DecisionDuplicate
	// DecisionKeyRunning reports that a request with the same key is running.
	DecisionKeyRunning
	// DecisionReplay returns the stored answer of the finished request with the same key.
	DecisionReplay
	// DecisionKeyRan reports that the key has run and its answer is not stored.
	DecisionKeyRan
	// DecisionMemoryFull refuses the attempt because Limits leave no room for it; it has not run.
	DecisionMemoryFull
)

// String returns the name of the decision.
func (d Decision) String() string {
	names := [...]string{
		"Unknown", "Run", "Fenced", "Stale", "Duplicate", "KeyRunning", "Repeat", "KeyRan", "MemoryFull",
	}
	if int(d) < len(names) {
		return names[d]
	}
	return names[0]
}

// Answer is a stored answer of a backend server.
type Answer struct {
	Status  int
	Headers []Field
	Body    []byte
	// Departure is the last departure at the server's address as the answer told it, the zero value if it says none.
	Departure enroller.Departure
}

// Field is one header field of a stored answer.
type Field struct {
	Name  string
	Value string
}

// Limits bound the memory of a Deduplicator.
type Limits struct {
	// Attempts is the maximum number of recorded attempts, tombstones included.
	Attempts int
	// Keys is the maximum number of recorded keys.
	Keys int
	// AnswerBytes is the maximum total size of all stored answer bodies.
	AnswerBytes int
	// KeyLifetime is how long a key is remembered after it ran.
	KeyLifetime time.Duration
}

type attempt struct {
	state  State
	status int
	// updatedAt is when the state was last set, or when expiry of the running attempt was last postponed.
	updatedAt clocker.Instant
	id        AttemptID
}

type keyRecord struct {
	key string
	// attempt is the one that was allowed to run the key.
	attempt AttemptID
	state   State
	status  int
	// updatedAt is when the state was last set, or when expiry of the running key was last postponed.
	updatedAt clocker.Instant
	// answer is nil if none was stored or if it was evicted.
	answer *Answer
	// stored is the record's element in the list of stored answers, nil without an answer.
	stored *list.Element
}

// Deduplicator records the attempts and keys of one guard. It is not safe for concurrent use.
type Deduplicator struct {
	limits Limits
	// attempts maps each ID to its *attempt element in attemptOrder, which is
	// sorted by time, oldest first.
	attempts     map[AttemptID]*list.Element
	attemptOrder *list.List
	// keys maps each key to its *keyRecord element in keyOrder, which is sorted
	// by time, oldest first.
	keys     map[string]*list.Element
	keyOrder *list.List
	// answered holds the key records with an answer in the order in which the answers
	// were stored.
	answered    *list.List
	storedBytes int
}

// New returns an empty deduplicator.
func New(limits Limits) *Deduplicator {
	return &Deduplicator{
		limits:       limits,
		attempts:     map[AttemptID]*list.Element{},
		attemptOrder: list.New(),
		keys:         map[string]*list.Element{},
		keyOrder:     list.New(),
		answered:     list.New(),
	}
}

// Begin decides on an arriving attempt. Only after DecisionRun may the request
// be handed to the backend server; the attempt is then recorded as running. The
// answer is non-nil only with DecisionReplay.
func (d *Deduplicator) Begin(now clocker.Instant, id AttemptID, key string, issuedMs int64) (Decision, *Answer) {
	d.evictExpired(now)
	known, seen := d.attempts[id]
	if seen && known.Value.(*attempt).state != StateFenced {
		return DecisionDuplicate, nil
	}
	if decision, answer := d.checkKey(key); decision != DecisionRun {
		return decision, answer
	}
	if seen {
		return DecisionFenced, nil
	}
	if stale(now, issuedMs) {
		return DecisionStale, nil
	}
	if d.full(key) {
		return DecisionMemoryFull, nil
	}
	d.addAttempt(now, id, StateRunning)
	if key != "" {
		d.addKey(now, key, id)
	}
	return DecisionRun, nil
}

func stale(now clocker.Instant, issuedMs int64) bool {
	age := now.Wall - time.Duration(issuedMs)*time.Millisecond
	return age > MaxAttemptAge+MaxClockSkew || age < -MaxClockSkew
}

func (d *Deduplicator) checkKey(key string) (Decision, *Answer) {
	element, ok := d.keys[key]
	if key == "" || !ok {
		return DecisionRun, nil
	}
	record := element.Value.(*keyRecord)
	switch {
	case record.state == StateRunning:
		return DecisionKeyRunning, nil
	case record.answer != nil:
		return DecisionReplay, record.answer
	default:
		return DecisionKeyRan, nil
	}
}

func (d *Deduplicator) full(key string) bool {
	if d.attemptOrder.Len() >= d.limits.Attempts {
		return true
	}
	return key != "" && d.keyOrder.Len() >= d.limits.Keys
}

func (d *Deduplicator) addAttempt(now clocker.Instant, id AttemptID, state State) {
	d.attempts[id] = d.attemptOrder.PushBack(&attempt{state: state, updatedAt: now, id: id})
}

func (d *Deduplicator) addKey(now clocker.Instant, key string, id AttemptID) {
	d.keys[key] = d.keyOrder.PushBack(&keyRecord{key: key, attempt: id, state: StateRunning, updatedAt: now})
}

// MayDispatch reports whether the attempt is recorded as running and, if it has
// a key, whether the key is running under this attempt. It is a safety check to
// be made immediately before the request is handed over.
func (d *Deduplicator) MayDispatch(id AttemptID, key string) bool {
	element, ok := d.attempts[id]
	if !ok || element.Value.(*attempt).state != StateRunning {
		return false
	}
	if key == "" {
		return true
	}
	element, ok = d.keys[key]
	if !ok {
		return false
	}
	record := element.Value.(*keyRecord)
	return record.state == StateRunning && record.attempt == id
}

// Withdraw fences a running attempt that never reached the backend server and
// releases its key, unless another attempt holds it.
func (d *Deduplicator) Withdraw(id AttemptID, key string) {
	if element, ok := d.attempts[id]; ok {
		element.Value.(*attempt).state = StateFenced
	}
	element, ok := d.keys[key]
	if !ok || element.Value.(*keyRecord).state != StateRunning || element.Value.(*keyRecord).attempt != id {
		return
	}
	d.keyOrder.Remove(element)
	delete(d.keys, key)
}

// Finish records the end of an attempt: StateDone with the backend server's
// answer, or StateBroken with a nil answer if the outcome is unknown. The answer
// of a request with a key is stored as far as Limits.AnswerBytes allows.
func (d *Deduplicator) Finish(now clocker.Instant, id AttemptID, key string, state State, status int, answer *Answer) {
	if element, ok := d.attempts[id]; ok {
		known := element.Value.(*attempt)
		known.state = state
		known.status = status
		known.updatedAt = now
		d.attemptOrder.MoveToBack(element)
	}
	element, ok := d.keys[key]
	if !ok {
		return
	}
	record := element.Value.(*keyRecord)
	record.state = state
	record.status = status
	record.updatedAt = now
	d.keyOrder.MoveToBack(element)
	d.storeAnswer(record, answer)
}

// storeAnswer stores an answer and evicts the oldest ones above Limits.AnswerBytes.
func (d *Deduplicator) storeAnswer(record *keyRecord, answer *Answer) {
	if answer == nil || len(answer.Body) > d.limits.AnswerBytes {
		return
	}
	d.dropAnswer(record)
	record.answer = answer
	record.stored = d.answered.PushBack(record)
	d.storedBytes += len(answer.Body)
	for d.storedBytes > d.limits.AnswerBytes {
		d.dropAnswer(d.answered.Front().Value.(*keyRecord))
	}
}

func (d *Deduplicator) dropAnswer(record *keyRecord) {
	if record.answer == nil {
		return
	}
	d.storedBytes -= len(record.answer.Body)
	d.answered.Remove(record.stored)
	record.answer, record.stored = nil, nil
}

// Resolve returns the state and status of an attempt whose answer the router
// did not receive. An attempt without a record is fenced; if
// Limits.Attempts is reached or the attempt is stale, it stays StateUnseen. If a request with the same key
// was handed over by another attempt, the state of the key is returned instead:
// a key is never reported as fenced while it runs or after it ran.
func (d *Deduplicator) Resolve(now clocker.Instant, id AttemptID, key string, issuedMs int64) (State, int) {
	d.evictExpired(now)
	state, status := d.resolveAttempt(now, id, issuedMs)
	if state != StateFenced {
		return state, status
	}
	if element, ok := d.keys[key]; ok && key != "" {
		record := element.Value.(*keyRecord)
		return record.state, record.status
	}
	return state, status
}

func (d *Deduplicator) resolveAttempt(now clocker.Instant, id AttemptID, issuedMs int64) (State, int) {
	if element, ok := d.attempts[id]; ok {
		known := element.Value.(*attempt)
		return known.state, known.status
	}
	if stale(now, issuedMs) || d.attemptOrder.Len() >= d.limits.Attempts {
		return StateUnseen, 0
	}
	d.addAttempt(now, id, StateFenced)
	return StateFenced, 0
}

// Fence records a tombstone for a refused attempt and reports whether the
// attempt is fenced.
func (d *Deduplicator) Fence(now clocker.Instant, id AttemptID) bool {
	if element, ok := d.attempts[id]; ok {
		return element.Value.(*attempt).state == StateFenced
	}
	d.evictExpired(now)
	if d.attemptOrder.Len() >= d.limits.Attempts {
		return false
	}
	d.addAttempt(now, id, StateFenced)
	return true
}

// RanKeys returns the keys that were handed to the backend server, oldest first.
func (d *Deduplicator) RanKeys() []RanKey {
	ran := make([]RanKey, 0, d.keyOrder.Len())
	for element := d.keyOrder.Front(); element != nil; element = element.Next() {
		record := element.Value.(*keyRecord)
		ran = append(ran, RanKey{Key: record.key, State: record.state, Status: record.status})
	}
	return ran
}

// RanKey is a key that was handed to the backend server.
type RanKey struct {
	Key    string
	State  State
	Status int
}

// evictExpired removes expired attempts and keys. Running entries are kept.
func (d *Deduplicator) evictExpired(now clocker.Instant) {
	for element := d.attemptOrder.Front(); element != nil; element = d.attemptOrder.Front() {
		oldest := element.Value.(*attempt)
		if now.Since(oldest.updatedAt) < tombstoneLifetime {
			break
		}
		if oldest.state == StateRunning {
			oldest.updatedAt = now
			d.attemptOrder.MoveToBack(element)
			continue
		}
		d.attemptOrder.Remove(element)
		delete(d.attempts, oldest.id)
	}
	d.evictExpiredKeys(now)
}

func (d *Deduplicator) evictExpiredKeys(now clocker.Instant) {
	for element := d.keyOrder.Front(); element != nil; element = d.keyOrder.Front() {
		oldest := element.Value.(*keyRecord)
		if now.Since(oldest.updatedAt) < d.limits.KeyLifetime {
			return
		}
		if oldest.state == StateRunning {
			oldest.updatedAt = now
			d.keyOrder.MoveToBack(element)
			continue
		}
		d.dropAnswer(oldest)
		d.keyOrder.Remove(element)
		delete(d.keys, oldest.key)
	}
}
