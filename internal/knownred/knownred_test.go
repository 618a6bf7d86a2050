package knownred

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseReadsTheFormOfTheList(t *testing.T) {
	entries, err := Parse(strings.NewReader(`
# a remark
TestAll/no_room: GOMAXPROCS=1 go test -race -run '^TestAll$/^no_room$' ./control; seed 7; seen "for 6.6 s"; note rare: 1 in 9; issue 34
Bench: M score V1 --quick; seen "over_quota 0.119, 0.112 allowed"; issue 34
`))
	if err != nil {
		t.Fatal(err)
	}
	want := Entry{Line: 3, Test: "TestAll/no_room", Seed: "7", Seen: "for 6.6 s", Issue: 34,
		Command: "GOMAXPROCS=1 go test -race -run '^TestAll$/^no_room$' ./control"}
	if len(entries) != 2 || entries[0] != want {
		t.Errorf("read %+v, want %+v and a bench", entries, want)
	}
	if got := SkipPattern(entries); got != "^TestAll$/^no_room$" {
		t.Errorf("passes over %q", got)
	}
}

func TestParseSaysWhichLineIsWrong(t *testing.T) {
	for line, want := range map[string]error{
		"TestA fails":        ErrForm,
		"TestA: go test ./a": ErrForm,
		"testA: go test ./a; seen \"x\"; issue 1":             ErrName,
		"TestA: make; seen \"x\"; issue 1":                    ErrCommand,
		"TestA: go test ./a; seen x; issue 1":                 ErrSeen,
		"TestA: go test ./a; seen \"x\"; issue a":             ErrIssue,
		"TestA: go test ./a; seen \"x\"; seen \"y\"; issue 1": ErrField,
		"TestB: go test ./a; seen \"x\"; issue 1":             ErrDuplicate,
	} {
		_, err := Parse(strings.NewReader("TestB: go test ./a; seen \"x\"; issue 1\n" + line))
		if !errors.Is(err, want) || !strings.Contains(err.Error(), "line 2: ") || !strings.Contains(err.Error(), line) {
			t.Errorf("%q: %v, want line 2: %v", line, err, want)
		}
	}
}

// The sample's tests pass, fail and crash; a listed one is judged by its own events alone.
func TestCheckTellsListedFailuresFromOthers(t *testing.T) {
	folder := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module sample\n\ngo 1.26\n",
		"sample_test.go": `package sample

import "testing"

func TestFails(t *testing.T) {
	t.Run("one case", func(t *testing.T) { t.Error("waited 6.6 s") })
	t.Run("another", func(t *testing.T) {})
}

func TestCrashes(t *testing.T) { panic("no such key") }
`,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		test, seen string
		want       Verdict
	}{
		{"TestFails/one_case", "waited 6.6 s", FailsAsListed},
		{"TestFails/one_case", "waited for ever", FailsOtherwise},
		{"TestFails/another", "waited 6.6 s", Passes},
		{"TestFails/no_case", "waited 6.6 s", Missing},
		{"TestCrashes", "no such key", FailsAsListed},
		{"TestCrashes", "waited 6.6 s", FailsOtherwise},
	} {
		entry := Entry{Test: c.test, Seen: c.seen, Command: "go test -run '" + exactly(c.test) + "' ."}
		if got := Check(t.Context(), folder, entry); got.Verdict != c.want {
			t.Errorf("%v: verdict %d, want %d:\n%s", entry, got.Verdict, c.want, got.Output)
		}
	}
	skip := exec.Command("go", "test", "-v", "-skip", SkipPattern([]Entry{{Test: "TestFails/one_case"}, {Test: "TestCrashes"}}), ".")
	skip.Dir = folder
	output, err := skip.CombinedOutput()
	if err != nil || !strings.Contains(string(output), "PASS: TestFails/another") {
		t.Errorf("passing over the two: %v\n%s", err, output)
	}
}
