package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/internal/standin"
)

func init() { cases["other-hall"] = otherHall }

// hallsFile is an operator's file whose targets come from the registry, and whose table servers drop a repeat only
// within their hall.
const hallsFile = `
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
[redis]
address = %q
timeout = "50ms"
[discovery]
address = %q
[[class]]
name = "move-submit"
aim = "1s"
deadline = "4s"
worth = 6.0
late_worth = 0.2
repeat = "keyed"
window = "4s"
group = "zone"
[[plan]]
name = "club"
rate = 200.0
burst = 400.0
worth = 1.3
over_cost = 0.6
`

// otherHall: a hall is lost while moves run in it. The servers of one hall drop each other's repeats, and know nothing of
// another hall's.
func otherHall(p *play) (bool, error) {
	const (
		window  = 4 * time.Second
		clients = 16
		length  = 7500 * time.Millisecond // a hall may be lost for 5 s; here it is lost for less, up to the end
	)
	halls := map[string]*moves{}
	for _, name := range []string{"hall-a", "hall-b"} {
		halls[name] = &moves{window: window, first: map[string]time.Time{}, runs: map[string]int{}}
	}
	var busy atomic.Int64 // moves that run in hall-a
	var servers []*tableServer
	var entries []instance
	for i := range 4 {
		hall := []string{"hall-a", "hall-b"}[i/2]
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), func(a *arrival) bool {
			if halls[hall].run(a.key) {
				if hall == "hall-a" {
					busy.Add(1)
					defer busy.Add(-1)
				}
				p.note("%s in %s runs key %s", a.server, hall, a.key)
				time.Sleep(150 * time.Millisecond)
			} else {
				p.note("%s in %s drops key %s: a repeat", a.server, hall, a.key)
			}
			_, err := io.WriteString(a.conn, reply(http.StatusOK, `{"move":"taken"}`))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		e := s.entry("SERVING")
		e.Zone = hall
		entries = append(entries, e)
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
	registry, err := p.newAgent("registry", 41, entries...)
	if err != nil {
		return false, err
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	file := filepath.Join(p.dir, "gateway.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(hallsFile, listen, checker, store.Addr(), registry.address)), 0o600); err != nil {
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
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Since(p.began) < length; i++ {
				time.Sleep(time.Duration(80+10*n) * time.Millisecond)
				key := fmt.Sprintf("5c0f6e1a2b3d%04x%04x", n, i)
				status, _, _, err := submitMove(listen, n, key)
				p.note("client %d sent the move of key %s once: status %d %v", n, key, status, err)
			}
		}()
	}
	if p.trouble {
		time.Sleep(3 * time.Second)
		for by := time.Now().Add(2 * time.Second); busy.Load() < 4 && time.Now().Before(by); { // in the midst of its work
			time.Sleep(time.Millisecond)
		}
		p.note("hall-a is lost: the connections of its two table servers are reset, new ones are refused")
		servers[0].crash()
		servers[1].crash()
		time.AfterFunc(2*time.Second, func() {
			gone := []instance{entries[0], entries[1]}
			gone[0].Lifecycle, gone[1].Lifecycle = "DELETED", "DELETED"
			registry.tell(gone...)
		})
	}
	wg.Wait()
	once, more := 0, 0
	for key, n := range halls["hall-a"].runs {
		if n += halls["hall-b"].runs[key]; n > 1 {
			more++
			p.note("TWICE: key %s has run %d times", key, n)
		} else {
			once++
		}
	}
	once += len(halls["hall-b"].runs) - more
	p.note("keys that ran once %d, more than once %d", once, more)
	if once+more == 0 {
		return false, fmt.Errorf("no move ran")
	}
	return more > 0, nil
}

// crash ends the server: its connections are reset, and new ones are refused.
func (s *tableServer) crash() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}
