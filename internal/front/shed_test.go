package front

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// Guards against a request that gets no response at the end of a shutdown because its body had not arrived.
func TestBodyThatHasNotComeInIsShed(t *testing.T) {
	reads, ended := make(chan struct{}, 2), make(chan error, 1)
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reads <- struct{}{}
		if _, _, err := ReadBody(w, r, 100, 100); err != nil {
			Reject(w, r, err)
		}
	}), MaxHeader, nil, slog.New(slog.DiscardHandler))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- s.Serve(l, 8) }()
	defer func() {
		s.http.Close()
		<-ended
	}()
	begin := func() *bufio.Reader {
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		io.WriteString(client, "POST /stake/1 HTTP/1.1\r\nHost: g\r\nContent-Length: 4\r\n\r\ne2")
		<-reads
		return bufio.NewReader(client)
	}
	expect := func(in *bufio.Reader) {
		t.Helper()
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.500" || !resp.Close {
			t.Errorf("answered %d, %v", resp.StatusCode, resp.Header)
		}
	}
	before := begin()
	s.Shed("0.500")
	expect(before)
	expect(begin())
}
