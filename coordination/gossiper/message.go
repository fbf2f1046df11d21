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
	// Full marks a message that holds the whole roster.
	Full bool
	// WantFull asks for the whole roster in the reply.
	WantFull bool
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
