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
	slotPause = 20 * time.Millisecond // between looks while every slot is taken
	stopLook  = time.Millisecond      // how long a stopping listener waits for one more connection
)

// slots is a listener that takes so many connections at once, since descriptors are few, and makes room:
// clients that ask once and keep their connection for good, or connect and say nothing, would fill every
// slot and shut the others out. When slots run short the connection that has rested longest is closed. It
// does not close all early: a close that crosses a request costs the client that request.
//
// It hands out the connections as they are: netutil's LimitListener wraps them, which hides CloseWrite from
// net/http, so that an answer to headers that are too large was lost in a reset.
type slots struct {
	net.Listener
	most  int
	freed chan struct{} // of one place: a slot may be free

	stopping atomic.Bool
	stopped  chan struct{} // closed once the listener is, after the last connection waiting in it was taken

	arriving chan arrival  // from another process, or taken back and to be served on
	closed   chan struct{} // when no more arrive
	once     sync.Once

	writeStall time.Duration         // for a piece of an answer
	unread     func()                // told of each answer that its client did not read
	unanswered func(*conn, progress) // told of each connection that is closed with a request without an answer

	mu      sync.Mutex
	open    int
	resting *list.List // of *rest: those without an open request, the longest first
	rests   map[net.Conn]*list.Element
	conns   map[*conn]struct{}
	parting int                     // taken back, and neither given, closed nor served on yet
	coming  int                     // arriving, and not among conns yet
	give    func(*net.TCPConn) bool // to a successor; nil: there is none
	paused  chan struct{}           // closed when connections are accepted again; nil: they are
	changed chan struct{}           // closed and made anew with each connection that ends
}

type rest struct {
	conn  net.Conn
	since time.Time
	fresh bool // no request yet: its first may be on its way
}

func newSlots(l net.Listener, most int) *slots {
	return &slots{Listener: l, most: most, freed: make(chan struct{}, 1), stopped: make(chan struct{}),
		arriving: make(chan arrival), closed: make(chan struct{}), changed: make(chan struct{}),
		writeStall: writeStall, unread: func() {}, unanswered: func(*conn, progress) {},
		resting: list.New(), rests: map[net.Conn]*list.Element{}, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (s *slots) Accept() (net.Conn, error) {
	for {
		s.mu.Lock()
		paused := s.paused
		s.mu.Unlock()
		if paused != nil {
			select {
			case <-paused:
			case <-s.closed:
				return nil, errStopped
			}
			continue
		}
		s.takeOne()
		if s.stopping.Load() {
			s.noWait()
		}
		c, err := s.Listener.Accept()
		if err == nil {
			return s.wrap(c, false), nil
		}
		s.release()
		e, ok := err.(net.Error)
		if !ok || !e.Timeout() {
			return nil, err
		}
		if s.stopping.Load() {
			if socket.HasPending(s.Listener) {
				continue // the deadline had passed before the look at the queue
			}
			s.Listener.Close()
			close(s.stopped)
			return nil, errStopped
		}
	}
}

// takeOne waits until a slot is free, and takes it.
func (s *slots) takeOne() {
	for !s.take() {
		wait := time.NewTimer(slotPause)
		select {
		case <-s.freed:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// wrap follows a connection whose slot is taken. One that the successor did not take is not offered again.
func (s *slots) wrap(nc net.Conn, kept bool) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	c := &conn{TCPConn: tcp, parted: s.parted, writeStall: s.writeStall, unread: s.unread, unanswered: s.unanswered}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.leaving = s.give != nil && !kept
	return c
}

// arrivals is the listener of connections that do not come through the socket.
type arrivals struct{ *slots }

// Accept implements net.Listener.
func (a arrivals) Accept() (net.Conn, error) {
	select {
	case n := <-a.arriving:
		a.takeOne() // a descriptor is held for it already
		c := a.wrap(n.conn, n.kept)
		a.came()
		return c, nil
	case <-a.closed:
		return nil, errStopped
	}
}

// Close implements net.Listener.
func (a arrivals) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}

type arrival struct {
	conn *net.TCPConn
	kept bool // the successor did not take it
}

// arrive has a connection served. False: nobody serves any more.
func (s *slots) arrive(c *net.TCPConn, kept bool) bool {
	s.mu.Lock()
	s.coming++
	s.mu.Unlock()
	select {
	case s.arriving <- arrival{c, kept}:
		return true
	case <-s.closed:
		s.came()
		return false
	}
}

// came ends an arrival: the connection is among conns by now, or nobody's.
func (s *slots) came() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coming--
	s.change()
}

// left is how many connections there are, in whatever state; changed is closed at the next change. s.mu is held.
func (s *slots) left() (n int, changed <-chan struct{}) {
	return len(s.conns) + s.parting + s.coming, s.changed
}

// parted gets a connection that was taken back from net/http with nothing of a request read: it is the
// successor's, or it is closed, but for one with something unread on it.
func (s *slots) parted(c *net.TCPConn) {
	s.mu.Lock()
	s.parting++
	give := s.give
	s.mu.Unlock()
	go func() {
		kept := false
		if give != nil {
			kept = !give(c)
		} else {
			kept = socket.Unread(c)
		}
		if kept {
			c.SetReadDeadline(time.Time{})
			kept = s.arrive(c, give != nil)
		}
		if !kept {
			c.Close()
		}
		s.mu.Lock()
		s.parting--
		s.change()
		s.mu.Unlock()
	}()
}

// leave has each connection given away once it rests, and accepts no more; the listener stays open.
func (s *slots) leave(give func(*net.TCPConn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.give, s.paused = give, make(chan struct{})
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(past)
	}
	for c := range s.conns {
		c.leave()
	}
}

// stay undoes leave.
func (s *slots) stay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		return
	}
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Time{})
	}
	close(s.paused)
	s.give, s.paused = nil, nil
	for c := range s.conns {
		c.stay()
	}
}

