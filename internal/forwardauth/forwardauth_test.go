package forwardauth_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/forwardauth"
	"junctionring/internal/front"
	"junctionring/internal/routetable"
	"junctionring/internal/standin"
)

// tableServer is a stand-in table server that counts how often each key ran. It does not drop repeats itself.
type tableServer struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	seen []http.Header
	hold chan struct{} // if not nil, answers wait until it is closed
}

func newTableServer(t *testing.T) *tableServer {
	s := &tableServer{runs: map[string]int{}}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body) // a request runs only once its last byte has arrived
		if err != nil {
			return
		}
		s.mu.Lock()
		s.runs[r.Header.Get("Idempotency-Key")]++
		s.seen = append(s.seen, r.Header.Clone())
		hold := s.hold
		s.mu.Unlock()
		if hold != nil {
			<-hold
		}
		w.Write(body)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *tableServer) total() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

func (s *tableServer) runCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// checker is a stand-in checker whose answers are defined by each test.
type checker struct {
	*httptest.Server
	requests  chan http.Header
	abandoned chan struct{} // receives one value for each check that the gateway canceled
}

func newChecker(t *testing.T, answer func(w http.ResponseWriter, r *http.Request)) *checker {
	c := &checker{requests: make(chan http.Header, 256), abandoned: make(chan struct{}, 256)}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.requests <- r.Header.Clone()
		answer(w, r)
		if r.Context().Err() != nil {
			c.abandoned <- struct{}{}
		}
	}))
	t.Cleanup(c.Close)
	return c
}

func allow(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Auth-Account", "ayumi")
	w.Header().Set("X-Auth-Plan", "club")
	w.WriteHeader(http.StatusNoContent)
}

