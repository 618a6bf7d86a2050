package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["gone-client"] = goneClient }

// goneClient: clients send a long move, whole, and leave. Connections to one table server never come up.
func goneClient(p *play) (bool, error) {
	const (
		gateways = 2
		size     = 200 << 10
		stays    = 40 * time.Millisecond  // from the last byte until a client leaves
		slack    = 150 * time.Millisecond // 0.1 s, and 50 ms on sockets
		rounds   = 100
		pause    = 50 * time.Millisecond // between clients: the play is over before the machine has been silent for 6 s
	)
	var servers []*tableServer
	var entries []instance
	for i := range 5 {
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), func(a *arrival) bool {
			p.note("%s runs %s, whose first byte came at %.3f", a.server, a.id, a.first.Sub(p.began).Seconds())
			time.Sleep(100 * time.Millisecond)
			_, err := io.WriteString(a.conn, reply(http.StatusOK, `{"request":"`+a.id+`"}`))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
		if i == 0 {
			if s.address, err = p.vanished(); err != nil {
				return false, err
			}
		}
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
	g, err := p.newGateway(0, tables(gateways), ag.address, count.address, ag.known())
	if err != nil {
		return false, err
	}
	if _, err := p.startGateway(g, g.Name); err != nil {
		return false, err
	}
	if err := awaitReady(g.Listen, "/health/ready", 100*time.Millisecond); err != nil {
		return false, err
	}
	body := strings.Repeat("e2e4 ", size/5)
	var wg sync.WaitGroup
	var mu sync.Mutex
	left := map[string]time.Time{}
	for n := range rounds {
		wg.Add(1)
		time.Sleep(pause)
		go func() {
			defer wg.Done()
			a := ask{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/move-submit/%d", n), plan: "club", account: uint64(n + 1),
				units: 1, spread: 1, timeout: 4 * time.Second, body: body}
			a.key = "5c0f6e1a" + a.id
			if !p.trouble {
				o := (&client{address: g.Listen}).do(a)
				p.note("client %d: %s has status %d after %.3f s", n, a.id, o.status, o.took.Seconds())
				return
			}
			c, err := net.Dial("tcp", g.Listen)
			if err != nil {
				return
			}
			if _, err := io.WriteString(c, a.text()); err == nil {
				time.Sleep(stays)
			}
			c.Close()
			mu.Lock()
			defer mu.Unlock()
			left[a.id] = time.Now()
			p.note("client %d: has sent %s whole, and leaves", n, a.id)
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	got, late := 0, 0
	for _, s := range servers {
		for _, a := range s.arrivals() {
			got++
			gone, ok := left[a.id]
			if after := a.first.Sub(gone); ok && after > slack {
				late++
				p.note("%s: an attempt for %s began %.3f s after its client had left, and runs", a.server, a.id, after.Seconds())
			}
		}
	}
	p.note("clients that left %d, requests at table servers %d, begun too late %d", len(left), got, late)
	if got == 0 {
		return false, fmt.Errorf("no table server got a request")
	}
	return late > 0, nil
}

// vanished is the address of a machine that says nothing: new connections to it never come up.
func (p *play) vanished() (string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	p.onEnd(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	if err := syscall.Listen(fd, 0); err != nil { // room for one, which is taken below
		return "", err
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	address := fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	for range 8 {
		c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address, nil
		}
		p.onEnd(func() { c.Close() })
	}
	return "", fmt.Errorf("connections to %s still come up", address)
}
