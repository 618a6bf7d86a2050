package front

import (
	"time"

	"junctionring/internal/socket"
)

const readBufferSize = 4 << 10 // bytes of net/http's buffer for a connection

// inputWait records when the reader of a request's body found nothing to read. The client had not written its whole
// body then.
type inputWait struct {
	recorded bool      // for the present request
	pending  bool      // a read waits for the client now
	last     time.Time // the end of the last such wait
}

// beginInputWait is called before a read. c.mu must be held.
func (c *conn) beginInputWait() {
	if c.input.recorded && c.phase == phaseActive {
		c.input.pending = socket.Queued(c.TCPConn) == 0
	}
}

// end is called after a read.
func (w *inputWait) end() {
	if w.pending {
		w.pending, w.last = false, time.Now()
	}
}

// recordInputWait starts the record for the present request.
func (c *conn) recordInputWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input = inputWait{recorded: true, last: time.Now()}
}

// lastInputWait returns the latest time at which the reader of the body had nothing to read.
func (c *conn) lastInputWait() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.input.pending {
		return time.Now()
	}
	return c.input.last
}

// IncompleteAt returns the latest time at which the client certainly had not written the whole body yet. What it has
// written may lie unread in the buffers of both systems.
func (b *Body) IncompleteAt() time.Time {
	if b.conn == nil { // it did not come through a Server, and cannot be examined
		return time.Now()
	}
	if outstanding := b.r.ContentLength - b.received.Load(); outstanding > readBufferSize {
		queued := int64(socket.Queued(b.conn.TCPConn))
		// The client's system is taken to hold as much of what the client has written as this one would.
		if queued == 0 || outstanding-queued > socket.MaxSendBuffer()+readBufferSize {
			return time.Now()
		}
	}
	return b.conn.lastInputWait()
}
