// Package soaker runs soak tests: it starts the real program in several processes
// on loopback addresses, injects faults drawn from a seed, and checks the
// guarantees to callers and backend servers against what both observe.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/relayer"
	"github.com/foxtailhall/foxtailhall/standins/responder"
)

// Options configure one soak run.
type Options struct {
	Seed uint64
	// Duration is how long the callers run.
	Duration time.Duration
	VMs      int
	// Program is the path of the foxtailhall program.
	Program string
	// Folder receives the plan, settings, logs, verdict and report.
	Folder string
	// Quotas publishes the quotas of customers and checks them.
	Quotas bool
	// Calls makes servers send requests without a key while they run others.
	Calls bool
	// Plan lists the events to inject. If it is nil, one is drawn from Seed.
	Plan Plan
	// Network is the third octet of the loopback addresses. A run takes the next one if
	// another run on the machine uses it.
	Network int
}

// endedBySIGKILL reports whether the process was ended by SIGKILL, which the run itself
// sends. Any other error is a failure of the process.
func (o Options) endedBySIGKILL(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// Verdict holds the outcome of one run.
type Verdict struct {
	Plan Plan
	// Failures lists violated guarantees and errors of the run itself, one line each,
	// as "Name: details".
	Failures []string
	// Served (200), Refused (503 and 429) and Failed count requests by outcome.
	// UnknownVersion counts requests to a configuration version's own route that
	// got 404 because the VM had not applied that version, and Unauthorized those that got
	// 401 for a key that need not be accepted.
	Served, Refused, Failed, UnknownVersion, Unauthorized int
	// PropagationTime is the time from the acknowledgement of the last version until
	// a caller of each VM, the slowest included, sent a request that found it applied.
	PropagationTime time.Duration
}

const (
	// warmUp is the time between starting the fleet and starting the callers.
	warmUp = 3 * time.Second
	// minServedShare is the share of requests that must be served in the last part
	// of a run, when the fleet must have recovered from all faults.
	minServedShare = 0.9
)

// Run executes one plan under load, checks the guarantees and writes the report.
func Run(ctx context.Context, options Options) (Verdict, error) {
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return Verdict{}, fmt.Errorf("creating the output folder: %w", err)
	}
	plan := options.Plan
	if plan == nil {
		plan = NewPlan(options.Seed, options.Duration, options.VMs)
	}
	if err := os.WriteFile(filepath.Join(options.Folder, "plan.txt"), []byte(plan.String()), 0o600); err != nil {
		return Verdict{}, fmt.Errorf("writing the plan: %w", err)
	}
	options, err := options.claimNetwork()
	if err != nil {
		return Verdict{}, fmt.Errorf("choosing a network: %w", err)
	}
	c := newChecker()
	f := newFleet(options, c)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return Verdict{}, fmt.Errorf("starting the fleet: %w", err)
	}
	time.Sleep(warmUp)
	startTime := time.Now()
	callersDone := make(chan struct{})
	callersCtx, stopCallers := context.WithCancel(ctx)
	go func() {
		defer close(callersDone)
		f.runCallers(callersCtx)
	}()
	f.runPlan(ctx, plan, startTime)
	time.Sleep(time.Until(startTime.Add(options.Duration)))
	stopCallers()
	<-callersDone
	cancel()
	f.stop()
	c.check(f)
	c.checkLogs(options.Folder)
	c.checkRecovery(startTime.Add(time.Duration((1-recoveryShare/2)*float64(options.Duration))), startTime.Add(options.Duration))
	verdict := c.verdict(plan)
	propagationTime, everyVMSawIt := c.propagationTime(f)
	verdict.PropagationTime = propagationTime
	if options.Plan != nil && !everyVMSawIt {
		verdict.Failures = append(verdict.Failures, "ConfigurationInTime: the last version was not seen through all VMs")
	}
	if err := writeReport(options, verdict, c.answers, startTime); err != nil {
		return verdict, fmt.Errorf("writing the report: %w", err)
	}
	return verdict, nil
}

// checkRecovery checks that the fleet serves enough of the requests sent in the
// given period, after the last fault has ended.
func (c *checker) checkRecovery(from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, all := 0, 0
	for _, got := range c.answers {
		mayBeRefused := !got.Credential.lasting || got.Credential.limited && got.Status == http.StatusTooManyRequests
		if got.Sent.After(from) && got.Sent.Before(to) && !mayBeRefused {
			all++
			if got.Status == 200 {
				served++
			}
		}
	}
	if float64(served) < minServedShare*float64(all) || all == 0 {
		c.addViolationLocked("Recovery", fmt.Sprintf("%d of %d requests served after the last fault", served, all))
	}
}

