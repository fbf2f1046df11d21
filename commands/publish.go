package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/coordination/publisher"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/checker"
	"github.com/foxtailhall/foxtailhall/state/parser"
	"github.com/foxtailhall/foxtailhall/transport/appender"
)

const (
	// readRetryPause is the pause before the log is read again.
	readRetryPause = 200 * time.Millisecond
	// decisionWait is how long one read waits for the published record to appear.
	decisionWait = 200 * time.Millisecond
)

type publishCommand struct {
	deps     *dependencies
	Log      string        `long:"log" description:"IP:port of the platform's log" required:"true" value-name:"ADDRESS"`
	Admin    string        `long:"admin" description:"IP:port of a process's AdminAddress, for a lost head" value-name:"ADDRESS"`
	Base     int64         `long:"base" description:"Version that the change is based on" default:"-1" value-name:"VERSION"`
	Remove   []string      `long:"remove" description:"Object to remove, as Kind/Name" value-name:"KEY"`
	Operator string        `long:"operator" description:"Name for the logs" value-name:"NAME"`
	Patience time.Duration `long:"patience" description:"How long to wait for the log" default:"15s" value-name:"DURATION"`
	Args     struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

func addPublish(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "publish", "Check a change and publish it",
		"Checks the objects against the newest version, appends them to the log, and reports whether they came into force. "+
			"Exit code 3 means that the change is void, 4 that its outcome is unknown.",
		&publishCommand{deps: deps})
}

var (
	errNoChange       = eris.New("neither files nor objects to remove are given")
	errVoid           = eris.New("publication is void")
	errOutcomeUnknown = eris.New("it is unknown whether the publication is in force; " +
		"publish the same change again with the same --base, which is safe")
	errNoHead = eris.New("the log no longer holds the newest version; name a process that has it with --admin")
)

// Execute publishes the change and reports whether it is in force.
func (c *publishCommand) Execute([]string) error {
	if len(c.Args.Files) == 0 && len(c.Remove) == 0 {
		return &exitError{code: ExitUsage, err: errNoChange}
	}
	log := appender.New(c.Log)
	ctx, cancel := context.WithTimeout(context.Background(), c.Patience)
	defer cancel()
	head, err := c.readHead(ctx, log)
	if err != nil {
		return fmt.Errorf("reading the newest version: %w", err)
	}
	record, err := c.record(head.Catalog())
	if err != nil {
		return fmt.Errorf("checking the change: %w", err)
	}
	return c.publish(ctx, log, head, record)
}

// readHead replays all records that the log keeps and returns the state with the
// newest version. If the log is too short for that, it asks a process.
func (c *publishCommand) readHead(ctx context.Context, log *appender.Appender) (publisher.State, error) {
	state := publisher.New(c.deps.parser)
	for {
		batch, err := log.Read(ctx, appender.StreamConfiguration, state.Next(), 0)
		if err != nil {
			if !pause(ctx, readRetryPause) {
				return state, fmt.Errorf("waiting for the log: %w", err)
			}
			continue
		}
		state, _ = applyBatch(state, batch, "")
		if state.Next() < batch.End {
			continue
		}
		if state.Exact() {
			return state, nil
		}
		return c.headFromProcess(ctx, state)
	}
}

// headFromProcess adds the version in force at the process that --admin names.
func (c *publishCommand) headFromProcess(ctx context.Context, state publisher.State) (publisher.State, error) {
	if c.Admin == "" {
		return state, errNoHead
	}
	version, asOf, objects, err := fetchObjects(ctx, c.Admin)
	if err != nil {
		return state, fmt.Errorf("fetching the version of a process: %w", err)
	}
	next, err := state.WithPeerVersion(version, asOf, "", objects)
	if err != nil {
		return state, fmt.Errorf("adopting the version of a process: %w", err)
	}
	return next, nil
}

