// Package claimer binds idempotency keys that callers made themselves to guards
// through the platform's log: the claim of a key with the lowest offset decides
// which guard is the only one that may run it.
package claimer

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Claim is a request to bind a caller's own key to a guard.
type Claim struct {
	Key     string `json:"Key"`
	Service string `json:"Service"`
	// Guard is the incarnation of the only guard that may run the key.
	Guard uint64 `json:"Guard,string"`
}

// RanKey is a key whose request a guard has sent to its backend server.
type RanKey struct {
	Key string `json:"Key"`
	// Status is the HTTP status of the response.
	Status int `json:"Status"`
	// Known is false if the response of the backend server was lost.
	Known bool `json:"Known"`
}

// Closure is the last record of a guard, written at a planned stop. It lists the
// keys that the guard ran, since the guard can't be asked any more.
type Closure struct {
	Guard uint64 `json:"Guard,string"`
	// SinceMs is the Unix time in ms from which Ran is complete.
	SinceMs int64    `json:"SinceMs"`
	Ran     []RanKey `json:"Ran"`
}

// Record is one entry of the claims stream.
type Record struct {
	Claims  []Claim  `json:"Claims,omitempty"`
	Closure *Closure `json:"Closure,omitempty"`
}

// State is what the log shows about a key.
type State uint8

// States of a key.
const (
	// StateUnclaimed means that no claim is in effect.
	StateUnclaimed State = iota
	// StateBound means that only Binding.Guard may run the key.
	StateBound
	// StateRan means that Binding.Guard ran the key before its planned stop.
	StateRan
	// StateNeverRan means that Binding.Guard has stopped and never ran the key.
	StateNeverRan
	// StateUnknown means that Binding.Guard has stopped and its closure does not reach
	// back to the time of the key.
	StateUnknown
)

// Binding is the state of one key and the guard that it is bound to.
type Binding struct {
	State  State
	Guard  uint64
	Status int
	// Known is false if the response to a key that ran was lost.
	Known bool
}

type claimEntry struct {
	guard uint64
	atMs  int64
}

type closureEntry struct {
	sinceMs int64
	ran     map[string]RanKey
	atMs    int64
}

// Ledger is the result of folding over the records of the claims stream. All readers
// of the same records hold the same ledger. It is not safe for concurrent use.
type Ledger struct {
	// bindings holds the claim in effect for each key.
	bindings map[string]claimEntry
	// closures holds the closures read so far by the incarnation of the guard.
	closures map[uint64]closureEntry
	next     int64
}

// New returns the ledger of an empty stream.
func New() *Ledger {
	return &Ledger{bindings: map[string]claimEntry{}, closures: map[uint64]closureEntry{}}
}

// Next returns the offset of the next record to apply.
func (l *Ledger) Next() int64 { return l.next }

// SkipTo moves on to the earliest record that the log retains. The skipped records
// are older than the log's retention, and keys of that age are refused.
func (l *Ledger) SkipTo(earliest int64) {
	l.next = max(l.next, earliest)
}

// Apply applies the record at an offset, appended at a Unix time in ms. Records
// below Next have been applied before and are ignored.
func (l *Ledger) Apply(offset, atMs int64, record Record) {
	if offset < l.next {
		return
	}
	l.next = offset + 1
	for _, claim := range record.Claims {
		l.claim(claim, atMs)
	}
	if record.Closure != nil {
		l.close(*record.Closure, atMs)
	}
}

// claim puts a claim into effect if the key is unclaimed or is known not to have run.
// A claim for a guard that has stopped is void.
func (l *Ledger) claim(claim Claim, atMs int64) {
	if _, stopped := l.closures[claim.Guard]; stopped {
		return
	}
	state := l.Binding(claim.Key).State
	if state == StateUnclaimed || state == StateNeverRan {
		l.bindings[claim.Key] = claimEntry{guard: claim.Guard, atMs: atMs}
	}
}

// close records the first closure of a guard.
func (l *Ledger) close(closure Closure, atMs int64) {
	if _, known := l.closures[closure.Guard]; known {
		return
	}
	ran := make(map[string]RanKey, len(closure.Ran))
	for _, entry := range closure.Ran {
		ran[entry.Key] = entry
	}
	l.closures[closure.Guard] = closureEntry{sinceMs: closure.SinceMs, ran: ran, atMs: atMs}
}

// Binding returns the binding of a caller's own key.
func (l *Ledger) Binding(key string) Binding {
	claimed, ok := l.bindings[key]
	if !ok {
		return Binding{State: StateUnclaimed}
	}
	return l.BindingAt(claimed.guard, key, claimed.atMs)
}