// verdict counts the requests by outcome and lists the violated guarantees.
func (c *checker) verdict(plan Plan) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := Verdict{Plan: plan, Failures: c.failures}
	for _, got := range c.answers {
		switch {
		case got.Status == 200:
			verdict.Served++
		case got.Status == 503 || got.Status == 429:
			verdict.Refused++
		case got.Status == 404 && versionOf(got.Path) > 0:
			verdict.UnknownVersion++
		case got.Status == http.StatusUnauthorized && !got.Credential.lasting:
			verdict.Unauthorized++
		default:
			verdict.Failed++
		}
	}
	return verdict
}

// runPlan injects each event at its time and schedules its end.
func (f *fleet) runPlan(ctx context.Context, plan Plan, startTime time.Time) {
	for _, event := range plan {
		time.Sleep(time.Until(startTime.Add(event.At)))
		f.recordDisturbance(event)
		undo := f.inject(ctx, event)
		if undo != nil {
			time.AfterFunc(event.Length, undo)
		}
	}
}

// inject starts an event. The returned function ends it; it is nil for events
// without a duration.
func (f *fleet) inject(ctx context.Context, event Event) (undo func()) {
	v := f.vms[event.VM%len(f.vms)]
	switch event.Kind {
	case KindKill:
		v.kill()
	case KindPause:
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	case KindStop:
		v.signal(syscall.SIGTERM)
	case KindReload:
		v.signal(syscall.SIGHUP)
	case KindPublish:
		if err := f.publish(); err != nil {
			f.checker.addViolation("Publish", err.Error())
		}
	case KindDrain:
		go f.replaceServer(ctx, v)
	case KindLeaveAndKill:
		go f.leaveAndKill(ctx, v, event.Length)
	case KindSayLeaving:
		go f.sayLeavingAndKill(ctx, v, event.Length)
	case KindCutOneWay, KindCutBoth, KindReset, KindSilence, KindDelay:
		return f.injectLinkFault(event, v)
	case KindErrors, KindShed, KindSlow, KindLostAnswers, KindGarbled, KindNoHeartbeats:
		return f.injectServerFault(event, v)
	default:
		return f.injectStoreFault(event, v)
	}
	return nil
}

// injectLinkFault disturbs the traffic between a VM's process and its peers.
func (f *fleet) injectLinkFault(event Event, v *vm) (undo func()) {
	switch event.Kind {
	case KindReset:
		v.relay.Reset()
		return nil
	case KindSilence:
		if err := v.relay.Silence(); err != nil {
			f.checker.addViolation("Silence", err.Error())
		}
		return nil
	case KindDelay:
		v.relay.SetDelay(40 * time.Millisecond)
		return func() { v.relay.SetDelay(0) }
	}
	in := relayer.Cut{From: "any", To: v.ip}
	out := relayer.Cut{From: v.ip, To: "any"}
	v.relay.SetCut(in, true)
	v.relay.SetCut(out, event.Kind == KindCutBoth)
	return func() {
		v.relay.SetCut(in, false)
		v.relay.SetCut(out, false)
		v.relay.Reset()
	}
}

// injectServerFault makes a VM's backend server fail.
func (f *fleet) injectServerFault(event Event, v *vm) (undo func()) {
	v.mu.Lock()
	server := v.server
	v.mu.Unlock()
	fault := map[Kind]responder.Fault{
		KindErrors:       {ErrorShare: 0.7},
		KindShed:         {ShedShare: 0.6},
		KindSlow:         {SlowFactor: 8},
		KindLostAnswers:  {LostAnswerShare: 0.4},
		KindGarbled:      {GarbledShare: 0.4},
		KindNoHeartbeats: {NoHeartbeats: true},
	}[event.Kind]
	server.SetFault(fault)
	return func() { server.SetFault(responder.Fault{}) }
}

// Summary returns the request counts and the violated guarantees, one per line.
func (v Verdict) Summary() string {
	lines := []string{fmt.Sprintf("Served %d, refused %d, unauthorized %d, failed %d, events %d",
		v.Served, v.Refused, v.Unauthorized, v.Failed, len(v.Plan))}
	if len(v.Failures) == 0 {
		lines = append(lines, "All guarantees held")
	}
	lines = append(lines, v.Failures...)
	return strings.Join(lines, "\n") + "\n"
}
