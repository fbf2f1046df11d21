package gossiper

import "github.com/foxtailhall/foxtailhall/state/registrar"

// Message is what two processes tell each other.
type Message struct {
	Sender  registrar.Member
	Changes []registrar.Member
	// Digest is that of the sender's whole roster.
	Digest uint64
	// ConfigVersion is the version in force at the sender.
	ConfigVersion uint64
	// Full marks a message that holds all entries that the receiver lacks.
	Full bool
	// WantFull asks for all entries whose fingerprints are not in Known.
	WantFull bool
	Known    []uint64
}

// Ping is a message to send, whose reply goes to Acked or whose lack goes to Failed.
type Ping struct {
	Address string
	// Incarnation is 0 for a seed address whose process is not known.
	Incarnation uint64
	Message     Message
}

// Relay asks a member to ping another on this process's behalf.
type Relay struct {
	Via    registrar.Member
	Target registrar.Member
}
