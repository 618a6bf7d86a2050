package gateway_test

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
	"junctionring/internal/gateway"
	"junctionring/internal/standin"
	"junctionring/sites"
)

// testEnv is two sites on loopback and gateways at the near site. The link between the sites has a delay of 40 ms and
// loses one packet in fifty.
type testEnv struct {
	t         *testing.T
	record    *standin.Record
	near, far []*standin.Table
	link      *standin.Link
	registry  *standin.Registry
	gateways  []*gateway.Gateway
	urls      []string
	keys      int
	mu        sync.Mutex
}

type envOptions struct {
	gateways, near, far int
	work                time.Duration // service time of every request
	group               string        // of the move class
	queue               int
	coldFar             bool
}

func newTestEnv(t *testing.T, s envOptions) *testEnv {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	w := &testEnv{t: t, record: &standin.Record{}}
	w.link = standin.NewLink(standin.LinkOptions{Delay: 40 * time.Millisecond, Jitter: 2 * time.Millisecond, Loss: 0.02, Seed: 1})
	store, err := standin.NewStore("127.0.0.1:0")
	must(err)
	w.registry, err = standin.NewRegistry("127.0.0.1:0")
	must(err)
	t.Cleanup(w.registry.Close)
	t.Cleanup(store.Close)
	t.Cleanup(w.link.Close)
	work := map[string]standin.Work{"table-view": {Least: s.work, Most: s.work + 1}, "move-submit": {Least: s.work, Most: s.work + 1}}
	var list []standin.Instance
	for site, n := range map[string]int{"near": s.near, "far": s.far} {
		keys := standin.NewKeys()
		for i := range n {
			o := standin.TableOptions{ID: fmt.Sprintf("%s-%d", site, i), Site: site, Cores: 2, Queue: s.queue, Work: work,
				Keys: keys, Record: w.record}
			if site == "far" && s.coldFar {
				o.ColdFrom, o.Ramp = 0.15, 18*time.Second
			}
			table, err := standin.NewTable("127.0.0.1:0", o)
			must(err)
			t.Cleanup(table.Close)
			address := table.Addr()
			if site == "far" {
				address, err = w.link.To(address)
				must(err)
				w.far = append(w.far, table)
			} else {
				w.near = append(w.near, table)
			}
			list = append(list, table.Instance(address))
		}
	}
	w.registry.Put(list...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range s.gateways {
		path := filepath.Join(t.TempDir(), "operator.toml")
		must(os.WriteFile(path, fmt.Appendf(nil, `listen = "127.0.0.1:0"
ordinal = %d
gateways = %d
trusted_proxies = ["127.0.0.0/8"]
redis = {address = %q, timeout = "200ms"}
discovery = {address = %q}
site = [{name = "near", here = true}, {name = "far", distance = "40ms"}]
class = [{name = "table-view", aim = "2s", deadline = "7s", worth = 2.0, repeat = "safe"},
 {name = "move-submit", aim = "1s", deadline = "4s", worth = 6.0, repeat = "keyed", window = "4s", group = %q}]
plan = [{name = "club", rate = 100000.0, burst = 100000.0, worth = 1.0}]
`, i, s.gateways, store.Addr(), w.registry.Addr(), s.group), 0o600))
		o, err := config.LoadOperator(path)
		must(err)
		g, err := gateway.New(o, slog.New(slog.DiscardHandler), uint64(i))
		must(err)
		if !g.Start(ctx, ctx) {
			t.Fatal("the gateway did not start")
		}
		front := httptest.NewServer(g.Front())
		t.Cleanup(front.Close)
		w.gateways, w.urls = append(w.gateways, g), append(w.urls, front.URL)
	}
	return w
}

// response is what a client received.
type response struct {
	status  int // 0: no answer
	server  string
	elapsed time.Duration
}

func (a response) site() string { s, _, _ := strings.Cut(a.server, "-"); return s }

// send sends one request to a gateway and waits for its answer. A move without a key gets a new one.
func (w *testEnv) send(gate int, class, key string) (a response) {
	method, body := http.MethodGet, io.Reader(nil)
	if class == "move-submit" {
		method, body = http.MethodPost, strings.NewReader("e2e4")
		if key == "" {
			w.mu.Lock()
			w.keys++
			key = fmt.Sprint("k", w.keys)
			w.mu.Unlock()
		}
	}
	r, err := http.NewRequest(method, w.urls[gate]+"/"+class+"/1", body)
	if err != nil {
		w.t.Error(err)
		return a
	}
	r.Header.Set("X-Auth-Account", "ayumi")
	r.Header.Set("X-Auth-Plan", "club")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	defer func() { a.elapsed = time.Since(start) }()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Error(err) // every request must get a complete answer
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		w.t.Error(err)
		return a
	}
	a.status = resp.StatusCode
	if a.status == http.StatusOK {
		a.server, _, _ = strings.Cut(string(text), " ")
	}
	return a
}

