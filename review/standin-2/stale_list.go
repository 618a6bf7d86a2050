package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale-list"] = staleList }

// staleList: table servers drain, a whole list leaves one out, and then a new configuration moves discovery to an agent
// that has been sent less so far.
func staleList(p *play) (bool, error) {
	const (
		gateways = 2
		clients  = 12
		grace    = 1050 * time.Millisecond // of the settings, and 50 ms on sockets
		behind   = 3500 * time.Millisecond // from SIGHUP until the new agent has been sent what the old one has
	)
	var servers []*tableServer
	var entries []instance
	for i := range 4 {
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), func(a *arrival) bool {
			p.note("%s runs %s", a.server, a.id)
			time.Sleep(time.Duration(30+rand.IntN(40)) * time.Millisecond)
			_, err := io.WriteString(a.conn, reply(http.StatusOK, `{"request":"`+a.id+`"}`))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		entries = append(entries, s.entry("SERVING"))
	}
	first, err := p.newAgent("a0", 41, entries...)
	if err != nil {
		return false, err
	}
	second, err := p.newAgent("b0", 41, entries...)
	if err != nil {
		return false, err
	}
	count, err := p.newCounter()
	if err != nil {
		return false, err
	}
	g, err := p.newGateway(0, tables(gateways), first.address, count.address, first.known())
	if err != nil {
		return false, err
	}
	process, err := p.startGateway(g, g.Name)
	if err != nil {
		return false, err
	}
	if err := awaitReady(g.Listen, "/health/ready", 100*time.Millisecond); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{address: g.Listen}
			defer c.close()
			for sleep(ctx, time.Duration(50+rand.IntN(100))*time.Millisecond) {
				a := ask{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/table-view/%d", n), plan: "club",
					account: uint64(n + 1), units: 1, spread: 1, timeout: 7 * time.Second}
				o := c.do(a)
				p.note("client %d asked %s: status %d", n, a.id, o.status)
				if o.status == http.StatusOK && o.err == nil {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	// The watch ends instead of telling that a server drains, and the next answer is the whole list, without it.
	drains := servers[0]
	p.note("discovery: %s drains; the watch ends, and the whole list leaves it out", drains.id)
	first.endWatchesAndForget(drains.entry("DRAINING"))
	told := first.toldAt(42, 3*time.Second)
	if told.IsZero() {
		return false, fmt.Errorf("the gateway did not ask for the list again")
	}
	time.Sleep(4 * time.Second)
	if p.trouble {
		g.Discovery = second.address
		if err := g.write(); err != nil {
			return false, err
		}
		process.signal(syscall.SIGHUP)
		time.AfterFunc(1500*time.Millisecond, func() { first.server.Close() })
		time.AfterFunc(behind, func() { second.tell(drains.entry("DRAINING")) })
	}
	time.Sleep(8 * time.Second)
	cancel()
	wg.Wait()
	late := 0
	for _, a := range drains.arrivals() {
		if after := a.first.Sub(told); after > grace {
			late++
			p.note("LATE: %s was sent %s %.3f s after the gateway was told that it drains", a.server, a.id, after.Seconds())
		}
	}
	p.note("served %d, sent to the draining server too late %d", served, late)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return late > 0, nil
}
