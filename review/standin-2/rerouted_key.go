package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"junctionring/internal/standin"
)

func init() { cases["rerouted-key"] = reroutedKey }

// forwardAuthFile is an operator's file. More classes and routes may follow it.
const forwardAuthFile = `
listen = %q
ordinal = 0
gateways = 2
trusted_proxies = ["127.0.0.0/8"]
max_attempts = 3
drain = "5s"
[limits]
cores = 1.0
memory_mb = 192
sockets = 1024
[identity]
account_header = "X-Auth-Account"
plan_header = "X-Auth-Plan"
[checker]
url = "http://%s/verify"
timeout = "800ms"
retry_after = "1s"
response_headers = ["X-Auth-Account", "X-Auth-Plan"]
[asked]
path = "/_auth/verify"
[redis]
address = %q
timeout = "50ms"
[operations]
listen = %q
[[class]]
name = "table-view"
aim = "2s"
deadline = "7.5s"
worth = 2.0
late_worth = 0.2
repeat = "safe"
[[class]]
name = "move-submit"
aim = "1s"
deadline = "4s"
worth = 6.0
late_worth = 0.2
repeat = "keyed"
window = "4s"
[[plan]]
name = "club"
rate = 40.0
burst = 80.0
worth = 1.3
over_cost = 0.6
[[target]]
id = "table-1"
address = %q
[[target]]
id = "table-2"
address = %q
`

// tournament is what a later version adds: moves go to a class of their own, wanted sooner.
const tournament = `
[[class]]
name = "tournament-move"
aim = "500ms"
deadline = "3s"
worth = 9.0
late_worth = 0.2
repeat = "keyed"
window = "4s"
[[route]]
path = "/move-submit/**"
methods = ["POST"]
class = "tournament-move"
[[route]]
path = "/table-view/**"
class = "table-view"
`

// reroutedKey: clients repeat moves under their keys, after the table servers' window and within the minute in which the
// gateway remembers keys. Meanwhile a configuration version routes moves to another class.
func reroutedKey(p *play) (bool, error) {
	const (
		window  = 4 * time.Second
		clients = 5
	)
	known := &moves{window: window, first: map[string]time.Time{}, runs: map[string]int{}}
	var addresses []any
	for i := range 2 {
		s, err := p.newTableServer(fmt.Sprintf("table-%d", i+1), func(a *arrival) bool {
			if known.run(a.key) {
				p.note("%s runs key %s, of request %s", a.server, a.key, a.id)
			} else {
				p.note("%s drops key %s, of request %s: a repeat", a.server, a.key, a.id)
			}
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(a.conn, reply(http.StatusOK, `{"move":"taken","by":"`+a.id+`"}`))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		addresses = append(addresses, s.address)
	}
	checker, err := p.newChecker()
	if err != nil {
		return false, err
	}
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return false, err
	}
	p.onEnd(store.Close)
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	operations, err := freeAddress()
	if err != nil {
		return false, err
	}
	first := fmt.Sprintf(forwardAuthFile, append([]any{listen, checker, store.Addr(), operations}, addresses...)...)
	file, next := filepath.Join(p.dir, "gateway.toml"), filepath.Join(p.dir, "tournament.toml")
	if err := os.WriteFile(file, []byte(first), 0o600); err != nil {
		return false, err
	}
	if err := os.WriteFile(next, []byte(first+tournament), 0o600); err != nil {
		return false, err
	}
	run, err := deployCommand("run")
	if err != nil {
		return false, err
	}
	if _, err := p.start("gateway", run+" --operator "+file, "TMPDIR="+p.dir); err != nil {
		return false, err
	}
	if err := awaitReady(listen, "/health/ready", 100*time.Millisecond); err != nil {
		return false, err
	}
	move := func(n int) error {
		key := fmt.Sprintf("5c0f6e1a2b3d4c59%04x", n)
		status, replayed, body, err := submitMove(listen, n, key)
		p.note("client %d: key %s: status %d, replayed %v, %s %v", n, key, status, replayed, body, err)
		return err
	}
	for n := range clients {
		if err := move(n); err != nil {
			return false, err
		}
	}
	if p.trouble {
		out, err := exec.Command("bin/junctionring", "config", "push", "--at", operations, "--version", "1", next).CombinedOutput()
		p.note("operator: version 1: %s %v", strings.TrimSpace(string(out)), err)
		if err != nil {
			return false, fmt.Errorf("the version was not taken: %s", out)
		}
	}
	time.Sleep(window + 2*time.Second)
	for n := range clients {
		if err := move(n); err != nil {
			return false, err
		}
	}
	once, more := 0, 0
	for key, n := range known.runs {
		if n > 1 {
			more++
			p.note("TWICE: key %s has run %d times", key, n)
		} else {
			once++
		}
	}
	p.note("keys that ran once %d, more than once %d", once, more)
	if once+more == 0 {
		return false, fmt.Errorf("no move ran")
	}
	return more > 0, nil
}

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
