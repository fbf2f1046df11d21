package registrar

import (
	"hash/maphash"
	"strconv"
)

// State is the lifecycle state of a backend server.
type State uint8

// States of a backend server. StateUnreachable and StateGone are set by other
// processes of the fleet. All others are set by the server's guard, which runs in
// the process on the same VM.
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

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "State" + strconv.Itoa(int(s))
}

// Known reports whether s is one of the declared states.
func (s State) Known() bool { return int(s) < len(stateNames) }

// Healthy reports whether a server in this state counts as healthy capacity.
func (s State) Healthy() bool {
	return s == StateServing || s == StateSuspected
}

// Routable reports whether a server in this state may receive requests.
func (s State) Routable() bool {
	return s.Healthy() || s == StateProbation || s == StateStarting
}

// Live reports whether the process on the server's VM still takes part in the fleet.
func (s State) Live() bool {
	return s != StateUnreachable && s != StateGone
}

// Member is the roster entry of one process and the backend server on the same VM.
type Member struct {
	// Incarnation identifies one run of the process. Its high bits are the start
	// time, so that a later run at the same address has a higher incarnation.
	Incarnation uint64
	// Address is the IP:port for requests from other processes.
	Address string
	// HTTPAddress is the IP:port for callers' HTTP requests. It is empty once the process
	// has announced its end.
	HTTPAddress string
	Zone        string
	// Service is empty while no backend server has announced itself.
	Service string
	// Slots is the number of requests that the server handles concurrently.
	Slots uint32
	State State
	// Version rises with every change that the process makes to its own entry.
	Version uint64
}

// WithState returns the member with the given state.
func (m Member) WithState(state State) Member {
	m.State = state
	return m
}

// WithVersion returns the member with the given version.
func (m Member) WithVersion(version uint64) Member {
	m.Version = version
	return m
}

// Supersedes reports whether m replaces other, an entry of the same incarnation.
// At equal versions, a state set by other processes replaces one set by the guard.
func (m Member) Supersedes(other Member) bool {
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.peerVerdict() > other.peerVerdict()
}

// peerVerdict ranks the states that other processes set; all others rank 0.
func (m Member) peerVerdict() int {
	switch m.State {
	case StateUnreachable:
		return 1
	case StateGone:
		return 2
	default:
		return 0
	}
}

// fingerprint hashes the incarnation, the version and the state set by peers.
// Entries with equal fingerprints don't supersede each other.
func (m Member) fingerprint() uint64 {
	const (
		mixVersion = 0x9E3779B97F4A7C15
		mixState   = 0xC2B2AE3D27D4EB4F
	)
	sum := m.Incarnation ^ (m.Version+1)*mixVersion ^ uint64(m.peerVerdict()+1)*mixState
	sum ^= sum >> 33
	sum *= 0xFF51AFD7ED558CCD
	return sum ^ sum>>33
}

var seed = maphash.MakeSeed()

type incarnationHasher struct{}

// Hash returns the hash of an incarnation.
func (incarnationHasher) Hash(key uint64) uint32 {
	return uint32(maphash.Comparable(seed, key))
}

// Equal reports whether two incarnations are the same.
func (incarnationHasher) Equal(a, b uint64) bool { return a == b }
