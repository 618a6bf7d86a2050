package knownred

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

// A Verdict is what a run of a listed test showed.
type Verdict int

// The verdicts. Missing and FailsOtherwise mean that the list is wrong.
const (
	FailsAsListed Verdict = iota
	Passes                // it may leave the list, with its runs
	FailsOtherwise
	Missing // the command ran no test of that name
)

// A Result is the run of one entry.
type Result struct {
	Entry   Entry
	Verdict Verdict
	Output  string // of the test alone, or all of it where the test is missing
}

// Wrong tells whether the list doesn't say what is so.
func (r Result) Wrong() bool { return r.Verdict == FailsOtherwise || r.Verdict == Missing }

// String is the result in one line.
func (r Result) String() string {
	switch r.Verdict {
	case FailsAsListed:
		return fmt.Sprintf("fails as listed (issue %d): %s", r.Entry.Issue, r.Entry.Test)
	case Passes:
		return fmt.Sprintf("listed and passes, take it off, with its runs: %s", r.Entry.Test)
	case FailsOtherwise:
		return fmt.Sprintf("line %d: fails otherwise than listed, without %q: %s", r.Entry.Line, r.Entry.Seen, r.Entry.Test)
	default:
		return fmt.Sprintf("line %d: its command runs no test of this name: %s", r.Entry.Line, r.Entry.Test)
	}
}

// testEvent is a line of go test -json.
type testEvent struct {
	Action string
	Test   string
	Output string
}

// Check runs an entry's command in a folder and judges what it printed.
func Check(ctx context.Context, folder string, entry Entry) Result {
	command := exec.CommandContext(ctx, "sh", "-c", entry.Command)
	command.Dir = folder
	command.Env = append(os.Environ(), "GOFLAGS=-json -count=1")
	output, _ := command.CombinedOutput() // a failure is what is expected; the events tell which
	return judge(entry, output)
}

// judge reads the events of an entry's run.
func judge(entry Entry, events []byte) Result {
	var printed strings.Builder
	verdict := Missing
	for line := range bytes.Lines(events) {
		var event testEvent
		if json.Unmarshal(line, &event) != nil || event.Test != entry.Test {
			continue
		}
		switch event.Action {
		case "output":
			printed.WriteString(event.Output)
		case "pass":
			verdict = Passes
		case "run", "fail":
			verdict = FailsOtherwise // a crash ends the events without a word on the test
		}
	}
	if verdict == Missing {
		return Result{Entry: entry, Verdict: Missing, Output: string(events)}
	}
	if verdict == FailsOtherwise && strings.Contains(printed.String(), entry.Seen) {
		verdict = FailsAsListed
	}
	return Result{Entry: entry, Verdict: verdict, Output: printed.String()}
}
