package front

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/socket"
)

// A head's line that leaves room for a single byte in net/http's buffer of 4,096 is read on: that read is not the one
// which only looks whether the client leaves. The rest is sent once all before it has been read, so the order is the
// same each time.
func TestLongLineOfAHeadIsReadOn(t *testing.T) {
	s, address := startServer(t, "here")
	const buffer, first = 4096, "GET /table-view/1 HTTP/1.1\r\nHost: g\r\n"
	for _, kept := range []bool{false, true} { // net/http sets other times for the first head of a connection
		c := dial(t, address)
		var near *conn
		if kept {
			c.ask(t, request)
		}
		for near == nil {
			l := s.listener.Load()
			l.mu.Lock()
			for k := range l.conns {
				if k.RemoteAddr().String() == c.LocalAddr().String() {
					near = k
				}
			}
			l.mu.Unlock()
		}
		line := "X-Long: " + strings.Repeat("x", buffer-1-len("X-Long: "))
		if _, err := io.WriteString(c, first+line); err != nil {
			t.Fatal(err)
		}
		for unread := true; unread; unread = !socket.Quiet(near.TCPConn) { // what was written lies there at once
			runtime.Gosched()
		}
		began := time.Now()
		if got := c.ask(t, "yyyyyyyy\r\n\r\n"); got != "here" {
			t.Errorf("kept %t: %q", kept, got)
		}
		if took := time.Since(began); took > headerTimeout/2 {
			t.Errorf("kept %t: held up for %v", kept, took)
		}
	}
}

// A client that has left before its request was read has nothing sent on for it: its connection waited until there was
// a slot, and when net/http tells of the end the request would be on its way.
func TestWhoLeftUnreadIsNotCarried(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"end":                     func(c *net.TCPConn) { c.Close() },
		"half-close":              func(c *net.TCPConn) { c.CloseWrite() },
		"a byte, then half-close": func(c *net.TCPConn) { io.WriteString(c, "G"); c.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			carried, came, release := make(chan string, 4), make(chan struct{}), make(chan struct{})
			proxy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				carried <- r.URL.Path
				if r.URL.Path == "/first" {
					close(came)
					<-release
				}
			})
			s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, rest, err := ReadBody(w, r, 64, 64)
				if err != nil {
					t.Error(err)
				}
				Forward(proxy, w, r, &core.Exchange{}, body, rest, nil)
			}), MaxHeader, nil, slog.New(slog.DiscardHandler))
			go s.Serve(l, 1)
			t.Cleanup(func() { s.http.Close() })
			first := dial(t, l.Addr().String())
			io.WriteString(first, "GET /first HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n")
			<-came // it has the only slot
			for _, message := range []string{"GET /left HTTP/1.1\r\nHost: g\r\n\r\n", "POST /left HTTP/1.1\r\nHost: g\r\nContent-Length: 4\r\n\r\nbody"} {
				leaver := dial(t, l.Addr().String())
				io.WriteString(leaver, message)
				leave(leaver.Conn.(*net.TCPConn))
			}
			last := dial(t, l.Addr().String())
			io.WriteString(last, "GET /last HTTP/1.1\r\nHost: g\r\n\r\n")
			close(release)
			if got := <-carried; got != "/first" {
				t.Fatal(got)
			}
			if got := <-carried; got != "/last" {
				t.Errorf("%s was carried out", got)
			}
		})
	}
}
