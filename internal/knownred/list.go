// Package knownred reads the list of known failures, KNOWN-RED.txt, and tells whether its tests still fail as it says.
// It mends nothing and decides nothing about tests that the list doesn't name.
package knownred

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// benchName is what stands in place of a test's name where a bench fails. Such an entry is printed and never run.
const benchName = "Bench"

// Errors of a line that can't be read.
var (
	ErrForm      = errors.New("want NAME: COMMAND; [seed N;] seen \"TEXT\"; [note TEXT;] issue N")
	ErrName      = errors.New("the name is neither a test's (TestName or TestName/case) nor " + benchName)
	ErrCommand   = errors.New("the command of a test is 'go test', with what it needs in the environment in front")
	ErrField     = errors.New("unknown or repeated field")
	ErrSeen      = errors.New("seen has no quoted text")
	ErrIssue     = errors.New("issue has no number")
	ErrDuplicate = errors.New("the test is listed already")
)

// An Entry is one known failure.
type Entry struct {
	Line    int    // in the list, from 1
	Test    string // as go test prints it, with its sub-case; empty for a bench
	Command string // brings the failure
	Seed    string // empty where the command says it or none is needed
	Seen    string // part of what the failure prints
	Issue   int
}

var (
	testName  = regexp.MustCompile(`^Test[A-Za-z0-9_]*(/\S+)?$`)
	goTest    = regexp.MustCompile(`^([A-Z_]+=\S+ )*go test `)
	separator = regexp.MustCompile(`; (seed |seen |note |issue )`)
)

// Parse reads a list. Empty lines and lines that begin with # are passed over; the error names each line that can't be
// read and what is wrong with it.
func Parse(list io.Reader) ([]Entry, error) {
	var entries []Entry
	var faults []error
	lineOf := map[string]int{}
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseLine(line)
		if earlier := lineOf[entry.Test]; err == nil && entry.Test != "" && earlier != 0 {
			err = fmt.Errorf("%w, in line %d", ErrDuplicate, earlier)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("line %d: %w: %s", number, err, line))
			continue
		}
		entry.Line = number
		lineOf[entry.Test] = number
		entries = append(entries, entry)
	}
	return entries, errors.Join(append(faults, lines.Err())...)
}

func parseLine(line string) (Entry, error) {
	name, rest, found := strings.Cut(line, ": ")
	if !found {
		return Entry{}, ErrForm
	}
	var entry Entry
	switch {
	case testName.MatchString(name):
		entry.Test = name
	case name != benchName:
		return Entry{}, ErrName
	}
	starts := separator.FindAllStringIndex(rest, -1)
	if len(starts) == 0 {
		return Entry{}, ErrForm
	}
	entry.Command = rest[:starts[0][0]]
	if entry.Test != "" && !goTest.MatchString(entry.Command) {
		return Entry{}, ErrCommand
	}
	fields := map[string]string{}
	for i, start := range starts {
		end := len(rest)
		if i+1 < len(starts) {
			end = starts[i+1][0]
		}
		key, value, _ := strings.Cut(rest[start[0]+len("; "):end], " ")
		if _, twice := fields[key]; twice {
			return Entry{}, fmt.Errorf("%w: %s", ErrField, key)
		}
		fields[key] = strings.TrimSpace(value)
	}
	return entry.withFields(fields)
}

func (e Entry) withFields(fields map[string]string) (Entry, error) {
	var err error
	if e.Seen, err = strconv.Unquote(fields["seen"]); err != nil || e.Seen == "" {
		return Entry{}, ErrSeen
	}
	if e.Issue, err = strconv.Atoi(fields["issue"]); err != nil || e.Issue <= 0 {
		return Entry{}, ErrIssue
	}
	e.Seed = fields["seed"]
	return e, nil
}

// SkipPattern is what go test -skip takes to pass over just the listed cases; empty where no test is listed.
func SkipPattern(entries []Entry) string {
	var patterns []string
	for _, entry := range entries {
		if entry.Test != "" {
			patterns = append(patterns, exactly(entry.Test))
		}
	}
	return strings.Join(patterns, "|")
}

// exactly is a pattern of go test that matches one test or sub-case alone.
func exactly(test string) string {
	parts := strings.Split(test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}
