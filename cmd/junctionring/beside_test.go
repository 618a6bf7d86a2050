package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The fleet's commands are a program beside this one: their words and status come through, and without it a clear
// error does.
func TestFleetCommandsStandBeside(t *testing.T) {
	out, err := exec.Command(program, "lease", "list").CombinedOutput()
	if err == nil || !strings.Contains(string(out), "fleet can't be started") {
		t.Errorf("without the program: %v, %s", err, out)
	}
	beside := filepath.Join(filepath.Dir(program), "fleet")
	if err := os.WriteFile(beside, []byte("#!/bin/sh\necho \"$0 $* $JUNCTIONRING_NAME\"\nexit 9\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	defer os.Remove(beside)
	for _, args := range [][]string{{"lease", "hold", "x", "--life", "3s", "--", "true"}, {"coordinator", "--config", "c.toml"}, {"fleet", "members", "--watch"}} {
		cmd := exec.Command(program, args...)
		out, _ := cmd.CombinedOutput()
		if want := strings.Join(args, " ") + " junctionring\n"; cmd.ProcessState.ExitCode() != 9 || !strings.HasSuffix(string(out), want) {
			t.Errorf("%v: status %d, %q", args, cmd.ProcessState.ExitCode(), out)
		}
	}
}
