// Package deduplicator holds a guard's memory of attempts and keys: what has run,
// what runs, and what must never run.
package deduplicator

import (
	"container/list"
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/clocker"
)

const (
	// MaxAttemptAge is the age above which an attempt is refused.
	MaxAttemptAge = 60 * time.Second
	// MaxClockSkew is the largest difference between two VMs' wall clocks that is allowed for.
	MaxClockSkew = 60 * time.Second
	// tombstoneLifetime outlasts any attempt that could still arrive and be young enough.
	tombstoneLifetime = MaxAttemptAge + 2*MaxClockSkew
)

// AttemptID identifies one attempt of one request.
type AttemptID [16]byte

// State is what a guard knows of an attempt or a key.
type State uint8

// States of an attempt or a key.
const (
	// StateUnseen means that nothing is known and nothing is fenced.
	StateUnseen State = iota
	// StateRunning means that the request was handed to the backend server.
	StateRunning
	// StateDone means that the backend server answered.
	StateDone
	// StateFenced means that the attempt has not run and never will.
	StateFenced
	// StateBroken means that the request was handed over and its outcome is not known.
	StateBroken
)

// String gives the name of the state.
func (s State) String() string {
	names := [...]string{"Unseen", "Running", "Done", "Fenced", "Broken"}
	if int(s) < len(names) {
		return names[s]
	}
	return "Unknown"
}

// Decision is what a guard does with an attempt that arrives.
type Decision uint8

// Rulings on an arriving attempt.
const (
	// DecisionRun hands the request to the backend server.
	DecisionRun Decision = iota + 1
	// DecisionFenced refuses an attempt that was fenced; it has not run.
	DecisionFenced
	// DecisionStale refuses an attempt that is too old or from the future; it has not run.
	DecisionStale
	// DecisionDuplicate drops a second copy of an attempt; the first decides.
	DecisionDuplicate
	// DecisionKeyRunning tells that a request with the same key runs at this moment.
	DecisionKeyRunning
	// DecisionReplay gives the kept answer of the finished request with the same key.
	DecisionReplay
	// DecisionKeyRan tells that the key has run and its answer is not kept.
	DecisionKeyRan
	// DecisionMemoryFull refuses because no more can be remembered; it has not run.
	DecisionMemoryFull
)

