package front

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/internal/socket"
)

const (
	acquirePollInterval = 20 * time.Millisecond // between looks while every slot is taken
	stopAcceptTimeout   = time.Millisecond      // how long a stopping listener waits for one more connection
)

// slots is a listener that takes so many connections at once, since descriptors are few, and makes room:
// clients that ask once and keep their connection for good, or connect and say nothing, would fill every
// slot and shut the others out. When slots run short the connection that has rested longest is closed. It
// does not close all early: a close that crosses a request costs the client that request.
//
// It hands out the connections as they are: netutil's LimitListener wraps them, which hides CloseWrite from
// net/http, so that an answer to headers that are too large was lost in a reset.
type limitListener struct {
	net.Listener
	limit int
	freed chan struct{} // of one place: a slot may be free

	stopping atomic.Bool
	stopped  chan struct{} // closed once the listener is, after the last connection waiting in it was taken

	adoptions       chan adoption // from another process, or taken back and to be served on
	adoptionsClosed chan struct{} // when no more arrive
	closeOnce       sync.Once

	writeTimeout   time.Duration         // for a piece of an answer
	onWriteTimeout func()                // told of each answer that its client did not read
	onUnanswered   func(*conn, progress) // told of each connection that is closed with a request without an answer

	mu               sync.Mutex
	open             int
	idle             *list.List // of *rest: those without an open request, the longest first
	idleElems        map[net.Conn]*list.Element
	conns            map[*conn]struct{}
	reclaimsPending  int                     // taken back, and neither given, closed nor served on yet
	adoptionsPending int                     // arriving, and not among conns yet
	transfer         func(*net.TCPConn) bool // to a successor; nil: there is none
	resumed          chan struct{}           // closed when connections are accepted again; nil: they are
	changed          chan struct{}           // closed and made anew with each connection that ends
}

type idleConn struct {
	conn  net.Conn
	since time.Time
	isNew bool // no request yet: its first may be on its way
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, limit: limit, freed: make(chan struct{}, 1), stopped: make(chan struct{}),
		adoptions: make(chan adoption), adoptionsClosed: make(chan struct{}), changed: make(chan struct{}),
		writeTimeout: defaultWriteTimeout, onWriteTimeout: func() {}, onUnanswered: func(*conn, progress) {},
		idle: list.New(), idleElems: map[net.Conn]*list.Element{}, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (s *limitListener) Accept() (net.Conn, error) {
	for {
		s.mu.Lock()
		resumed := s.resumed
		s.mu.Unlock()
		if resumed != nil {
			select {
			case <-resumed:
			case <-s.adoptionsClosed:
				return nil, errListenerStopped
			}
			continue
		}
		s.acquire()
		if s.stopping.Load() {
			s.setAcceptDeadline()
		}
		c, err := s.Listener.Accept()
		if err == nil {
			return s.track(c, false), nil
		}
		s.release()
		e, ok := err.(net.Error)
		if !ok || !e.Timeout() {
			return nil, err
		}
		if s.stopping.Load() {
			if socket.Arrived(s.Listener) {
				continue // the deadline had passed before the look at the queue
			}
			s.Listener.Close()
			close(s.stopped)
			return nil, errListenerStopped
		}
	}
}

// takeOne waits until a slot is free, and takes it.
func (s *limitListener) acquire() {
	for !s.tryAcquire() {
		wait := time.NewTimer(acquirePollInterval)
		select {
		case <-s.freed:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// wrap follows a connection whose slot is taken. One that the successor did not take is not offered again.
func (s *limitListener) track(nc net.Conn, declined bool) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	c := &conn{TCPConn: tcp, onReclaimed: s.reclaimed, writeTimeout: s.writeTimeout, onWriteTimeout: s.onWriteTimeout, onUnanswered: s.onUnanswered}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.reclaiming = s.transfer != nil && !declined
	return c
}

// arrivals is the listener of connections that do not come through the socket.
type adoptionListener struct{ *limitListener }

// Accept implements net.Listener.
func (a adoptionListener) Accept() (net.Conn, error) {
	select {
	case n := <-a.adoptions:
		a.acquire() // a descriptor is held for it already
		c := a.track(n.conn, n.declined)
		a.adoptionDone()
		return c, nil
	case <-a.adoptionsClosed:
		return nil, errListenerStopped
	}
}

// Close implements net.Listener.
func (a adoptionListener) Close() error {
	a.closeOnce.Do(func() { close(a.adoptionsClosed) })
	return nil
}

type adoption struct {
	conn     *net.TCPConn
	declined bool // the successor did not take it
}

// arrive has a connection served. False: nobody serves any more.
func (s *limitListener) adopt(c *net.TCPConn, declined bool) bool {
	s.mu.Lock()
	s.adoptionsPending++
	s.mu.Unlock()
	select {
	case s.adoptions <- adoption{c, declined}:
		return true
	case <-s.adoptionsClosed:
		s.adoptionDone()
		return false
	}
}

// came ends an arrival: the connection is among conns by now, or nobody's.
func (s *limitListener) adoptionDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptionsPending--
	s.notifyChange()
}

// left is how many connections there are, in whatever state; changed is closed at the next change. s.mu is held.
func (s *limitListener) remaining() (n int, changed <-chan struct{}) {
	return len(s.conns) + s.reclaimsPending + s.adoptionsPending, s.changed
}

// parted gets a connection that was taken back from net/http with nothing of a request read: it is the
// successor's, or it is closed, but for one with something unread on it.
func (s *limitListener) reclaimed(c *net.TCPConn) {
	s.mu.Lock()
	s.reclaimsPending++
	transfer := s.transfer
	s.mu.Unlock()
	go func() {
		kept := false
		if transfer != nil {
			kept = !transfer(c)
		} else {
			kept = socket.Unread(c)
		}
		if kept {
			c.SetReadDeadline(time.Time{})
			kept = s.adopt(c, transfer != nil)
		}
		if !kept {
			c.Close()
		}
		s.mu.Lock()
		s.reclaimsPending--
		s.notifyChange()
		s.mu.Unlock()
	}()
}

// leave has each connection given away once it rests, and accepts no more; the listener stays open.
func (s *limitListener) startHandOver(transfer func(*net.TCPConn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transfer, s.resumed = transfer, make(chan struct{})
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(pastTime)
	}
	for c := range s.conns {
		c.requestReclaim()
	}
}

// stay undoes leave.
func (s *limitListener) cancelHandOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		return
	}
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Time{})
	}
	close(s.resumed)
	s.transfer, s.resumed = nil, nil
	for c := range s.conns {
		c.cancelReclaim()
	}
}

