package egress

import (
	"bytes"
	"math"
	"net"
	"testing"

	"junctionring/control"
)

// writtenConn is a connection on which a peer has written all that it will.
type writtenConn struct {
	net.Conn
	*bytes.Reader
}

func (s writtenConn) Read(b []byte) (int, error) { return s.Reader.Read(b) }

// Whatever a target writes, a served answer is a whole 200 within the limits, and a load has finite numbers only.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: {\"q\":1,\"rif\":2}\r\n\r\nhere",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhere\r\n0\r\n\r\n",
		"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nhere",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := newConn(writtenConn{Reader: bytes.NewReader(text)}, process{}, &answerStats{})
		o, reuse := c.readAnswer("GET", []string{"q", "rif"})
		if reply, ok := o.Reply.(*Reply); o.Status == control.OK && (!ok || reply.Status != 200 || len(reply.Body) > MaxBody) {
			t.Errorf("served %+v", o)
		}
		if reuse && c.in.Buffered() > 0 {
			t.Error("used again with something behind the answer")
		}
		for _, v := range o.Load {
			if !(v >= 0) || math.IsInf(v, 0) {
				t.Errorf("load %v", o.Load)
			}
		}
	})
}