// runClients runs the given number of clients at once; each sends n requests, one after the other.
func (w *testEnv) runClients(clients, n int, class string) (all []response) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for range n {
				a := w.send(c%len(w.urls), class, "")
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return all
}

func count(all []response, site string) (n int) {
	for _, a := range all {
		if a.site() == site {
			n++
		}
	}
	return n
}

// report returns the site report of one gateway.
func (w *testEnv) report(gate int) sites.Report {
	r, ok := w.gateways[gate].Core.Sites()
	if !ok {
		w.t.Fatalf("gateway %d has no site report", gate)
	}
	return r
}

// waitFor waits until a condition of the gateways or the simulated servers holds.
func (w *testEnv) waitFor(what string, reached func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !reached() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not reached within 15 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkInvariants checks what must hold in every test.
func (w *testEnv) checkInvariants() {
	w.t.Helper()
	if twice := w.record.TwiceRun(); len(twice) > 0 {
		w.t.Errorf("keys that ran twice: %v", twice)
	}
	if twice := w.record.TwiceOut(150 * time.Millisecond); len(twice) > 0 {
		w.t.Errorf("requests with two attempts in flight at once: %v", twice)
	}
	if fallen := w.record.Fallen(); len(fallen) > 0 {
		w.t.Errorf("cold servers that were overloaded: %v", fallen)
	}
}

func TestNothingCrossesWhileTheNearSiteSuffices(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 2, near: 3, far: 2, work: 20 * time.Millisecond, group: "site"})
	all := append(w.runClients(3, 40, "table-view"), w.runClients(3, 40, "move-submit")...)
	if near := count(all, "near"); near != len(all) {
		t.Errorf("%d of %d served at the near site", near, len(all))
	}
	w.checkInvariants()
}

// A hall drains with moves in flight: those get their own answers, later requests are served at the far site, and
// nothing reaches the hall more than 1 s after the drain was announced.
func TestHallDrainsWithMovesInFlight(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 2, near: 2, far: 2, work: 150 * time.Millisecond, group: "site"})
	inFlight := make(chan []response, 1)
	go func() { inFlight <- w.runClients(4, 1, "move-submit") }()
	w.waitFor("four moves at near servers", func() bool { return len(w.record.All()) >= 4 })
	w.registry.Drain("near-0", "near-1")
	drained := time.Now()
	w.waitFor("the drain to be reported", func() bool { return w.report(0).Sites[0].Draining == 2 && w.report(1).Sites[0].Draining == 2 })
	after := w.runClients(4, 6, "move-submit")
	for _, a := range <-inFlight {
		if a.status != http.StatusOK || a.site() != "near" {
			t.Errorf("a move in flight: %+v", a)
		}
	}
	if n := count(after, "far"); n != len(after) {
		t.Errorf("%d of %d served at the far site after the drain: %+v", n, len(after), after)
	}
	for _, a := range w.record.All() {
		if a.Site == "near" && a.At.After(drained.Add(time.Second)) {
			t.Errorf("attempt sent to %s %v after the drain was announced", a.Server, a.At.Sub(drained))
		}
	}
	crossings := uint64(0)
	for gate := range w.gateways {
		for _, c := range w.report(gate).Sites[1].Crossed {
			if c.Cause != "near draining" {
				t.Errorf("requests crossed with cause %q, want near draining", c.Cause)
			}
			crossings += c.Count
		}
	}
	if crossings < uint64(len(after)) {
		t.Errorf("%d crossings counted, want at least %d", crossings, len(after))
	}
	w.checkInvariants()
}

