package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/foxtailhall/foxtailhall/platform"
	"github.com/foxtailhall/foxtailhall/state/cataloger"
	"github.com/foxtailhall/foxtailhall/state/checker"
	"github.com/foxtailhall/foxtailhall/state/parser"
	"github.com/foxtailhall/foxtailhall/state/reviewer"
)

type fileArguments struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

type checkCommand struct {
	deps        *dependencies
	Settings    bool          `long:"settings" description:"The files are settings of processes, not configuration objects"`
	Platform    bool          `long:"platform" description:"The files are in the format of the users' platform, one file each"`
	Process     string        `long:"process-settings" description:"Settings of a process on the platform" value-name:"FILE"`
	InForce     []string      `long:"in-force" description:"File with the version in force; repeat for more" value-name:"FILE"`
	Admin       string        `long:"admin" description:"AdminAddress of a process with the version in force" value-name:"ADDRESS"`
	Change      bool          `long:"change" description:"The files hold a change of the version in force, not a whole set"`
	MemoryLimit int64         `long:"memory-limit" description:"Memory of a process, to compare limits with" value-name:"BYTES"`
	JSON        bool          `long:"json" description:"Print findings and differences as JSON"`
	Args        fileArguments `positional-args:"true"`
}

func addCheck(line *flags.Parser, deps *dependencies) error {
	return addCommand(line, "check", "Check configuration objects or settings before they are sent",
		"Checks the whole set of objects in all files together, prints every finding as file:line: field: reason, and "+
			"lists the differences from the version in force if that is given. "+
			"Exit code 1 means that there are findings, 2 that the check could not be made.",
		&checkCommand{deps: deps})
}

var (
	errInvalid    = eris.New("the files are not valid")
	errFindings   = eris.New("the check has findings")
	errNotChecked = eris.New("could not check")
	errOneInForce = eris.New("--in-force and --admin cannot both be given")
	errNoInForce  = eris.New("--change needs the version in force: --in-force or --admin")
	errNoShares   = eris.New("--platform with --admin needs --process-settings, whose shares are part of the objects")
	errOneFile    = eris.New("a configuration in the platform's format is one file")
)

// notChecked returns an error with the exit code that tells it from findings.
func notChecked(err error) error {
	return &exitError{code: ExitNotChecked, err: fmt.Errorf("%w: %w", errNotChecked, err)}
}

// Execute checks the files and fails if it has findings.
func (c *checkCommand) Execute([]string) error {
	if c.Settings {
		return c.checkSettings()
	}
	if err := c.validateOptions(); err != nil {
		return notChecked(err)
	}
	report, objects, err := c.check()
	if err != nil {
		return notChecked(err)
	}
	if err := report.write(c.deps, c.JSON, objects); err != nil {
		return notChecked(err)
	}
	if len(report.Findings) == 0 {
		return nil
	}
	if c.JSON {
		return fmt.Errorf("%w: %d", errFindings, len(report.Findings))
	}
	return fmt.Errorf("%w:\n%s", errFindings, report.findingLines())
}

func (c *checkCommand) validateOptions() error {
	switch {
	case len(c.InForce) > 0 && c.Admin != "":
		return errOneInForce
	case c.Change && len(c.InForce) == 0 && c.Admin == "":
		return errNoInForce
	case c.Platform && c.Admin != "" && c.Process == "":
		return errNoShares
	}
	return nil
}

// check returns the report on the candidate, and its objects.
func (c *checkCommand) check() (checkReport, cataloger.Objects, error) {
	report := checkReport{Findings: []checkFinding{}, Differences: []reviewer.Difference{}}
	inForce, given, err := c.versionInForce()
	if err != nil {
		return report, cataloger.Objects{}, fmt.Errorf("reading the version in force: %w", err)
	}
	parsed, faults, err := c.read(c.Args.Files)
	if err != nil {
		return report, cataloger.Objects{}, err
	}
	for _, fault := range faults {
		report.Findings = append(report.Findings, newCheckFinding(reviewer.ClassError, "", fault))
	}
	if len(faults) > 0 {
		return report, parsed.Objects, nil
	}
	base := cataloger.New()
	if c.Change {
		base = inForce
	}
	candidate := base.WithObjects(parsed.Objects)
	for _, finding := range reviewer.Review(candidate, c.MemoryLimit) {
		located := parsed.Locate([]cataloger.Fault{finding.Fault})[0]
		if c.Platform {
			located.File = c.Args.Files[0] + ": " + located.File
		}
		report.Findings = append(report.Findings, newCheckFinding(finding.Class, finding.Fault.Key.String(), located))
	}
	if given {
		report.Differences = append(report.Differences, reviewer.Differences(inForce, candidate)...)
	}
	return report, parsed.Objects, nil
}

// read reads a configuration. It returns the faults of texts that cannot be decoded, and an error if the texts
// cannot be read at all.
func (c *checkCommand) read(files []string) (parser.Parsed, checker.Faults, error) {
	sources, err := readSources(files)
	if err != nil {
		return parser.Parsed{}, nil, err
	}
	if c.Platform {
		return c.readPlatform(sources)
	}
	parsed, err := c.deps.parser.Parse(sources...)
	var faults checker.Faults
	if err != nil && !errors.As(err, &faults) {
		return parser.Parsed{}, nil, fmt.Errorf("parsing: %w", err)
	}
	return parsed, faults, nil
}