// startGateway starts a front with the given checker, store and table server, and returns its URL. more lists pairs of
// old and new text to replace in the operator's file.
func startGateway(t *testing.T, checkURL, redis string, table *tableServer, more ...string) string {
	t.Helper()
	text := `listen = "127.0.0.1:0"
gateways = 2
trusted_proxies = ["127.0.0.0/8"]
asked = {path = "/verify"}
checker = {url = "` + checkURL + `", timeout = "300ms", response_headers = ["X-Seat"]}
redis = {address = "` + redis + `", timeout = "100ms"}
class = [{name = "table-view", aim = "1s", deadline = "2s", worth = 2.0, repeat = "safe"},
 {name = "move-submit", aim = "1s", deadline = "2s", worth = 6.0, repeat = "keyed", window = "4s"}]
plan = [{name = "club", rate = 0.1, burst = 20.0, worth = 1.0, over_cost = 1.0}]
target = [{id = "t1", address = "` + strings.TrimPrefix(table.URL, "http://") + `"}]
`
	for i := 0; i+1 < len(more); i += 2 {
		text = strings.Replace(text, more[i], more[i+1], 1)
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	o, err := config.LoadOperator(path)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	tally := counter.NewRedis(redis, o.Redis.Timeout.Duration)
	fleet := egress.NewFleet(egress.Options{ConnectTimeout: time.Second, ConnIdle: 10 * time.Second, Conns: 64})
	c, err := core.New(o.Module, 1, fleet, tally, log)
	if err != nil {
		t.Fatal(err)
	}
	f, err := forwardauth.New(o, c, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go c.Run(ctx)
	go tally.Run(ctx)
	c.Routes(routetable.Static(o))
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		t.Fatal(err)
	}
	s := front.NewServer(f, o.MaxHeader, nil, log)
	go s.Serve(l, 64)
	t.Cleanup(func() {
		now, stop := context.WithCancel(context.Background())
		stop()
		s.Drain(now, time.Time{}, time.Time{})
		cancel()
	})
	return "http://" + l.Addr().String()
}

// sendRequest sends one request and returns the response and its body.
func sendRequest(t *testing.T, method, url, key string, more ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, bytes.NewReader([]byte("e2e4")))
	if err != nil {
		t.Fatal(err)
	}
	if method == http.MethodGet {
		r.Body, r.ContentLength = nil, 0
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(more); i += 2 {
		if more[i] != "" {
			r.Header.Set(more[i], more[i+1])
		}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return &http.Response{Header: http.Header{}}, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(body)
}

func expectStatus(t *testing.T, resp *http.Response, status int) {
	t.Helper()
	if resp.StatusCode != status {
		t.Errorf("answered %d, want %d", resp.StatusCode, status)
	}
	if status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// A checked move reaches a table server with the identity that the checker determined, not with the one that the client
// claims.
func TestCheckedMoveIsServed(t *testing.T) {
	table, store := newTableServer(t), newStore(t)
	check := newChecker(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seat", "north")
		allow(w, r)
	})
	url := startGateway(t, check.URL+"/v?x=1", store.Addr(), table)
	resp, body := sendRequest(t, "POST", url+"/move-submit/7?turn=3", "k1",
		"X-Auth-Account", "mallory", "X-Seat", "south", "X-Forwarded-Host", "club.example", "X-Forwarded-Uri", "/table-view/1", "Authorization", "Bearer b")
	expectStatus(t, resp, http.StatusOK)
	if body != "e2e4" {
		t.Errorf("body %q", body)
	}
	q := <-check.requests
	for name, want := range map[string]string{
		"X-Forwarded-Method": "POST", "X-Forwarded-Uri": "/move-submit/7?turn=3", "X-Forwarded-Host": "club.example",
		"X-Forwarded-Proto": "http", "X-Forwarded-For": "127.0.0.1", "Authorization": "Bearer b", "X-Auth-Account": "",
	} {
		if q.Get(name) != want {
			t.Errorf("the checker saw %s: %q, want %q", name, q.Get(name), want)
		}
	}
	got := table.seen[0]
	if got.Get("X-Auth-Account") != "ayumi" || got.Get("X-Seat") != "north" {
		t.Errorf("the table saw account %q, seat %q", got.Get("X-Auth-Account"), got.Get("X-Seat"))
	}
}

// However the check fails, the client gets one prompt response, and without a 2xx from the checker nothing runs.
func TestNoVerdictFailsClosed(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		status int
	}{
		{"401 goes back", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "who are you", http.StatusUnauthorized)
		}, http.StatusUnauthorized},
		{"redirect goes back", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/login", http.StatusFound)
		}, http.StatusFound},
		{"5xx", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			http.StatusServiceUnavailable},
		{"reset", func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) },
			http.StatusServiceUnavailable},
		{"2xx for nobody", func(w http.ResponseWriter, r *http.Request) {}, http.StatusServiceUnavailable},
		{"stall of 3 s", func(w http.ResponseWriter, r *http.Request) {
			wait := time.NewTimer(3 * time.Second)
			defer wait.Stop()
			select {
			case <-wait.C:
			case <-release:
			case <-r.Context().Done():
			}
			allow(w, r) // after the check's timeout
		}, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, store, check := newTableServer(t), newStore(t), newChecker(t, c.answer)
			url := startGateway(t, check.URL, store.Addr(), table)
			noFollow := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
			r, _ := http.NewRequest("POST", url+"/move-submit/7", strings.NewReader("e2e4"))
			r.Header.Set("Idempotency-Key", "k")
			resp, err := noFollow.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			expectStatus(t, resp, c.status)
			if c.name == "401 goes back" && resp.Header.Get("WWW-Authenticate") != "Bearer" {
				t.Error("the checker's headers are lost")
			}
			if c.name == "stall of 3 s" {
				<-check.abandoned // the gateway canceled the check
			}
			if n := table.total(); n != 0 {
				t.Errorf("%d requests reached a table", n)
			}
			if n := len(check.requests); n != 1 {
				t.Errorf("the checker was asked %d times", n)
			}
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		table, check := newTableServer(t), newChecker(t, allow)
		check.Close()
		resp, _ := sendRequest(t, "GET", startGateway(t, check.URL, newStore(t).Addr(), table)+"/table-view/1", "")
		expectStatus(t, resp, http.StatusServiceUnavailable)
	})
}

