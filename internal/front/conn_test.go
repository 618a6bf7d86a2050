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

// Guards against a request header that stalls because one of its lines leaves room for a single byte in net/http's
// buffer of 4,096 bytes: that read must not be taken for the one that only detects a close by the client. The remainder
// is sent once everything before it has been read, so the order of events is the same in each run.
func TestLongLineOfAHeadIsReadOn(t *testing.T) {
	s, address := startServer(t, "here")
	const buffer, first = 4096, "GET /table-view/1 HTTP/1.1\r\nHost: g\r\n"
	for _, kept := range []bool{false, true} { // net/http sets other deadlines for the first header of a connection
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
		for unread := true; unread; unread = !socket.Quiet(near.TCPConn) { // written bytes are in the receive buffer at once
			runtime.Gosched()
		}
		began := time.Now()
		if got := c.ask(t, "yyyyyyyy\r\n\r\n"); got != "here" {
			t.Errorf("kept connection %t: answered %q", kept, got)
		}
		if took := time.Since(began); took > headerTimeout/2 {
			t.Errorf("kept connection %t: answered only after %v", kept, took)
		}
	}
}

// Guards against forwarding a request whose client closed the connection before the request was read. The connection
// waits for a place below the connection limit, and net/http reports the close only after the request is forwarded.
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
			<-came // it takes up the connection limit of 1
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
				t.Errorf("%s was forwarded", got)
			}
		})
	}
}
