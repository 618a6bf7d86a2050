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
)

// logLines is a log writer that passes each line to the test.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) { l <- string(p); return len(p), nil }

// startLoggedServer starts a server that does not answer while the client stays connected, and returns its log.
func startLoggedServer(t *testing.T) (address string, log logLines, s *Server, begun chan struct{}) {
	log, begun = make(logLines, 64), make(chan struct{}, 1)
	s = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}), MaxHeader, nil, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l, 8) }()
	t.Cleanup(func() {
		s.http.Close()
		l.Close()
		<-ended
	})
	return l.Addr().String(), log, s, begun
}

// next returns the next log line about an unanswered request.
func (l logLines) next() string {
	late := time.After(20 * time.Second)
	for {
		select {
		case line := <-l:
			if strings.Contains(line, "unanswered") {
				return line
			}
		case <-late:
			return ""
		}
	}
}

func expectContains(t *testing.T, line string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(line, part) {
			t.Errorf("%q lacks %q", line, part)
		}
	}
}

// Guards against a request that ends without a response and without a log line.
func TestUnansweredRequestsAreLogged(t *testing.T) {
	const head = "GET /view/1 HTTP/1.1\r\nHost: g\r\nX-Request-ID: left-1\r\n\r\n"
	t.Run("its client leaves", func(t *testing.T) {
		address, log, _, begun := startLoggedServer(t)
		client, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(client, head)
		<-begun
		client.Close()
		expectContains(t, log.next(), "by=client", "id=left-1", fmt.Sprintf("bytes=%d", len(head)), "attempts_out=0", "since_last_byte=")
	})
	t.Run("the process ends", func(t *testing.T) {
		address, log, s, begun := startLoggedServer(t)
		client, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		io.WriteString(client, head)
		<-begun
		s.LogUnanswered()
		expectContains(t, log.next(), "by=gateway", "id=left-1", fmt.Sprintf("bytes=%d", len(head)))
	})
}
