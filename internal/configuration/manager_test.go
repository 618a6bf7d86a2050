package configuration_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionring/internal/config"
	"junctionring/internal/configuration"
	"junctionring/internal/gateway"
	"junctionring/internal/management"
	"junctionring/internal/snapshot"
	"junctionring/internal/standin"
)

// rig is a gateway to which a test offers versions, in front of one table server that echoes request bodies.
type rig struct {
	t        *testing.T
	g        *gateway.Gateway
	front    *httptest.Server
	ops      *httptest.Server
	table    *httptest.Server
	file     string // content of the operator's file
	registry *standin.Registry
	snapshot string
	stop     func()
	mu       sync.Mutex
	hold     chan struct{} // if not nil, the table server blocks until it is closed
	held     chan struct{} // receives a value for each request that blocks
}

const baseDocument = `trusted_proxies = ["127.0.0.0/8"]
class = [{name = "table-view", aim = "2s", deadline = "7s", worth = 2.0, repeat = "safe"},
 {name = "move-submit", aim = "1s", deadline = "4s", worth = 6.0, repeat = "keyed", window = "4s"}]
plan = [{name = "club", rate = 50.0, burst = 100.0, worth = 1.0, over_cost = 1.0}]
`

func newRig(t *testing.T, withRegistry bool) *rig {
	t.Helper()
	r := &rig{t: t, held: make(chan struct{}, 64), snapshot: filepath.Join(t.TempDir(), "last-good")}
	r.table = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.mu.Lock()
		hold := r.hold
		r.mu.Unlock()
		if hold != nil {
			r.held <- struct{}{}
			<-hold
		}
		io.Copy(w, q.Body)
		fmt.Fprint(w, "seen ", q.URL.Path)
	}))
	t.Cleanup(r.table.Close)
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	address := strings.TrimPrefix(r.table.URL, "http://")
	r.file = fmt.Sprintf("listen = \"127.0.0.1:0\"\nredis = {address = %q, timeout = \"200ms\"}\nversions = {snapshot = %q}\n", store.Addr(), r.snapshot)
	if withRegistry {
		r.registry, err = standin.NewRegistry("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.registry.Close)
		r.registry.Put(standin.Instance{ID: "t1", HostPort: address, Lifecycle: "SERVING"})
		r.file += fmt.Sprintf("discovery = {address = %q}\n", r.registry.Addr()) + baseDocument
	} else {
		r.file += baseDocument + fmt.Sprintf("target = [{id = \"t1\", address = %q}]\n", address)
	}
	r.start()
	t.Cleanup(func() { r.stop() })
	return r
}

func (r *rig) start() {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(r.file), 0o600); err != nil {
		r.t.Fatal(err)
	}
	o, err := config.LoadOperator(path)
	if err != nil {
		r.t.Fatal(err)
	}
	if r.g, err = gateway.New(o, slog.New(slog.DiscardHandler), 1); err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	if !r.g.Start(ctx, ctx) {
		r.t.Fatal("the gateway did not start")
	}
	r.front, r.ops = httptest.NewServer(r.g.Front()), httptest.NewServer(r.g.Operations(management.Hooks{}))
	r.stop = func() {
		r.front.Close()
		r.ops.Close()
		cancel()
	}
}

// version returns the base document with the given old, new replacements, plus the target if there is no registry.
func (r *rig) version(changes ...string) string {
	text := baseDocument
	if r.registry == nil {
		text += fmt.Sprintf("target = [{id = \"t1\", address = %q}]\n", strings.TrimPrefix(r.table.URL, "http://"))
	}
	return strings.NewReplacer(changes...).Replace(text)
}

// push offers a document through the operations API. reason is empty if the version was accepted.
func (r *rig) push(number int, text string, more ...string) (reason string) {
	r.t.Helper()
	resp, err := http.Post(fmt.Sprintf("%s/config?version=%d%s", r.ops.URL, number, strings.Join(more, "")), "application/toml", strings.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return ""
	}
	return strings.TrimSpace(string(answer))
}

func (r *rig) request(method, path, key string, more ...string) (status int, text string) {
	q, err := http.NewRequest(method, r.front.URL+path, nil)
	if err != nil {
		r.t.Error(err)
		return 0, ""
	}
	if method == http.MethodPost {
		q.Body, q.ContentLength = io.NopCloser(strings.NewReader("e2e4")), 4
		q.Header.Set("Idempotency-Key", key)
	}
	q.Header.Set("X-Auth-Account", "ayumi")
	q.Header.Set("X-Auth-Plan", "club")
	for i := 0; i+1 < len(more); i += 2 {
		q.Header.Set(more[i], more[i+1])
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		r.t.Error(err)
	}
	return resp.StatusCode, string(b)
}

