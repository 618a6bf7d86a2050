package agent

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"junctionring/internal/conductor"
	"junctionring/internal/coordinator/grouptest"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
	"junctionring/rollout"
)

func TestMain(m *testing.M) {
	if version := os.Getenv("JUNCTIONRING_VERSION"); version != "" {
		runGatewayStandIn(version)
		return
	}
	os.Exit(m.Run())
}

// runGatewayStandIn stands in for the gateway's program. Each of its versions fails in one of the ways in which a release
// can fail.
func runGatewayStandIn(version string) {
	record := func(what string) {
		f, _ := os.OpenFile(os.Getenv("TEST_RECORD"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		fmt.Fprintf(f, "%d %s %s %s\n", time.Now().UnixNano(), os.Getenv("TEST_NAME"), version, what)
		f.Close()
	}
	record("start")
	begun := time.Now()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	var mu sync.Mutex
	evacuated, number, document := false, 0, ""
	mux := http.NewServeMux()
	for path, is := range map[string]bool{"PUT /api/evacuate": true, "PUT /api/rejoin": false} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			evacuated = is
			record(path[len("PUT /api/"):])
		})
	}
	show := func(w http.ResponseWriter, r *http.Request) { fmt.Fprintf(w, `{"version": %d}`, number) }
	mux.HandleFunc("GET /config", show)
	mux.HandleFunc("POST /config/unpin", show)
	mux.HandleFunc("POST /config/pin", show)
	mux.HandleFunc("POST /config", func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		if string(text) == "bad" {
			http.Error(w, "class move-submit is missing", http.StatusUnprocessableEntity)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		number, document = number+1, string(text)
		record("configuration " + document)
		show(w, r)
	})
	mux.HandleFunc("GET /api/draining", func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, `{"t1": 0}`) })
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if version == "never-ready" || evacuated {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, r *http.Request) {
		n := time.Since(begun).Milliseconds() / 2
		bad := n / 50
		if version == "fails-moves" {
			bad = n / 3
		}
		fmt.Fprintf(w, "svc.replies.move-submit.success:%d|c\nsvc.replies.move-submit.error:%d|c\nsvc.replies.table-view.success:%d|c\nsvc.concurrent:3|g\n", n-bad, bad, n)
	})
	l, err := net.Listen("tcp", os.Getenv("EDGE_MANAGEMENT"))
	if err != nil {
		record(err.Error())
		os.Exit(1)
	}
	go http.Serve(l, mux)
	if version == "crashes" {
		time.AfterFunc(700*time.Millisecond, func() { record("crash"); os.Exit(2) })
	}
	<-term
	record("end")
}

// fleet is a coordinator with agents, gateways and conductors, as a release needs them.
type fleet struct {
	*grouptest.Group
	t          *testing.T
	ctx        context.Context
	dir        string
	recordPath string
	configs    []*Config
}

const gatewayCount = 4

var discardLogger = slog.New(slog.DiscardHandler)

// config writes and loads the configuration of an agent. The names of its file and of its state file begin with file.
func (f *fleet) config(name, file string) *Config {
	f.t.Helper()
	path := filepath.Join(f.dir, file+".toml")
	text := fmt.Sprintf(`name = %q
site = "s%d"
coordinators = [%q]
life = "3s"
state = "%s.state"
[program]
versions = "versions"
version = "1"
args = []
management = [%q, %q]
ready_within = "1500ms"
drain = "2s"
learn = "100ms"
env = { TEST_RECORD = %q, TEST_NAME = %q }
[configuration]
folder = "configs"
version = "c1"
`, name, int(name[1])%2, f.Address, file, grouptest.FreeAddress(f.t), grouptest.FreeAddress(f.t), f.recordPath, file)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		f.t.Fatal(err)
	}
	c, err := LoadConfig(path)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	f := &fleet{t: t, ctx: ctx, dir: t.TempDir(), Group: grouptest.Start(ctx, t, 3*time.Second)}
	f.recordPath = filepath.Join(f.dir, "record")
	f.writeVersions()
	var all sync.WaitGroup
	agents, stop := context.WithCancel(ctx)
	for i := range gatewayCount {
		c := f.config(fmt.Sprintf("g%d", i), fmt.Sprintf("g%d", i))
		f.configs = append(f.configs, c)
		all.Go(func() {
			if err := New(c, discardLogger).Run(agents); err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(func() {
		stop()
		all.Wait()
		for _, c := range f.configs { // the gateways outlive their agents
			if r, ok, _ := loadRunning(c.State); ok {
				if p := adopt(r); p != nil {
					p.terminate(time.Second)
				}
			}
		}
		cancel()
	})
	f.Change(rollout.Command{Op: rollout.SetRules, Rules: []rollout.Rule{{Name: "one", Kind: "gateway", Most: 1}}})
	f.Await("all gateways serve", func(v *rollout.Fleet) bool { return f.countServing(v, "1") == gatewayCount })
	return f
}

// writeVersions writes the folders of versions and configurations.
func (f *fleet) writeVersions() {
	t := f.t
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []string{"1", "2", "never-ready", "crashes", "dies-later", "fails-moves", "spoilt"} {
		dir := filepath.Join(f.dir, "versions", v)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		script := fmt.Sprintf("#!/bin/sh\n# version %s\nexec %q\n", v, self)
		sum := fmt.Sprintf("%x", sha256.Sum256([]byte(script)))
		if v == "spoilt" {
			script += "true\n"
		}
		os.WriteFile(filepath.Join(dir, "SHA256"), []byte(sum+"  junctionring\n"), 0o644)
		os.WriteFile(filepath.Join(dir, "junctionring"), []byte(script), 0o755)
	}
	for name, text := range map[string]string{"c1": "one", "c2": "two", "c-bad": "bad"} {
		dir := filepath.Join(f.dir, "configs", name)
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		os.WriteFile(filepath.Join(dir, "config.toml"), []byte(text), 0o644)
		os.WriteFile(filepath.Join(dir, "SHA256"), []byte(fmt.Sprintf("%x  config.toml\n", sha256.Sum256([]byte(text)))), 0o644)
	}
}

// startConductor starts a conductor. It returns a function that stops it.
func (f *fleet) startConductor(beforeMove func(rollout.Move)) (stop func()) {
	f.t.Helper()
	ctx, cancel := context.WithCancel(f.ctx)
	client, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: []string{f.Address}, Life: 2 * time.Second, Member: lease.Member{Kind: "conductor", Name: "test"}})
	if err != nil {
		f.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		(&conductor.Conductor{Client: client, Group: f.Group.Group, Log: discardLogger, BeforeMove: beforeMove}).Run(ctx)
	}()
	stop = func() { cancel(); <-done }
	f.t.Cleanup(stop)
	return stop
}

