package front

import (
	"net"
	"time"

	"junctionring/internal/socket"
)

const (
	evictMinIdle       = 2 * time.Second        // idle time after which the platform allows a close
	firstRequestGrace  = 250 * time.Millisecond // for a new connection; clients with a request send it as they connect
	headerStallTimeout = time.Second            // at the limit; no further byte of a partial header
	reserveDivisor     = 8                      // limit/reserveDivisor places stay free, so that clients need not wait
	evictMaxChecks     = 16                     // connections examined per eviction
)

// tryAcquire takes a place below the connection limit if one is free. If few are free, it closes one connection.
func (s *limitListener) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.open >= s.limit
	if !full {
		s.open++
	}
	if s.open > s.limit-s.limit/reserveDivisor {
		s.evict(full)
	}
	return !full
}

// evict closes the connection that has been idle longest. At the connection limit (full) a shorter idle time suffices,
// since a client that finds no place waits in vain. A connection with an unread request is skipped: closing it loses
// the request if it is the first on its connection, and costs the client a new connection if it is a later one. A
// connection with a partial header is skipped too, unless the limit is reached and no further byte of the header came
// for headerStallTimeout.
func (s *limitListener) evict(full bool) {
	minIdle := evictMinIdle
	if full {
		minIdle = firstRequestGrace
	}
	for e, checks := s.idle.Front(), 0; e != nil && checks < evictMaxChecks; e = e.Next() {
		r := e.Value.(*idleConn)
		if time.Since(r.since) < minIdle {
			return // the following ones have been idle for less time
		}
		if partial, ended := endStalledHeader(r.conn, full); ended {
			s.removeIdle(r.conn)
			return
		} else if partial {
			continue
		}
		checks++
		if socket.Quiet(r.conn) {
			s.removeIdle(r.conn)
			reclaim(r.conn) // its place is free once net/http has noticed the close
			return
		}
	}
}

// endStalledHeader reports whether part of a request header has arrived on a connection. It ends the connection if
// the connection limit is reached and the header has stalled.
func endStalledHeader(c net.Conn, full bool) (partial, ended bool) {
	known, ok := c.(*conn)
	if !ok {
		return false, false
	}
	timeout := headerTimeout // net/http itself ends the connection after that
	if full {
		timeout = headerStallTimeout
	}
	return known.checkPartialHeader(timeout)
}

// reclaim closes an idle connection unless a request arrives on it in the meantime.
func reclaim(c net.Conn) {
	if c, ok := c.(*conn); ok {
		c.requestReclaim()
		return
	}
	c.Close()
}

// closeIdle closes each connection that has been idle for at least minIdle, unless a request arrives on it, and returns
// how many it asked to close. A connection without a request so far is kept open for firstRequestGrace: a client that
// has just connected sends its request next, and closing the connection would lose it.
func (s *limitListener) closeIdle(minIdle time.Duration) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		r := e.Value.(*idleConn)
		if time.Since(r.since) < minIdle {
			return remaining // the following ones have been idle for less time
		}
		if r.isNew && time.Since(r.since) < firstRequestGrace {
			continue
		}
		remaining++
		reclaim(r.conn)
	}
	return remaining
}

func (s *limitListener) removeIdle(c net.Conn) {
	if e := s.idleElems[c]; e != nil {
		s.idle.Remove(e)
		delete(s.idleElems, c)
	}
}
