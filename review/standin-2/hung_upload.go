package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["hung-upload"] = hungUpload }

// hungUpload: clients send long moves, whole and at once, while one of four table servers hangs for 6 s: its machine
// accepts connections, its process reads nothing.
func hungUpload(p *play) (bool, error) {
	const (
		gateways = 2
		timeout  = 3 * time.Second
		slack    = 550 * time.Millisecond // half a second after its time, and 50 ms on sockets
		hangs    = 6 * time.Second
		clients  = 16
		rounds   = 3
	)
	var entries []instance
	var first *tableServer
	for i := range 4 {
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), func(a *arrival) bool {
			p.note("%s got %s, %d bytes, and serves it", a.server, a.id, a.body)
			time.Sleep(time.Duration(80+rand.IntN(60)) * time.Millisecond)
			_, err := io.WriteString(a.conn, reply(http.StatusOK, `{"request":"`+a.id+`"}`))
			return err == nil
		})
		if err != nil {
			return false, err
		}
		if i == 0 {
			first = s
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
	if p.trouble {
		p.note("table server %s hangs for %v: its machine accepts connections, its process reads nothing", first.id, hangs)
		first.pause(time.Now().Add(hangs))
	}
	sizes := []int{4 << 20, 5 << 20, 6 << 20, 8 << 20} // of the clients' bodies; a page allows 32 MB
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered, lost, untaken := map[int]int{}, 0, 0
	for n := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 75 * time.Millisecond)
			for range rounds {
				id := newID()
				a := ask{id: id, method: http.MethodPost, path: fmt.Sprintf("/move-submit/%d", n), plan: "club", key: "5c0f6e1a" + id,
					account: uint64(n + 1), units: 1, spread: 1, timeout: timeout, body: strings.Repeat("e2e4 ", sizes[n%len(sizes)]/5)}
				status, written, took, err := upload(g.Listen, a, timeout+slack+8*time.Second)
				mu.Lock()
				switch {
				case written.IsZero():
					untaken++
					p.note("client %d: %s was not written whole: status %d, %v", n, id, status, err)
				case status == 0 || took > timeout+slack:
					lost++
					p.note("client %d: LOST: %s was written whole, waits %v, and has status %d %.3f s after its last byte: %v",
						n, id, timeout, status, took.Seconds(), err)
				default:
					answered[status]++
					p.note("client %d: %s has status %d %.3f s after its last byte", n, id, status, took.Seconds())
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	p.note("answered %v, lost %d, not taken %d", answered, lost, untaken)
	if len(answered)+lost == 0 {
		return false, fmt.Errorf("no request was taken")
	}
	return lost > 0, nil
}

// upload sends a request with a long body and reads its answer. written is when the last byte was written, zero if it
// was not; took counts from then to the answer's last byte.
func upload(address string, a ask, within time.Duration) (status int, written time.Time, took time.Duration, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, written, 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	wrote := make(chan time.Time, 1)
	go func() {
		var at time.Time
		if _, err := io.WriteString(c, a.text()); err == nil {
			at = time.Now()
		}
		wrote <- at
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		status = resp.StatusCode
	}
	ended := time.Now()
	if err != nil {
		status = 0
	}
	c.Close()
	if written = <-wrote; !written.IsZero() {
		took = ended.Sub(written)
	}
	return status, written, took, err
}
