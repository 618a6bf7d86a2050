package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Settings with a class whose name no request line can hold keep the program from starting, and it says why: its
// clients would get nothing but a 400 later.
func TestRefusesAClassNameThatNoRequestCanHold(t *testing.T) {
	text := strings.Replace(platform("127.0.0.1:1", "127.0.0.1:1", `{"generation":1,"reset":true,"instances":[]}`), "move-submit", "move submit", 1)
	out, err := exec.Command(program, "serve", "--config", write(t, "config.json", text)).CombinedOutput()
	want := `settings.RequestClasses: the class name "move submit" cannot be the first part of a path in a request line`
	if err == nil || !strings.Contains(string(out), want) {
		t.Errorf("it ended with %v, and said %s", err, out)
	}
}