func (r *rig) runningVersion() int64 {
	s, ok := r.g.Configuration.Status()
	if !ok {
		r.t.Fatal("the configuration manager has stopped")
	}
	return s.InForce.Number
}

func (r *rig) expect(what string, got, want any) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// A version with routes is accepted and its routes apply to requests. An invalid version is rejected with all of its
// faults, and the version in force stays.
func TestVersionIsTakenOrTurnedDown(t *testing.T) {
	r := newRig(t, false)
	status, _ := r.request("GET", "/boards/7", "")
	r.expect("status before the version with routes", status, http.StatusNotFound)
	r.expect("push", r.push(1, r.version()+"route = [{path = \"/boards/*\", methods = [\"GET\"], class = \"table-view\"}]\n"), "")
	status, text := r.request("GET", "/boards/7", "")
	r.expect("answer through the route", fmt.Sprint(status, text), "200seen /boards/7")
	reason := r.push(2, r.version("rate = 50.0", "rate = -1.0", `repeat = "safe"`, `repeat = "never"`)+
		"route = [{path = \"/boards/*\", class = \"gone\"}]\n")
	for _, want := range []string{"plan club: rate", "repeat must be", `there is no class "gone"`} {
		if !strings.Contains(reason, want) {
			t.Errorf("%q does not name %q", reason, want)
		}
	}
	if reason = r.push(3, `listen = "127.0.0.1:1"`+"\n"+r.version()); !strings.Contains(reason, "listen can't change") {
		t.Errorf("version with another listen address: reason %q, want that it can't change", reason)
	}
	if reason = r.push(4, "class = [{"); reason == "" {
		t.Error("a truncated document was accepted")
	}
	r.expect("version", r.runningVersion(), int64(1))
	status, _ = r.request("GET", "/boards/7", "")
	r.expect("status after rejected versions", status, http.StatusOK)
}

// A held request finishes under the version it arrived with, even if a later version has removed its class.
func TestHeldRequestEndsUnderItsVersion(t *testing.T) {
	r := newRig(t, false)
	r.mu.Lock()
	r.hold = make(chan struct{})
	r.mu.Unlock()
	got := make(chan int, 1)
	go func() {
		status, _ := r.request("GET", "/table-view/1", "")
		got <- status
	}()
	<-r.held
	without := strings.Replace(r.version(), `{name = "table-view", aim = "2s", deadline = "7s", worth = 2.0, repeat = "safe"},`, "", 1)
	r.expect("push", r.push(1, without), "")
	status, _ := r.request("GET", "/table-view/1", "")
	r.expect("status of a new request for the removed class", status, http.StatusNotFound)
	r.mu.Lock()
	close(r.hold)
	r.hold = nil
	r.mu.Unlock()
	r.expect("status of the held request", <-got, http.StatusOK)
	for n := 2; n < 30; n++ { // enough versions for numbers of classes and plans to be reused
		r.expect("push", r.push(n, r.version("rate = 50.0", fmt.Sprintf("rate = 5%d.0", n))), "")
		status, _ = r.request("GET", "/table-view/1", "")
		r.expect("status under a later version", status, http.StatusOK)
	}
}

// The burst of a plan is halved while a customer is using it. Units used before the change stay counted after it.
func TestPlanHalvedInItsBurst(t *testing.T) {
	r := newRig(t, false)
	r.expect("push", r.push(1, r.version("rate = 50.0, burst = 100.0", "rate = 0.01, burst = 20.0")), "")
	served := func(n int) (ok int) {
		for i := range n {
			if status, _ := r.request("POST", "/move-submit/1", fmt.Sprint("k", time.Now().UnixNano(), i)); status == http.StatusOK {
				ok++
			}
		}
		return ok
	}
	if n := served(12); n != 12 {
		t.Errorf("%d of 12 requests served within a burst of 20, want all", n)
	}
	r.expect("push", r.push(2, r.version("rate = 50.0, burst = 100.0", "rate = 0.01, burst = 10.0")), "")
	if n := served(15); n < 6 || n > 10 { // 8 of the 20 units were left
		t.Errorf("%d more requests served after the burst was halved, want 8", n)
	}
}

func TestPlanInUseIsNotTakenAway(t *testing.T) {
	r := newRig(t, false)
	status, _ := r.request("GET", "/table-view/1", "")
	r.expect("status of a customer in service", status, http.StatusOK)
	if reason := r.push(1, r.version(`name = "club"`, `name = "league"`)); !strings.Contains(reason, "plan club is taken away while 1 customers") {
		t.Errorf("removal of a plan in use: reason %q, want one that names the plan and its customers", reason)
	}
	r.expect("push of a version with an additional plan", r.push(2, r.version("plan = [", `plan = [{name = "league", rate = 9.0, burst = 9.0, worth = 1.0}, `)), "")
}