func (f *fleet) beginRelease(to string, rollBack bool) {
	f.t.Helper()
	s := rollout.Settings{Canary: 1, Growth: 3, Pause: 500 * time.Millisecond, Patience: 20 * time.Second, Limits: rollout.DefaultLimits, GoBack: rollBack}
	f.Change(rollout.Command{Op: rollout.Begin, Change: "r", Version: to, Units: []string{"g0", "g1", "g2", "g3"}, Settings: &s})
}

// countServing returns the number of gateways that serve with a version.
func (f *fleet) countServing(v *rollout.Fleet, version string) (n int) {
	for _, u := range v.Budget.Units {
		if u.Version == version && u.Up && u.Warm {
			n++
		}
	}
	return n
}

// appendRecord adds an event to the gateways' record that a killed gateway could not write.
func (f *fleet) appendRecord(event string) {
	r, err := os.OpenFile(f.recordPath, os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		f.t.Fatal(err)
	}
	defer r.Close()
	fmt.Fprintf(r, "%d %s\n", time.Now().UnixNano(), event)
}

// replacements reads the gateways' record. It returns the largest number of gateways that were replaced at once, and the
// number that ran a version.
func (f *fleet) replacements(version string) (atOnce, ran int) {
	text, err := os.ReadFile(f.recordPath)
	if err != nil {
		f.t.Fatal(err)
	}
	procs, ranOn, under := map[string]int{}, map[string]bool{}, 0
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		w := strings.Fields(line)
		name, v, what := w[1], w[2], w[3]
		if v == version {
			ranOn[name] = true
		}
		switch what {
		case "start":
			if procs[name]++; procs[name] == 2 {
				under++
			}
		case "end", "crash":
			if procs[name]--; procs[name] == 1 {
				under--
			}
		}
		atOnce = max(atOnce, under)
	}
	return atOnce, len(ranOn)
}

func TestAGoodReleaseGoesThroughWhateverDies(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	moves, over := make(chan rollout.Move), make(chan struct{})
	defer close(over)
	first := f.startConductor(func(m rollout.Move) {
		select {
		case moves <- m:
			<-over // blocks before its move until the test ends
		case <-over:
		}
	})
	f.beginRelease("2", false)
	<-moves // the first conductor blocks before a move; the lease passes on when its session ends
	go first()
	f.startConductor(nil)
	f.Await("the canary runs the new version", func(v *rollout.Fleet) bool { return f.countServing(v, "2") >= 1 })
	f.Stop() // all coordinators are down for a while, with permits granted
	time.Sleep(time.Second)
	f.Run()
	v := f.Await("the release is done", func(v *rollout.Fleet) bool { return v.Plans["r"].Over() })
	if p := v.Plans["r"]; p.Stage != rollout.Done || f.countServing(v, "2") < gatewayCount-1 {
		t.Errorf("stage %s (%s), %d gateways run the new version", p.Stage, p.Why, f.countServing(v, "2"))
	}
	if atOnce, ran := f.replacements("2"); atOnce > 1 || ran != gatewayCount {
		text, _ := os.ReadFile(f.recordPath)
		t.Errorf("%d gateways were replaced at once, %d ran the new version:\n%s%s", atOnce, ran, text, grouptest.FormatNotes(v))
	}
}

func TestBadReleasesHaltAndGoBack(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ version, why string }{
		{"never-ready", "was not ready within"},
		{"crashes", "not seen ready"},
		{"fails-moves", "move-submit"},
		{"spoilt", "checksum"},
	} {
		t.Run(c.version, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.startConductor(nil)
			f.beginRelease(c.version, true)
			v := f.Await("the release is over", func(v *rollout.Fleet) bool { return v.Plans["r"].Over() && f.countServing(v, "1") == gatewayCount })
			p := v.Plans["r"]
			if p.Stage != rollout.RolledBack || !strings.Contains(p.Why, c.why) {
				t.Errorf("stage %s: %q", p.Stage, p.Why)
			}
			atOnce, ran := f.replacements(c.version)
			if want := map[bool]int{true: 0, false: 1}[c.version == "spoilt"]; ran != want || atOnce > 1 {
				t.Errorf("%d gateways ran the version, want %d; %d replaced at once", ran, want, atOnce)
			}
		})
	}
}
