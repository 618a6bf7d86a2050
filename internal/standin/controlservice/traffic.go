package controlservice

import (
	"net"
	"sync/atomic"
)

// traffic counts what went over the service's connections, HTTP/2 framing and keep-alives included.
type traffic struct{ sent, received atomic.Int64 }

// Traffic tells the bytes sent to all nodes and received from them so far.
func (s *Service) Traffic() (sent, received int64) {
	return s.traffic.sent.Load(), s.traffic.received.Load()
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(int64(n))
	return n, err
}