// The near site refuses requests that exceed its queue. A refusal proves that the request did not run, so it crosses to
// the far site, with or without a key.
func TestTurnedAwayCrosses(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 1, near: 1, far: 2, work: 400 * time.Millisecond, group: "site", queue: 1})
	all := w.runClients(6, 2, "move-submit")
	if count(all, "far") == 0 || count(all, "near") == 0 {
		t.Errorf("%d near, %d far", count(all, "near"), count(all, "far"))
	}
	w.checkInvariants()
}

// When a link goes silent or is cut, requests in flight over it get an early failure, near requests are not affected,
// and the link is used again once it is restored.
func TestLinkIsLostAndComesBack(t *testing.T) {
	for name, lose := range map[string]func(*standin.Link){"silent": (*standin.Link).Silence, "cut": (*standin.Link).Cut} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, envOptions{gateways: 1, near: 2, far: 2, work: 100 * time.Millisecond, group: "site"})
			w.registry.Drain("near-0", "near-1")
			w.waitFor("the drain to be reported", func() bool { return w.report(0).Sites[0].Draining == 2 })
			if all := w.runClients(2, 2, "move-submit"); count(all, "far") != len(all) {
				t.Fatalf("before the link is lost: %+v", all)
			}
			lose(w.link)
			lost := make(chan []response, 1)
			go func() { lost <- w.runClients(4, 1, "move-submit") }()
			w.waitFor("the link to count as down", func() bool { return w.report(0).Sites[1].Link == "down" })
			for _, a := range <-lost { // cancelled early instead of hanging until the client gives up
				if a.status == http.StatusOK || a.elapsed > 3*time.Second {
					t.Errorf("in flight over a lost link: %+v", a)
				}
			}
			w.registry.Put(w.near[0].Instance(w.near[0].Addr()))
			w.waitFor("a near server", func() bool { return w.report(0).Sites[0].Ready == 1 })
			if all := w.runClients(2, 5, "move-submit"); count(all, "near") != len(all) {
				t.Errorf("not all served at the near site while the link is lost: %+v", all)
			}
			w.registry.Drain("near-0")
			if err := w.link.Heal(); err != nil {
				t.Fatal(err)
			}
			w.waitFor("the link to be up", func() bool { return w.report(0).Sites[1].Link == "up" })
			w.waitFor("the drain to be reported", func() bool { return w.report(0).Sites[0].Ready == 0 })
			if all := w.runClients(2, 2, "move-submit"); count(all, "far") != len(all) {
				t.Errorf("after the link is restored: %+v", all)
			}
			w.checkInvariants()
		})
	}
}

// A move that may have run at the near site does not run at the far site, neither as a retry nor when its client
// sends it again, because no server there knows the key and would detect the duplicate.
func TestMoveInDoubtStaysAtItsSite(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 1, near: 1, far: 2, work: 300 * time.Millisecond, group: "site"})
	got := make(chan response, 1)
	go func() { got <- w.send(0, "move-submit", "doubtful") }()
	w.waitFor("the move at the near server", func() bool { return len(w.record.All()) == 1 })
	w.near[0].Crash()
	w.registry.Drain("near-0")
	if a := <-got; a.status != http.StatusBadGateway {
		t.Errorf("a move that may have run: %+v", a)
	}
	if a := w.send(0, "move-submit", "doubtful"); a.status == http.StatusOK {
		t.Errorf("the same move sent again: %+v", a)
	}
	if a := w.send(0, "move-submit", "another"); a.site() != "far" {
		t.Errorf("a new move: %+v", a)
	}
	for _, a := range w.record.All() {
		if a.Key == "doubtful" && a.Site == "far" {
			t.Error("a move that may have run crossed to the far site")
		}
	}
	w.checkInvariants()
}

// If all sites share the keys, a move that may have run at the near site is retried at the far one.
func TestMoveInDoubtCrossesWithinItsGroup(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 1, near: 1, far: 2, work: 300 * time.Millisecond, group: "all"})
	got := make(chan response, 1)
	go func() { got <- w.send(0, "move-submit", "doubtful") }()
	w.waitFor("the move at the near server", func() bool { return len(w.record.All()) == 1 })
	w.registry.Drain("near-0")
	w.waitFor("the drain to be reported", func() bool { return w.report(0).Sites[0].Draining == 1 })
	w.near[0].Crash()
	if a := <-got; a.site() != "far" {
		t.Errorf("%+v", a)
	}
}

