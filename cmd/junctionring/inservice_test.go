package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
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
// one serves on: also on the connections that clients had, where both see the same TMPDIR.
func TestReplacedUnderTheSameAddress(t *testing.T) {
	t.Run("handed over", func(t *testing.T) { replaced(t, true) })
	t.Run("side by side", func(t *testing.T) { replaced(t, false) })
}

func replaced(t *testing.T, handedOver bool) {
	discovery, _ := watched(t)
	counts, _ := dialled(t)
	listen := free(t)
	config := func(management string) string {
		text := platform(discovery, counts, `{"generation":1,"reset":true,"instances":[]}`)
		text = strings.Replace(text, `"listen":"127.0.0.1:0"`, `"listen":"`+listen+`","management":"`+management+`"`, 1)
		return write(t, "config-"+strings.ReplaceAll(management, ":", "-")+".json", text)
	}
	oldM, newM := free(t), free(t)
	dir := t.TempDir()
	old, at := startIn(t, dir, "--config", config(oldM))
	if at != listen {
		t.Fatalf("serves on %s, not %s", at, listen)
	}
	if status, _ := get(t, "GET", "http://"+oldM+"/api/ready"); status != 200 {
		t.Fatalf("the first process is not ready: %d", status)
	}
	if !handedOver {
		dir = t.TempDir()
	}
	client, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(client)
	ask := func() (int, error) {
		io.WriteString(client, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, nil
	}
	ask()
	replacement, _ := startIn(t, dir, "--config", config(newM))
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
	if status, err := ask(); handedOver && status != 200 {
		t.Errorf("on the connection that was there before, the replacement answers %d, %v", status, err)
	}
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

// On SIGHUP a class is added and the old one dropped; a broken file is taken not at all, and counted.
func TestHangupBringsNewSettings(t *testing.T) {
	discovery, _ := watched(t)
	counts, _ := dialled(t)
	management := free(t)
	text := strings.Replace(platform(discovery, counts, `{"generation":1,"reset":true,"instances":[]}`),
		`"listen":"127.0.0.1:0"`, `"listen":"127.0.0.1:0","management":"`+management+`"`, 1)
	path := write(t, "config.json", text)
	cmd, address := start(t, "--config", path)
	class := func(path string) int {
		status, _ := get(t, "GET", "http://"+address+path)
		return status
	}
	figure := func(name string) string {
		_, figures := get(t, "GET", "http://"+management+"/api/telemetry")
		for _, line := range strings.Split(figures, "\n") {
			if strings.HasPrefix(line, name+":") {
				return line
			}
		}
		return ""
	}
	// waitFor asks until the figure says what is wanted: the SIGHUP is taken in by another goroutine.
	waitFor := func(name, want string) {
		t.Helper()
		for i := 0; figure(name) != want; i++ {
			if i > 2000 {
				t.Fatalf("%s is %q, not %q", name, figure(name), want)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	if status := class("/table-view/1"); status != 404 {
		t.Fatalf("a class that is not there yet: %d", status)
	}
	added := strings.Replace(text, `"RequestClasses":[`, `"RequestClasses":[{"Name":"table-view","Aim":0.5,"HardLimit":2,"Worth":1,"Repeat":"read_like","Group":"all","Window":0},`, 1)
	if err := os.WriteFile(path, []byte(added), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("svc.reload_success", "svc.reload_success:1|c")
	if status := class("/table-view/1"); status == 404 {
		t.Error("the added class is not known")
	}
	dropped := strings.Replace(added, `{"Name":"move-submit","Aim":1,"HardLimit":4,"Worth":6,"Repeat":"idempotency_key","Group":"all","Window":4}`, ``, 1)
	dropped = strings.Replace(dropped, `"Window":0},]`, `"Window":0}]`, 1)
	os.WriteFile(path, []byte(dropped), 0o600)
	cmd.Process.Signal(syscall.SIGHUP)
	waitFor("svc.reload_success", "svc.reload_success:2|c")
	if status, _ := get(t, "POST", "http://"+address+"/move-submit/1"); status != 404 {
		t.Errorf("a dropped class is still taken: %d", status)
	}
	for i, broken := range []string{"", dropped[:len(dropped)/2], strings.Replace(dropped, `"HardLimit":2`, `"HardLimit":0`, 1)} {
		os.WriteFile(path, []byte(broken), 0o600)
		cmd.Process.Signal(syscall.SIGHUP)
		waitFor("svc.reload_failure", "svc.reload_failure:"+strconv.Itoa(i+1)+"|c")
	}
	if status := class("/table-view/1"); status == 404 {
		t.Error("a broken file undid the settings in force")
	}
	if line := figure("svc.replies.move-submit.success"); line != "svc.replies.move-submit.success:0|c" {
		t.Errorf("a dropped class's count: %q", line)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	exits(t, cmd)
}