// empty waits until no connection is left. False: until lost or done is closed.
func (s *slots) empty(lost, done <-chan struct{}) bool {
	for {
		s.mu.Lock()
		left, changed := s.left()
		s.mu.Unlock()
		if left == 0 {
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
func (s *slots) clear(ctx context.Context) bool {
	for {
		s.closeResting(0)
		s.mu.Lock()
		left, changed := s.left()
		s.mu.Unlock()
		if left == 0 {
			return true
		}
		look := time.NewTimer(sweepEach)
		select {
		case <-changed:
		case <-look.C: // one comes to rest, or had no request yet
		case <-ctx.Done():
			look.Stop()
			return false
		}
		look.Stop()
	}
}

// change wakes those that wait in empty or clear. s.mu is held.
func (s *slots) change() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// errStopped ends net/http's loop of accepts; it is not temporary, so it is not tried again.
var errStopped = errors.New("the listener is closed: the gateway drains")

// stop takes the connections that wait in the listener's queue, and closes it once none is left. A listener
// closed with connections in its queue resets them, with their requests sent: with SO_REUSEPORT its queue is
// its own, and nobody else takes them.
func (s *slots) stop() <-chan struct{} {
	if !s.stopping.Swap(true) {
		s.noWait()
	}
	return s.stopped
}

// noWait makes Accept return soon where nothing is waiting. A deadline that has passed already would return
// before a look at the queue.
func (s *slots) noWait() {
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(stopLook))
		return
	}
	s.Listener.Close() // it cannot be asked without waiting
}

func (s *slots) release() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// state follows net/http's connections.
func (s *slots) state(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	s.forget(c)
	known, _ := c.(*conn)
	switch state {
	case http.StateNew, http.StateIdle:
		s.rests[c] = s.resting.PushBack(&rest{c, time.Now(), state == http.StateNew})
		if known != nil {
			known.rests()
		}
	case http.StateActive:
		if known != nil {
			known.begins()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, known)
		s.change()
	}
	s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		s.release()
	}
}

// count is how many connections are followed now.
func (s *slots) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
