// Package interpreter defines how the process reads and writes the HTTP headers of
// its callers and of its backend server. Each supported protocol implements
// Callers and Servers.
package interpreter

import (
	"bytes"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
)

// RequestOptions holds the options of a request that a caller sets in headers.
type RequestOptions struct {
	// ID identifies the request in answers and logs; empty if the caller sent none.
	ID string
	// Timeout is how long the caller waits after the request has arrived; 0 if it sent none.
	Timeout time.Duration
	// Idempotent and NonIdempotent override the settings of the route. At most one is true.
	Idempotent    bool
	NonIdempotent bool
	// Key is an idempotency key. KeyTime is the unparsed time at which a caller
	// created its own key.
	Key     string
	KeyTime string
}

// Refusal describes an answer that the system gives in place of a backend server.
type Refusal struct {
	// ID is the ID of the request.
	ID      string
	Outcome answerer.Outcome
	// Reason gives the reason in one word.
	Reason string
	// RetryAfter is the time after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
}

// Callers reads and writes the headers that callers send and receive.
type Callers struct {
	// Read returns the options of a request, or an error that names the malformed header.
	Read func(header *protocol.RequestHeader) (RequestOptions, error)
	// Strips reports whether a header, given in lower case, is not forwarded to backend servers.
	Strips func(lower string) bool
	// Annotate adds the system's headers to an answer of a backend server.
	Annotate func(header *protocol.ResponseHeader, id string, repeated bool)
	// AnnotateRefusal adds the system's headers to an answer of the system itself.
	AnnotateRefusal func(header *protocol.ResponseHeader, refusal Refusal)
}

// RequestInfo holds what a backend server is told about a request.
type RequestInfo struct {
	// ID is the caller's ID of the request.
	ID string
	// TimeLeft is the time left until the deadline. DeadlineMs is the deadline as Unix time in ms.
	TimeLeft   time.Duration
	DeadlineMs int64
	// Instance is the ID of the server instance that the request is meant for. Other
	// instances must refuse it.
	Instance string
	// Origin is the service of the VM where the request entered the fleet.
	Origin string
	// Customer is the name of the customer that sent the request, empty if none.
	Customer string
}

// AnswerInfo holds what the headers of a backend server's answer say.
type AnswerInfo struct {
	// NotRun means that the server declares that it did not run the request and never will.
	NotRun bool
	// OtherInstance means that another server instance now has the address. NotRun is then true as well.
	OtherInstance bool
	// IDMismatch means that the answer has the ID of another request.
	IDMismatch bool
	// IDEchoed means that the answer has the ID of the request.
	IDEchoed bool
	// Unproven means that a successful answer lacks the proof that the server itself produced
	// it, or a refusal the proof that it is of this request and not of an earlier one.
	Unproven bool
	// IdleTimeout is how long the server keeps an idle connection; 0 if it doesn't say.
	IdleTimeout time.Duration
	// Limit is the number of requests a second that the server takes from all processes
	// together, if Limited is set. It applies until an answer names another one or none.
	Limit   float64
	Limited bool
	// Leaving means that the server is shutting down.
	Leaving bool
}

// Servers writes and reads the headers that backend servers receive and send.
type Servers struct {
	// Annotate adds the system's headers to a request.
	Annotate func(header *protocol.RequestHeader, info RequestInfo)
	// Inspect reads the headers of an answer to the request with the given info.
	Inspect func(header *protocol.ResponseHeader, info RequestInfo) AnswerInfo
}

// Single returns the value of a header, "" without it, and whether there is no other value of it.
func Single(header *protocol.ResponseHeader, name string) (value string, ok bool) {
	values := header.PeekAll(name)
	if len(values) == 0 {
		return "", true
	}
	for _, other := range values[1:] {
		if !bytes.Equal(other, values[0]) {
			return string(values[0]), false
		}
	}
	return string(values[0]), true
}
