package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// habit is what a client does besides asking and reading its answers.
type habit int

const (
	steady habit = iota
	leaves       // closes its connection now and then while its request is under way
	slow         // writes in pieces
	stops        // stops within a request now and then, and stays
	habits       // how many there are
)

const (
	neverAnswered = 1500 * time.Millisecond // past its time a client stops waiting
	thinkMost     = 60 * time.Millisecond   // between a client's requests
	redial        = 20 * time.Millisecond
	pieceMost     = 30 * time.Millisecond // between the pieces of a slow client
	stopFor       = 3500 * time.Millisecond
	dialWithin    = 2 * time.Second
)

// client is one client of one gateway: it keeps to its connection for as long as that stays open.
type client struct {
	habit   habit
	gateway *gateway
	plan    Plan
	record  *Record
	random  *rand.Rand
	ids     *atomic.Uint64

	conn net.Conn
	in   *bufio.Reader
}

// run asks until ctx ends.
func (c *client) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			wait(ctx, redial)
			continue
		}
		c.ask()
		wait(ctx, time.Duration(c.random.Int64N(int64(thinkMost))))
	}
}

func (c *client) dial() bool {
	conn, err := net.DialTimeout("tcp", c.gateway.listen, dialWithin)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends one request and reads its answer.
func (c *client) ask() {
	s, text := c.compose()
	c.record.addSent(s)
	if c.habit == stops && c.random.IntN(4) == 0 {
		c.stop(text)
		return
	}
	if err := c.write(text); err != nil {
		s.Broken = fmt.Errorf("written in part: %w", err)
		c.hangUp()
		return
	}
	s.LastByte = time.Now()
	if c.habit == leaves && c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(c.random.Int64N(int64(s.Timeout))))
		c.hangUp()
		s.Left = time.Now()
		return
	}
	c.read(s)
}

// compose makes a request of a class at random.
func (c *client) compose() (*Sent, string) {
	n := c.ids.Add(1)
	class := c.random.IntN(len(c.plan.Classes))
	kind := c.plan.Classes[class]
	s := &Sent{ID: fmt.Sprintf("%08x%08x", uint32(c.plan.Seed), n), Class: class, Gateway: c.gateway.number}
	s.Timeout = kind.Deadline/2 + time.Duration(c.random.Int64N(int64(kind.Deadline/2)))
	headers := fmt.Sprintf("Host: g\r\nX-Request-ID: %s\r\nX-Plan: %s\r\nX-Timeout: %dm\r\nCookie: account=%016x\r\nX-Quota: units=1,spread=%d,first=0\r\n",
		s.ID, planName, s.Timeout.Milliseconds(), n%64+1, c.plan.Gateways)
	s.Timeout = s.Timeout.Truncate(time.Millisecond)
	if kind.Effect == Safe {
		return s, fmt.Sprintf("GET /%s/%d HTTP/1.1\r\n%s\r\n", kind.Name, n, headers)
	}
	if kind.Effect == Keyed {
		s.Key = "k" + s.ID
		headers += "Idempotency-Key: " + s.Key + "\r\n"
	}
	return s, fmt.Sprintf("POST /%s/%d HTTP/1.1\r\n%sContent-Length: 4\r\n\r\ne2e4", kind.Name, n, headers)
}

func (c *client) write(text string) error {
	if c.habit != slow {
		_, err := io.WriteString(c.conn, text)
		return err
	}
	for len(text) > 0 {
		n := min(len(text), 1+c.random.IntN(60))
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			return err
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(c.random.Int64N(int64(pieceMost))))
		}
	}
	return nil
}

// stop writes a part of a request, and stays until the gateway ends the connection, or for longer than it may take.
func (c *client) stop(text string) {
	io.WriteString(c.conn, text[:1+c.random.IntN(len(text)-1)])
	c.conn.SetReadDeadline(time.Now().Add(stopFor))
	io.Copy(io.Discard, c.in)
	c.hangUp()
}

// read reads the answer of a request.
func (c *client) read(s *Sent) {
	c.conn.SetReadDeadline(s.LastByte.Add(s.Timeout + neverAnswered))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		s.Cut = !errors.Is(err, io.EOF) && errors.Is(err, io.ErrUnexpectedEOF) && c.in.Buffered() > 0
		s.Broken = err
		c.hangUp()
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.Cut, s.Broken = true, err
		c.hangUp()
		return
	}
	s.Status, s.Body, s.Answered = resp.StatusCode, string(body), time.Now()
	if resp.Close {
		c.hangUp()
	}
}
