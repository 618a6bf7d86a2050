package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A platform whose longest deadline is 0.8 s kills 1.5 s after SIGTERM. Its clients ask on for as long as their
// connection stays open, of table servers that never answer: each request has its whole answer all the same, and
// the program has ended by itself. (The kill comes a second late here, for a slow machine's sake; an end by the
// known site's deadlines would come a second after that.)
func TestEndsBeforeTheKillOfShortDeadlines(t *testing.T) {
	cmd, address := onPlatform(t, `"HardLimit":0.8`, silentTable(t))
	clients := make([]chan error, 4)
	begun := make(chan struct{}, len(clients))
	for i := range clients {
		clients[i] = make(chan error, 1)
		go func() { clients[i] <- asksOn(address, i, begun) }()
	}
	for range clients {
		<-begun
	}
	cmd.Process.Signal(syscall.SIGTERM)
	killed := false
	kill := time.AfterFunc(2500*time.Millisecond, func() { killed = true; cmd.Process.Kill() })
	for i := range clients {
		if err := <-clients[i]; err != nil {
			t.Errorf("client %d: %v", i, err)
		}
	}
	err := cmd.Wait()
	if kill.Stop(); err != nil || killed {
		t.Errorf("the program ended with %v, killed: %v", err, killed)
	}
}

// onPlatform starts the program on the platform before one table server, with a part of the settings put in another's place.
func onPlatform(t *testing.T, limit, table string) (*exec.Cmd, string) {
	t.Helper()
	known := `{"generation":2,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"` + table +
		`","zone":"hall-a","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}`
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, known)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(discovery.CloseClientConnections)
	counter, _ := dialled(t)
	text := strings.Replace(platform(strings.TrimPrefix(discovery.URL, "http://"), counter, known), `"HardLimit":4`, limit, 1)
	return start(t, "--config", write(t, "config.json", text))
}

// silentTable takes requests, and never answers one.
func silentTable(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go io.Copy(io.Discard, c)
		}
	}()
	return l.Addr().String()
}

// asksOn sends one move after another, on one connection for as long as that stays open, then on a new one, until
// none can be had. It returns an error for a request that is taken and gets no whole answer. A close that crosses a
// request costs another connection, as the protocol has it; a second in a row counts as a loss.
func asksOn(address string, client int, begun chan<- struct{}) error {
	var c net.Conn
	var in *bufio.Reader
	crossed := false
	for n := 0; ; n++ {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", address); err != nil {
				return nil // it has ended
			}
			in = bufio.NewReader(c)
		}
		key := fmt.Sprintf("k%d-%d", client, n)
		_, err := fmt.Fprintf(c, "POST /move-submit/1 HTTP/1.1\r\nHost: g\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Plan: club\r\n"+
			"X-Timeout: 700m\r\nCookie: account=%016x\r\nX-Quota: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\ne2e4", key, key, client+1)
		if n == 0 {
			begun <- struct{}{}
		}
		var resp *http.Response
		if err == nil {
			if resp, err = http.ReadResponse(in, nil); err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
		}
		if err != nil {
			c.Close()
			c = nil
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
				return err
			}
			if n == 0 || crossed {
				return fmt.Errorf("request %s was taken and got no answer: %w", key, err)
			}
			crossed = true
			continue
		}
		if crossed = false; resp.Close {
			c.Close()
			c = nil
		}
	}
}

// Guards against a shutdown that cuts a request with no answer since its client pauses within the body.
func TestShutdownAnswersARequestWhoseBodyPauses(t *testing.T) {
	cmd, address := onPlatform(t, `"HardLimit":0.8`, silentTable(t))
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	in := bufio.NewReader(client)
	fmt.Fprint(client, "POST /move-submit/1 HTTP/1.1\r\nHost: g\r\nX-Request-ID: p1\r\nIdempotency-Key: p1\r\nX-Plan: club\r\nX-Timeout: 700m\r\n"+
		"Cookie: account=0000000000000001\r\nX-Quota: units=1,spread=1,first=0\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
	if line, err := in.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
		t.Fatalf("%q, %v", line, err) // the body is waited for
	}
	in.ReadString('\n')
	io.WriteString(client, "e2")
	cmd.Process.Signal(syscall.SIGTERM)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("answered %d, %v", resp.StatusCode, resp.Header)
	}
	exits(t, cmd)
}
