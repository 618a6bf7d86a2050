package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// NewTwice starts an HTTP/1.1 peer that answers every request twice: the second time when the next request on the
// connection has come, right before the answer to that one. answer returns the whole text of an answer.
func NewTwice(listen string, answer func(*http.Request) string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, err
	}
	t := &twice{answer: answer}
	t.serving.Go(func() { t.accept(l) })
	return l.Addr().String(), func() { l.Close(); t.close() }, nil
}

type twice struct {
	answer  func(*http.Request) string
	serving sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

func (t *twice) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.serving.Go(func() { t.serve(c) })
	}
}

// follow has a connection closed with the peer.
func (t *twice) follow(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.Close()
	}
	t.conns = append(t.conns, c)
}

func (t *twice) serve(c net.Conn) {
	defer c.Close()
	t.follow(c)
	in, second := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		own := t.answer(r)
		io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, second+own); err != nil {
			return
		}
		second = own
	}
}

// close ends all connections, and returns once nothing is served any more.
func (t *twice) close() {
	t.mu.Lock()
	t.closed = true
	for _, c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	t.serving.Wait()
}
