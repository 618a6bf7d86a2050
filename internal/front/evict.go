package front

import (
	"net"
	"time"

	"junctionring/internal/socket"
)

const (
	restful    = 2 * time.Second        // without an open request: the platform lets it be closed then
	firstWord  = 250 * time.Millisecond // clients that mean to ask send as they connect; where no slot is left
	headStall  = time.Second            // without a byte of a head that has begun; where no slot is left
	spareSlots = 8                      // one part in so many is kept free, lest a client wait for a close
	evictTries = 16                     // connections looked at for one that can be closed
)

// take takes a slot if one is free, and closes one connection if few are.
func (s *slots) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.open >= s.most
	if !full {
		s.open++
	}
	if s.open > s.most-s.most/spareSlots {
		s.evict(full)
	}
	return !full
}

// evict closes the connection that has rested longest. Where no slot is left it need not have rested long: one
// that finds no slot waits in vain. A connection with a request that is not read yet is passed over: the first
// request on a connection is lost by a close, and each later one costs a new connection. So is one with a part of a
// head, but where no slot is left and nothing more of it came for headStall.
func (s *slots) evict(full bool) {
	least := restful
	if full {
		least = firstWord
	}
	for e, tries := s.resting.Front(), 0; e != nil && tries < evictTries; e = e.Next() {
		r := e.Value.(*rest)
		if time.Since(r.since) < least {
			return // those behind have rested less
		}
		if half, ended := endStalled(r.conn, full); ended {
			s.forget(r.conn)
			return
		} else if half {
			continue
		}
		tries++
		if socket.Quiet(r.conn) {
			s.forget(r.conn)
			takeBack(r.conn) // its slot is free once net/http has noticed
			return
		}
	}
}

// endStalled tells whether a part of a head has come on a connection, and ends it where no slot is left and the rest
// does not come.
func endStalled(c net.Conn, full bool) (half, ended bool) {
	known, ok := c.(*conn)
	if !ok {
		return false, false
	}
	stall := headerWait // net/http ends it by itself then
	if full {
		stall = headStall
	}
	return known.halfHead(stall)
}

// takeBack has a connection closed that rests, unless a request comes in on it meanwhile.
func takeBack(c net.Conn) {
	if c, ok := c.(*conn); ok {
		c.leave()
		return
	}
	c.Close()
}

// closeResting closes each connection that has rested at least so long, unless a request comes in on it, and
// says how many still rest. One that has had no request yet is left for firstWord: a client that has just
// connected sends its request next, and a close then would lose it.
func (s *slots) closeResting(least time.Duration) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.resting.Front(); e != nil; e = e.Next() {
		r := e.Value.(*rest)
		if time.Since(r.since) < least {
			return left // those behind have rested less
		}
		if r.fresh && time.Since(r.since) < firstWord {
			continue
		}
		left++
		takeBack(r.conn)
	}
	return left
}

func (s *slots) forget(c net.Conn) {
	if e := s.rests[c]; e != nil {
		s.resting.Remove(e)
		delete(s.rests, c)
	}
}
