package exempter

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"

	"github.com/rotisserie/eris"
)

// goPrefix starts a line that names a Go test, as "Go: ./proofs TestName".
const goPrefix = "Go:"

// goTest matches the rest of such a line. Subtests have no lines of their own, since go test does not tell whether
// a test failed by itself or by its subtest.
var goTest = regexp.MustCompile(`^(\./\S+) (Test\w*)$`)

var (
	errLine     = eris.New("line is not of the form \"Go: ./folder TestName\"")
	errRepeated = eris.New("test is listed twice")
)

// Test names a Go test.
type Test struct {
	// Package is the folder of the test's package, as "./proofs".
	Package string
	Name    string
}

// String returns the test as it stands in the list.
func (t Test) String() string { return t.Package + " " + t.Name }

// Read returns the Go tests that a list of known failures names, in the order of the file. A file that does not
// exist names none.
func Read(name string) ([]Test, error) {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("opening the list of known failures: %w", err)
	}
	defer func() { _ = file.Close() }()
	var tests []Test
	seen := map[Test]bool{}
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		rest, ok := strings.CutPrefix(lines.Text(), goPrefix)
		if !ok {
			continue
		}
		match := goTest.FindStringSubmatch(strings.TrimSpace(rest))
		if match == nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number, errLine)
		}
		test := Test{Package: match[1], Name: match[2]}
		if seen[test] {
			return nil, fmt.Errorf("%s:%d: %s: %w", name, number, test, errRepeated)
		}
		seen[test] = true
		tests = append(tests, test)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the list of known failures: %w", err)
	}
	return tests, nil
}
