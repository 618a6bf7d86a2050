package standin

import (
	"io"
	"net"
	"strings"
	"time"
)

const rushBatch = 64 // requests in one piece

// Rush is a client that sends requests at full speed on one connection at a time, however they are answered.
type Rush struct {
	Request  func(n int) string // makes the nth request
	Unread   bool               // the answers are not read
	Redial   bool               // each request comes on a connection of its own
	Answered bool               // with Redial: a request is sent once the one before was answered
}

// Run sends requests until the end, on a new connection whenever one ends. It returns early if it can't connect.
func (r Rush) Run(address string, ends time.Time) {
	for n := 0; time.Now().Before(ends); {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.SetDeadline(ends)
		if r.Redial {
			r.sendOne(c, n)
			n++
		} else {
			n = r.sendAll(c, n)
		}
		c.Close()
	}
}

// sendOne writes one request.
func (r Rush) sendOne(c net.Conn, n int) {
	io.WriteString(c, r.Request(n))
	if r.Answered {
		c.Read(make([]byte, 1<<10))
	}
}

// sendAll writes requests until the connection ends, and returns the number of the next.
func (r Rush) sendAll(c net.Conn, n int) int {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if !r.Unread {
			io.Copy(io.Discard, c)
			c.Close() // the other end has ended it
		}
	}()
	var batch strings.Builder
	for err := error(nil); err == nil; {
		batch.Reset()
		for range rushBatch {
			batch.WriteString(r.Request(n))
			n++
		}
		_, err = io.WriteString(c, batch.String())
	}
	c.Close()
	<-ended
	return n
}
