package front

import (
	"net/http"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/socket"
)

// progress is how far the request under way on a connection has come, for the log of those that got no answer.
type progress struct {
	id          string // empty until its head is whole
	complete    bool   // its last byte has come
	bytes       int    // that have come
	reads       int    // in which they came
	lastByte    time.Time
	attemptsOut int // as it ended without an answer
	answered    bool
}

// received counts bytes that have come in.
func (p *progress) received(n int) {
	p.bytes += n
	p.reads++
	p.lastByte = time.Now()
}

// logUnanswered writes a line on a connection that ends with a request on it that has no answer: whose end it was, and how
// far the request had come.
func (s *Server) logUnanswered(c *conn, p progress) {
	by := "gateway"
	if socket.HungUp(c.TCPConn) {
		by = "client"
	}
	s.log.Debug("a connection ends with its request unanswered", "by", by, "client", c.RemoteAddr().String(), "id", p.id, "whole", p.complete,
		"bytes", p.bytes, "reads", p.reads, "since_last_byte", time.Since(p.lastByte), "attempts_out", p.attemptsOut)
}

// withoutAnswer tells whether a request is under way that has got nothing of an answer, and how far it has come.
func (c *conn) unansweredRequest() (p progress, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := c.progress.reads > 0 || c.progress.id != "" // read together with the request before it: by its id alone
	return c.progress, begun && (c.phase == phaseReadingHeader || c.phase == phaseActive) && !c.progress.answered
}

// answers notes that something of an answer went out.
func (c *conn) markAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.answered = true
}

// connOf is the client's connection that a request came on; nil: it is not one of a Server.
func connOf(r *http.Request) *conn {
	o, _ := r.Context().Value(originKey{}).(origin)
	c, _ := o.conn.(*conn)
	return c
}

// names tells the connection of a request the request's id.
func (c *conn) setRequestID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.id = id
}

// complete notes that a request's last byte has come.
func (c *conn) markComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.complete = true
}

// left notes what was out for a request whose client has left.
func (c *conn) setAttemptsOut(a core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.attemptsOut = a.AttemptsOut
}

// LogUnanswered writes a line on each connection that has a request without an answer: they end with the process.
func (s *Server) LogUnanswered() {
	l := s.listener.Load()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if p, unanswered := c.unansweredRequest(); unanswered {
			s.logUnanswered(c, p)
		}
	}
}
