// Package soaker runs the real programs as separate processes on loopback,
// strikes them with faults drawn from a seed, and checks the promises from what
// callers and backend servers see.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/foxtailhall/foxtailhall/standins/relayer"
	"github.com/foxtailhall/foxtailhall/standins/storer"
	"github.com/foxtailhall/foxtailhall/standins/tenant"
)

// Options describe one run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	// Program is the path of the foxtailhall program.
	Program string
	// Folder takes plan, settings, logs, verdict and report.
	Folder string
	// Plan is what strikes; one is drawn from the seed if there is none.
	Plan Plan
	// Network is the third number of the loopback addresses.
	Network int
}

// expected tells whether a process ended by the run's own signals.
func (o Options) expected(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// Verdict is the outcome of one run.
type Verdict struct {
	Plan     Plan
	Failures []string
	// Served, Refused and Failed count the requests by their ends, Early those
	// for a version that was not in force yet.
	Served, Refused, Failed, Early int
	// Spread is how long the last version took until a caller of each VM saw it.
	Spread time.Duration
}

const (
	// warmUp is how long the fleet may take to serve before the load starts.
	warmUp = 3 * time.Second
	// leastServed is the share of requests that the calm end of a run must serve.
	leastServed = 0.9
)

// Run plays one plan and writes its report.
func Run(ctx context.Context, options Options) (Verdict, error) {
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return Verdict{}, fmt.Errorf("making the folder: %w", err)
	}
	plan := options.Plan
	if plan == nil {
		plan = NewPlan(options.Seed, options.Duration, options.VMs)
	}
	if err := os.WriteFile(filepath.Join(options.Folder, "plan.txt"), []byte(plan.String()), 0o600); err != nil {
		return Verdict{}, fmt.Errorf("writing the plan: %w", err)
	}
	book := newLedger()
	f := newFleet(options, book)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return Verdict{}, fmt.Errorf("starting the fleet: %w", err)
	}
	time.Sleep(warmUp)
	began := time.Now()
	loaded := make(chan struct{})
	loadCtx, endLoad := context.WithCancel(ctx)
	go func() {
		defer close(loaded)
		f.load(loadCtx)
	}()
	f.play(ctx, plan, began)
	time.Sleep(time.Until(began.Add(options.Duration)))
	endLoad()
	<-loaded
	cancel()
	f.stop()
	book.check(f)
	book.checkRecovery(began.Add(time.Duration((1-calmShare/2)*float64(options.Duration))), began.Add(options.Duration))
	verdict := book.verdict(plan)
	spread, whole := book.spread(f)
	verdict.Spread = spread
	if options.Plan != nil && !whole {
		verdict.Failures = append(verdict.Failures, "ConfigurationInTime: the last version was not seen through all VMs")
	}
	if err := writeReport(options, verdict, book.answers, began); err != nil {
		return verdict, fmt.Errorf("writing the report: %w", err)
	}
	return verdict, nil
}

// checkRecovery checks that the calm end of a run is served.
func (l *ledger) checkRecovery(from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, all := 0, 0
	for _, got := range l.answers {
		if got.Sent.After(from) && got.Sent.Before(to) {
			all++
			if got.Status == 200 {
				served++
			}
		}
	}
	if float64(served) < leastServed*float64(all) || all == 0 {
		l.broken("Recovery", fmt.Sprintf("%d of %d requests served at the calm end", served, all))
	}
}

func (l *ledger) verdict(plan Plan) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := Verdict{Plan: plan, Failures: l.failures}
	for _, got := range l.answers {
		switch {
		case got.Status == 200:
			verdict.Served++
		case got.Status == 503 || got.Status == 429:
			verdict.Refused++
		case got.Status == 404 && versionOf(got.Path) > 0:
			verdict.Early++
		default:
			verdict.Failed++
		}
	}
	return verdict
}

// play strikes each event at its time and undoes it when it is over.
func (f *fleet) play(ctx context.Context, plan Plan, began time.Time) {
	for _, event := range plan {
		time.Sleep(time.Until(began.Add(event.At)))
		f.noteDisturbance(event)
		undo := f.strike(ctx, event)
		if undo != nil {
			time.AfterFunc(event.Lasts, undo)
		}
	}
}

// strike begins an event and returns what ends it.
func (f *fleet) strike(ctx context.Context, event Event) (undo func()) {
	v := f.vms[event.VM]
	switch event.Kind {
	case KindKill:
		v.noteKill()
		v.signal(syscall.SIGKILL)
	case KindPause:
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	case KindStop:
		v.signal(syscall.SIGTERM)
	case KindReload:
		v.signal(syscall.SIGHUP)
	case KindPublish:
		if err := f.publish(); err != nil {
			f.ledger.fail("Publish", err.Error())
		}
	case KindDrain:
		go f.replaceTenant(ctx, v)
	case KindCutOneWay, KindCutBoth, KindReset, KindDelay:
		return f.strikeLinks(event, v)
	case KindErrors, KindShed, KindSlow, KindLostAnswers, KindMute:
		return f.strikeServer(event, v)
	default:
		return f.strikeStore(event, v)
	}
	return nil
}

func (f *fleet) strikeLinks(event Event, v *vm) (undo func()) {
	switch event.Kind {
	case KindReset:
		v.relay.Reset()
		return nil
	case KindDelay:
		v.relay.SetDelay(40 * time.Millisecond)
		return func() { v.relay.SetDelay(0) }
	}
	in := relayer.Cut{From: "any", To: v.ip}
	out := relayer.Cut{From: v.ip, To: "any"}
	v.relay.Set(in, true)
	v.relay.Set(out, event.Kind == KindCutBoth)
	return func() {
		v.relay.Set(in, false)
		v.relay.Set(out, false)
		v.relay.Reset()
	}
}

func (f *fleet) strikeServer(event Event, v *vm) (undo func()) {
	v.mu.Lock()
	server := v.tenant
	v.mu.Unlock()
	fault := map[Kind]tenant.Fault{
		KindErrors:      {ErrorShare: 0.7},
		KindShed:        {ShedShare: 0.6},
		KindSlow:        {Factor: 8},
		KindLostAnswers: {CutShare: 0.4},
		KindMute:        {Mute: true},
	}[event.Kind]
	server.SetFault(fault)
	return func() { server.SetFault(tenant.Fault{}) }
}

func (f *fleet) strikeStore(event Event, v *vm) (undo func()) {
	switch event.Kind {
	case KindStoreForget:
		f.store.Forget("keyed.op")
		f.store.Forget("keyed.members")
		return nil
	case KindStoreDown:
		f.store.SetFault(storer.Fault{Down: true})
	case KindStoreSilent:
		f.store.SetFault(storer.Fault{Silent: true})
	case KindStoreSlow:
		f.store.SetFault(storer.Fault{Slow: 300 * time.Millisecond})
	case KindStoreLossy:
		f.store.SetFault(storer.Fault{LoseShare: 0.5})
	case KindStoreRefuse:
		f.store.SetFault(storer.Fault{Refused: map[string]bool{v.ip: true}})
	}
	return func() { f.store.SetFault(storer.Fault{}) }
}

// Summary gives the verdict in a few lines.
func (v Verdict) Summary() string {
	lines := []string{fmt.Sprintf("Served %d, refused %d, failed %d, events %d", v.Served, v.Refused, v.Failed, len(v.Plan))}
	if len(v.Failures) == 0 {
		lines = append(lines, "Every promise was kept")
	}
	lines = append(lines, v.Failures...)
	return strings.Join(lines, "\n") + "\n"
}
