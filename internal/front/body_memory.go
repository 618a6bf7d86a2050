package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	unbudgetedBody   = 4 << 10                // bytes of a body that each connection may hold besides the budget
	streamMemory     = 48 << 10               // bytes that a streamed body takes: buffers on both sides, and stacks
	bodyMemoryWait   = 500 * time.Millisecond // for a part of the budget
	stalledBodySweep = 20 * time.Millisecond  // between sweeps of bodies that have stalled
	stalledBodyPause = 250 * time.Millisecond // without a byte; while others wait, such a body loses its memory
)

var (
	errNoBodyMemory = &RequestError{http.StatusServiceUnavailable, "no memory is left for a body of this size"}
	errBodyStalled  = &RequestError{http.StatusServiceUnavailable, "the body paused while memory was short"}
)

// bodyMemory is the budget for the bodies that are held whole and for the streams of longer ones.
type bodyMemory struct {
	size      int64
	available *semaphore.Weighted
	sweeping  atomic.Bool
}

// LimitBodyMemory bounds the memory in bytes that bodies may take, besides unbudgetedBody for each connection.
// It must be called before Serve.
func (s *Server) LimitBodyMemory(size int64) {
	s.bodyMemory = &bodyMemory{size: size, available: semaphore.NewWeighted(size)}
}

// reserveBody takes a part of the budget for a body. If none is left, it ends requests whose bodies have stalled, and
// waits for some time. The part is returned when the request has been handled.
func (s *Server) reserveBody(ctx context.Context, c *conn, size int64) error {
	m := s.bodyMemory
	if m == nil || size <= unbudgetedBody {
		return nil
	}
	size = min(size, m.size)
	if m.available.TryAcquire(size) {
		c.setReservedBody(size)
		return nil
	}
	s.startStalledBodySweep()
	wait, done := context.WithTimeout(ctx, bodyMemoryWait)
	defer done()
	if m.available.Acquire(wait, size) != nil {
		return errNoBodyMemory
	}
	c.setReservedBody(size)
	return nil
}

// startStalledBodySweep ends requests whose bodies have stalled for as long as a request may wait for memory.
func (s *Server) startStalledBodySweep() {
	if s.bodyMemory.sweeping.Swap(true) {
		return
	}
	go func() {
		defer s.bodyMemory.sweeping.Store(false)
		tick := time.NewTicker(stalledBodySweep)
		defer tick.Stop()
		for latest := time.Now().Add(bodyMemoryWait); time.Now().Before(latest); <-tick.C {
			s.listener.Load().abortStalledBodies(stalledBodyPause)
		}
	}()
}

// releaseBody returns what the connection's request has taken of the budget.
func (s *Server) releaseBody(c *conn) {
	if size := c.setReservedBody(0); size > 0 {
		s.bodyMemory.available.Release(size)
	}
}

// setReservedBody records what the current request holds of the budget, and returns what it held before.
func (c *conn) setReservedBody(size int64) (before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, c.reservedBody = c.reservedBody, size
	return before
}

// abortStalledBodies ends the wait for each body that holds a part of the budget and of which nothing has come for
// a time.
func (s *limitListener) abortStalledBodies(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abortStalledBody(pause)
	}
}

func (c *conn) abortStalledBody(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if (c.awaitingBody || c.input.pending) && c.reservedBody > 0 && time.Since(c.progress.lastByte) >= pause {
		c.bodyStalled = true
		c.expireBodyRead()
	}
}

// takeBodyStalled reports whether the wait for the current request's body was ended by abortStalledBody.
func (c *conn) takeBodyStalled() (stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stalled, c.bodyStalled = c.bodyStalled, false
	return stalled
}

// reserve takes a part of the budget of the server that a request came to.
func reserve(r *http.Request, size int64) error {
	o, _ := r.Context().Value(originKey{}).(origin)
	if c := connOf(r); c != nil && o.server != nil {
		return o.server.reserveBody(r.Context(), c, size)
	}
	return nil
}

// readWhole reads a body of up to limit bytes into memory that was reserved before. If the body is longer, it returns
// its beginning and more is true.
func readWhole(r *http.Request, b *Body, limit int64) (body []byte, more bool, err error) {
	if n := r.ContentLength; n >= 0 {
		if err = reserve(r, n); err != nil {
			return nil, false, err
		}
		body = make([]byte, n)
		_, err = io.ReadFull(b, body)
		return body, false, err
	}
	first := min(limit+1, unbudgetedBody)
	body, ended, err := readUpTo(b, nil, first)
	if ended || err != nil || first > limit {
		return body, int64(len(body)) > limit, err
	}
	if err = reserve(r, limit+1); err != nil {
		return nil, false, err
	}
	body, _, err = readUpTo(b, body, limit+1)
	return body, int64(len(body)) > limit, err
}

// readUpTo appends to what has been read of a body, up to size bytes in all.
func readUpTo(b *Body, read []byte, size int64) (body []byte, ended bool, err error) {
	body = make([]byte, size)
	n, err := io.ReadFull(b, body[copy(body, read):])
	ended = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && b.atEnd()
	if ended {
		err = nil
	}
	return body[:len(read)+n], ended, err
}

// atEnd reports whether the whole body has been read.
func (b *Body) atEnd() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}
