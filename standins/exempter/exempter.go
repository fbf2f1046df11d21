// Package exempter runs the Go tests of a module and exempts those that a list of known failures names. Each listed
// test runs in a go test of its own, and the rest of its package without it, so that a listed test hides no other
// failure, whatever it does to its process.
package exempter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Options configure a run of the tests.
type Options struct {
	// Folder is the root of the module.
	Folder string
	// Listed are the tests whose failures are exempt.
	Listed []Test
	// Apart is the folder of a package that runs after all others and is not taken from go test's cache, as
	// "./proofs"; "" means none.
	Apart string
	// Timeout is go test's time limit for each package.
	Timeout string
}

// Result is the outcome of a listed test.
type Result string

// Results of listed tests.
const (
	ResultPassed  Result = "passed"
	ResultFailed  Result = "failed"
	ResultSkipped Result = "skipped"
	// ResultMissing means that the test did not start: it does not exist or its package does not build.
	ResultMissing Result = "did not run: no such test, or its package does not build"
	// ResultOutside means that the test passed and its package failed, for example in TestMain.
	ResultOutside Result = "passed, but its package failed"
)

// exempt reports whether CI passes with the result.
func (r Result) exempt() bool {
	return r == ResultPassed || r == ResultFailed || r == ResultSkipped
}

var errTests = eris.New("tests failed that the list of known failures does not exempt")

// Run runs all tests of the module, the listed ones first, and writes their output to out. It returns an error if
// any test fails that is not listed, or if a listed one does not run. Its last lines are go test's lines of the
// packages.
func Run(ctx context.Context, out io.Writer, options Options) error {
	failed := false
	for _, test := range options.Listed {
		result, output := options.runListed(ctx, test)
		_, _ = fmt.Fprintf(out, "%sListed in the known failures: %s %s\n", output, test, result)
		failed = failed || !result.exempt()
	}
	calls, err := options.unlistedCalls(ctx)
	if err != nil {
		return err
	}
	for _, call := range calls {
		command := options.command(ctx, call...)
		command.Stdout, command.Stderr = out, out
		if err := command.Run(); err != nil {
			failed = true
		}
	}
	if failed {
		return errTests
	}
	return nil
}

func (o Options) command(ctx context.Context, args ...string) *exec.Cmd {
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = o.Folder
	return command
}

// unlistedCalls returns the arguments of the go commands that run all tests but the listed ones: one for the
// packages without listed tests, and one for each of the others.
func (o Options) unlistedCalls(ctx context.Context) ([][]string, error) {
	listed := map[string][]string{}
	for _, test := range o.Listed {
		listed[test.Package] = append(listed[test.Package], test.Name)
	}
	all, err := o.packages(ctx, "./...")
	if err != nil {
		return nil, err
	}
	var calls [][]string
	folders := make([]string, 0, len(listed)+1)
	for folder := range listed {
		folders = append(folders, folder)
	}
	if o.Apart != "" && listed[o.Apart] == nil {
		folders = append(folders, o.Apart)
	}
	slices.Sort(folders)
	for _, folder := range folders {
		own, err := o.packages(ctx, folder)
		if err != nil {
			return nil, err
		}
		all = slices.DeleteFunc(all, func(name string) bool { return slices.Contains(own, name) })
		calls = append(calls, o.unlistedCall(folder, listed[folder]))
	}
	slices.SortStableFunc(calls, func(a, b []string) int { return o.place(a) - o.place(b) })
	if len(all) > 0 {
		calls = slices.Insert(calls, 0, append([]string{"test", "-timeout", o.Timeout}, all...))
	}
	return calls, nil
}

func (o Options) unlistedCall(folder string, listed []string) []string {
	call := []string{"test", "-timeout", o.Timeout}
	if folder == o.Apart {
		call = append(call, "-count=1")
	}
	if len(listed) > 0 {
		call = append(call, "-skip", "^("+strings.Join(listed, "|")+")$")
	}
	return append(call, folder)
}

// place returns 1 for the call of the package that runs apart, which is the last one, and else 0.
func (o Options) place(call []string) int {
	if call[len(call)-1] == o.Apart {
		return 1
	}
	return 0
}

// packages returns the import paths of the packages that match a pattern.
func (o Options) packages(ctx context.Context, pattern string) ([]string, error) {
	output, err := o.command(ctx, "list", pattern).Output()
	if err != nil {
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			err = fmt.Errorf("%w: %s", err, bytes.TrimSpace(exit.Stderr))
		}
		return nil, fmt.Errorf("listing the packages %s: %w", pattern, err)
	}
	return strings.Fields(string(output)), nil
}

// event is a line that go test -json writes.
type event struct {
	Action string
	Test   string
	Output string
}

// runListed runs one test without the others of its package, and returns its result and output.
func (o Options) runListed(ctx context.Context, test Test) (Result, string) {
	command := o.command(ctx, "test", "-json", "-count=1", "-timeout", o.Timeout, "-run", "^"+test.Name+"$", test.Package)
	written, err := command.CombinedOutput()
	var output strings.Builder
	result := ResultMissing
	for line := range bytes.Lines(written) {
		var e event
		if json.Unmarshal(line, &e) != nil {
			// go test writes errors of the build beside its events.
			_, _ = output.Write(line)
			continue
		}
		if e.Test != "" || e.Action == "build-output" {
			_, _ = output.WriteString(e.Output)
		}
		if e.Test == test.Name {
			result = result.after(e.Action)
		}
	}
	if err != nil && (result == ResultPassed || result == ResultSkipped) {
		result = ResultOutside
	}
	return result, output.String()
}

// after returns the result that follows from an event of the test. A test that starts and does not end has failed.
func (r Result) after(action string) Result {
	switch action {
	case "run", "fail":
		return ResultFailed
	case "pass":
		return ResultPassed
	case "skip":
		return ResultSkipped
	}
	return r
}
