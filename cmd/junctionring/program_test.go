package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"junctionring/internal/standin"
)

var program string // the built program

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "junctionring")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "junctionring")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Printf("%s", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// start runs the program until it says where it serves.
func start(t *testing.T, args ...string) (*exec.Cmd, string) {
	t.Helper()
	return startIn(t, t.TempDir(), args...)
}

// startIn is start in a TMPDIR that is shared.
func startIn(t *testing.T, dir string, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(program, append([]string{"serve"}, args...)...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + dir, // nothing of a platform's but
		"EDGE_DISCOVERY=" + os.Getenv("EDGE_DISCOVERY")}
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	late := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer late.Stop()
	in, said := bufio.NewScanner(log), ""
	for in.Scan() {
		said += in.Text() + "\n"
		if _, address, ok := strings.Cut(in.Text(), "msg=serving listen="); ok {
			go io.Copy(io.Discard, log)
			return cmd, address
		}
	}
	t.Fatalf("the program does not serve; it said:\n%s", said)
	return nil, ""
}

// exits waits for the program's end, which must be in good order and before SIGKILL would come.
func exits(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	late := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	defer late.Stop()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// tableServer holds each answer until the test lets it go, and tells of every message.
func tableServer(t *testing.T) (s *httptest.Server, got chan *http.Request, letGo chan struct{}) {
	got, letGo = make(chan *http.Request, 64), make(chan struct{}, 64)
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r
		select {
		case <-letGo:
			io.Copy(w, r.Body)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.Close)
	return s, got, letGo
}

// ask sends a move and brings its status.
func ask(t *testing.T, url, key string, headers ...string) chan int {
	r, err := http.NewRequest("POST", url, bytes.NewReader([]byte("e2e4")))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	status := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		defer resp.Body.Close()
		if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == 200 && string(body) != "e2e4" {
			t.Errorf("body %q, %v", body, err)
		}
		status <- resp.StatusCode
	}()
	return status
}

// platform is a configuration of the platform's front.
func platform(discovery, counter, known string) string {
	return `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"counter":"` + counter + `",
		"known":` + known + `,"settings":{"Ordinal":0,"Balancers":1,"Areas":["hall-a"],
		"RequestClasses":[{"Name":"move-submit","Aim":1,"HardLimit":4,"Worth":6,"Repeat":"idempotency_key","Group":"all","Window":4}],
		"Plans":[{"Name":"club","PerSecond":50,"PeakUnits":50,"WorthFactor":1,"ExcessCost":1}],
		"Limits":{"MaxAttempts":3,"Cancelling":true,"ConnIdle":30,"ConnectTimeout":0.25,"RetryAfter":true,"MaxRetryAfter":1},
		"Domain":{"MayCount":true,"CountLimit":0.03},"Discovery":"automatic","LoadInfo":{"Via":"none"},
		"Guarantees":{"ColdFrom":0.15,"RampTime":18,"OverloadFactor":3,"OverloadFor":1.5}}}`
}

// watched is a discovery agent that tells of every watch, by the version it starts from, and says nothing.
func watched(t *testing.T) (address string, from chan string) {
	from = make(chan string, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		from <- r.URL.Query().Get("from")
		<-r.Context().Done()
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), from
}

// dialled is a counter that tells of every connection.
func dialled(t *testing.T) (address string, came chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	came = make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came <- c
		}
	}()
	return l.Addr().String(), came
}

