// Package interpreter names what the process reads from and writes into the
// header fields of its callers and of its backend server. Each interface that
// the process speaks supplies its own functions.
package interpreter

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/foxtailhall/foxtailhall/protocol/answerer"
)

// RequestOptions are what a caller's header fields say of its request.
type RequestOptions struct {
	// ID names the request in answers and logs; empty if the caller gave none.
	ID string
	// Timeout is how long the caller waits from the request's arrival; 0 if it did not say.
	Timeout time.Duration
	// Idempotent and NonIdempotent go before the route's own mark. Never both.
	Idempotent    bool
	NonIdempotent bool
	// Key is an idempotency key, and KeyTime the text of the time at which a caller made its own.
	Key     string
	KeyTime string
}

// Refusal is what the system says of a request that it answers itself.
type Refusal struct {
	ID      string
	Outcome answerer.Outcome
	// Reason says why, in one word.
	Reason string
	// RetryAfter is when a repeat may succeed; 0 says nothing about it.
	RetryAfter time.Duration
}

// Callers speaks with callers.
type Callers struct {
	// Read returns the marks of a request, or an error that names the malformed field.
	Read func(header *protocol.RequestHeader) (RequestOptions, error)
	// Strips tells whether a field, given in lower case, is not passed on to backend servers.
	Strips func(lower string) bool
	// Annotate adds the system's fields to a backend server's own answer.
	Annotate func(header *protocol.ResponseHeader, id string, repeated bool)
	// AnnotateRefusal adds the system's fields to an answer of its own.
	AnnotateRefusal func(header *protocol.ResponseHeader, word Refusal)
}

// RequestInfo is what a backend server is told of a request.
type RequestInfo struct {
	// ID is the caller's name of the request.
	ID string
	// TimeLeft is the time left to the deadline, and DeadlineMs the same as Unix time in ms.
	TimeLeft   time.Duration
	DeadlineMs int64
	// Instance is the run of the backend server that is meant; another must refuse.
	Instance string
	// Origin is the service of the VM on which the request began.
	Origin string
}

// AnswerInfo is what the header fields of a backend server's answer show.
type AnswerInfo struct {
	// NotRun means that the server says that it has not run the request and never will.
	NotRun bool
	// OtherInstance means that another run of a server has the address. NotRun is set as well.
	OtherInstance bool
	// IDMismatch means that the answer belongs to another request.
	IDMismatch bool
	// IDEchoed means that the answer names the request that it belongs to.
	IDEchoed bool
	// Unsealed means that a successful answer lacks the server's own proof of origin.
	Unsealed bool
	// IdleTimeout is how long the server keeps the connection; 0 if it did not say.
	IdleTimeout time.Duration
}

// Servers speaks with backend servers.
type Servers struct {
	// Annotate adds the system's fields to a request.
	Annotate func(header *protocol.RequestHeader, offer RequestInfo)
	// Inspect reads the fields of an answer.
	Inspect func(header *protocol.ResponseHeader, offer RequestInfo) AnswerInfo
}