// empty waits until no connection is left. False: until lost or done is closed.
func (s *limitListener) waitEmpty(lost, done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		remaining, changed := s.remaining()
		s.mu.Unlock()
		if remaining == 0 {
			return true
		}
		select {
		case <-changed:
		case <-lost:
			return false
		case <-done:
			return false
		}
	}
}

// clear closes each connection as it comes to rest, and returns once none is left; false: ctx has ended.
func (s *limitListener) closeWhenIdle(ctx context.Context) bool {
	for {
		s.closeIdle(0)
		s.mu.Lock()
		remaining, changed := s.remaining()
		s.mu.Unlock()
		if remaining == 0 {
			return true
		}
		recheck := time.NewTimer(closeIdleInterval)
		select {
		case <-changed:
		case <-recheck.C: // one comes to rest, or had no request yet
		case <-ctx.Done():
			recheck.Stop()
			return false
		}
		recheck.Stop()
	}
}

// change wakes those that wait in empty or clear. s.mu is held.
func (s *limitListener) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// errStopped ends net/http's loop of accepts; it is not temporary, so it is not tried again.
var errListenerStopped = errors.New("the listener is closed: the gateway drains")

// stop takes the connections that wait in the listener's queue, and closes it once none is left. A listener
// closed with connections in its queue resets them, with their requests sent: with SO_REUSEPORT its queue is
// its own, and nobody else takes them.
func (s *limitListener) stop() <-chan struct{} {
	if !s.stopping.Swap(true) {
		s.setAcceptDeadline()
	}
	return s.stopped
}

// noWait makes Accept return soon where nothing is waiting. A deadline that has passed already would return
// before a look at the queue.
func (s *limitListener) setAcceptDeadline() {
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(stopAcceptTimeout))
		return
	}
	s.Listener.Close() // it cannot be asked without waiting
}

func (s *limitListener) release() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// state follows net/http's connections.
func (s *limitListener) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	s.removeIdle(c)
	known, _ := c.(*conn)
	switch state {
	case http.StateNew, http.StateIdle:
		s.idleElems[c] = s.idle.PushBack(&idleConn{c, time.Now(), state == http.StateNew})
		if known != nil {
			known.setIdle()
		}
	case http.StateActive:
		if known != nil {
			known.setActive()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, known)
		s.notifyChange()
	}
	s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		s.release()
	}
}

// count is how many connections are followed now.
func (s *limitListener) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
