// Package reporter compares the results that callers received with the requests that backend servers
// ran.
package reporter

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/foxtailhall/foxtailhall/standins/caller"
)

// Report is the result of the comparison for one load.
type Report struct {
	// LastResults counts the operations by their last result.
	LastResults map[caller.Result]int
	// Operations counts the operations by kind.
	Operations map[caller.Kind]int
	// RanMoreThanOnce holds non-idempotent operations that ran more than once.
	RanMoreThanOnce []string
	// FalseNotRun holds operations that ran although every result was NotRun.
	FalseNotRun []string
	// Wrong holds operations that received an incomplete response or that of another operation.
	Wrong []string
	// AnsweredWithoutRun holds operations with a complete response that no server ran.
	AnsweredWithoutRun []string
}

// HasViolations reports whether any guarantee to callers was violated.
func (r Report) HasViolations() bool {
	return len(r.RanMoreThanOnce)+len(r.FalseNotRun)+len(r.Wrong)+len(r.AnsweredWithoutRun) > 0
}

// maxLineBytes is the longest line accepted in results and journals.
const maxLineBytes = 1 << 20

// Load reads the callers' results and all servers' journals whose paths match a pattern.
func Load(results, journals string) (Report, error) {
	runs, err := loadRuns(journals)
	if err != nil {
		return Report{}, err
	}
	report := Report{LastResults: map[caller.Result]int{}, Operations: map[caller.Kind]int{}}
	err = eachLine(results, func(line string) error {
		var op caller.Operation
		if err := json.Unmarshal([]byte(line), &op); err != nil {
			return fmt.Errorf("decoding %q: %w", line, err)
		}
		report = report.with(op, runs[op.Key])
		return nil
	})
	if err != nil {
		return Report{}, err
	}
	return report, nil
}

// with returns the report extended by one operation that ran the given number of times.
func (r Report) with(op caller.Operation, runs int) Report {
	r.Operations[op.Kind]++
	r.LastResults[op.Results[len(op.Results)-1]]++
	idempotent := op.Kind == caller.KindRead || op.Kind == caller.KindDownload
	if !idempotent && runs > 1 {
		r.RanMoreThanOnce = append(r.RanMoreThanOnce, op.Key)
	}
	if allEqual(op.Results, caller.ResultNotRun) && runs > 0 {
		r.FalseNotRun = append(r.FalseNotRun, op.Key)
	}
	if slices.Contains(op.Results, caller.ResultWrong) {
		r.Wrong = append(r.Wrong, op.Key)
	}
	if slices.Contains(op.Results, caller.ResultWhole) && runs == 0 {
		r.AnsweredWithoutRun = append(r.AnsweredWithoutRun, op.Key)
	}
	return r
}

func allEqual(results []caller.Result, want caller.Result) bool {
	return !slices.ContainsFunc(results, func(result caller.Result) bool { return result != want })
}

func loadRuns(pattern string) (map[string]int, error) {
	files, err := filepath.Glob(pattern)
	if err != nil {
		return nil, fmt.Errorf("finding journals: %w", err)
	}
	runs := map[string]int{}
	for _, file := range files {
		err := eachLine(file, func(line string) error {
			key, _, _ := strings.Cut(line, " ")
			runs[key]++
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

func eachLine(file string, handle func(string) error) error {
	opened, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("opening results or journal: %w", err)
	}
	defer func() { _ = opened.Close() }()
	lines := bufio.NewScanner(opened)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if err := handle(lines.Text()); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("reading %s: %w", file, err)
	}
	return nil
}