// readPlatform reads a configuration in the platform's format.
func (c *checkCommand) readPlatform(sources []parser.Source) (parser.Parsed, checker.Faults, error) {
	if len(sources) != 1 {
		return parser.Parsed{}, nil, errOneFile
	}
	decoder := platform.Decoder{}
	if c.Process != "" {
		settings, err := c.deps.loader.Load(c.Process)
		if err != nil {
			return parser.Parsed{}, nil, fmt.Errorf("reading the settings of a process: %w", err)
		}
		decoder.FloorShare, decoder.RetryShare = settings.FloorShare, settings.RetryShare
	}
	_, objects, err := decoder.Decode(sources[0].Text)
	if err != nil {
		return parser.Parsed{}, checker.Faults{platformFault(sources[0], err)}, nil
	}
	return parser.Parsed{Objects: objects}, nil, nil
}

// platformFault returns the place that an error of the platform's format names. Its lines are known for syntax errors
// only.
func platformFault(source parser.Source, err error) checker.Fault {
	fault := checker.Fault{File: source.File, Reason: err.Error()}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		fault.Line = 1 + bytes.Count(source.Text[:min(int(syntax.Offset), len(source.Text))], []byte("\n"))
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		fault.Field = wrongType.Field
	}
	return fault
}

// versionInForce returns the version in force and reports whether it is given.
func (c *checkCommand) versionInForce() (inForce cataloger.Catalog, given bool, err error) {
	inForce = cataloger.New()
	var parsed parser.Parsed
	switch {
	case c.Admin != "":
		_, _, text, err := fetchObjects(context.Background(), c.Admin)
		if err != nil {
			return inForce, false, err
		}
		parsed, err = c.deps.parser.Parse(parser.Source{File: c.Admin, Text: []byte(text)})
		if err != nil {
			return inForce, false, fmt.Errorf("parsing: %w", err)
		}
	case len(c.InForce) > 0:
		var faults checker.Faults
		parsed, faults, err = c.read(c.InForce)
		if err != nil {
			return inForce, false, err
		}
		if len(faults) > 0 {
			return inForce, false, faults
		}
	default:
		return inForce, false, nil
	}
	return inForce.WithObjects(parsed.Objects), true, nil
}

func (c *checkCommand) checkSettings() error {
	var faults checker.Faults
	for _, file := range c.Args.Files {
		_, err := c.deps.loader.Load(file)
		var found checker.Faults
		switch {
		case errors.As(err, &found):
			faults = append(faults, found...)
		case err != nil:
			return notChecked(err)
		}
	}
	if len(faults) > 0 {
		return fmt.Errorf("%w:\n%w", errInvalid, faults)
	}
	if _, err := fmt.Fprintf(c.deps.stdout, "Valid Settings=%d\n", len(c.Args.Files)); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

// checkReport is what the check command prints.
type checkReport struct {
	Findings    []checkFinding        `json:"Findings"`
	Differences []reviewer.Difference `json:"Differences"`
}

// checkFinding is a finding and its place in the files.
type checkFinding struct {
	Class reviewer.Class `json:"Class"`
	File  string         `json:"File"`
	// Line is 0 if the finding can't be attributed to a line.
	Line int `json:"Line,omitempty"`
	// Object is empty for a text that can't be decoded.
	Object string `json:"Object,omitempty"`
	Field  string `json:"Field,omitempty"`
	Reason string `json:"Reason"`
}

func newCheckFinding(class reviewer.Class, object string, fault checker.Fault) checkFinding {
	return checkFinding{
		Class: class, File: fault.File, Line: fault.Line, Object: object, Field: fault.Field, Reason: fault.Reason,
	}
}

func (r checkReport) findingLines() string {
	lines := make([]string, 0, len(r.Findings))
	for _, finding := range r.Findings {
		fault := checker.Fault{File: finding.File, Line: finding.Line, Field: finding.Field, Reason: finding.Reason}
		lines = append(lines, fmt.Sprintf("%s (%s)", fault.Error(), finding.Class))
	}
	return strings.Join(lines, "\n")
}

// write prints the report to standard output, but for findings as text, which are the error of the command.
func (r checkReport) write(deps *dependencies, asJSON bool, objects cataloger.Objects) error {
	if asJSON {
		encoder := json.NewEncoder(deps.stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return fmt.Errorf("printing: %w", err)
		}
		return nil
	}
	var text strings.Builder
	for _, difference := range r.Differences {
		_, _ = fmt.Fprintln(&text, difference)
	}
	if len(r.Findings) == 0 {
		_, _ = fmt.Fprintf(&text, "Valid Services=%d BackendServers=%d Routes=%d Policies=%d\n",
			len(objects.Services), len(objects.Servers), len(objects.Routes), len(objects.Policies))
	}
	if _, err := fmt.Fprint(deps.stdout, text.String()); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

func readSources(files []string) ([]parser.Source, error) {
	sources := make([]parser.Source, 0, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("reading objects: %w", err)
		}
		sources = append(sources, parser.Source{File: file, Text: text})
	}
	return sources, nil
}