// BindingAt returns the binding of a key that only the given guard may run and that
// did not exist before a Unix time in ms.
func (l *Ledger) BindingAt(guard uint64, key string, sinceMs int64) Binding {
	closed, ok := l.closures[guard]
	if !ok {
		return Binding{State: StateBound, Guard: guard}
	}
	if ran, ok := closed.ran[key]; ok {
		return Binding{State: StateRan, Guard: guard, Status: ran.Status, Known: ran.Known}
	}
	if sinceMs < closed.sinceMs {
		return Binding{State: StateUnknown, Guard: guard}
	}
	return Binding{State: StateNeverRan, Guard: guard}
}

// Prune drops claims and closures that were appended before a Unix time in ms.
func (l *Ledger) Prune(beforeMs int64) {
	for key, claimed := range l.bindings {
		if claimed.atMs < beforeMs {
			delete(l.bindings, key)
		}
	}
	for guard, closed := range l.closures {
		if closed.atMs < beforeMs {
			delete(l.closures, guard)
		}
	}
}

// Len returns the number of claimed keys.
func (l *Ledger) Len() int { return len(l.bindings) }

// Reasons why a key is refused.
var (
	ErrKeyMalformed   = eris.New("bound key is malformed")
	ErrKeyTimeMissing = eris.New("key carries no time: send a UUIDv7 or the header Foxtailhall-Key-Time in Unix milliseconds")
	ErrKeyTimeInvalid = eris.New("header Foxtailhall-Key-Time is no positive number of Unix milliseconds")
	ErrKeyExpired     = eris.New("key is older than keys are remembered")
	ErrKeyInFuture    = eris.New("key's time lies in the future")
	ErrKeyTooLong     = eris.New("key is longer than 200 bytes")
)

const (
	boundKeyPrefix = "fh1."
	boundKeyParts  = 4
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 200
	// futureTolerance is how far in the future a key's time may be.
	futureTolerance  = time.Minute
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidTimeDigits   = 12
)

// BoundKey is a key issued by the system that only one guard may run.
type BoundKey struct {
	// Guard is the incarnation of that guard.
	Guard uint64
	// IssuedMs is the Unix time of the issue in ms.
	IssuedMs int64
	Random   uint64
}

// String returns the key in the form in which callers send it.
func (k BoundKey) String() string {
	return boundKeyPrefix + strings.Join([]string{
		strconv.FormatUint(k.Guard, 16),
		strconv.FormatInt(k.IssuedMs, 16),
		strconv.FormatUint(k.Random, 16),
	}, ".")
}

// IsBound reports whether a key has the prefix of bound keys. All other keys are
// callers' own.
func IsBound(key string) bool {
	return strings.HasPrefix(key, boundKeyPrefix)
}

// ParseBound parses a bound key.
func ParseBound(key string) (BoundKey, error) {
	parts := strings.Split(key, ".")
	if !IsBound(key) || len(parts) != boundKeyParts {
		return BoundKey{}, ErrKeyMalformed
	}
	guard, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return BoundKey{}, ErrKeyMalformed
	}
	issued, err := strconv.ParseInt(parts[2], 16, 64)
	if err != nil {
		return BoundKey{}, ErrKeyMalformed
	}
	random, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return BoundKey{}, ErrKeyMalformed
	}
	return BoundKey{Guard: guard, IssuedMs: issued, Random: random}, nil
}

// KeyTime returns the Unix time in ms of a caller's own key: that in the header
// Foxtailhall-Key-Time if its value is not empty, or else that of a UUIDv7.
func KeyTime(key, headerValue string) (int64, error) {
	if headerValue != "" {
		at, err := strconv.ParseInt(headerValue, 10, 64)
		if err != nil || at <= 0 {
			return 0, ErrKeyTimeInvalid
		}
		return at, nil
	}
	if len(key) != uuidLength || key[uuidVersionIndex] != '7' {
		return 0, ErrKeyTimeMissing
	}
	digits := strings.ReplaceAll(key, "-", "")
	if _, err := hex.DecodeString(digits); err != nil {
		return 0, ErrKeyTimeMissing
	}
	at, err := strconv.ParseInt(digits[:uuidTimeDigits], 16, 64)
	if err != nil {
		return 0, ErrKeyTimeMissing
	}
	return at, nil
}

// CheckAge refuses a key that is older than its lifetime, since its claim may no
// longer be on the log, or whose time is in the future.
func CheckAge(nowMs, keyMs int64, lifetime time.Duration) error {
	age := time.Duration(nowMs-keyMs) * time.Millisecond
	if age > lifetime {
		return ErrKeyExpired
	}
	if age < -futureTolerance {
		return ErrKeyInFuture
	}
	return nil
}