// If the client disconnects during the check, a verdict that arrives later sends nothing to a table server.
func TestClientLeavesDuringCheck(t *testing.T) {
	table, store, verdict := newTableServer(t), newStore(t), make(chan struct{})
	check := newChecker(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-verdict:
		case <-r.Context().Done():
		}
		allow(w, r)
	})
	url := startGateway(t, check.URL, store.Addr(), table, `timeout = "300ms"`, `timeout = "1900ms"`)
	ctx, leave := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, "POST", url+"/move-submit/7", strings.NewReader("e2e4"))
	r.Header.Set("Idempotency-Key", "k")
	done := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(r)
		done <- err
	}()
	<-check.requests
	leave()
	if err := <-done; err == nil {
		t.Fatal("the client did not disconnect")
	}
	<-check.abandoned // the gateway noticed the disconnect and canceled the check
	close(verdict)
	// Nothing ran with the key, so it can be used again. This request passes its check and is the only one to run.
	resp, _ := sendRequest(t, "POST", url+"/move-submit/7", "k")
	expectStatus(t, resp, http.StatusOK)
	if n := table.runCount("k"); n != 1 {
		t.Errorf("the move ran %d times", n)
	}
}

// Of concurrent requests with one key, one runs and each gets one response. A later repeat gets the first response.
func TestKeyRunsOnce(t *testing.T) {
	table, store, check := newTableServer(t), newStore(t), newChecker(t, allow)
	table.hold = make(chan struct{})
	url := startGateway(t, check.URL, store.Addr(), table)
	const repeats = 8
	statuses := make(chan int, repeats)
	for range repeats {
		go func() {
			resp, _ := sendRequest(t, "POST", url+"/move-submit/7", "k")
			statuses <- resp.StatusCode
		}()
	}
	for range repeats - 1 { // all but the one that runs are answered while it is running
		if s := <-statuses; s != http.StatusConflict {
			t.Errorf("a repeat was answered %d while the key was running", s)
		}
	}
	close(table.hold)
	if s := <-statuses; s != http.StatusOK {
		t.Errorf("the first was answered %d", s)
	}
	resp, body := sendRequest(t, "POST", url+"/move-submit/7", "k")
	expectStatus(t, resp, http.StatusOK)
	if body != "e2e4" || resp.Header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("a later repeat got %q", body)
	}
	if n := table.runCount("k"); n != 1 {
		t.Errorf("the move ran %d times", n)
	}
}

// Verdicts for a proxy use the same quota as forwarded requests, with 429 and Retry-After beyond it.
func TestAskedForVerdicts(t *testing.T) {
	table, store := newTableServer(t), newStore(t)
	check := newChecker(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") == "" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		allow(w, r)
	})
	url := startGateway(t, check.URL, store.Addr(), table, "gateways = 2", "gateways = 1")
	verdict := func(more ...string) *http.Response {
		resp, _ := sendRequest(t, "GET", url+"/verify", "", append(more, "X-Forwarded-Method", "GET",
			"X-Forwarded-Uri", "/table-view/9", "X-Quota", "units=6,spread=1,first=0")...)
		return resp
	}
	expectStatus(t, verdict(), http.StatusForbidden)
	for range 3 {
		resp := verdict("Authorization", "b")
		expectStatus(t, resp, http.StatusOK)
		if resp.Header.Get("X-Auth-Account") != "ayumi" {
			t.Error("no identity to copy onward")
		}
	}
	resp := verdict("Authorization", "b") // 18 of 20 units are spent
	expectStatus(t, resp, http.StatusTooManyRequests)
	if resp.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	resp, _ = sendRequest(t, "GET", url+"/table-view/9", "", "Authorization", "b", "X-Quota", "units=6,spread=1,first=0")
	expectStatus(t, resp, http.StatusTooManyRequests)
	if n := table.total(); n != 0 {
		t.Errorf("%d requests reached a table", n)
	}
	resp, _ = sendRequest(t, "GET", url+"/verify", "", "X-Forwarded-Method", "GET", "X-Forwarded-Uri", "table-view")
	expectStatus(t, resp, http.StatusBadRequest)
}

