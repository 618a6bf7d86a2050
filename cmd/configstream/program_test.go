package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"junctionring/internal/standin"
	"junctionring/internal/standin/controlservice"
)

// The size of the versions. docs/incremental-configuration.md says how the planned size is run.
var (
	routeCount  = flag.Int("routes", 400, "routes of a version")
	targetCount = flag.Int("targets", 200, "targets of a version")
	changeCount = flag.Int("changes", 5, "changes of one route each")
	memoryLimit = flag.Int("memory", 192, "MB that the gateway may use; near its limit it collects garbage all the time")
)

const clockTicks = 100 // a second, in /proc/PID/stat

var programs string // the folder of the built programs

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "configstream")
	if err != nil {
		panic(err)
	}
	programs = dir
	if out, err := exec.Command("go", "build", "-o", dir+"/", ".", "../junctionring").CombinedOutput(); err != nil {
		fmt.Printf("%s", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// world is one gateway process and its configstream process, before a stand-in control service.
type world struct {
	t          *testing.T
	service    *controlservice.Service
	dir        string
	operations string // of the gateway
	increments bool
	upstream   string // that the configstream follows: the service, or a relay
	gateway    *exec.Cmd
	stream     *exec.Cmd
}

const head = `trusted_proxies = ["127.0.0.0/8"]
[[class]]
name = "view"
aim = "2s"
deadline = "7s"
worth = 2.0
repeat = "safe"
[[class]]
name = "submit"
aim = "2s"
deadline = "7s"
worth = 2.0
repeat = "safe"
[[plan]]
name = "club"
rate = 50.0
burst = 100.0
worth = 1.0
`

// version is a document in which the route of its number leads to another class.
func version(number int, class string) string {
	var b strings.Builder
	b.WriteString(head)
	for i := range *routeCount {
		this := "view"
		if i == number*7919%*routeCount {
			this = class
		}
		fmt.Fprintf(&b, "[[route]]\npath = \"/service-%03d/resource-%05d/*\"\nmethods = [\"GET\"]\nclass = %q\n", i%720, i, this)
	}
	for i := range *targetCount {
		fmt.Fprintf(&b, "[[target]]\nid = \"table-%05d\"\naddress = \"127.%d.%d.%d:9\"\n", i, 1+i>>16&255, i>>8&255, i&255)
	}
	return b.String()
}

func newWorld(t *testing.T, increments bool) *world {
	t.Helper()
	service, err := controlservice.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Vanish)
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, service: service, dir: t.TempDir(), operations: l.Addr().String(), increments: increments, upstream: service.Addr()}
	l.Close()
	file := fmt.Sprintf("listen = \"127.0.0.1:0\"\nredis = {address = %q}\noperations = {listen = %q}\nversions = {snapshot = %q}\nlimits = {memory_mb = %d}\n",
		store.Addr(), w.operations, filepath.Join(w.dir, "last-good"), *memoryLimit) + head + "[[target]]\nid = \"t1\"\naddress = \"127.0.0.1:9\"\n"
	if err := os.WriteFile(filepath.Join(w.dir, "operator.toml"), []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.stop)
	return w
}

// start starts both processes and waits until the gateway serves.
func (w *world) start() {
	w.t.Helper()
	w.gateway = exec.Command(filepath.Join(programs, "junctionring"), "serve", "--operator", filepath.Join(w.dir, "operator.toml"))
	w.gateway.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + w.dir}
	log, err := w.gateway.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.gateway.Start(); err != nil {
		w.t.Fatal(err)
	}
	lines, said := bufio.NewScanner(log), ""
	for !strings.Contains(said, "msg=serving") {
		if !lines.Scan() {
			w.t.Fatalf("the gateway does not serve; it said:\n%s", said)
		}
		said += lines.Text() + "\n"
	}
	go io.Copy(io.Discard, log)
	args := []string{"--service", w.upstream, "--gateway", w.operations, "--node", "gw-0"}
	if w.increments {
		args = append(args, "--increments")
	}
	w.stream = exec.Command(filepath.Join(programs, "configstream"), args...)
	if err := w.stream.Start(); err != nil {
		w.t.Fatal(err)
	}
}

// startRelay starts a relay process, which the gateway's configstream follows from its next start on.
func (w *world) startRelay() {
	w.t.Helper()
	relay := exec.Command(filepath.Join(programs, "configstream"), "--service", w.service.Addr(), "--relay", "127.0.0.1:0", "--node", "relay")
	log, err := relay.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	if err := relay.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		relay.Process.Kill()
		relay.Wait()
	})
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if _, address, ok := strings.Cut(lines.Text(), "msg=\"relay serving\" listen="); ok {
			w.upstream = address
			go io.Copy(io.Discard, log)
			return
		}
	}
	w.t.Fatal("the relay does not serve")
}

func (w *world) stop() {
	for _, cmd := range []*exec.Cmd{w.stream, w.gateway} {
		if cmd == nil {
			continue
		}
		cmd.Process.Kill()
		cmd.Wait()
	}
}

