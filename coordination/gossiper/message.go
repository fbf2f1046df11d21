package gossiper

import (
	"time"

	"github.com/foxtailhall/foxtailhall/coordination/warner"
	"github.com/foxtailhall/foxtailhall/coordination/witness"
	"github.com/foxtailhall/foxtailhall/state/registrar"
)

// Message is a gossip message, sent as a ping or as the reply to one.
type Message struct {
	Sender  registrar.Member
	Changes []registrar.Member
	// Digest is the digest of the sender's whole roster.
	Digest uint64
	// ConfigVersion is the version in force at the sender.
	ConfigVersion uint64
	// Confirmed is the age of the last successful read of the configuration's source
	// that the sender knows of, negative if it knows of none.
	Confirmed time.Duration
	// ZoneConfirmed is the same of reads by members of the sender's availability zone. It is
	// negative in messages to other zones.
	ZoneConfirmed time.Duration
	// Era is the latest era of the source's data that the sender knows of, 0 for none.
	Era uint64
	// EraAge is the time since a process saw the era rise, negative if the sender knows of none.
	EraAge time.Duration
	// Full is set if Changes holds all entries that the receiver lacks.
	Full bool
	// WantFull asks for all entries whose fingerprints are not in Known.
	WantFull bool
	Known    []uint64
	// Warnings are about failing servers.
	Warnings []warner.Warning
	// Own is what the sender's backend server said of itself, and Heard what the receiver may
	// not know that its own one did.
	Own, Heard witness.Statement
}

// Ping is a message to send. Its reply is passed to Acked, and a missing reply to Failed.
type Ping struct {
	Address string
	// Incarnation is 0 for a seed address whose process is not known.
	Incarnation uint64
	Message     Message
}

// Relay asks the member Via to ping the member Target on this process's behalf.
type Relay struct {
	Via    registrar.Member
	Target registrar.Member
}
