package front

import "net/http"

// shed is the error of a request whose body had not come in as the process shed what it held. Nothing of it was sent on.
type shedError struct{ retryAfter string }

func (*shedError) Error() string { return "the gateway is about to end: the body had not come in" }

// Shed gives each request whose body is still coming in its answer, and each that still comes: a refusal that advises
// retryAfter, or nothing where that is empty. What the core holds is for core.Shed to answer.
func (s *Server) Shed(retryAfter string) {
	s.shedError.Store(&shedError{retryAfter})
	l := s.listener.Load()
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.abortBody()
	}
}

// awaitsBody notes whether a body is read in before anything is sent on.
func (c *conn) setAwaitingBody(awaits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingBody = awaits
	if c.bodyAborted && !awaits {
		c.bodyAborted = false
		c.TCPConn.SetReadDeadline(c.deadline)
	}
}

// endBody ends the wait for a body.
func (c *conn) abortBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingBody {
		c.bodyAborted = true
		c.TCPConn.SetReadDeadline(pastTime)
	}
}

// shedOf is the error of a request whose body is not read any more; nil: it is.
func shedErrorOf(r *http.Request) error {
	o, ok := r.Context().Value(originKey{}).(origin)
	if !ok {
		return nil
	}
	if s := o.server.shedError.Load(); s != nil {
		return s
	}
	return nil
}
