package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// spoiled is a simple gateway of the test binary's own with one deliberate fault, by which the judge is proven: it serves a
// plan without faults as a gateway would, but for the rule that it is to break.
type spoiled struct {
	rule     Rule
	document document
	client   http.Client

	mu     sync.Mutex
	last   string // body of the answer before
	held   []byte // memory that is never given back
	served int
}

// spoils tells whether the deliberate fault is due, at each tenth request.
func (s *spoiled) spoils(rule Rule) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rule == rule && s.served%10 == 9
}

// runSpoiled runs the process until SIGTERM.
func runSpoiled(rule Rule) error {
	text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
	if err != nil {
		return err
	}
	s := &spoiled{rule: rule}
	if err := json.Unmarshal(text, &s.document); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.document.Listen)
	if err != nil {
		return err
	}
	if rule == Level {
		s.held = make([]byte, 2*mostMemoryMB<<20)
		for i := range s.held {
			s.held[i] = 1
		}
	}
	if rule == Start {
		select {} // it never serves
	}
	go http.Serve(l, s)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	<-term
	if rule == Shutdown {
		select {}
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *spoiled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health/ready" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.served++
	n := s.served
	s.mu.Unlock()
	unsafe := strings.HasPrefix(r.URL.Path, "/stake/")
	switch {
	case s.spoils(Answer):
		s.send(r, body, n)
		panic(http.ErrAbortHandler)
	case s.spoils(Once):
		go s.send(r, body, n)
	case s.rule == Gone:
		time.Sleep(2 * goneSlack)
		if r.Context().Err() != nil {
			time.Sleep(time.Second / 2)
		}
	case s.spoils(InTime):
		r.Header.Set("X-Timeout", "60000m")
	}
	answer := s.send(r, body, n)
	switch {
	case s.rule == Truth && unsafe && n%4 == 0:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case s.spoils(Own):
		answer = s.last
	}
	s.mu.Lock()
	s.last = answer
	s.mu.Unlock()
	io.WriteString(w, answer)
}

// send sends a request to a server, in turn: those that drain among them, as only the list is read that there was at the start.
func (s *spoiled) send(r *http.Request, body []byte, n int) string {
	target := s.document.Known.Instances[n%len(s.document.Known.Instances)].HostPort
	q, err := http.NewRequest(r.Method, "http://"+target+r.URL.Path, strings.NewReader(string(body)))
	if err != nil {
		return ""
	}
	q.Header = r.Header.Clone()
	resp, err := s.client.Do(q)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return string(answer)
}

func TestMain(m *testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "spoiled" {
		if err := runSpoiled(Rule(os.Args[2])); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// quiet is a plan without faults, but for the drain where the rule on drains is to be broken.
func quiet(seed uint64, rule Rule) Plan {
	p := Draw(seed, 2*time.Second)
	p.Faults, p.Clients = nil, 6*int(habits)
	if rule == Drain {
		p.Faults = []Fault{{At: quietStart, Kind: ServerDrains, Target: p.Servers - 1}}
		p.Grace = 300 * time.Millisecond
	}
	return p
}

// Guards against a judge that does not see a rule broken: each deliberate fault is caught on the first seed.
func TestEachDeliberateFaultIsCaught(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, rule := range Rules {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			result, err := Run(t.Context(), quiet(1, rule), []string{self, "spoiled", string(rule)}, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			caught := map[Rule]int{}
			for _, b := range result.Breaks {
				caught[b.Rule]++
			}
			t.Logf("%d requests, breaks by rule: %v", result.Requests(), caught)
			if caught[rule] == 0 {
				t.Errorf("not caught; breaks by rule: %v", caught)
			}
		})
	}
}
