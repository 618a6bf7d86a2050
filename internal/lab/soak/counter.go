package soak

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
)

// counter is a stand-in for the platform's counter: it adds, and forgets nothing.
type counter struct {
	listener net.Listener
	mu       sync.Mutex
	totals   map[string]float64
	conns    map[net.Conn]bool
}

func newCounter() (*counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("counter: %w", err)
	}
	c := &counter{listener: l, totals: map[string]float64{}, conns: map[net.Conn]bool{}}
	go c.accept()
	return c, nil
}

func (c *counter) accept() {
	for {
		nc, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(nc)
	}
}

func (c *counter) serve(nc net.Conn) {
	c.follow(nc, true)
	defer c.follow(nc, false)
	defer nc.Close()
	in := bufio.NewScanner(nc)
	for in.Scan() {
		if _, err := fmt.Fprintf(nc, "%s\r\n", c.answer(in.Text())); err != nil {
			return
		}
	}
}

// follow notes whether a connection is open.
func (c *counter) follow(nc net.Conn, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delete(c.conns, nc); open {
		c.conns[nc] = true
	}
}

// reset resets all connections.
func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

func (c *counter) answer(line string) string {
	if line == "ping" {
		return "pong"
	}
	words := strings.Fields(line)
	if len(words) != 4 || words[0] != "bump" {
		return "error"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		return "error"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totals[words[1]] += amount
	return "ok " + strconv.FormatFloat(c.totals[words[1]], 'f', -1, 64)
}