// push has the service send a version, and returns what the gateway said of it.
func (w *world) push(number int, text string, rollback bool) string {
	w.t.Helper()
	before := len(w.service.Answers())
	if !w.increments {
		w.service.Push(int64(number), text, rollback)
	} else if err := w.service.PushIncrement(int64(number), 1, text, rollback); err != nil {
		w.t.Fatal(err)
	}
	return w.answer(before)
}

// answer waits for the answer that follows so many.
func (w *world) answer(before int) (reason string) {
	w.t.Helper()
	if err := w.service.Await(time.Minute, func(all []controlservice.Answer) bool {
		if len(all) <= before {
			return false
		}
		reason = all[len(all)-1].Reason
		return true
	}); err != nil {
		w.t.Fatal(err)
	}
	return reason
}

// status is what the gateway says of its version.
func (w *world) status() (version int64) {
	w.t.Helper()
	resp, err := http.Get("http://" + w.operations + "/config")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	var c struct{ Version int64 }
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		w.t.Fatal(err)
	}
	return c.Version
}

// processorTime and resident are a process's, as the system counts them.
func processorTime(t *testing.T, cmd *exec.Cmd) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')'):]))
	user, _ := strconv.Atoi(fields[12])
	system, _ := strconv.Atoi(fields[13])
	return time.Duration(user+system) * time.Second / clockTicks
}

func resident(t *testing.T, cmd *exec.Cmd, field string) string {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), field+":")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// The built programs take versions in both forms; what each costs is logged.
func TestProgramsTakeVersions(t *testing.T) {
	for _, increments := range []bool{false, true} {
		t.Run(fmt.Sprintf("increments=%v", increments), func(t *testing.T) {
			w := newWorld(t, increments)
			w.start()
			first := time.Now()
			if reason := w.push(1, version(1, "submit"), false); reason != "" {
				t.Fatal(reason)
			}
			t.Logf("version 1, %d bytes, whole: in force after %v", len(version(1, "submit")), time.Since(first).Round(time.Millisecond))
			sent0, _ := w.service.Traffic()
			gateway0, stream0, begun := processorTime(t, w.gateway), processorTime(t, w.stream), time.Now()
			last := 1 + *changeCount
			for n := 2; n <= last; n++ {
				if reason := w.push(n, version(n, "submit"), false); reason != "" {
					t.Fatal(reason)
				}
			}
			sent, _ := w.service.Traffic()
			each := time.Duration(*changeCount)
			t.Logf("a change: %d bytes, in force after %v; gateway %v, configstream %v of processor time", (sent-sent0)/int64(each),
				(time.Since(begun) / each).Round(time.Millisecond), (processorTime(t, w.gateway)-gateway0)/each, (processorTime(t, w.stream)-stream0)/each)
			t.Logf("gateway resident %s, at most %s; configstream %s, at most %s", resident(t, w.gateway, "VmRSS"),
				resident(t, w.gateway, "VmHWM"), resident(t, w.stream, "VmRSS"), resident(t, w.stream, "VmHWM"))
			if reason := w.push(last+1, version(0, "none"), false); !strings.Contains(reason, "there is no class \"none\"") {
				t.Errorf("a broken version: %q", reason)
			}
			if n := w.status(); n != int64(last) {
				t.Errorf("version %d in force, want %d", n, last)
			}
			if reason := w.push(1, version(1, "submit"), true); reason != "" {
				t.Errorf("the rollback: %s", reason)
			}
			if n := w.status(); n != 1 {
				t.Errorf("version %d in force after the rollback", n)
			}
		})
	}
}

// Gateway and configstream end; started again, they go on from the snapshot and are sent what differs.
func TestRestartGoesOnFromTheSnapshot(t *testing.T) {
	w := newWorld(t, true)
	w.start()
	if reason := w.push(1, version(1, "submit"), false); reason != "" {
		t.Fatal(reason)
	}
	w.stop()
	before, _ := w.service.Traffic()
	for n := 2; n <= 3; n++ {
		if err := w.service.PushIncrement(int64(n), 1, version(n, "submit"), false); err != nil {
			t.Fatal(err)
		}
	}
	answers := len(w.service.Answers())
	w.start()
	if reason := w.answer(answers); reason != "" {
		t.Error(reason)
	}
	if n := w.status(); n != 3 {
		t.Errorf("version %d in force, want 3", n)
	}
	after, _ := w.service.Traffic()
	if size := int64(len(version(3, "submit"))); after-before > size/2 {
		t.Errorf("%d bytes sent for three routes of a document of %d", after-before, size)
	}
}

// Service, relay, configstream and gateway, a process each but for the service: what the service publishes comes into
// force at the gateway, and what the gateway turns down does not.
func TestRelayBetweenProcesses(t *testing.T) {
	w := newWorld(t, true)
	w.startRelay()
	w.start()
	inForce := func(number int64) {
		t.Helper()
		for late := time.Now().Add(time.Minute); w.status() != number; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(late) {
				t.Fatalf("version %d in force, want %d", w.status(), number)
			}
		}
	}
	w.push(1, version(1, "submit"), false)
	inForce(1)
	w.push(2, version(2, "none"), false) // the relay passes it on; the gateway turns it down
	w.push(3, version(3, "submit"), false)
	inForce(3)
}
