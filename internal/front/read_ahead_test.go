package front

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// startBlockingServer starts a server that answers with the method and path. For /one it closes came and waits for
// release.
func startBlockingServer(t *testing.T) (s *Server, address string, came, release chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came, release = make(chan struct{}), make(chan struct{})
	s = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/one" {
			close(came)
			<-release
		}
		io.WriteString(w, r.Method+" "+r.URL.Path)
	}), MaxHeader, nil, slog.New(slog.DiscardHandler))
	go s.Serve(l, 64)
	t.Cleanup(func() { s.http.Close() })
	return s, l.Addr().String(), came, release
}

// Guards against a request losing its first bytes when they were read together with the previous request and the
// connection is handed over to a successor.
func TestRequestReadInPartIsNotHandedOver(t *testing.T) {
	for _, part := range []string{"", "G", "GE", "GET", "GET ", "GET /two HTTP/1.1\r\n", "GET /two HTTP/1.1\r\nHost: g\r\n\r\n"} {
		t.Run(part, func(t *testing.T) {
			s, address, came, release := startBlockingServer(t)
			next, _, _, _ := startBlockingServer(t)
			c := dial(t, address)
			const one, two = "GET /one HTTP/1.1\r\nHost: g\r\n\r\n", "GET /two HTTP/1.1\r\nHost: g\r\n\r\n"
			if _, err := io.WriteString(c, one+part); err != nil {
				t.Fatal(err)
			}
			<-came
			over := make(chan error, 1)
			go func() {
				over <- s.HandOver(t.Context(), func(c *net.TCPConn) bool { return adoptDuplicate(next, c) }, nil)
			}()
			for !isReclaiming(s) {
				runtime.Gosched()
			}
			close(release)
			if got := c.ask(t, ""); got != "GET /one" {
				t.Errorf("the first request was answered %q", got)
			}
			if part == "" { // the connection is idle: the successor has it
				if err := <-over; err != nil {
					t.Error(err)
				}
			}
			if got := c.ask(t, two[len(part):]); got != "GET /two" {
				t.Errorf("the second request was answered %q", got)
			}
			if part != "" {
				if err := <-over; err != nil {
					t.Error(err)
				}
			}
			if got := c.ask(t, "GET /three HTTP/1.1\r\nHost: g\r\n\r\n"); got != "GET /three" {
				t.Errorf("the third request was answered %q", got)
			}
		})
	}
}

// isReclaiming reports whether the server's only connection is to be reclaimed.
func isReclaiming(s *Server) bool {
	l := s.listener.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.reclaiming
	}
	return false
}
