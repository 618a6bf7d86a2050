package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["long-answer"] = longAnswer }

// longAnswer: a planned restart while table servers give long answers. Each answer ends before the platform kills.
func longAnswer(p *play) (bool, error) {
	const (
		gateways  = 2
		size      = 4 << 20 // of each answer, which a page allows to be 32 MB
		before    = time.Second
		killAfter = 8 * time.Second // from SIGTERM; no sooner than 3.7 s
	)
	ends := []time.Duration{2 * time.Second, 3550 * time.Millisecond, 3600 * time.Millisecond, 5 * time.Second} // from SIGTERM
	lasting := map[string]time.Duration{}
	for i, e := range ends {
		lasting[fmt.Sprintf("/table-view/%d", i)] = before + e
	}
	answer := func(a *arrival) bool {
		lasts := lasting[a.path]
		if lasts == 0 {
			_, err := io.WriteString(a.conn, reply(200, `{"board":"small"}`))
			return err == nil
		}
		p.note("table server: %s begins to answer %s, %d bytes in %v", a.server, a.id, size, lasts)
		const pieces = 64
		began := time.Now()
		_, err := fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", size)
		for i := range pieces {
			if err != nil {
				p.note("table server: cut off in the answer to %s after %.2f s: %v", a.id, time.Since(began).Seconds(), err)
				return false
			}
			time.Sleep(time.Until(began.Add(lasts * time.Duration(i+1) / pieces)))
			_, err = a.conn.Write(make([]byte, size/pieces))
		}
		p.note("table server: the answer to %s is written, %.2f s", a.id, time.Since(began).Seconds())
		return err == nil
	}
	var entries []instance
	for i := range 4 {
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), answer)
		if err != nil {
			return false, err
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
	process, err := p.startGateway(g, g.Name)
	if err != nil {
		return false, err
	}
	if err := awaitReady(g.Listen, "/health/ready", 100*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, whole, refused := 0, 0, 0
	for i, e := range ends {
		wg.Add(1)
		time.Sleep(20 * time.Millisecond)
		go func() {
			defer wg.Done()
			a := ask{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/table-view/%d", i), plan: "club", account: uint64(i + 1),
				units: 1, spread: 1, timeout: 7 * time.Second}
			got, err := download(g.Listen, a)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && got == size:
				whole++
				p.note("client: the answer to %s is whole (ends %v after SIGTERM)", a.id, e)
				return
			case errors.Is(err, errRefused):
				refused++
				p.note("client: %s is refused", a.id)
				return
			}
			lost++
			p.note("client: LOST: the answer to %s (ends %v after SIGTERM, before the kill) has %d of %d bytes: %v", a.id, e, got, size, err)
		}()
	}
	time.Sleep(before)
	if p.trouble {
		process.signal(syscall.SIGTERM)
		go func() {
			if !process.waitEnd(killAfter) {
				process.signal(syscall.SIGKILL)
			}
		}()
	}
	wg.Wait()
	p.note("whole %d, lost %d, refused %d", whole, lost, refused)
	if whole+lost == 0 {
		return false, errors.New("no answer began")
	}
	return lost > 0, nil
}

var errRefused = errors.New("refused")

// download sends a request and reads its answer as it comes. It returns the bytes of the body that came.
func download(address string, a ask) (int, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(c, a.text()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, errRefused
	default:
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), err
}
