package registrar

import (
	"hash/maphash"
	"strconv"
)

// State is the state of a backend server as its guard and the fleet see it.
type State uint8

// States of a backend server. Unreachable and Gone are judgements of other
// processes, the rest are the guard's own.
const (
	StateStarting State = iota
	StateServing
	StateSuspected
	StateEjected
	StateProbation
	StateLeaving
	StateUnreachable
	StateGone
)

var stateNames = [...]string{
	"Starting", "Serving", "Suspected", "Ejected", "Probation", "Leaving", "Unreachable", "Gone",
}

// String gives the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "State" + strconv.Itoa(int(s))
}

// Known tells whether the state is one of the named ones.
func (s State) Known() bool { return int(s) < len(stateNames) }

// Healthy tells whether a server in this state counts as healthy capacity.
func (s State) Healthy() bool {
	return s == StateServing || s == StateSuspected
}

// Routable tells whether a server in this state may be given work.
func (s State) Routable() bool {
	return s.Healthy() || s == StateProbation || s == StateStarting
}

// Live tells whether the process behind the server still takes part in the fleet.
func (s State) Live() bool {
	return s != StateUnreachable && s != StateGone
}

// Member is one process and the backend server beside it.
type Member struct {
	// Incarnation is unique to one run of the process. It starts with the time
	// of the start, so that a later run at the same address has a higher one.
	Incarnation uint64
	// Address is the IP:port for other processes.
	Address string
	// HTTPAddress is the IP:port for callers.
	HTTPAddress string
	Zone        string
	// Service is empty while no backend server has announced itself.
	Service string
	// Slots is the number of requests the server works on at once.
	Slots uint32
	State State
	// Version rises with every change that the process makes of its own entry.
	Version uint64
}

// WithState returns the member in another state.
func (m Member) WithState(state State) Member {
	m.State = state
	return m
}

// WithVersion returns the member under another version.
func (m Member) WithVersion(version uint64) Member {
	m.Version = version
	return m
}

// Supersedes tells whether the entry replaces another of the same incarnation.
// At equal versions a judgement of other processes replaces the guard's own state.
func (m Member) Supersedes(other Member) bool {
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.judgement() > other.judgement()
}

func (m Member) judgement() int {
	switch m.State {
	case StateUnreachable:
		return 1
	case StateGone:
		return 2
	default:
		return 0
	}
}

// fingerprint mixes what distinguishes two versions of an entry.
func (m Member) fingerprint() uint64 {
	const (
		mixVersion = 0x9E3779B97F4A7C15
		mixState   = 0xC2B2AE3D27D4EB4F
	)
	sum := m.Incarnation ^ (m.Version+1)*mixVersion ^ uint64(m.judgement()+1)*mixState
	sum ^= sum >> 33
	sum *= 0xFF51AFD7ED558CCD
	return sum ^ sum>>33
}

var seed = maphash.MakeSeed()

type incarnationHasher struct{}

// Hash spreads incarnations over the map's buckets.
func (incarnationHasher) Hash(key uint64) uint32 {
	return uint32(maphash.Comparable(seed, key))
}

// Equal compares two incarnations.
func (incarnationHasher) Equal(a, b uint64) bool { return a == b }
