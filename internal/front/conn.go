package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"junctionring/internal/cpushare"
	"junctionring/internal/socket"
)

// conn is a client's connection that net/http serves. It tracks whether net/http has read any byte of a request, and
// can be reclaimed from net/http while it has not. Closing the connection from outside net/http instead could lose a
// request that is already in net/http's buffer.
type conn struct {
	*net.TCPConn
	onReclaimed func(*net.TCPConn) // called after the connection is reclaimed; it then owns the connection

	writeTimeout   time.Duration // for each chunk of a response
	onWriteTimeout func()        // called when a chunk was not written in that time

	onUnanswered func(*conn, progress) // called when the connection closes during a request without a response

	mu              sync.Mutex
	phase           phase
	reclaiming      bool      // reclaim the connection as soon as it is idle
	deadline        time.Time // the read deadline that net/http has set
	progress        progress
	emptyBufferSize int // bytes that net/http's read buffer takes when empty; 0: no read yet

	awaitingBody bool
	bodyAborted  bool // the process is shedding: no longer wait for the body

	reservedBody int64 // bytes of the server's budget that the current request holds
	bodyStalled  bool  // the wait for its body was ended since memory is short

	input inputWait
	head  headScan

	pipelined     *cpushare.Limiter
	pipelineMeter *cpushare.Meter // of this connection's requests; nil: none so far. Used by the serving goroutine only
	waited        bool            // for the client's bytes or a table server, since the last call of endedRequest
	activeSince   time.Time       // when the head of the current request was complete
}

// origin is the server and the connection on which a request arrived.
type origin struct {
	server *Server
	conn   net.Conn
}

type originKey struct{}

// closesConnection reports, when a request is answered, whether the response has to close the connection. A request
// that was held when the drain began to close connections would otherwise leave its client on a connection that is
// soon closed while idle, when there may be no other way in.
func closesConnection(r *http.Request) bool {
	o, ok := r.Context().Value(originKey{}).(origin)
	return ok && o.server.closesConnections()
}

// clientClosed reports whether the client of a request has closed its connection, even if it did so before the
// request was read: net/http reports that only after the handler has forwarded the request.
func clientClosed(r *http.Request) bool {
	c := connOf(r)
	return c != nil && socket.HungUp(c.TCPConn)
}

type phase int

const (
	phaseActive        phase = iota // a request is in progress
	phaseReadingHeader              // part of a request header has arrived
	phaseBeforeIdle                 // no request; net/http is about to set the read deadline for the next one
	phaseIdle                       // net/http waits in Read and has received nothing
	phaseReclaimed                  // taken from net/http
)

var pastTime = time.Unix(1, 0)

// setIdle is called when net/http reports the connection as new or idle.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input = inputWait{}
	if c.phase != phaseReclaimed {
		c.phase = phaseBeforeIdle
	}
}

// setActive is called when net/http reports that a complete request header was read.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeSince = time.Now()
	if c.phase == phaseReadingHeader {
		c.phase = phaseActive
	}
}

// checkPartialHeader reports whether part of a request header has arrived. It ends the connection if no further byte
// arrived for timeout.
func (c *conn) checkPartialHeader(timeout time.Duration) (partial, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseReadingHeader {
		return false, false
	}
	if time.Since(c.progress.lastByte) < timeout {
		return true, false
	}
	c.TCPConn.SetReadDeadline(pastTime) // net/http then closes the connection
	return true, true
}

// requestReclaim has the connection reclaimed as soon as it is idle.
func (c *conn) requestReclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaiming = true
	if c.phase == phaseIdle {
		c.TCPConn.SetReadDeadline(pastTime) // a read checks the deadline before it takes any byte
	}
}

// cancelReclaim undoes requestReclaim unless the connection has already been reclaimed.
func (c *conn) cancelReclaim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaiming = false
	if c.phase == phaseIdle {
		c.TCPConn.SetReadDeadline(c.deadline)
	}
}

// Read implements net.Conn. net/http reads a single byte without a deadline only to detect that the client closes the
// connection during a request. Any byte that such a read returned would belong to the next request. It is left in the
// socket, since the connection of a fast client would otherwise never be seen idle. A long header line may also leave
// room for only a single byte in net/http's buffer; such a read differs in that the header deadline is set.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	closeProbe := len(b) == 1 && c.deadline.IsZero()
	if !closeProbe {
		c.checkReadAhead(len(b))
		c.beginInputWait()
	}
	c.mu.Unlock()
	if closeProbe {
		return 0, socket.WaitEnd(c.TCPConn)
	}
	nothingThere := socket.Queued(c.TCPConn) == 0
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	c.input.end()
	c.waited = c.waited || nothingThere && n > 0
	switch {
	case c.phase == phaseIdle && n == 0 && c.reclaiming && errors.Is(err, os.ErrDeadlineExceeded):
		c.phase = phaseReclaimed
		c.mu.Unlock()
		c.onReclaimed(c.TCPConn)
		return 0, io.EOF // net/http takes this as the client's close and sends nothing
	case c.phase == phaseIdle:
		c.startRequest() // or the connection has ended
		c.TCPConn.SetReadDeadline(c.headerDeadline())
	}
	if n > 0 && (c.phase == phaseReadingHeader || c.phase == phaseActive) {
		c.progress.received(n)
	}
	tooManyFields := c.phase == phaseReadingHeader && c.head.exceeds(b[:max(0, n)])
	c.mu.Unlock()
	if tooManyFields {
		c.rejectHead(errTooManyFields)
		return 0, io.EOF // net/http closes the connection and writes nothing
	}
	return n, err
}

// checkReadAhead starts a request whose first bytes net/http read together with the previous request. They are in its
// buffer, which therefore has less free space than when empty. net/http reads as if nothing of a request had arrived,
// and reclaiming the connection now would lose those bytes. c.mu must be held.
func (c *conn) checkReadAhead(bufferFree int) {
	if c.emptyBufferSize == 0 {
		c.emptyBufferSize = bufferFree
	}
	if c.phase == phaseIdle && bufferFree < c.emptyBufferSize {
		c.startRequest()
		c.TCPConn.SetReadDeadline(c.headerDeadline())
	}
}

// startRequest records that the first bytes of a request arrived. c.mu must be held.
func (c *conn) startRequest() {
	c.phase, c.progress, c.head = phaseReadingHeader, progress{lastByte: time.Now()}, headScan{atStart: true}
}

// headerDeadline returns the deadline for a complete header whose first bytes have just arrived. net/http itself
// applies the longer wait for a new request until the fourth byte.
func (c *conn) headerDeadline() time.Time {
	latest := time.Now().Add(headerTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(latest) {
		return c.deadline
	}
	return latest
}

// SetReadDeadline implements net.Conn. net/http sets one deadline when it starts to wait for a request, and another
// once it has the request's first bytes.
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

// Close implements net.Conn. When net/http shuts down, it closes idle connections without checking for arriving
// requests, so an idle connection is reclaimed instead of closed.
func (c *conn) Close() error {
	c.mu.Lock()
	switch c.phase {
	case phaseReclaimed:
	case phaseBeforeIdle: // net/http no longer reads from it
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
