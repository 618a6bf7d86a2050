package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID is an X-Request-ID that no request had before.
func newID() string {
	return fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1))
}

// ask is a client's request.
type ask struct {
	id, method, path, plan, key string
	account                     uint64
	units, spread, first        int
	timeout                     time.Duration
	body                        string
}

func (a ask) text() string {
	t := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: %s\r\nX-Plan: %s\r\nCookie: account=%016x\r\n"+
		"X-Timeout: %dm\r\nX-Quota: units=%d,spread=%d,first=%d\r\n",
		a.method, a.path, a.id, a.plan, a.account, a.timeout.Milliseconds(), a.units, a.spread, a.first)
	if a.key != "" {
		t += "Idempotency-Key: " + a.key + "\r\n"
	}
	if a.method == http.MethodPost {
		t += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	return t + "\r\n" + a.body
}

// client keeps one connection to a gateway and sends one request at a time on it.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// outcome is how a request ended for its client.
type outcome struct {
	status int // 0: no answer
	body   string
	err    error
	took   time.Duration
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer. If the gateway closed a kept connection before it read the request, the
// request is sent once more on a new one.
func (c *client) do(a ask) outcome {
	kept := c.conn != nil
	o := c.try(a)
	if kept && o.status == 0 && o.err != nil && !isTimeout(o.err) {
		o = c.try(a)
	}
	return o
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func (c *client) try(a ask) (o outcome) {
	began := time.Now()
	defer func() { o.took = time.Since(began) }()
	if err := c.connect(); err != nil {
		return outcome{err: err}
	}
	c.conn.SetDeadline(began.Add(a.timeout + 600*time.Millisecond))
	if _, err := io.WriteString(c.conn, a.text()); err != nil {
		c.close()
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.close()
		return outcome{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return outcome{status: resp.StatusCode, body: string(body), err: err}
}