// applyBatch applies a batch of log records to the state. It returns the decision on
// the first record with the given id, or nil if there is none.
func applyBatch(state publisher.State, batch appender.Batch, id string) (publisher.State, *publisher.Decision) {
	state = state.WithEarliest(batch.Earliest)
	var found *publisher.Decision
	for _, entry := range batch.Entries {
		var record publisher.Record
		if err := json.Unmarshal(entry.Data, &record); err != nil {
			record = publisher.Record{}
		}
		next, decision := state.WithRecord(entry.Offset, record)
		state = next
		if id != "" && record.ID == id && !record.Snapshot && found == nil {
			found = &decision
		}
	}
	return state, found
}

// record builds the record of the publication and checks the change against
// head, the newest version.
func (c *publishCommand) record(head cataloger.Catalog) (publisher.Record, error) {
	sources, err := readSources(c.Args.Files)
	if err != nil {
		return publisher.Record{}, err
	}
	parsed, err := c.deps.parser.Parse(sources...)
	if err != nil {
		return publisher.Record{}, fmt.Errorf("%w:\n%w", errInvalid, err)
	}
	remove, err := parseKeys(c.Remove)
	if err != nil {
		return publisher.Record{}, err
	}
	changed := head.WithoutObjects(remove).WithObjects(parsed.Objects)
	if faults := changed.ChangeFaults(parsed.Objects, remove); len(faults) > 0 {
		return publisher.Record{}, fmt.Errorf("%w:\n%w", errInvalid, parsed.Locate(faults))
	}
	text, err := parser.Format(parsed.Objects)
	if err != nil {
		return publisher.Record{}, fmt.Errorf("encoding the objects: %w", err)
	}
	record := publisher.Record{
		ID:       strconv.FormatUint(rand.Uint64(), 16) + strconv.FormatUint(rand.Uint64(), 16),
		Base:     head.Version(),
		Objects:  text,
		Remove:   remove,
		Operator: c.Operator,
	}
	if c.Base >= 0 {
		record.Base = uint64(c.Base)
	}
	return record, nil
}

func parseKeys(names []string) ([]cataloger.Key, error) {
	keys := make([]cataloger.Key, 0, len(names))
	for _, text := range names {
		kind, name, ok := strings.Cut(text, "/")
		if !ok || name == "" {
			return nil, checker.Faults{{File: "--remove", Reason: fmt.Sprintf("%q is not of the form Kind/Name", text)}}
		}
		keys = append(keys, cataloger.Key{Kind: cataloger.Kind(kind), Name: name})
	}
	return keys, nil
}

// publish appends the record and reads the log until it finds the decision on it.
func (c *publishCommand) publish(
	ctx context.Context, log *appender.Appender, state publisher.State, record publisher.Record,
) error {
	data, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encoding the publication: %w", err)
	}
	_, appendErr := log.Append(ctx, appender.StreamConfiguration, data)
	if errors.Is(appendErr, appender.ErrRefused) {
		return &exitError{code: ExitFailed, err: fmt.Errorf("publishing: %w", appendErr)}
	}
	if appendErr != nil {
		_, _ = fmt.Fprintf(c.deps.stderr, "The log did not confirm the append (%v); reading it for the publication.\n", appendErr)
	}
	for {
		batch, err := log.Read(ctx, appender.StreamConfiguration, state.Next(), decisionWait)
		if err == nil {
			next, decision := applyBatch(state, batch, record.ID)
			state = next
			if decision != nil {
				return c.reportDecision(record, *decision)
			}
		}
		if !pause(ctx, readRetryPause) {
			return &exitError{code: ExitUnknown, err: errOutcomeUnknown}
		}
	}
}

func (c *publishCommand) reportDecision(record publisher.Record, decision publisher.Decision) error {
	if decision.Verdict != publisher.VerdictAccepted {
		err := fmt.Errorf("%w: %s", errVoid, decision.Reason)
		return &exitError{code: ExitVoid, err: err}
	}
	_, err := fmt.Fprintf(c.deps.stdout, "Accepted Version=%d Publication=%s\n", decision.Version, record.ID)
	if err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

// pause waits for d and reports whether the context is still active.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
