// Package claimer binds callers' own keys to guards through the platform's log:
// the first claim of a key by offset decides which guard alone may run it.
package claimer

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Claim binds a caller's own key to a guard.
type Claim struct {
	Key     string `json:"Key"`
	Service string `json:"Service"`
	// Guard is the incarnation that alone may run the key.
	Guard uint64 `json:"Guard,string"`
}

// RanKey is a key that a guard handed to its backend server.
type RanKey struct {
	Key    string `json:"Key"`
	Status int    `json:"Status"`
	// Known is false if the backend server's answer was lost.
	Known bool `json:"Known"`
}

// Closure is a guard's last word at a planned stop.
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

// State is what the log says of a key.
type State uint8

// Fates of a key.
const (
	// StateUnclaimed means that no claim stands.
	StateUnclaimed State = iota
	// StateBound means that the guard named alone may run the key.
	StateBound
	// StateRan means that the guard ran the key before its planned stop.
	StateRan
	// StateNeverRan means that the guard named is gone and did not run the key.
	StateNeverRan
	// StateUnknown means that the guard is gone and its last word does not reach back to the key.
	StateUnknown
)

// Binding is the standing of one key.
type Binding struct {
	State  State
	Guard  uint64
	Status int
	// Known is false if the outcome of a key that ran is not known.
	Known bool
}

type bound struct {
	guard uint64
	atMs  int64
}

type closing struct {
	sinceMs int64
	ran     map[string]RanKey
	atMs    int64
}

// Ledger is the fold of the claims stream. Every reader of the same records
// holds the same ledger. It is not safe for concurrent use.
type Ledger struct {
	// bindings holds the claim that stands for each key.
	bindings map[string]bound
	// closures holds the closures read so far, by guard.
	closures map[uint64]closing
	next     int64
}

// New returns the ledger of an empty stream.
func New() *Ledger {
	return &Ledger{bindings: map[string]bound{}, closures: map[uint64]closing{}}
}

// Next returns the offset that the ledger needs next.
func (l *Ledger) Next() int64 { return l.next }

// SkipTo moves on to the earliest record kept. What was missed is older than the
// log's retention, and keys that old are refused.
func (l *Ledger) SkipTo(earliest int64) {
	l.next = max(l.next, earliest)
}

// Apply takes the record at an offset, appended at a Unix time in ms. Records
// below Next have been taken before and change nothing.
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

func (l *Ledger) claim(claim Claim, atMs int64) {
	if _, gone := l.closures[claim.Guard]; gone {
		return
	}
	state := l.Binding(claim.Key).State
	if state == StateUnclaimed || state == StateNeverRan {
		l.bindings[claim.Key] = bound{guard: claim.Guard, atMs: atMs}
	}
}

func (l *Ledger) close(closure Closure, atMs int64) {
	if _, known := l.closures[closure.Guard]; known {
		return
	}
	ran := make(map[string]RanKey, len(closure.Ran))
	for _, entry := range closure.Ran {
		ran[entry.Key] = entry
	}
	l.closures[closure.Guard] = closing{sinceMs: closure.SinceMs, ran: ran, atMs: atMs}
}

// Binding returns the standing of a caller's own key.
func (l *Ledger) Binding(key string) Binding {
	standing, ok := l.bindings[key]
	if !ok {
		return Binding{State: StateUnclaimed}
	}
	return l.BindingAt(standing.guard, key, standing.atMs)
}

// BindingAt returns the standing of a key that only the given guard may run and
// that did not exist before a Unix time in ms.
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

// Prune drops what was appended before a Unix time in ms.
func (l *Ledger) Prune(beforeMs int64) {
	for key, standing := range l.bindings {
		if standing.atMs < beforeMs {
			delete(l.bindings, key)
		}
	}
	for guard, closed := range l.closures {
		if closed.atMs < beforeMs {
			delete(l.closures, guard)
		}
	}
}

// Len counts the keys that are bound.
func (l *Ledger) Len() int { return len(l.bindings) }

// Errors of keys.
var (
	ErrKeyMalformed = eris.New("bound key is malformed")
	ErrKeyTime      = eris.New("key carries no time: send a UUIDv7 or the header Foxtailhall-Key-Time in Unix milliseconds")
	ErrKeyOld       = eris.New("key is older than keys are remembered")
	ErrKeyFuture    = eris.New("key's time lies in the future")
	ErrKeyTooLong   = eris.New("key is longer than 200 bytes")
)

const (
	boundPrefix = "fh1."
	boundParts  = 4
	// MaxKeyBytes bounds a key's length.
	MaxKeyBytes = 200
	// futureTolerance is how far ahead a key's time may lie.
	futureTolerance = time.Minute
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidTimeDigits  = 12
)

// BoundKey is a key issued by the system that only one guard may run.
type BoundKey struct {
	Guard    uint64
	IssuedMs int64
	Random   uint64
}

// String gives the key as callers send it.
func (k BoundKey) String() string {
	return boundPrefix + strings.Join([]string{
		strconv.FormatUint(k.Guard, 16),
		strconv.FormatInt(k.IssuedMs, 16),
		strconv.FormatUint(k.Random, 16),
	}, ".")
}

// IsBound tells the two kinds of keys apart by their form alone.
func IsBound(key string) bool {
	return strings.HasPrefix(key, boundPrefix)
}

// ParseBound reads a bound key.
func ParseBound(key string) (BoundKey, error) {
	parts := strings.Split(key, ".")
	if !IsBound(key) || len(parts) != boundParts {
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

// KeyTime returns the Unix time in ms of a caller's own key: the one given
// beside it, or that of a UUIDv7.
func KeyTime(key, given string) (int64, error) {
	if given != "" {
		at, err := strconv.ParseInt(given, 10, 64)
		if err != nil || at <= 0 {
			return 0, ErrKeyTime
		}
		return at, nil
	}
	if len(key) != uuidLength || key[uuidVersionAt] != '7' {
		return 0, ErrKeyTime
	}
	digits := strings.ReplaceAll(key, "-", "")
	if _, err := hex.DecodeString(digits); err != nil {
		return 0, ErrKeyTime
	}
	at, err := strconv.ParseInt(digits[:uuidTimeDigits], 16, 64)
	if err != nil {
		return 0, ErrKeyTime
	}
	return at, nil
}

// CheckAge refuses a key whose time is too old for its claim to be surely kept.
func CheckAge(nowMs, keyMs int64, lifetime time.Duration) error {
	age := time.Duration(nowMs-keyMs) * time.Millisecond
	if age > lifetime {
		return ErrKeyOld
	}
	if age < -futureTolerance {
		return ErrKeyFuture
	}
	return nil
}
