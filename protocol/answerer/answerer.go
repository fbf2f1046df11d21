// Package answerer defines what callers and backend servers read in the HTTP
// headers that foxtailhall adds, and the outcomes that it reports.
package answerer

import "strconv"

// Outcome is what the system says of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the answer is the backend server's own.
	OutcomeAnswered
	// OutcomeNotRun means that the request has not run and never will.
	OutcomeNotRun
	// OutcomeRan means that an earlier request with the same key ran and its answer is not kept.
	OutcomeRan
)

var outcomeNames = [...]string{"Unknown", "Answered", "NotRun", "Ran"}

// String gives the name of the outcome as callers read it.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "Outcome" + strconv.Itoa(int(o))
}

// Headers that callers send.
const (
	// HeaderDeadline is the caller's patience in milliseconds.
	HeaderDeadline = "Foxtailhall-Deadline-Ms"
	// HeaderIdempotent is true or false and goes before the route's own mark.
	HeaderIdempotent = "Foxtailhall-Idempotent"
	// HeaderKey is a bound key or the caller's own key.
	HeaderKey = "Idempotency-Key"
	// HeaderKeyTime is the Unix time in ms at which the caller made its own key.
	HeaderKeyTime = "Foxtailhall-Key-Time"
	// HeaderRequestID is repeated in the answer; one is made if it is missing.
	HeaderRequestID = "Foxtailhall-Request-Id"
)

// Headers that callers read.
const (
	// HeaderOutcome names the outcome.
	HeaderOutcome = "Foxtailhall-Outcome"
	// HeaderReason says why, in a few words.
	HeaderReason = "Foxtailhall-Reason"
	// HeaderRepeated marks the kept answer of an earlier request with the same key.
	HeaderRepeated = "Foxtailhall-Repeated"
)

// HeaderServerDeadline is sent to backend servers: a Unix time in ms after
// which nobody waits for the answer.
const HeaderServerDeadline = "Foxtailhall-Deadline"

// PathKey is where callers fetch bound keys, with the path of the later
// request in the query parameter Path.
const PathKey = "/.foxtailhall/key"
