package front

import (
	"net/http"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/socket"
)

// progress records how much of the current request on a connection has arrived, for the log of requests without a
// response.
type progress struct {
	id          string // X-Request-ID; empty until the header is complete
	complete    bool   // the last byte has arrived
	bytes       int    // bytes received
	reads       int    // number of reads that received them
	lastByte    time.Time
	attemptsOut int  // open attempts when the request ended without a response
	answered    bool // part of a response was written
	served      bool // a table server's answer is being passed on
	lingering   bool // the response was written; the rest of the request's body is being discarded
}

// received records a read of n bytes.
func (p *progress) received(n int) {
	p.bytes += n
	p.reads++
	p.lastByte = time.Now()
}

// logUnanswered logs that a connection ended during a request without a response: which side ended it, and how much of
// the request had arrived.
func (s *Server) logUnanswered(c *conn, p progress) {
	by := "gateway"
	if socket.HungUp(c.TCPConn) {
		by = "client"
	}
	s.log.Debug("a connection ends with its request unanswered", "by", by, "client", c.RemoteAddr().String(), "id", p.id,
		"whole", p.complete, "bytes", p.bytes, "reads", p.reads, "since_last_byte", time.Since(p.lastByte),
		"attempts_out", p.attemptsOut)
}

// unansweredRequest reports whether a request is in progress of whose response nothing was written, and its progress.
func (c *conn) unansweredRequest() (p progress, unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A request that was read together with the previous one shows only by its id.
	begun := c.progress.reads > 0 || c.progress.id != ""
	return c.progress, begun && (c.phase == phaseReadingHeader || c.phase == phaseActive) && !c.progress.answered
}

// markAnswered records that part of a response was written.
func (c *conn) markAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.answered = true
}

// connOf returns the client connection of a request, or nil if the request did not come through a Server.
func connOf(r *http.Request) *conn {
	o, _ := r.Context().Value(originKey{}).(origin)
	c, _ := o.conn.(*conn)
	return c
}

// setRequestID records the id of the current request.
func (c *conn) setRequestID(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.id = id
}

// markComplete records that the current request's last byte has arrived.
func (c *conn) markComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.complete = true
}

// markServed records that a table server's answer to the current request is being passed on.
func (c *conn) markServed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.served = true
}

// markLingering records that the response to the current request was written before its body was read.
func (c *conn) markLingering() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.lingering = true
}

// passesOnAnswer reports whether a table server's answer is being passed on.
func (c *conn) passesOnAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseActive && c.progress.served && !c.progress.lingering
}

// setAttemptsOut records how many attempts were open when the client closed the connection.
func (c *conn) setAttemptsOut(a core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.attemptsOut = a.AttemptsOut
}

// LogUnanswered logs each connection that has a request without a response. They end with the process.
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
