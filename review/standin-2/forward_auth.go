package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// newChecker is a checker that vouches for the account that a client's Authorization names.
func (p *play) newChecker() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account := r.Header.Get("Authorization")
		if account == "" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		w.Header().Set("X-Auth-Account", account)
		w.Header().Set("X-Auth-Plan", "club")
	})}
	go s.Serve(l)
	p.onEnd(func() { s.Close() })
	return l.Addr().String(), nil
}

// submitMove sends a move under a key, on a connection of its own.
func submitMove(address string, n int, key string) (status int, replayed bool, body string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, false, "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /move-submit/%d HTTP/1.1\r\nHost: tables\r\nAuthorization: member-%d\r\nIdempotency-Key: %s\r\n"+
		"Content-Length: 4\r\n\r\ne2e4", n, n, key); err != nil {
		return 0, false, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Idempotent-Replayed") == "true", string(text), err
}

// moves is what some table servers know of the keys of moves: a repeat is dropped within the window.
type moves struct {
	mu     sync.Mutex
	window time.Duration
	first  map[string]time.Time // of each key's last run
	runs   map[string]int
}

// run reports whether a key runs, or is dropped as a repeat.
func (m *moves) run(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, known := m.first[key]; known && time.Since(at) < m.window {
		return false
	}
	m.first[key] = time.Now()
	m.runs[key]++
	return true
}
