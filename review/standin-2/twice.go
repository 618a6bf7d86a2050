package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["twice"] = twice }

// twice: clients send long moves while one table server hangs for some seconds. They give up in their time, and retry
// once within the window, with the same key.
func twice(p *play) (bool, error) {
	const (
		gateways = 2
		size     = 5 << 20
		timeout  = 1800 * time.Millisecond
		window   = 2500 * time.Millisecond
		hangs    = 6 * time.Second
		clients  = 8
	)
	set := tables(gateways)
	for _, c := range set["RequestClasses"].([]any) {
		if c := c.(map[string]any); c["Name"] == "move-submit" {
			c["HardLimit"], c["Window"] = 3.0, window.Seconds()
		}
	}
	known := &moves{window: window, first: map[string]time.Time{}, runs: map[string]int{}}
	var servers []*tableServer
	var entries []instance
	for i := range 3 {
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), func(a *arrival) bool {
			if known.run(a.key) {
				p.note("%s runs key %s, of request %s", a.server, a.key, a.id)
				time.Sleep(100 * time.Millisecond)
			} else {
				p.note("%s drops key %s, of request %s: a repeat", a.server, a.key, a.id)
			}
			_, err := io.WriteString(a.conn, reply(http.StatusOK, `{"request":"`+a.id+`"}`))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		entries = append(entries, s.entry("SERVING"))
	}
	count, err := p.newCounter()
	if err != nil {
		return false, err
	}
	ag, err := p.newAgent("a0", 41, entries...)
	if err != nil {
		return false, err
	}
	g, err := p.newGateway(0, set, ag.address, count.address, ag.known())
	if err != nil {
		return false, err
	}
	if _, err := p.startGateway(g, g.Name); err != nil {
		return false, err
	}
	if err := awaitReady(g.Listen, "/health/ready", 100*time.Millisecond); err != nil {
		return false, err
	}
	if p.trouble {
		p.note("%s hangs for %v", servers[0].id, hangs)
		servers[0].pause(time.Now().Add(hangs))
	}
	var wg sync.WaitGroup
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			a := ask{method: http.MethodPost, path: fmt.Sprintf("/move-submit/%d", n), plan: "club", key: fmt.Sprintf("5c0f6e1a2b3d4c59%04x", n),
				account: uint64(n + 1), units: 1, spread: 1, timeout: timeout, body: strings.Repeat("e2e4 ", size/5)}
			for try := range 2 {
				a.id = newID()
				status, written, took, err := upload(g.Listen, a, timeout)
				p.note("client %d, try %d: %s (key %s): status %d, last byte written %v, %.3f s, %v", n, try+1, a.id, a.key, status, !written.IsZero(), took.Seconds(), err)
				if status == http.StatusOK {
					return
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(hangs + 2*time.Second)
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
