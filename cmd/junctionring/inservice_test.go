package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// free is an address on loopback that nobody listens on just now.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func get(t *testing.T, method, url string) (int, string) {
	t.Helper()
	r, _ := http.NewRequest(method, url, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// A second process starts beside the first on the same client address, with a management address of its own;
// both say they are ready, the figures start at 0, and the old one ends in good order on SIGTERM while the new
// one serves on.
func TestReplacedUnderTheSameAddress(t *testing.T) {
	discovery, _ := watched(t)
	counts, _ := dialled(t)
	listen := free(t)
	config := func(management string) string {
		text := platform(discovery, counts, `{"generation":1,"reset":true,"instances":[]}`)
		text = strings.Replace(text, `"listen":"127.0.0.1:0"`, `"listen":"`+listen+`","management":"`+management+`"`, 1)
		return write(t, "config-"+strings.ReplaceAll(management, ":", "-")+".json", text)
	}
	oldM, newM := free(t), free(t)
	old, at := start(t, "--config", config(oldM))
	if at != listen {
		t.Fatalf("serves on %s, not %s", at, listen)
	}
	if status, _ := get(t, "GET", "http://"+oldM+"/api/ready"); status != 200 {
		t.Fatalf("the first process is not ready: %d", status)
	}
	replacement, _ := start(t, "--config", config(newM))
	if status, _ := get(t, "GET", "http://"+newM+"/api/ready"); status != 200 {
		t.Fatalf("the second process is not ready: %d", status)
	}
	status, figures := get(t, "GET", "http://"+newM+"/api/telemetry")
	for _, line := range []string{"svc.replies.move-submit.success:0|c", "svc.concurrent:0|g", "svc.reload_failure:0|c"} {
		if status != 200 || !strings.Contains(figures, line+"\n") {
			t.Errorf("telemetry (%d) lacks %q:\n%s", status, line, figures)
		}
	}
	old.Process.Signal(syscall.SIGTERM)
	exits(t, old)
	if status, _ := get(t, "GET", "http://"+listen+"/health/ready"); status != 200 {
		t.Errorf("the replacement answers %d once the old one has gone", status)
	}
	if status, _ := get(t, "PUT", "http://"+newM+"/api/evacuate"); status != 200 {
		t.Errorf("evacuate: %d", status)
	}
	if status, _ := get(t, "GET", "http://"+listen+"/health/ready"); status != 503 {
		t.Errorf("evacuated, and readiness says %d", status)
	}
	replacement.Process.Signal(syscall.SIGTERM)
	exits(t, replacement)
}
