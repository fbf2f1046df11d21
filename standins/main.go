// Command standins runs the programs that stand in for external systems in tests and
// in the demo: backend servers, the platform's log, callers and a network with faults. It
// also runs measurements and soak tests, and writes their reports.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/jessevdk/go-flags"

	"github.com/foxtailhall/foxtailhall/standins/caller"
	"github.com/foxtailhall/foxtailhall/standins/measurer"
	"github.com/foxtailhall/foxtailhall/standins/recorder"
	"github.com/foxtailhall/foxtailhall/standins/relayer"
	"github.com/foxtailhall/foxtailhall/standins/reporter"
	"github.com/foxtailhall/foxtailhall/standins/tabulator"
	"github.com/foxtailhall/foxtailhall/standins/worker"
	"github.com/foxtailhall/foxtailhall/transport/guard"
)

type logCommand struct {
	Address   string        `long:"address" required:"true" description:"IP:port to listen on"`
	Retention time.Duration `long:"retention" default:"1h" description:"How long records are kept"`
	Appends   int           `long:"appends" default:"400" description:"Appends a second above which they are refused"`
}

// Execute runs the log until it fails.
func (c *logCommand) Execute([]string) error {
	return recorder.New(c.Address, recorder.Options{Retention: c.Retention, AppendsPerSecond: c.Appends}).Run()
}

type serverCommand struct {
	Address       string        `long:"address" required:"true" description:"IP:port to listen on"`
	Admin         string        `long:"admin" description:"AdminAddress of the process beside"`
	BackendServer string        `long:"backend-server" description:"Name of the BackendServer object"`
	Name          string        `long:"name" default:"server" description:"Name in answers and journal"`
	Slots         int           `long:"slots" default:"4" description:"Requests worked on at once"`
	Latency       time.Duration `long:"latency" default:"20ms" description:"Median service time"`
	Spread        float64       `long:"spread" default:"0.3" description:"Standard deviation of ln of service time"`
	ColdTime      time.Duration `long:"cold-time" description:"How long the server is slow after its start"`
	ColdFactor    float64       `long:"cold-factor" default:"3" description:"How slow it is then"`
	Journal       string        `long:"journal" description:"File for a line per request that starts to run"`
}

