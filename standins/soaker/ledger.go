package soaker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/tenant"
)

// answer is how one request of a caller ended.
type answer struct {
	ID string
	VM int
	// Status is 0 if the connection ended without an answer.
	Status   int
	Repeat   bool
	Path     string
	Sent     time.Time
	Ended    time.Time
	Proven   bool
	Whole    bool
	Complete bool
}

// ledger holds what callers and servers saw, and what was broken.
type ledger struct {
	mu      sync.Mutex
	runs    map[string][]tenant.Run
	answers []answer
	// failures are broken promises, each a line.
	failures []string
	// recent bounds failures of one kind that are kept.
	recent map[string]int
}

// maxFailures bounds the failures of one promise that are kept.
const maxFailures = 20

func newLedger() *ledger {
	return &ledger{runs: map[string][]tenant.Run{}, recent: map[string]int{}}
}

// ran notes that a request began to run, and checks that it may.
func (l *ledger) ran(run tenant.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run.Request] = append(l.runs[run.Request], run)
	if !run.Repeat && len(l.runs[run.Request]) > 1 {
		l.broken("AtMostOnce", fmt.Sprintf("%s ran at %s and %s", run.Request, l.runs[run.Request][0].Server, run.Server))
	}
}

func (l *ledger) fail(promise, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken(promise, what)
}

func (l *ledger) broken(promise, what string) {
	l.recent[promise]++
	if l.recent[promise] <= maxFailures {
		l.failures = append(l.failures, promise+": "+what)
	}
}

// answered notes what a caller got, and checks that it is true and whole.
func (l *ledger) answered(got answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, got)
	if got.Status == 200 && got.Complete && (!got.Proven || !got.Whole) {
		l.broken("WholeAnswer", fmt.Sprintf("%s: proven %t, whole %t", got.ID, got.Proven, got.Whole))
	}
}

// check looks for broken promises that show only over time.
func (l *ledger) check(f *fleet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, got := range l.answers {
		l.checkAnswer(f, got)
	}
	for _, server := range f.left() {
		l.checkLeft(server)
	}
	l.checkVersions(f)
}

func (l *ledger) checkAnswer(f *fleet, got answer) {
	runs := l.runs[got.ID]
	promisesNotRun := got.Status == 503 || got.Status == 429 || got.Status == 408 || got.Status == 421
	if promisesNotRun && !got.Repeat && len(runs) > 0 {
		l.broken("NotRunIsTrue", fmt.Sprintf("%s got %d and ran at %s", got.ID, got.Status, runs[0].Server))
	}
	if got.Status == 0 && len(runs) > 0 && !f.vms[got.VM].killedWithin(got.Sent.Add(-time.Second), got.Ended.Add(time.Second)) {
		l.broken("NoAnswerCutOff", fmt.Sprintf("%s was passed on by vm%d and got no answer", got.ID, got.VM))
	}
	for _, run := range runs {
		if want := f.vms[got.VM].service(); run.Origin != want {
			l.broken("Origin", fmt.Sprintf("%s ran for %q, it began beside %q", got.ID, run.Origin, want))
		}
		if strings.HasPrefix(got.Path, "/write/") != (f.serviceOf(run.Server) == "writing") {
			l.broken("Route", fmt.Sprintf("%s to %s ran at %s", got.ID, got.Path, run.Server))
		}
	}
}

// drainBound is how long after its acknowledgement a leaving server may get work.
const drainBound = 2 * time.Second

func (l *ledger) checkLeft(server *tenant.Tenant) {
	left := server.Left()
	if left.IsZero() {
		return
	}
	for id, runs := range l.runs {
		for _, run := range runs {
			if run.Server == server.ID() && run.At.After(left.Add(drainBound)) {
				l.broken("NoWorkForALeavingServer", fmt.Sprintf("%s ran at %s %s after its leaving was acknowledged",
					id, server.ID(), run.At.Sub(left)))
			}
		}
	}
}

func (f *fleet) left() []*tenant.Tenant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*tenant.Tenant(nil), f.retired...)
}

func (f *fleet) serviceOf(server string) string {
	var index, run int
	if _, err := fmt.Sscanf(server, "i-%d-%d", &index, &run); err != nil || index >= len(f.vms) {
		return ""
	}
	return f.vms[index].service()
}