// On SIGHUP the watch, from the version held, and the counter go to the addresses of the new file, even over
// the environment of the start; a file that cannot be read is not taken, and the program goes on.
func TestHangupMoves(t *testing.T) {
	oldList, oldFrom := watched(t)
	newList, newFrom := watched(t)
	oldCounter, oldCame := dialled(t)
	newCounter, newCame := dialled(t)
	known := `{"generation":41,"reset":true,"instances":[]}`
	path := write(t, "config.json", platform("127.0.0.1:1", oldCounter, known))
	t.Setenv("EDGE_DISCOVERY", oldList)
	cmd, address := start(t, "--config", path)
	if from := <-oldFrom; from != "41" {
		t.Errorf("watched from %s", from)
	}
	<-oldCame
	replace := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	replace(`{"discovery":`)
	replace(platform("nowhere", newCounter, known))
	replace(platform(newList, newCounter, known))
	if from := <-newFrom; from != "41" {
		t.Errorf("the new agent is watched from %s", from)
	}
	<-newCame
	if len(oldCame)+len(oldFrom) > 0 {
		t.Error("the old addresses were gone to again")
	}
	resp, err := http.Get("http://" + address + "/health/ready")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal("not ready", err)
	}
	resp.Body.Close()
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Process.Signal(syscall.SIGHUP)
	exits(t, cmd)
}

// On the platform: a client is served as soon as the gateway says that it is ready; after SIGTERM what still
// arrives is served, what is held is finished, and the program ends by itself, in good order.
func TestPlatformServesAndDrains(t *testing.T) {
	s, got, letGo := tableServer(t)
	target := strings.TrimPrefix(s.URL, "http://")
	entry := func(id, state string) string {
		return `{"generation":2,"reset":true,"instances":[{"instanceId":"` + id + `","hostPort":"` + target +
			`","zone":"hall-a","cell":0,"lifecycle":"` + state + `","weight":1.0,"startedAtMs":0}]}`
	}
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, entry("s-1", "SERVING"))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.CloseClientConnections)
	counts, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer counts.Close()
	path := write(t, "config.json", platform(strings.TrimPrefix(discovery.URL, "http://"), counts.Addr().String(), entry("s-1", "SERVING")))
	cmd, address := start(t, "--config", path)
	resp, err := http.Get("http://" + address + "/health/ready")
	if err != nil || resp.StatusCode != 200 {
		t.Fatal("not ready", err)
	}
	resp.Body.Close()
	move := func(key string) chan int {
		return ask(t, "http://"+address+"/move-submit/1", key, "X-Request-ID", key, "X-Plan", "club", "X-Timeout",
			"3000m", "Cookie", "account=00000000b4d65521", "X-Quota", "units=1,spread=1,first=0")
	}
	held := move("k1")
	<-got
	cmd.Process.Signal(syscall.SIGTERM)
	for ready := true; ready; { // until the drain is seen to have begun; it still takes connections then
		resp, err := http.Get("http://" + address + "/health/ready")
		if err != nil {
			t.Fatal("nothing is served after SIGTERM:", err)
		}
		resp.Body.Close()
		ready = resp.StatusCode == 200
	}
	late := move("k2")
	<-got
	letGo <- struct{}{}
	letGo <- struct{}{}
	if a, b := <-held, <-late; a != 200 || b != 200 {
		t.Errorf("held: %d, arrived after SIGTERM: %d", a, b)
	}
	exits(t, cmd)
}

// A list of before that cannot be read keeps no process from starting: it serves by the first list that comes.
func TestStartsWithASpoiltKnownList(t *testing.T) {
	for _, known := range []string{`null`, `{}`, `{"generation":41,"reset":true,"instances":null}`, `"x"`} {
		t.Run(known, func(t *testing.T) {
			s, _, letGo := tableServer(t)
			discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, `{"generation":2,"reset":true,"instances":[{"instanceId":"s-1","hostPort":%q,"zone":"hall-a","lifecycle":"SERVING"}]}`,
					strings.TrimPrefix(s.URL, "http://"))
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}))
			t.Cleanup(discovery.CloseClientConnections)
			counter, _ := dialled(t)
			_, address := start(t, "--config", write(t, "config.json", platform(strings.TrimPrefix(discovery.URL, "http://"), counter, known)))
			letGo <- struct{}{}
			if status := <-ask(t, "http://"+address+"/move-submit/1", "k1", "X-Request-ID", "k1", "X-Plan", "club", "X-Timeout",
				"3000m", "Cookie", "account=00000000b4d65521", "X-Quota", "units=1,spread=1,first=0"); status != 200 {
				t.Errorf("answered %d", status)
			}
		})
	}
}