// A version with a target that is not on the roster is rejected for that reason, and applied once the roster lists it.
func TestTargetNotYetOnTheRoster(t *testing.T) {
	r := newRig(t, true)
	reason := r.push(1, r.version()+"target = [{id = \"t2\"}]\n")
	if !strings.Contains(reason, "target t2 is not on the roster") {
		t.Fatalf("%q", reason)
	}
	r.registry.Put(standin.Instance{ID: "t2", HostPort: strings.TrimPrefix(r.table.URL, "http://"), Lifecycle: "SERVING"})
	by := time.Now().Add(10 * time.Second)
	for r.runningVersion() != 1 {
		if time.Now().After(by) {
			t.Fatal("version 1 was not applied within 10 s after the roster listed its target")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A gateway starts with the last good version from the snapshot. A corrupt snapshot is renamed, and the gateway starts
// with the operator's file.
func TestStartFromTheSnapshot(t *testing.T) {
	r := newRig(t, false)
	r.expect("push", r.push(5, r.version()+"route = [{path = \"/boards/*\", class = \"table-view\"}]\n"), "")
	r.stop()
	r.start()
	r.expect("version", r.runningVersion(), int64(5))
	status, _ := r.request("GET", "/boards/7", "")
	r.expect("status through the route of the snapshot", status, http.StatusOK)
	if reason := r.push(4, r.version()); !strings.Contains(reason, "no newer than 5") {
		t.Errorf("older version: reason %q, want that it is no newer than 5", reason)
	}
	r.expect("push of a rollback", r.push(4, r.version(), "&rollback=true"), "")
	r.stop()
	if err := os.WriteFile(r.snapshot, []byte("junctionring-snapshot 1 9 00"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.start()
	r.expect("version after a corrupt snapshot", r.runningVersion(), int64(0))
	if _, err := os.Stat(r.snapshot + ".spoilt"); err != nil {
		t.Error(err)
	}
}

// A version that can't be saved is rejected, since the next start would lose it.
func TestDiskThatCantBeWritten(t *testing.T) {
	r := newRig(t, false)
	if err := os.Mkdir(r.snapshot, 0o700); err != nil { // a directory at the snapshot's path
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(r.snapshot, "x"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if reason := r.push(1, r.version()); !strings.Contains(reason, "can't be saved") {
		t.Errorf("snapshot path not writable: reason %q, want that the version can't be saved", reason)
	}
	r.expect("version", r.runningVersion(), int64(0))
}

// Valid and invalid versions arrive in quick succession under client load. Each request and each version gets one
// answer, and the newest valid version is in force at the end.
func TestChurnUnderLoad(t *testing.T) {
	r := newRig(t, false)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// Three clients use half of the six slots that control first gives a server. With more clients, requests could be
	// shed by chance, whether versions change or not.
	for c := range 3 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				status, text := r.request("POST", "/move-submit/1", fmt.Sprint(c, "-", n))
				if status != http.StatusOK && status != http.StatusTooManyRequests || status == http.StatusOK && text != "e2e4seen /move-submit/1" {
					t.Errorf("status %d with body %q, want 429, or 200 with the echoed body", status, text)
				}
			}
		})
	}
	for n := 1; n <= 60; n++ {
		text, good := r.version("rate = 50.0", fmt.Sprintf("rate = %d.0", 50+n)), true
		switch n % 3 {
		case 1:
			text, good = strings.Replace(text, "aim", "aym", 1), false
		case 2:
			text, good = text[:len(text)/2], false
		}
		if reason := r.push(n, text); (reason == "") != good {
			t.Errorf("version %d: reason for rejection %q, want accepted: %t", n, reason, good)
		}
	}
	close(stop)
	clients.Wait()
	r.expect("version", r.runningVersion(), int64(60))
	if v, err := snapshot.Load(r.snapshot); err != nil || v.Number != 60 {
		t.Errorf("snapshot holds version %d, error %v, want version 60", v.Number, err)
	}
}

func TestTooLongADocument(t *testing.T) {
	r := newRig(t, false)
	if reason := r.push(1, strings.Repeat("# 0123456789\n", configuration.MaxDocument/12)); !strings.Contains(reason, "bytes") && !strings.Contains(reason, "large") {
		t.Errorf("oversized document: reason %.200q, want one that names its size", reason)
	}
}
