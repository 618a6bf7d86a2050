package front

import "net/http"

// shedError is the error for a request whose body had not arrived completely when the process shed its requests. No
// part of such a request was forwarded.
type shedError struct{ retryAfter string }

func (*shedError) Error() string { return "the gateway is about to end: the body had not come in" }

// Shed rejects each request whose body is still being read, and each later request with a body. The rejection has
// retryAfter as its Retry-After, or no such header if it is empty. Requests that the core holds are answered by
// core.Shed.
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

// setAwaitingBody records whether the request's body is being read before anything is forwarded.
func (c *conn) setAwaitingBody(awaits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingBody = awaits
	if c.bodyAborted && !awaits {
		c.bodyAborted = false
		c.TCPConn.SetReadDeadline(c.deadline)
	}
}

// abortBody ends the wait for a body by expiring the read deadline.
func (c *conn) abortBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingBody {
		c.expireBodyRead()
	}
}

// expireBodyRead ends the read of a body, and fails later ones. c.mu must be held.
func (c *conn) expireBodyRead() {
	c.bodyAborted = true
	c.TCPConn.SetReadDeadline(pastTime)
}

// shedErrorOf returns the error for a request whose server is shedding, or nil if its body may be read.
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
