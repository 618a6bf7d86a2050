package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"junctionring/internal/socket"
)

// conn is a client's connection under net/http. It knows whether net/http has been given anything of a request,
// and can be taken back from it while it has not: a close from the outside may always cross a request that is
// already in net/http's buffer, and that request would be lost.
type conn struct {
	*net.TCPConn
	onReclaimed func(*net.TCPConn) // told once a connection has been taken back; it owns it then

	writeTimeout   time.Duration // for a piece of an answer
	onWriteTimeout func()        // told when one did not go out in that time

	onUnanswered func(*conn, progress) // told as it is closed with a request that has no answer

	mu              sync.Mutex
	phase           phase
	reclaiming      bool
	deadline        time.Time // net/http's own, for reads
	progress        progress
	emptyBufferSize int // of net/http's buffer when it is empty; 0: nothing was read yet

	awaitingBody bool
	bodyAborted  bool // it is not waited for any longer
}

// origin is where a request came from.
type origin struct {
	server *Server
	conn   net.Conn
}

type originKey struct{}

// closes tells whether a request's answer is to close its connection, at the time of its answer: one that was held as
// the drain began to close connections leaves its client on one that is closed at rest soon, when no way in may be left.
func closesConnection(r *http.Request) bool {
	o, ok := r.Context().Value(originKey{}).(origin)
	return ok && o.server.closesConnections()
}

// hasLeft tells whether the client of a request has ended its connection by now, be it before the request was read:
// net/http tells of it only once the request is on its way.
func clientClosed(r *http.Request) bool {
	c := connOf(r)
	return c != nil && socket.HungUp(c.TCPConn)
}

type phase int

const (
	phaseActive        phase = iota // a request is under way
	phaseReadingHeader              // a part of a head has come
	phaseBeforeIdle                 // none is; net/http is about to set the time that it will wait for one
	phaseIdle                       // it waits in Read, and has nothing
	phaseReclaimed                  // taken back
)

var pastTime = time.Unix(1, 0)

// rests is called when net/http says that a connection is new or idle.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseReclaimed {
		c.phase = phaseBeforeIdle
	}
}

// begins is called when net/http says that a whole head has come.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseReadingHeader {
		c.phase = phaseActive
	}
}

// halfHead tells whether a part of a head has come, and ends the connection where nothing more of it came for stall.
func (c *conn) checkPartialHeader(timeout time.Duration) (partial, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseReadingHeader {
		return false, false
	}
	if time.Since(c.progress.lastByte) < timeout {
		return true, false
	}
	c.TCPConn.SetReadDeadline(pastTime) // net/http closes it
	return true, true
}

// leave has the connection taken back as soon as it rests.
func (c *conn) requestReclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaiming = true
	if c.phase == phaseIdle {
		c.TCPConn.SetReadDeadline(pastTime) // Read looks at this before it takes anything
	}
}

// stay undoes leave, where it is not too late.
func (c *conn) cancelReclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaiming = false
	if c.phase == phaseIdle {
		c.TCPConn.SetReadDeadline(c.deadline)
	}
}

// Read implements net.Conn. net/http reads a single byte, with no time set, only to see whether the client leaves
// while its request is under way. What it would get is the next request's: that is left where it is, or a client that
// is quick would never be found at rest. Danger: a long line of a head may leave room for a single byte, too; the time
// for the head is set then.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	closeProbe := len(b) == 1 && c.deadline.IsZero()
	if !closeProbe {
		c.checkReadAhead(len(b))
	}
	c.mu.Unlock()
	if closeProbe {
		return 0, socket.Ended(c.TCPConn)
	}
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	switch {
	case c.phase == phaseIdle && n == 0 && c.reclaiming && errors.Is(err, os.ErrDeadlineExceeded):
		c.phase = phaseReclaimed
		c.mu.Unlock()
		c.onReclaimed(c.TCPConn)
		return 0, io.EOF // net/http takes the client for gone, and says nothing to it
	case c.phase == phaseIdle:
		c.startRequest() // or it is at its end
		c.TCPConn.SetReadDeadline(c.headerDeadline())
	}
	if n > 0 && (c.phase == phaseReadingHeader || c.phase == phaseActive) {
		c.progress.received(n)
	}
	c.mu.Unlock()
	return n, err
}

// beginsReadAhead begins a request whose first bytes net/http read together with the request before it: they lie in its
// buffer, which has less room than when it is empty. It has asked for them as if nothing had come, and a connection taken
// back now would lose them. c.mu is held.
func (c *conn) checkReadAhead(bufferFree int) {
	if c.emptyBufferSize == 0 {
		c.emptyBufferSize = bufferFree
	}
	if c.phase == phaseIdle && bufferFree < c.emptyBufferSize {
		c.startRequest()
		c.TCPConn.SetReadDeadline(c.headerDeadline())
	}
}

// startReading begins a request. c.mu is held.
func (c *conn) startRequest() {
	c.phase, c.progress = phaseReadingHeader, progress{lastByte: time.Now()}
}

// headDeadline is until when a head must be whole whose first bytes have just come. net/http waits for its fourth byte
// for as long as for a request.
func (c *conn) headerDeadline() time.Time {
	latest := time.Now().Add(headerTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(latest) {
		return c.deadline
	}
	return latest
}

// SetReadDeadline implements net.Conn. net/http sets the time to wait for a request when it begins to wait, and
// another once it has the request's first bytes.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	switch c.phase {
	case phaseBeforeIdle:
		c.phase = phaseIdle
		if c.reclaiming {
			t = pastTime
		}
	case phaseIdle:
		c.startRequest()
	case phaseReclaimed:
		return nil
	}
	if c.bodyAborted {
		t = pastTime
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. net/http closes connections at rest when it shuts down, with no look at what is coming
// in on them: those are taken back instead.
func (c *conn) Close() error {
	c.mu.Lock()
	switch c.phase {
	case phaseReclaimed:
	case phaseBeforeIdle: // nobody reads any more
		c.phase = phaseReclaimed
		c.mu.Unlock()
		c.onReclaimed(c.TCPConn)
		return nil
	case phaseIdle:
		c.reclaiming = true
		c.TCPConn.SetReadDeadline(pastTime)
	default:
		c.mu.Unlock()
		if p, unanswered := c.unansweredRequest(); unanswered {
			c.onUnanswered(c, p)
		}
		return c.TCPConn.Close()
	}
	c.mu.Unlock()
	return nil
}
