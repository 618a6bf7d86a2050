package front

import (
	"net"
	"time"

	"junctionring/internal/socket"
)

const (
	evictMinIdle       = 2 * time.Second        // without an open request: the platform lets it be closed then
	firstRequestGrace  = 250 * time.Millisecond // clients that mean to ask send as they connect; where no slot is left
	headerStallTimeout = time.Second            // without a byte of a head that has begun; where no slot is left
	reserveDivisor     = 8                      // one part in so many is kept free, lest a client wait for a close
	evictMaxChecks     = 16                     // connections looked at for one that can be closed
)

// take takes a slot if one is free, and closes one connection if few are.
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

// evict closes the connection that has rested longest. Where no slot is left it need not have rested long: one
// that finds no slot waits in vain. A connection with a request that is not read yet is passed over: the first
// request on a connection is lost by a close, and each later one costs a new connection. So is one with a part of a
// head, but where no slot is left and nothing more of it came for headStall.
func (s *limitListener) evict(full bool) {
	minIdle := evictMinIdle
	if full {
		minIdle = firstRequestGrace
	}
	for e, checks := s.idle.Front(), 0; e != nil && checks < evictMaxChecks; e = e.Next() {
		r := e.Value.(*idleConn)
		if time.Since(r.since) < minIdle {
			return // those behind have rested less
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
			reclaim(r.conn) // its slot is free once net/http has noticed
			return
		}
	}
}

// endStalled tells whether a part of a head has come on a connection, and ends it where no slot is left and the rest
// does not come.
func endStalledHeader(c net.Conn, full bool) (partial, ended bool) {
	known, ok := c.(*conn)
	if !ok {
		return false, false
	}
	timeout := headerTimeout // net/http ends it by itself then
	if full {
		timeout = headerStallTimeout
	}
	return known.checkPartialHeader(timeout)
}

// takeBack has a connection closed that rests, unless a request comes in on it meanwhile.
func reclaim(c net.Conn) {
	if c, ok := c.(*conn); ok {
		c.requestReclaim()
		return
	}
	c.Close()
}

// closeResting closes each connection that has rested at least so long, unless a request comes in on it, and
// says how many still rest. One that has had no request yet is left for firstWord: a client that has just
// connected sends its request next, and a close then would lose it.
func (s *limitListener) closeIdle(minIdle time.Duration) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		r := e.Value.(*idleConn)
		if time.Since(r.since) < minIdle {
			return remaining // those behind have rested less
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
