package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a table server received.
type arrival struct {
	id, path, key, server string
	first, last           time.Time // of its bytes
	body                  int
	conn                  *tableConn
}

// tableConn is a connection to a table server.
type tableConn struct {
	net.Conn
	number  int
	server  *tableServer
	arrived atomic.Int64 // bytes of requests were read so many times
}

// tableServer is a table server. It answers each request by answer, which may write what it likes; false closes the
// connection.
type tableServer struct {
	id, address string
	play        *play
	answer      func(*arrival) bool

	mu    sync.Mutex
	got   []*arrival
	conns int
	hangs time.Time // nothing is read until then
	open  []*tableConn

	listener net.Listener
}

// pause has the server hang: it reads nothing until a time.
func (s *tableServer) pause(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs = until
}

// Read reads as the server does: not while it hangs.
func (c *tableConn) Read(b []byte) (int, error) {
	c.server.mu.Lock()
	until := c.server.hangs
	c.server.mu.Unlock()
	time.Sleep(time.Until(until))
	n, err := c.Conn.Read(b)
	c.arrived.Add(1)
	return n, err
}

func (p *play) newTableServer(id string, answer func(*arrival) bool) (*tableServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &tableServer{id: id, address: l.Addr().String(), play: p, answer: answer, listener: l}
	p.onEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.onEnd(func() { c.Close() })
			s.mu.Lock()
			s.conns++
			tc := &tableConn{Conn: c, number: s.conns, server: s}
			s.open = append(s.open, tc)
			s.mu.Unlock()
			go s.serve(tc)
		}
	}()
	return s, nil
}

// entry is the server's entry of discovery's list.
func (s *tableServer) entry(lifecycle string) instance {
	return instance{ID: s.id, HostPort: s.address, Zone: "hall-a", Kind: "std-3", Lifecycle: lifecycle, Weight: 1}
}

func (s *tableServer) serve(c *tableConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
			io.WriteString(c, reply(200, `{"inflight":0,"queue":0}`))
			continue
		}
		a := &arrival{id: r.Header.Get("X-Request-ID"), path: r.URL.Path, key: r.Header.Get("Idempotency-Key"),
			server: s.id, first: first, last: time.Now(), body: int(n), conn: c}
		if a.id == "" {
			io.WriteString(c, reply(404, ""))
			continue
		}
		s.mu.Lock()
		s.got = append(s.got, a)
		s.mu.Unlock()
		if !s.answer(a) {
			return
		}
	}
}

// arrivals are the requests received so far.
func (s *tableServer) arrivals() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.got...)
}

// reply is a whole answer.
func reply(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}
