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

	"golang.org/x/time/rate"

	"junctionring/internal/cpushare"
	"junctionring/internal/socket"
)

const (
	acquirePollInterval = 20 * time.Millisecond // between checks while the connection limit is reached
	stopAcceptTimeout   = time.Millisecond      // how long a stopping listener waits for one more connection
)

// limitListener is a listener that limits the number of open connections, since descriptors are limited, and evicts
// idle ones. Clients that send one request and keep their connection open, or that connect and send nothing, would
// otherwise use up the limit and lock the others out. When few places are left, the connection that has been idle
// longest is closed. It does not close connections earlier: a close that crosses a request costs the client that
// request.
//
// netutil.LimitListener is not used because its wrapper hides CloseWrite from net/http; a response to headers that are
// too large was lost in a reset that way.
type limitListener struct {
	net.Listener
	limit int
	freed chan struct{} // capacity 1; signals that a place may be free

	stopping atomic.Bool
	stopped  chan struct{} // closed after the accept queue was emptied and the listener closed

	adoptions       chan adoption // connections from the predecessor, or reclaimed ones that are still to be served
	adoptionsClosed chan struct{} // closed when no more are accepted
	closeOnce       sync.Once

	writeTimeout   time.Duration         // for each chunk of a response
	onWriteTimeout func()                // called for each response that its client did not read
	onUnanswered   func(*conn, progress) // called for each connection that closes during a request without a response
	pipelined      *cpushare.Limiter
	newConns       *rate.Limiter

	mu               sync.Mutex
	open             int        // places taken, also by pending accepts
	idle             *list.List // of *idleConn: connections without an open request, longest idle first
	idleElems        map[net.Conn]*list.Element
	conns            map[*conn]struct{}
	reclaimsPending  int                     // reclaimed connections that are not yet transferred, closed or adopted again
	adoptionsPending int                     // connections being adopted that are not in conns yet
	transfer         func(*net.TCPConn) bool // hands a connection to the successor; nil: there is none
	resumed          chan struct{}           // closed when Accept may continue; nil: it is not paused
	changed          chan struct{}           // closed and replaced whenever the result of remaining changes
}

type idleConn struct {
	conn  net.Conn
	since time.Time
	isNew bool // no request so far; the first may be about to arrive
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, limit: limit, freed: make(chan struct{}, 1), stopped: make(chan struct{}),
		adoptions: make(chan adoption), adoptionsClosed: make(chan struct{}), changed: make(chan struct{}),
		writeTimeout: defaultWriteTimeout, onWriteTimeout: func() {}, onUnanswered: func(*conn, progress) {}, pipelined: cpushare.New(pipelineShares, 1),
		newConns: newConnLimiter(1),
		idle:     list.New(), idleElems: map[net.Conn]*list.Element{}, conns: map[*conn]struct{}{}}
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
		} else {
			awaitNewConn(s.newConns)
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
			if socket.HasPending(s.Listener) {
				continue // the deadline had passed before the accept queue was checked
			}
			s.Listener.Close()
			close(s.stopped)
			return nil, errListenerStopped
		}
	}
}

// acquire waits until there are fewer connections than the limit, and takes a place.
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

// track wraps a connection for which a place was acquired, and registers it. A connection that the successor declined
// is not offered to it again.
func (s *limitListener) track(nc net.Conn, declined bool) net.Conn {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc
	}
	c := &conn{TCPConn: tcp, onReclaimed: s.reclaimed, writeTimeout: s.writeTimeout,
		onWriteTimeout: s.onWriteTimeout, onUnanswered: s.onUnanswered, pipelined: s.pipelined}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	c.reclaiming = s.transfer != nil && !declined
	return c
}

// adoptionListener accepts the connections that do not come from the listening socket.
type adoptionListener struct{ *limitListener }

// Accept implements net.Listener.
func (a adoptionListener) Accept() (net.Conn, error) {
	select {
	case n := <-a.adoptions:
		a.acquire() // the connection already has a descriptor, so it waits for its place here
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

// adopt has a connection served. It returns false if the listener no longer serves.
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

// adoptionDone ends an adoption: the connection is now in conns, or was not accepted.
func (s *limitListener) adoptionDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adoptionsPending--
	s.notifyChange()
}

// remaining returns the number of connections in any state, and a channel that is closed at the next change. s.mu must
// be held.
func (s *limitListener) remaining() (n int, changed <-chan struct{}) {
	return len(s.conns) + s.reclaimsPending + s.adoptionsPending, s.changed
}

// reclaimed handles a connection that was taken from net/http before any byte of a request was read. It transfers the
// connection to the successor if there is one. Otherwise it closes the connection, unless there are unread bytes on it.
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

// startHandOver has each connection transferred once it is idle, and stops accepting; the listener stays open.
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

// cancelHandOver undoes startHandOver.
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

// waitEmpty waits until no connection is left. It returns false if lost or done is closed first.
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

// closeWhenIdle closes each connection as it becomes idle, and returns true once none is left, or false if ctx ends
// first.
func (s *limitListener) closeWhenIdle(ctx context.Context) bool {
	for {
		s.closeIdle(0)
		s.mu.Lock()
		remaining, changed := s.remaining()
		s.mu.Unlock()
		if remaining == 0 {
			return true
		}
		if !awaitChange(ctx, changed) {
			return false
		}
	}
}

// awaitChange waits for a change, or until it is time to look again: a connection may have become idle, or its
// firstRequestGrace ended. It returns false if ctx ends first.
func awaitChange(ctx context.Context, changed <-chan struct{}) bool {
	recheck := time.NewTimer(closeIdleInterval)
	defer recheck.Stop()
	select {
	case <-changed:
	case <-recheck.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// answersInProgress returns how many connections pass on a table server's answer, and a channel that is closed when
// the next connection ends.
func (s *limitListener) answersInProgress() (n int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.passesOnAnswer() {
			n++
		}
	}
	return n, s.changed
}

// notifyChange wakes the callers of waitEmpty and closeWhenIdle. s.mu must be held.
func (s *limitListener) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// errListenerStopped ends net/http's accept loop. It is not a temporary error, so net/http does not retry.
var errListenerStopped = errors.New("listener closed: the gateway is draining")

// stop has the connections in the listener's accept queue accepted, and the listener closed once the queue is empty.
// Closing a listener resets the connections in its queue, whose clients have already sent requests: with SO_REUSEPORT
// each listener has its own queue, and no other process accepts them.
func (s *limitListener) stop() <-chan struct{} {
	if !s.stopping.Swap(true) {
		s.setAcceptDeadline()
	}
	return s.stopped
}

// setAcceptDeadline makes Accept return soon if the accept queue is empty. A deadline in the past would make it return
// without checking the queue.
func (s *limitListener) setAcceptDeadline() {
	if d, ok := s.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		d.SetDeadline(time.Now().Add(stopAcceptTimeout))
		return
	}
	s.Listener.Close() // a listener without deadlines cannot be polled
}

// release gives up a place, and wakes a waiting acquire.
func (s *limitListener) release() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// connState is net/http's ConnState hook. It tracks which connections are idle, and releases the places of closed
// ones.
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
	switch {
	case state == http.StateClosed || state == http.StateHijacked:
		s.release()
	case state == http.StateIdle && known != nil:
		known.pace()
	}
}

// count returns the number of tracked connections.
func (s *limitListener) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
