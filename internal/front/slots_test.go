package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// Connections that wait in the listener's queue when the drain stops taking new ones are taken all the same;
// only then is the listener closed, and nothing new is taken after it.
func TestStopTakesWhatWaits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newSlots(l, 64)
	waiting := make([]net.Conn, 5)
	for i := range waiting { // the kernel completes their handshakes: they wait in the queue, unaccepted
		if waiting[i], err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer waiting[i].Close()
		io.WriteString(waiting[i], "GET /table-view/1 HTTP/1.1\r\nHost: g\r\n\r\n")
	}
	stopped := s.stop()
	taken := 0
	for {
		c, err := s.Accept()
		if err != nil {
			if !errors.Is(err, errStopped) {
				t.Fatalf("accept: %v", err)
			}
			break
		}
		taken++
		c.Close()
	}
	<-stopped
	if taken != len(waiting) {
		t.Errorf("%d of the %d connections that waited were taken", taken, len(waiting))
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was taken after the listener stopped")
	}
}

// At the end of a drain a connection that has just come, with its request not yet sent, is not closed under it;
// one that has been idle after a request is.
func TestFreshConnectionIsNotClosedAtTheEnd(t *testing.T) {
	s, client, fresh := accepted(t)
	s.state(fresh, http.StateNew)
	s.closeResting(0)
	const request = "GET /table-view/1 HTTP/1.1\r\nHost: g\r\n\r\n"
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(request)) // all of it: an idle connection with bytes unread is not closed either
	if _, err := io.ReadFull(fresh, b); err != nil {
		t.Fatalf("the fresh connection was closed: %v", err)
	}
	s.state(fresh, http.StateActive)
	s.state(fresh, http.StateIdle)
	s.closeResting(0)
	if _, err := fresh.Read(b); err == nil {
		t.Error("an idle connection was left open at the end")
	}
}

// A connection whose client has closed its side is closed at the end of a drain too: it has nothing to be
// answered, and waiting for it would hold the drain to its deadline.
func TestGoneClientIsNotWaitedFor(t *testing.T) {
	s, client, gone := accepted(t)
	s.state(gone, http.StateNew)
	s.state(gone, http.StateActive)
	s.state(gone, http.StateIdle)
	client.(*net.TCPConn).CloseWrite()
	client.Close()
	for left := -1; left != 0; { // the end arrives in a moment
		left = s.closeResting(0)
		if left == 0 && len(s.rests) != 0 {
			left = 1
		}
	}
	if _, err := gone.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Errorf("the connection of a client that has gone was left open: %v", err)
	}
}

// accepted is slots over a listener on loopback, a client's connection, and its end as slots handed it out.
func accepted(t *testing.T) (s *slots, client, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s = newSlots(l, 64)
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = s.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	return s, client, server
}
