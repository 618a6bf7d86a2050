package front

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"junctionring/internal/socket"
)

// Guards against a client's time that runs while it surely has more to send, or that does not run although all that it
// has written may lie in the sockets' buffers.
func TestIncompleteAt(t *testing.T) {
	fitsNoBuffer := int(socket.MaxSendBuffer()) + 2<<20 // less 600 KB that come
	most := max(32<<20, int64(fitsNoBuffer))
	for _, c := range []struct {
		name    string
		length  int
		written int  // of the body
		running bool // the client's time may be running
	}{
		{"whole, unread", 1 << 20, 1 << 20, true},
		{"the rest fits the client's buffer", 1 << 20, 600 << 10, true},
		{"the rest fits no buffer", fitsNoBuffer, 600 << 10, false},
		{"all that came was read", 1 << 20, longBodyPrefix, false},
		{"whole, read", 100 << 10, 100 << 10, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			type result struct{ age time.Duration }
			results := make(chan result, 1)
			arrived := make(chan struct{})
			s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, rest, err := ReadBody(w, r, 64<<10, most)
				if err != nil {
					t.Error(err)
					return
				}
				if c.name == "whole, read" {
					io.Copy(io.Discard, rest) // net/http looks for the end of the connection from here on
					<-arrived
					asked := time.Now()
					results <- result{asked.Sub(rest.IncompleteAt())}
					return
				}
				<-arrived
				for c.written > longBodyPrefix && socket.Queued(connOf(r).TCPConn) < 64<<10 { // what was written comes at once
				}
				asked := time.Now()
				results <- result{asked.Sub(rest.IncompleteAt())}
			}), MaxHeader, nil, slog.New(slog.DiscardHandler))
			go s.Serve(l, 4)
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			fmt.Fprintf(client, "POST /x HTTP/1.1\r\nHost: g\r\nContent-Length: %d\r\n\r\n", c.length)
			io.WriteString(client, strings.Repeat("x", c.written))
			time.AfterFunc(100*time.Millisecond, func() { close(arrived) }) // so that a time that runs is seen to
			if got := <-results; (got.age > 0) != c.running {
				t.Errorf("the client surely had more to send %v ago; its time may be running: want %t", got.age, c.running)
			}
		})
	}
}
