package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/responder"
)

// answer records how one request of a caller ended.
type answer struct {
	ID string
	VM int
	// Status is the HTTP status, 0 if the connection ended without an answer.
	Status     int
	Idempotent bool
	Path       string
	Credential credential
	Sent       time.Time
	Ended      time.Time
	// SealMatches and BodyMatches report whether the seal and the body are those
	// that a backend server gives to this request.
	SealMatches bool
	BodyMatches bool
	// BodyRead reports whether the whole body was read without an error.
	BodyRead bool
	// Server is the ID of the server that answered, and SaysLeaving reports whether it says that
	// it leaves.
	Server      string
	SaysLeaving bool
	// Garbled reports whether the answer is one that the server garbled.
	Garbled bool
	// KeyShown reports whether the answer contains a customer's key.
	KeyShown bool
}

// checker records what callers and backend servers observe, and the violations of
// guarantees that follow from it.
type checker struct {
	mu sync.Mutex
	// runs holds the executions of each request by request ID.
	runs    map[string][]responder.Run
	answers []answer
	// failures describes violations, one line each, at most maxFailures per guarantee.
	failures []string
	// violations counts all violations by guarantee.
	violations map[string]int
	// leaving holds when each VM first passed on an answer which says that its server leaves, by
	// the ID of the server.
	leaving map[string]map[int]time.Time
}

// maxFailures is the number of failures that are kept per guarantee.
const maxFailures = 20

func newChecker() *checker {
	return &checker{runs: map[string][]responder.Run{}, violations: map[string]int{}, leaving: map[string]map[int]time.Time{}}
}

// recordRun records that a server started to execute a request, and checks that a
// non-idempotent request is executed at most once.
func (c *checker) recordRun(run responder.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[run.Request] = append(c.runs[run.Request], run)
	if !run.Idempotent && len(c.runs[run.Request]) > 1 {
		c.addViolationLocked("AtMostOnce", fmt.Sprintf("%s was executed at %s and at %s",
			run.Request, c.runs[run.Request][0].ServerID, run.ServerID))
	}
}

// addViolation records a violation of a guarantee.
func (c *checker) addViolation(guarantee, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(guarantee, detail)
}

// addViolationLocked is addViolation for callers that hold the lock.
func (c *checker) addViolationLocked(guarantee, detail string) {
	c.violations[guarantee]++
	if c.violations[guarantee] <= maxFailures {
		c.failures = append(c.failures, guarantee+": "+detail)
	}
}

// recordAnswer records what a caller received. A complete answer must not be garbled, and with
// status 200 must carry the seal and the body of the request.
func (c *checker) recordAnswer(got answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, got)
	if got.SaysLeaving {
		c.recordLeavingLocked(got)
	}
	if got.KeyShown {
		c.addViolationLocked("KeyInAnswer", fmt.Sprintf("%s: the answer contains a key", got.ID))
	}
	if got.Garbled && got.BodyRead {
		c.addViolationLocked("GarbledAnswer", fmt.Sprintf("%s: status %d from a garbled answer", got.ID, got.Status))
	}
	if got.Status == 200 && got.BodyRead && (!got.SealMatches || !got.BodyMatches) {
		c.addViolationLocked("WholeAnswer", fmt.Sprintf("%s: seal matches: %t, body matches: %t",
			got.ID, got.SealMatches, got.BodyMatches))
	}
}

// check verifies the guarantees that need the records of the whole run.
func (c *checker) check(f *fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, got := range c.answers {
		c.checkAnswer(f, got)
		c.checkCredential(f, got, c.runs[got.ID])
	}
	for _, server := range f.drainedServers() {
		c.checkDrained(server)
	}
	c.checkLeavingAnswers(f)
	c.checkVersions(f)
	c.checkRevocations(f)
	c.checkQuotas(f)
}

// checkAnswer compares an answer with the executions of its request. It checks that:
//   - a non-idempotent request reported as not executed was not executed;
//   - a request that reached a server got an answer, unless its VM's process crashed
//     at most a second before or after the exchange;
//   - the request carried the right caller service and reached the right service.
func (c *checker) checkAnswer(f *fleet, got answer) {
	runs := c.runs[got.ID]
	reportedNotRun := got.Status == 503 || got.Status == 429 || got.Status == 408 || got.Status == 421
	if reportedNotRun && !got.Idempotent && len(runs) > 0 {
		c.addViolationLocked("NotRunIsTrue", fmt.Sprintf("%s got status %d, but was executed at %s",
			got.ID, got.Status, runs[0].ServerID))
	}
	if got.Status == 0 && len(runs) > 0 && !f.vms[got.VM].crashedWithin(got.Sent.Add(-time.Second), got.Ended.Add(time.Second)) {
		c.addViolationLocked("NoAnswerCutOff", fmt.Sprintf("%s was forwarded by vm%d and got no answer", got.ID, got.VM))
	}
	for _, run := range runs {
		if want := f.vms[got.VM].service(); run.CallerService != want {
			c.addViolationLocked("Origin", fmt.Sprintf("%s was executed with caller service %q instead of %q",
				got.ID, run.CallerService, want))
		}
		if strings.HasPrefix(got.Path, "/write/") != (f.serviceOf(run.ServerID) == "writing") {
			c.addViolationLocked("Route", fmt.Sprintf("%s to %s was executed at %s", got.ID, got.Path, run.ServerID))
		}
	}
}

// maxDrainDelay is how long a server may still receive requests after its leave
// was acknowledged.
const maxDrainDelay = 2 * time.Second

// checkDrained checks that a drained server received no request later than
// maxDrainDelay after its leave was acknowledged.
func (c *checker) checkDrained(server *responder.Responder) {
	acknowledged := server.LeaveAcknowledged()
	if acknowledged.IsZero() {
		return
	}
	for id, runs := range c.runs {
		for _, run := range runs {
			if run.ServerID == server.ID() && run.At.After(acknowledged.Add(maxDrainDelay)) {
				c.addViolationLocked("NoWorkForALeavingServer", fmt.Sprintf("%s was executed at %s %s after its leave was acknowledged",
					id, server.ID(), run.At.Sub(acknowledged)))
			}
		}
	}
}

// drainedServers returns a copy of the list of drained servers.
func (f *fleet) drainedServers() []*responder.Responder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*responder.Responder(nil), f.drained...)
}

// serviceOf returns the service of a backend server by its instance ID, or "" if
// the ID is not one of this fleet.
func (f *fleet) serviceOf(server string) string {
	var index, run int
	if _, err := fmt.Sscanf(server, "i-%d-%d", &index, &run); err != nil || index >= len(f.vms) {
		return ""
	}
	return f.vms[index].service()
}
