package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// gridAnswer is what a grid server says of a puzzle: it names the request that it was made for.
type gridAnswer struct {
	Request string `json:"request"`
	Grid    string `json:"grid"`
	Server  string `json:"server"`
	At      int64  `json:"at"`
}

// secondAnswer: readers of one newspaper fetch the same puzzle, and some answers come a second time some milliseconds late.
func secondAnswer(p *play) (bool, error) {
	const (
		gateways, servers = 3, 2
		clientsPerGateway = 16
		share             = 8 // in a spell one answer in so many comes twice
		spell             = time.Second
		oneWay            = 2 * time.Millisecond  // from a gateway's building to another one
		late              = 10 * time.Millisecond // of a second answer, from the first one, and up to lateBy more
		lateBy            = 4 * time.Millisecond
		every             = 12 * time.Second // from one spell to the next
		length            = 98 * time.Second
	)
	var entries []instance
	var mu sync.Mutex
	copies := map[string]bool{} // requests whose answer was written a second time
	for i := range servers {
		s, err := p.newTableServer(fmt.Sprintf("s-%08x", 0x5be2a07c+i), func(a *arrival) bool {
			if recorded(p, every, spell) {
				p.note("%s runs %s, connection %d", a.server, a.id, a.conn.number)
			}
			time.Sleep(time.Duration(40+rand.IntN(50)) * time.Millisecond)
			text, _ := json.Marshal(gridAnswer{a.id, a.path, a.server, time.Now().UnixMicro()})
			answer := reply(http.StatusOK, string(text))
			if _, err := io.WriteString(a.conn, answer); err != nil {
				return false
			}
			if inSpell := time.Since(p.began)%every >= every-spell; p.trouble && inSpell && rand.IntN(share) == 0 {
				arrived := a.conn.arrived.Load()
				time.AfterFunc(late+time.Duration(rand.Int64N(int64(lateBy))), func() {
					if a.conn.arrived.Load() != arrived {
						return // something else waits on the connection
					}
					if _, err := io.WriteString(a.conn, answer); err == nil {
						mu.Lock()
						copies[a.id] = true
						mu.Unlock()
						p.note("%s answers %s a second time on connection %d", a.server, a.id, a.conn.number)
					}
				})
			}
			return true
		})
		if err != nil {
			return false, err
		}
		e := s.entry("SERVING")
		if e.HostPort, err = p.newLink(s.address, oneWay); err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	count, err := p.newCounter()
	if err != nil {
		return false, err
	}
	var addresses []string
	for n := range gateways {
		a, err := p.newAgent(fmt.Sprintf("a%d", n), 41, entries...)
		if err != nil {
			return false, err
		}
		g, err := p.newGateway(n, grids(gateways), a.address, count.address, a.known())
		if err != nil {
			return false, err
		}
		if _, err := p.startGateway(g, g.Name); err != nil {
			return false, err
		}
		if err := awaitReady(g.Listen, "/health/ready", 100*time.Millisecond); err != nil {
			return false, err
		}
		addresses = append(addresses, g.Listen)
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var wg sync.WaitGroup
	asked, served, wrong := 0, 0, 0
	for n := range gateways * clientsPerGateway {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{address: addresses[n%gateways]}
			defer c.close()
			for sleep(ctx, time.Duration(50+rand.IntN(150))*time.Millisecond) {
				a := ask{id: newID(), method: http.MethodGet, path: "/fetch-grid/today", plan: "publisher", account: 0xb4d65521,
					units: 1, spread: gateways, first: 0, timeout: 4 * time.Second}
				o := c.do(a)
				mu.Lock()
				asked++
				var b gridAnswer
				err := json.Unmarshal([]byte(o.body), &b)
				if recorded(p, every, spell) {
					p.note("client %d asked %s: status %d, answer to %s", n, a.id, o.status, b.Request)
				}
				if o.status == http.StatusOK && o.err == nil {
					served++
					if err != nil || b.Request != a.id {
						wrong++
						p.note("WRONG: client %d asked %s and was served the answer to %s", n, a.id, b.Request)
					}
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	p.note("asked %d, served %d, second copies %d, served with another request's answer %d", asked, served, len(copies), wrong)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return wrong > 0, nil
}

// recorded reports whether requests are recorded one by one: from the begin of a spell to a second after it. Over the
// whole play there are some 24,000.
func recorded(p *play, every, spell time.Duration) bool {
	return (time.Since(p.began)+spell)%every < 2*spell
}
