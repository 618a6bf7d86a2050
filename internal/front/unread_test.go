package front

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// The connection of a client that never reads its response is ended after a bounded time and counted, which frees its
// place for the next client. A client that keeps reading gets the whole response, however long that takes.
func TestUnreadAnswerFreesItsSlot(t *testing.T) {
	const long = 32 << 20 // more than the socket buffers of both ends hold
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan struct{}, 8)
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { over <- struct{}{} }()
		if r.URL.Path == "/long" {
			w.Write(make([]byte, long))
			return
		}
		io.WriteString(w, "here")
	}), MaxHeader, nil, slog.New(slog.DiscardHandler))
	s.writeTimeout = 200 * time.Millisecond
	go s.Serve(l, 1)
	t.Cleanup(func() { s.http.Close() })

	silent := dial(t, l.Addr().String())
	io.WriteString(silent, "GET /long HTTP/1.1\r\nHost: g\r\n\r\n")
	select {
	case <-over:
	case <-time.After(20 * time.Second):
		t.Fatal("the response is still held for a client that does not read")
	}
	for s.UnreadResponses() != 1 {
		runtime.Gosched()
	}
	reader := dial(t, l.Addr().String())
	if got := reader.ask(t, "GET /long HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n"); len(got) != long {
		t.Errorf("a client that reads got %d bytes of %d", len(got), long)
	}
	if got := dial(t, l.Addr().String()).ask(t, request); got != "here" {
		t.Errorf("answered %q", got)
	}
	if n := s.UnreadResponses(); n != 1 {
		t.Errorf("%d responses counted as unread", n)
	}
}