// The forward-auth front of the built program, from the check to the table server; a stalled checker.
func TestForwardAuthProgram(t *testing.T) {
	s, got, letGo := tableServer(t)
	stall := make(chan struct{})
	check := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") == "stall" {
			select {
			case <-stall:
			case <-r.Context().Done():
			}
		}
		w.Header().Set("X-Auth-Account", "ayumi")
		w.Header().Set("X-Auth-Plan", "club")
	}))
	t.Cleanup(check.Close)
	defer close(stall)
	text, err := os.ReadFile("../../deploy/forwardauth.toml")
	if err != nil {
		t.Fatal(err)
	}
	replace := strings.NewReplacer("127.0.0.1:9080", "127.0.0.1:0", "http://127.0.0.1:9091", check.URL,
		"127.0.0.1:6379", newStore(t).Addr(), "127.0.0.1:9101", strings.TrimPrefix(s.URL, "http://"),
		"127.0.0.1:9102", strings.TrimPrefix(s.URL, "http://"))
	cmd, address := start(t, "--operator", write(t, "operator.toml", replace.Replace(string(text))))
	letGo <- struct{}{}
	if status := <-ask(t, "http://"+address+"/move-submit/1", "k1"); status != 200 {
		t.Errorf("answered %d", status)
	}
	if r := <-got; r.Header.Get("X-Auth-Account") != "ayumi" {
		t.Error("the table server is not told who plays")
	}
	if status := <-ask(t, "http://"+address+"/move-submit/1", "k2", "Authorization", "stall"); status != 503 {
		t.Errorf("a stalled check was answered %d", status)
	}
	if len(got) != 0 {
		t.Error("something ran without a verdict")
	}
	cmd.Process.Signal(syscall.SIGHUP) // there is nothing to take up here, and no reason to end
	letGo <- struct{}{}
	if status := <-ask(t, "http://"+address+"/move-submit/1", "k3"); status != 200 {
		t.Errorf("after SIGHUP answered %d", status)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	exits(t, cmd)
}

// A file that is not in order is said to be so, plainly, and nothing starts.
func TestBadOperatorFiles(t *testing.T) {
	good, err := os.ReadFile("../../deploy/forwardauth.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"max_body =", "max_boddy =", "unknown key max_boddy"},
		{`timeout = "800ms"`, `timeout = "soon"`, "soon"},
		{"rate = 1.6", "rate = -1.6", "plan community: rate must be above 0"},
		{"rate = 1.6", "rate = nan", "plan community: rate must be above 0"},
		{`repeat = "safe"`, `repeat = "sometimes"`, "repeat must be safe, keyed or unsafe"},
		{`"http://127.0.0.1:9091/verify"`, `"ftp://x"`, "checker: url must be"},
		{`"127.0.0.1:6379"`, `"nowhere"`, "redis: address"},
		{`id = "table-2"`, `id = "table-1"`, "named twice"},
	} {
		path := write(t, "operator.toml", strings.Replace(string(good), c.old, c.new, 1))
		for _, args := range [][]string{{"check", path}, {"serve", "--operator", path}} {
			out, err := exec.Command(program, args...).CombinedOutput()
			if err == nil || !strings.Contains(string(out), c.want) {
				t.Errorf("%s of %q: %v, %s", args[0], c.new, err, out)
			}
		}
	}
	if out, err := exec.Command(program, "check", "../../deploy/forwardauth.toml").CombinedOutput(); err != nil {
		t.Errorf("the file in deploy/: %s", out)
	}
}

func newStore(t *testing.T) *standin.Store {
	t.Helper()
	s, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}