// Both sites drain at the same time: every request is refused early, within 2 s.
func TestBothSitesDrain(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 1, near: 1, far: 1, work: 50 * time.Millisecond, group: "site"})
	w.registry.Drain("near-0", "far-0")
	w.waitFor("the drain to be reported", func() bool {
		r := w.report(0)
		return r.Sites[0].Draining == 1 && r.Sites[1].Draining == 1
	})
	for _, a := range w.runClients(2, 3, "move-submit") {
		if a.status != http.StatusServiceUnavailable || a.elapsed > 2*time.Second {
			t.Errorf("%+v", a)
		}
	}
	if r := w.report(0).Refused; len(r) != 1 || r[0].Why != "far gone" || r[0].Count != 6 {
		t.Errorf("refusals counted as %+v", r)
	}
}

// A far site that has just started takes the whole overflow of two gateways, and none of its cold servers is overloaded.
func TestColdFarSiteTakesTheSpill(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 2, near: 2, far: 3, work: 60 * time.Millisecond, group: "site", coldFar: true})
	w.runClients(8, 4, "table-view")
	w.registry.Drain("near-0", "near-1")
	all := w.runClients(24, 6, "table-view")
	if count(all, "far") == 0 {
		t.Error("no request was served at the far site")
	}
	w.checkInvariants()
}

// Four gateways send the near site more than it can serve in time: the excess crosses, every request gets an answer,
// and once the overload ends everything is served at the near site again.
func TestOverloadCrossesAndComesBack(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 4, near: 1, far: 3, work: 40 * time.Millisecond, group: "site", queue: 200})
	all := w.runClients(60, 6, "move-submit") // 60 at once, of which two are served in 40 ms: more than a second of work
	if near, far := count(all, "near"), count(all, "far"); near == 0 || far == 0 {
		t.Errorf("%d near, %d far", near, far)
	}
	slow := uint64(0)
	for gate := range w.gateways {
		for _, c := range w.report(gate).Sites[1].Crossed {
			if c.Cause == "near too slow" {
				slow += c.Count
			}
		}
	}
	if slow < uint64(count(all, "far")) {
		t.Errorf("%d crossings counted as near too slow, %d requests served at the far site", slow, count(all, "far"))
	}
	w.waitFor("the late answers to be forgotten", func() bool {
		resp := w.send(0, "table-view", "")
		return resp.site() == "near" && w.report(0).Sites[0].Late < 0.1
	})
	if after := w.runClients(4, 6, "table-view"); count(after, "near") < len(after)-1 {
		t.Errorf("after the overload: %d of %d served at the near site", count(after, "near"), len(after))
	}
	w.checkInvariants()
}

// The far site drains while it serves in place of a draining near site, and later comes back: requests in flight get
// their own answers, requests that arrive meanwhile are refused early, and later ones are served again.
func TestFarDrainsWhileItServes(t *testing.T) {
	w := newTestEnv(t, envOptions{gateways: 1, near: 1, far: 2, work: 100 * time.Millisecond, group: "site"})
	w.registry.Drain("near-0")
	w.waitFor("the drain to be reported", func() bool { return w.report(0).Sites[0].Draining == 1 })
	inFlight := make(chan []response, 1)
	go func() { inFlight <- w.runClients(2, 1, "move-submit") }()
	w.waitFor("two moves at far servers", func() bool { return len(w.record.All()) == 2 })
	w.registry.Drain("far-0", "far-1")
	for _, a := range <-inFlight {
		if a.site() != "far" {
			t.Errorf("in flight when the far site drained: %+v", a)
		}
	}
	w.waitFor("the drain to be reported", func() bool { return w.report(0).Sites[1].Draining == 2 })
	if a := w.send(0, "move-submit", ""); a.status != http.StatusServiceUnavailable {
		t.Errorf("with both sites drained: %+v", a)
	}
	address, err := w.link.To(w.far[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	w.registry.Put(w.far[0].Instance(address))
	w.waitFor("a far server", func() bool { return w.report(0).Sites[1].Ready == 1 })
	if a := w.send(0, "move-submit", ""); a.site() != "far" {
		t.Errorf("with the far site back: %+v", a)
	}
	w.checkInvariants()
}