// Only configured proxies may ask for verdicts and set forwarded headers.
func TestStrangersAreNotBelieved(t *testing.T) {
	table, store, check := newTableServer(t), newStore(t), newChecker(t, allow)
	url := startGateway(t, check.URL, store.Addr(), table, "127.0.0.0/8", "192.0.2.0/24")
	resp, _ := sendRequest(t, "GET", url+"/verify", "", "X-Forwarded-Method", "GET", "X-Forwarded-Uri", "/table-view/9")
	expectStatus(t, resp, http.StatusForbidden)
	resp, _ = sendRequest(t, "GET", url+"/table-view/9", "", "X-Forwarded-For", "192.0.2.9", "X-Forwarded-Uri", "/other")
	expectStatus(t, resp, http.StatusOK)
	if q := <-check.requests; q.Get("X-Forwarded-For") != "127.0.0.1" || q.Get("X-Forwarded-Uri") != "/table-view/9" {
		t.Errorf("the checker was told For %q, Uri %q", q.Get("X-Forwarded-For"), q.Get("X-Forwarded-Uri"))
	}
}

// Malformed input is rejected at once, without a check and without reaching the core.
func TestMalformedIsRejected(t *testing.T) {
	table, store, check := newTableServer(t), newStore(t), newChecker(t, allow)
	url := startGateway(t, check.URL, store.Addr(), table)
	for _, c := range []struct {
		method, path, key, header, value string
		status                           int
	}{
		{"GET", "/no-such/1", "", "", "", 404},
		{"POST", "/table-view/1", "", "", "", 405},
		{"POST", "/move-submit/1", "", "", "", 400},
		{"GET", "/table-view/1", "", "X-Timeout", "soon", 400},
		{"GET", "/table-view/1", "", "X-Quota", "units=-1,spread=1,first=0", 400},
		{"GET", "/table-view/1", "", "X-Long", strings.Repeat("x", 32<<10), 431},
	} {
		resp, _ := sendRequest(t, c.method, url+c.path, c.key, c.header, c.value)
		expectStatus(t, resp, c.status)
	}
	r, _ := http.NewRequest("POST", url+"/move-submit/1", bytes.NewReader(make([]byte, 64<<10+1)))
	r.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	expectStatus(t, resp, http.StatusRequestEntityTooLarge)
	if len(check.requests) != 0 || table.total() != 0 {
		t.Error("a malformed request reached the checker or a table server")
	}
}

// Two gateways on one store share one quota. A silent or emptied store stops neither of them.
func TestTwoGatewaysOneQuota(t *testing.T) {
	table, store, check := newTableServer(t), newStore(t), newChecker(t, allow)
	urls := []string{
		startGateway(t, check.URL, store.Addr(), table),
		startGateway(t, check.URL, store.Addr(), table, "gateways = 2", "gateways = 2\nordinal = 1"),
	}
	// The store's sums arrive asynchronously: each request is sent once the one before it has been counted.
	const each = 4.0
	quota := []string{"X-Quota", "units=4,spread=2,first=0"}
	units := 0.0
	for i := range 16 {
		resp, _ := sendRequest(t, "GET", urls[i%2]+"/table-view/1", "", quota...)
		switch resp.StatusCode {
		case http.StatusOK:
			units += each
			awaitSum(t, store, units)
		case http.StatusTooManyRequests:
		default:
			t.Fatalf("answered %d", resp.StatusCode)
		}
	}
	// Each gateway alone would admit 20 units, both 40. A gateway may lack the latest sum.
	if units < 2*each || units > 20+2*each {
		t.Errorf("%g units were admitted, of a quota of 20", units)
	}
	for _, life := range store.Life() {
		if life <= 0 || life > time.Minute {
			t.Errorf("a key in the store expires after %v, want within a minute", life)
		}
	}
	store.Empty()
	resp, _ := sendRequest(t, "GET", urls[0]+"/table-view/1", "", quota...)
	if resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("an emptied store refilled the quota: %d", resp.StatusCode)
	}
	store.Silence()
	resp, _ = sendRequest(t, "GET", urls[1]+"/table-view/2", "", quota...)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusTooManyRequests {
		t.Errorf("a silent store gave %d", resp.StatusCode)
	}
}