// String gives the name of the ruling.
func (r Decision) String() string {
	names := [...]string{
		"Unknown", "Run", "Fenced", "Stale", "Duplicate", "KeyRunning", "Repeat", "KeyRan", "MemoryFull",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return names[0]
}

// Answer is a kept answer of a backend server.
type Answer struct {
	Status  int
	Headers []Field
	Body    []byte
}

// Field is one header field of a kept answer.
type Field struct {
	Name  string
	Value string
}

// Limits bound a guard's memory.
type Limits struct {
	// Attempts bounds the attempts remembered, tombstones included.
	Attempts int
	// Keys bounds the keys remembered.
	Keys int
	// AnswerBytes bounds the bodies of all kept answers together.
	AnswerBytes int
	// KeyLifetime is how long a key is remembered after it ran.
	KeyLifetime time.Duration
}

type attempt struct {
	state  State
	status int
	at     clocker.Instant
	id     AttemptID
}

type keyRecord struct {
	key string
	// attempt is the one that was allowed to run the key.
	attempt AttemptID
	state   State
	status  int
	at      clocker.Instant
	// answer is nil once it was dropped for space.
	answer *Answer
}

// Deduplicator is the memory of one guard. It is not safe for concurrent use.
type Deduplicator struct {
	limits Limits
	// attempts holds list elements of attempt, ordered by time in order.
	attempts map[AttemptID]*list.Element
	order    *list.List
	// keys holds list elements of keyRecord, ordered by time in keyOrder.
	keys     map[string]*list.Element
	keyOrder *list.List
	// answers holds the keys whose answers are kept, oldest first.
	answers   *list.List
	keptBytes int
}

// New returns an empty memory.
func New(limits Limits) *Deduplicator {
	return &Deduplicator{
		limits:   limits,
		attempts: map[AttemptID]*list.Element{},
		order:    list.New(),
		keys:     map[string]*list.Element{},
		keyOrder: list.New(),
		answers:  list.New(),
	}
}

// Begin rules on an attempt that arrives. Only after RulingRun may the request
// be handed to the backend server, and the attempt then counts as running.
// A kept answer comes with RulingRepeat alone.
func (d *Deduplicator) Begin(now clocker.Instant, id AttemptID, key string, issuedMs int64) (Decision, *Answer) {
	d.forget(now)
	known, seen := d.attempts[id]
	if seen && known.Value.(*attempt).state != StateFenced {
		return DecisionDuplicate, nil
	}
	if ruling, answer := d.ruleOnKey(key); ruling != DecisionRun {
		return ruling, answer
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
	d.note(now, id, StateRunning)
	if key != "" {
		d.noteKey(now, key, id)
	}
	return DecisionRun, nil
}

func stale(now clocker.Instant, issuedMs int64) bool {
	age := now.Wall - time.Duration(issuedMs)*time.Millisecond
	return age > MaxAttemptAge+MaxClockSkew || age < -MaxClockSkew
}

func (d *Deduplicator) ruleOnKey(key string) (Decision, *Answer) {
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
	if d.order.Len() >= d.limits.Attempts {
		return true
	}
	return key != "" && d.keyOrder.Len() >= d.limits.Keys
}

func (d *Deduplicator) note(now clocker.Instant, id AttemptID, state State) {
	d.attempts[id] = d.order.PushBack(&attempt{state: state, at: now, id: id})
}

func (d *Deduplicator) noteKey(now clocker.Instant, key string, id AttemptID) {
	d.keys[key] = d.keyOrder.PushBack(&keyRecord{key: key, attempt: id, state: StateRunning, at: now})
}

// MayDispatch asserts, right before the request is handed over, that this
// attempt is the one running and that its key, if it has one, is running by it.
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

// Withdraw turns a running attempt that never reached the backend server into a
// fenced one and frees its key.
func (d *Deduplicator) Withdraw(id AttemptID, key string) {
	if element, ok := d.attempts[id]; ok {
		element.Value.(*attempt).state = StateFenced
	}
	element, ok := d.keys[key]
	if !ok || element.Value.(*keyRecord).state != StateRunning {
		return
	}
	d.keyOrder.Remove(element)
	delete(d.keys, key)
}

// Finish notes the backend server's answer, or that its outcome is not known if
// answer is nil and state is StateBroken. The answer is kept while there is room.
func (d *Deduplicator) Finish(now clocker.Instant, id AttemptID, key string, state State, status int, answer *Answer) {
	if element, ok := d.attempts[id]; ok {
		known := element.Value.(*attempt)
		known.state = state
		known.status = status
		known.at = now
		d.order.MoveToBack(element)
	}
	element, ok := d.keys[key]
	if !ok {
		return
	}
	record := element.Value.(*keyRecord)
	record.state = state
	record.status = status
	record.at = now
	d.keyOrder.MoveToBack(element)
	d.keep(record, answer)
}

func (d *Deduplicator) keep(record *keyRecord, answer *Answer) {
	if answer == nil || len(answer.Body) > d.limits.AnswerBytes {
		return
	}
	record.answer = answer
	d.answers.PushBack(record)
	d.keptBytes += len(answer.Body)
	for d.keptBytes > d.limits.AnswerBytes {
		d.dropAnswer(d.answers.Remove(d.answers.Front()).(*keyRecord))
	}
}

func (d *Deduplicator) dropAnswer(record *keyRecord) {
	if record.answer == nil {
		return
	}
	d.keptBytes -= len(record.answer.Body)
	record.answer = nil
}

// Resolve settles an attempt whose answer the router has lost. An attempt never
// seen is fenced from now on; if it cannot be remembered, its state stays unseen.
// If another request with the same key has been handed over, that one counts:
// a key is never said to be fenced while it runs or after it ran.
func (d *Deduplicator) Resolve(now clocker.Instant, id AttemptID, key string, issuedMs int64) (State, int) {
	d.forget(now)
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
	if stale(now, issuedMs) || d.order.Len() >= d.limits.Attempts {
		return StateUnseen, 0
	}
	d.note(now, id, StateFenced)
	return StateFenced, 0
}

// Fence puts a tombstone on an attempt that was refused and tells whether it holds.
func (d *Deduplicator) Fence(now clocker.Instant, id AttemptID) bool {
	if element, ok := d.attempts[id]; ok {
		return element.Value.(*attempt).state == StateFenced
	}
	d.forget(now)
	if d.order.Len() >= d.limits.Attempts {
		return false
	}
	d.note(now, id, StateFenced)
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

// forget drops what has outlived its use. Running entries stay.
func (d *Deduplicator) forget(now clocker.Instant) {
	for element := d.order.Front(); element != nil; element = d.order.Front() {
		oldest := element.Value.(*attempt)
		if now.Since(oldest.at) < tombstoneLifetime {
			break
		}
		if oldest.state == StateRunning {
			oldest.at = now
			d.order.MoveToBack(element)
			continue
		}
		d.order.Remove(element)
		delete(d.attempts, oldest.id)
	}
	d.forgetKeys(now)
}

func (d *Deduplicator) forgetKeys(now clocker.Instant) {
	for element := d.keyOrder.Front(); element != nil; element = d.keyOrder.Front() {
		oldest := element.Value.(*keyRecord)
		if now.Since(oldest.at) < d.limits.KeyLifetime {
			return
		}
		if oldest.state == StateRunning {
			oldest.at = now
			d.keyOrder.MoveToBack(element)
			continue
		}
		d.dropAnswer(oldest)
		d.keyOrder.Remove(element)
		delete(d.keys, oldest.key)
	}
}