// Execute runs the backend server until SIGTERM or SIGINT, then announces its leave to
// the guard.
func (c *serverCommand) Execute([]string) error {
	server, err := worker.New(c.Address, worker.Options{
		Name: c.Name, Slots: c.Slots, Latency: c.Latency, Spread: c.Spread,
		ColdTime: c.ColdTime, ColdFactor: c.ColdFactor, Journal: c.Journal,
	})
	if err != nil {
		return err
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Run() }()
	if c.Admin == "" {
		return <-serveErr
	}
	announcer := worker.NewAnnouncer(c.Admin, guard.Announcement{
		BackendServer: c.BackendServer,
		Address:       c.Address,
		Run:           strconv.FormatInt(time.Now().UnixNano(), 16),
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go announcer.Run(ctx)
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return announcer.Leave()
	}
}

type platformPageCommand struct {
	Notes string `long:"notes" description:"File with notes to put at the end"`
	Args  struct {
		Journal string `positional-arg-name:"JOURNAL" required:"true"`
	} `positional-args:"yes"`
}

// Execute writes the results of the benchmark of the users' platform, which are read from the
// journal, to standard output as Markdown.
func (c *platformPageCommand) Execute([]string) error {
	entries, err := tabulator.Read(c.Args.Journal)
	if err != nil {
		return err
	}
	notes := ""
	if c.Notes != "" {
		content, err := os.ReadFile(c.Notes)
		if err != nil {
			return err
		}
		notes = string(content)
	}
	return tabulator.Write(os.Stdout, entries, notes)
}

type callersCommand struct {
	Targets   []string      `long:"target" required:"true" description:"CallerAddress of a process; repeat for more"`
	Rate      float64       `long:"rate" default:"100" description:"Operations a second"`
	Duration  time.Duration `long:"duration" default:"10s" description:"Length of the load"`
	Timeout   time.Duration `long:"patience" default:"1s" description:"Time after which an answer is late"`
	Bill      float64       `long:"bill" description:"Share of non-idempotent operations without a key"`
	OwnKey    float64       `long:"own-key" description:"Share of non-idempotent operations with the caller's own key"`
	BoundKey  float64       `long:"bound-key" description:"Share of non-idempotent operations with a bound key"`
	Upload    float64       `long:"upload" description:"Share of long uploads"`
	Download  float64       `long:"download" description:"Share of long downloads"`
	LongBytes int           `long:"long-bytes" default:"4194304" description:"Length of long bodies"`
	ReadPath  string        `long:"read-path" default:"/sheets" description:"Path of reads and downloads"`
	WritePath string        `long:"write-path" default:"/billing" description:"Path of the other operations"`
	Repeats   int           `long:"repeats" default:"3" description:"Repeats of a keyed operation whose fate is open"`
	Out       string        `long:"out" description:"File for a JSON line per operation"`
	Customers []string      `long:"customer" description:"NAME=KEY of a customer; repeat for more" value-name:"NAME=KEY"`
	Quiet     bool          `long:"quiet" description:"Show no progress"`
}

// Execute runs the callers and prints a summary of their results.
func (c *callersCommand) Execute([]string) error {
	options := caller.Options{
		Targets: c.Targets, Rate: c.Rate, Duration: c.Duration, Timeout: c.Timeout,
		LongBytes: c.LongBytes, Repeats: c.Repeats,
		Shares: map[caller.Kind]float64{
			caller.KindBill: c.Bill, caller.KindOwnKey: c.OwnKey, caller.KindBoundKey: c.BoundKey,
			caller.KindUpload: c.Upload, caller.KindDownload: c.Download,
		},
		Paths: map[caller.Kind]string{
			caller.KindRead: c.ReadPath, caller.KindDownload: c.ReadPath,
			caller.KindBill: c.WritePath, caller.KindOwnKey: c.WritePath,
			caller.KindBoundKey: c.WritePath, caller.KindUpload: c.WritePath,
		},
	}
	options.Customers = map[string]string{}
	for _, pair := range c.Customers {
		name, key, _ := strings.Cut(pair, "=")
		options.Customers[name] = key
	}
	if !c.Quiet {
		options.Progress = os.Stdout
	}
	if c.Out != "" {
		out, err := os.Create(c.Out)
		if err != nil {
			return fmt.Errorf("creating the results file: %w", err)
		}
		defer func() { _ = out.Close() }()
		options.Out = out
	}
	summary := caller.New(options).Run(context.Background())
	fmt.Printf("Sent=%d Whole=%d Late=%d Wrong=%d Failed=%d NotRun=%d Unknown=%d Ran=%d Lost=%d P50Ms=%.2f P99Ms=%.2f\n",
		summary.Sent, summary.Results[caller.ResultWhole], summary.Results[caller.ResultLate],
		summary.Results[caller.ResultWrong], summary.Results[caller.ResultFailed], summary.Results[caller.ResultNotRun],
		summary.Results[caller.ResultUnknown], summary.Results[caller.ResultRan], summary.Results[caller.ResultLost],
		float64(summary.Latencies.ValueAtQuantile(50))/1000, float64(summary.Latencies.ValueAtQuantile(99))/1000)
	return nil
}

type relayCommand struct {
	Listen  string `long:"listen" required:"true" description:"IP:port to listen on"`
	Target  string `long:"target" required:"true" description:"IP:port to relay to"`
	Control string `long:"control" required:"true" description:"IP:port for commands"`
}

// Execute runs the relay and accepts commands for it until its listener fails.
func (c *relayCommand) Execute([]string) error {
	relay := relayer.New(c.Listen, c.Target)
	go func() { _ = relay.Control(c.Control) }()
	return relay.Run()
}

type measureCommand struct {
	Sets  []string `long:"set" description:"Set of figures to measure; repeat for more, all by default"`
	Scale int      `long:"scale" default:"1" description:"Multiplies the number of worlds of each figure"`
	Out   string   `long:"out" description:"File for the figures, beside the standard output"`
}

// Execute measures the decisions of the proxy in simulated time and prints one line
// per figure.
func (c *measureCommand) Execute([]string) error {
	var out io.Writer = os.Stdout
	if c.Out != "" {
		file, err := os.Create(c.Out)
		if err != nil {
			return fmt.Errorf("creating the figures file: %w", err)
		}
		defer func() { _ = file.Close() }()
		out = io.MultiWriter(os.Stdout, file)
	}
	sets := c.Sets
	if len(sets) == 0 {
		sets = measurer.Sets()
	}
	for _, set := range sets {
		if !measurer.New(out, c.Scale).Run(set) {
			return fmt.Errorf("unknown set of figures %q; known sets: %v", set, measurer.Sets())
		}
	}
	return nil
}

type pageCommand struct {
	Notes string `long:"notes" required:"true" description:"Markdown file that the tables follow"`
	Args  struct {
		Figures []string `positional-arg-name:"FIGURES" required:"1"`
	} `positional-args:"true"`
}

// Execute prints the notes, followed by tables of the figures from all files.
func (c *pageCommand) Execute([]string) error {
	notes, err := os.ReadFile(c.Notes)
	if err != nil {
		return fmt.Errorf("reading the notes: %w", err)
	}
	page := measurer.NewPage()
	for _, name := range c.Args.Figures {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("opening the figures: %w", err)
		}
		err = page.Read(file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	fmt.Print(string(notes))
	return page.Write(os.Stdout)
}

type reportCommand struct {
	Results  string `long:"results" required:"true" description:"File that callers wrote"`
	Journals string `long:"journals" required:"true" description:"Pattern of the servers' journals"`
}

var errViolated = errors.New("a guarantee was violated")

// Execute prints the report and fails if a guarantee was violated.
func (c *reportCommand) Execute([]string) error {
	report, err := reporter.Load(c.Results, c.Journals)
	if err != nil {
		return err
	}
	fmt.Printf("Operations whole / late / wrong      %d / %d / %d\n",
		report.LastResults[caller.ResultWhole], report.LastResults[caller.ResultLate], len(report.Wrong))
	fmt.Printf("Told NotRun / Unknown / Ran          %d / %d / %d\n",
		report.LastResults[caller.ResultNotRun], report.LastResults[caller.ResultUnknown], report.LastResults[caller.ResultRan])
	fmt.Printf("Server errors / broken connections   %d / %d\n",
		report.LastResults[caller.ResultFailed], report.LastResults[caller.ResultLost])
	fmt.Printf("Non-idempotent run more than once    %d\n", len(report.RanMoreThanOnce))
	fmt.Printf("Told NotRun, but run                 %d\n", len(report.FalseNotRun))
	fmt.Printf("Answered, but not run                %d\n", len(report.AnsweredWithoutRun))
	if report.HasViolations() {
		return fmt.Errorf("%w: run more than once %v, told NotRun but run %v, wrong answers %v, answered but not run %v",
			errViolated, report.RanMoreThanOnce, report.FalseNotRun, report.Wrong, report.AnsweredWithoutRun)
	}
	return nil
}

func main() {
	hlog.SetLevel(hlog.LevelFatal)
	hlog.SetSilentMode(true)
	parser := flags.NewNamedParser("standins", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		data        any
	}{
		{"log", "Run the platform's log", &logCommand{}},
		{"server", "Run a backend server", &serverCommand{}},
		{"callers", "Run callers that generate load", &callersCommand{}},
		{"relay", "Run a relay with one-way cuts", &relayCommand{}},
		{"soak", "Run a fleet on a simulated platform under load and faults drawn from seeds", &soakCommand{}},
		{"build", "Build the program as the deploy file says", &buildCommand{}},
		{"test", "Run the Go tests and exempt the known failures", &testCommand{}},
		{"patterns", "Play patterns of load on the decisions of routers and guards", &patternsCommand{}},
		{"demo", "Run a fleet on a simulated platform through a gray server, a kill, a store outage and a new version", &demoCommand{}},
		{"measure", "Measure the decisions of the proxy in simulated time", &measureCommand{}},
		{"page", "Write figures as Markdown tables", &pageCommand{}},
		{"platform-page", "Write the benchmark results in the journal as Markdown tables", &platformPageCommand{}},
		{"report", "Check callers' results against servers' journals", &reportCommand{}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.short, command.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