// A move whose outcome is in doubt is not run again once table servers no longer drop its repeat.
func TestKeyInDoubtIsNotRunAgain(t *testing.T) {
	table, store, check := newTableServer(t), newStore(t), newChecker(t, allow)
	table.hold = make(chan struct{})
	defer close(table.hold)
	url := startGateway(t, check.URL, store.Addr(), table, `window = "4s"`, `window = "400ms"`)
	resp, _ := sendRequest(t, "POST", url+"/move-submit/7", "k") // held by the table server until the window has passed
	expectStatus(t, resp, http.StatusServiceUnavailable)
	resp, _ = sendRequest(t, "POST", url+"/move-submit/7", "k")
	expectStatus(t, resp, http.StatusConflict)
	if n := table.runCount("k"); n != 1 {
		t.Errorf("the move ran %d times", n)
	}
	resp, _ = sendRequest(t, "POST", url+"/move-submit/7", "other", "X-Timeout", "300m") // another key is not blocked
	expectStatus(t, resp, http.StatusServiceUnavailable)
	if n := table.runCount("other"); n != 1 {
		t.Errorf("the other move ran %d times", n)
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

func awaitSum(t *testing.T, s *standin.Store, sum float64) {
	t.Helper()
	if err := s.AwaitSum(sum, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}

// A long move and its long answer are streamed, with the same check and key guard as a short one. A body beyond max_body
// gets 413 if its length is declared, is refused if it comes in chunks, and no table server runs it.
func TestLongBodyIsPassedOn(t *testing.T) {
	table, store := newTableServer(t), newStore(t)
	check := newChecker(t, allow)
	url := startGateway(t, check.URL, store.Addr(), table, "gateways = 2", "gateways = 2\nmax_body = 4194304")
	body := bytes.Repeat([]byte("e2e4"), 1<<19)
	post := func(key string, body io.Reader) int {
		r, err := http.NewRequest("POST", url+"/move-submit/7", body)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if got, err := io.ReadAll(resp.Body); resp.StatusCode == 200 && (err != nil || !bytes.Equal(got, bytes.Repeat([]byte("e2e4"), 1<<19))) {
			t.Errorf("answered with %d bytes, possibly not those sent; %v", len(got), err)
		}
		return resp.StatusCode
	}
	chunked := func(b []byte) io.Reader { return struct{ io.Reader }{bytes.NewReader(b)} }
	for _, c := range []struct {
		key    string
		body   io.Reader
		status int
		runs   int
	}{
		{"k1", bytes.NewReader(body), 200, 1},
		{"k1", bytes.NewReader(body), 409, 1}, // it has run, and its response is not kept
		{"k2", chunked(body), 200, 1},
		{"k3", bytes.NewReader(make([]byte, 5<<20)), 413, 0},
	} {
		if status := post(c.key, c.body); status != c.status || table.runCount(c.key) != c.runs {
			t.Errorf("%s: answered %d, ran %d times; want %d, %d", c.key, status, table.runCount(c.key), c.status, c.runs)
		}
	}
	if status := post("k4", chunked(make([]byte, 5<<20))); status < 400 || table.runCount("k4") != 0 {
		t.Errorf("too long in chunks: answered %d, ran %d times", status, table.runCount("k4"))
	}
	if n := len(check.requests); n > 4 {
		t.Errorf("the checker was asked %d times", n)
	}
}
