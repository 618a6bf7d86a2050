package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keys are what the servers of one group remember together of keyed requests.
type keys struct {
	mu    sync.Mutex
	first map[string]time.Time
}

// run tells whether a request with a key runs: it does once within the window.
func (k *keys) run(key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, known := k.first[key]; known && time.Since(at) < window {
		return false
	}
	k.first[key] = time.Now()
	return true
}

// server is a stand-in for a table server. It answers each request with the request's id.
type server struct {
	number   int
	plan     Plan
	record   *Record
	keys     *keys
	listener net.Listener
	http     *http.Server

	mu     sync.Mutex
	faults map[FaultKind]int // that are in force, with how often
	healed chan struct{}     // closed as a fault ends
	conns  map[net.Conn]http.ConnState
	forgot map[net.Conn]time.Time // when forget closed a connection

	handling sync.WaitGroup
}

func newServer(number int, p Plan, r *Record, k *keys) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("server %d: %w", number, err)
	}
	s := &server{number: number, plan: p, record: r, keys: k, listener: l,
		faults: map[FaultKind]int{}, healed: make(chan struct{}), conns: map[net.Conn]http.ConnState{}, forgot: map[net.Conn]time.Time{}}
	s.http = &http.Server{Handler: s, IdleTimeout: p.ConnIdle, ConnState: s.connState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go s.http.Serve(l)
	return s, nil
}

type connKey struct{} // of a request's connection in its context

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c] = state; state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		delete(s.forgot, c)
	}
}

// forgotAt returns when the connection of a request was closed at rest, as the request arrived; zero: it was not.
func (s *server) forgotAt(r *http.Request) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return s.forgot[c]
}

// begin puts a fault in force, and returns what ends it.
func (s *server) begin(k FaultKind) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[k]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults[k]--
		close(s.healed)
		s.healed = make(chan struct{})
	}
}

func (s *server) has(k FaultKind) (in bool, healed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults[k] > 0, s.healed
}

// forget closes the connections at rest.
func (s *server) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state == http.StateIdle {
			s.forgot[c] = time.Now()
			c.Close()
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handling.Add(1)
	defer s.handling.Done()
	if strings.HasPrefix(r.URL.Path, "/health/") || r.URL.Path == "/stats" {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it did not come whole
	}
	a := &Attempt{ID: r.Header.Get("X-Request-ID"), Key: r.Header.Get("Idempotency-Key"), Server: s.number, Begun: time.Now(),
		TimeLeft: timeLeft(r.Header.Get("X-Timeout"))}
	if at := s.forgotAt(r); !at.IsZero() { // it runs, and was out no longer than its connection
		a.Begun, a.Ended = at, at
	}
	full, _ := s.has(ServerFull)
	window := s.plan.Classes[1].Window
	switch {
	case full:
		a.End = TurnedOff
	case a.Key != "" && !s.keys.run(a.Key, window):
		a.End = Dropped
	default:
		a.End = Ran
	}
	s.record.addAttempt(a)
	defer s.record.endAttempt(a)
	if full {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.work(w, r, a)
}

// work takes the time of a request's work, and answers it as the faults in force allow.
func (s *server) work(w http.ResponseWriter, r *http.Request, a *Attempt) {
	took := time.NewTimer(time.Duration(rand.ExpFloat64() * float64(s.plan.Work)))
	defer took.Stop()
	select {
	case <-took.C:
	case <-r.Context().Done():
		return
	}
	for hangs, healed := s.has(ServerHangs); hangs; hangs, healed = s.has(ServerHangs) {
		select {
		case <-healed:
		case <-r.Context().Done():
			return
		}
	}
	if resets, _ := s.has(ServerResets); resets {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.(*net.TCPConn).SetLinger(0)
			s.record.endAttempt(a)
			c.Close()
		}
		return
	}
	if twice, _ := s.has(ServerTwice); twice {
		s.answerTwice(w, a)
		return
	}
	s.record.endAttempt(a) // as the answer may be read before this handler returns
	io.WriteString(w, a.ID)
}

// answerTwice answers a request twice, the second time late, and ends the connection some time after. What it is sent
// meanwhile it doesn't read.
func (s *server) answerTwice(w http.ResponseWriter, a *Attempt) {
	const lateMost, stays = 200 * time.Millisecond, 300 * time.Millisecond
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	s.record.endAttempt(a)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(a.ID), a.ID)
	io.WriteString(c, answer)
	time.Sleep(time.Duration(rand.Int64N(int64(lateMost))))
	io.WriteString(c, answer)
	time.Sleep(stays)
}

func timeLeft(text string) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSuffix(text, "m"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// close ends the server, and returns once nothing is handled any more.
func (s *server) close() {
	s.http.Close()
	s.handling.Wait()
}
