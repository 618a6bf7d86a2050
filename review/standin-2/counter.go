package main

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// counter is the shared counter.
type counter struct {
	address string
	mu      sync.Mutex
	totals  map[string]total
	calls   int
}

type total struct {
	sum  float64
	ends time.Time
}

func (p *play) newCounter() (*counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{address: l.Addr().String(), totals: map[string]total{}}
	p.onEnd(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.onEnd(func() { conn.Close() })
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *counter) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	for in.Scan() {
		if _, err := conn.Write([]byte(c.answer(strings.Fields(in.Text())) + "\r\n")); err != nil {
			return
		}
	}
}

func (c *counter) answer(call []string) string {
	if len(call) == 1 && call[0] == "ping" {
		return "pong"
	}
	if len(call) != 4 || call[0] != "bump" {
		return "error"
	}
	amount, err := strconv.ParseFloat(call[2], 64)
	life, err2 := strconv.Atoi(call[3])
	if err != nil || err2 != nil || life < 1 {
		return "error"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	t := c.totals[call[1]]
	if time.Now().After(t.ends) {
		t = total{ends: time.Now().Add(time.Duration(min(life, 60000)) * time.Millisecond)}
	}
	t.sum += amount
	c.totals[call[1]] = t
	return "ok " + strconv.FormatFloat(t.sum, 'g', 7, 64)
}
