// Package answerer defines the outcomes that foxtailhall reports to callers, and
// the HTTP headers that it exchanges with callers and backend servers.
package answerer

import "strconv"

// Outcome says whether a request ran, as far as the system knows.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the answer comes from the backend server.
	OutcomeAnswered
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
	// OutcomeRan means that an earlier request with the same key ran, but its answer is not kept.
	OutcomeRan
)

var outcomeNames = [...]string{"Unknown", "Answered", "NotRun", "Ran"}

// String returns the name of the outcome in HeaderOutcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "Outcome" + strconv.Itoa(int(o))
}

// Headers that callers send.
const (
	// HeaderDeadline is the time in ms that the caller waits for an answer.
	HeaderDeadline = "Foxtailhall-Deadline-Ms"
	// HeaderIdempotent is true or false. It overrides the setting of the route.
	HeaderIdempotent = "Foxtailhall-Idempotent"
	// HeaderKey is an idempotency key: one fetched from PathKey, or the caller's own.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyTime is the Unix time in ms at which the caller created its own key.
	HeaderKeyTime = "Foxtailhall-Key-Time"
	// HeaderRequestID is the ID of the request, which the answer repeats. It is
	// generated if the caller sends none.
	HeaderRequestID = "Foxtailhall-Request-Id"
)

// Headers that callers read.
const (
	// HeaderOutcome names the outcome.
	HeaderOutcome = "Foxtailhall-Outcome"
	// HeaderReason gives the reason for the outcome in a few words.
	HeaderReason = "Foxtailhall-Reason"
	// HeaderRepeated marks an answer kept from an earlier request with the same key.
	HeaderRepeated = "Foxtailhall-Repeated"
)

// HeaderServerDeadline is sent to backend servers. It is the Unix time in ms after
// which no one waits for the answer.
const HeaderServerDeadline = "Foxtailhall-Deadline"

// HeaderCustomer is sent to backend servers. It names the customer that sent the request.
const HeaderCustomer = "Foxtailhall-Customer"

// PathKey is the path from which callers fetch keys bound to a server. The query
// parameter Path gives the path of the request that the key is for.
const PathKey = "/.foxtailhall/key"
