package management

import (
	"bufio"
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func serve(t *testing.T, h Hooks) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(h, slog.New(slog.DiscardHandler))
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func send(t *testing.T, address, message string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, message)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	if _, err := in.ReadByte(); err == nil {
		t.Error("more than one answer on a connection")
	}
	return resp, string(body)
}

// Each of the four calls has its effect, other paths and methods are refused, and a connection serves one call.
func TestCalls(t *testing.T) {
	var ready, evacuated atomic.Bool
	address := serve(t, Hooks{
		Ready:     ready.Load,
		Telemetry: func(b *bytes.Buffer) { b.WriteString("svc.concurrent:3|g\n") },
		Evacuate:  func() { evacuated.Store(true) },
		Rejoin:    func() { evacuated.Store(false) },
	})
	if resp, _ := send(t, address, "GET /api/ready HTTP/1.1\r\nHost: m\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("ready, while the process is not ready: status %d, want 503", resp.StatusCode)
	}
	ready.Store(true)
	if resp, _ := send(t, address, "GET /api/ready HTTP/1.1\r\nHost: m\r\n\r\n"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("ready, while the process is ready: status %d, connection closed %v", resp.StatusCode, resp.Close)
	}
	if resp, body := send(t, address, "GET /api/telemetry HTTP/1.1\r\nHost: m\r\n\r\n"); resp.StatusCode != 200 || body != "svc.concurrent:3|g\n" {
		t.Errorf("telemetry: %d %q", resp.StatusCode, body)
	}
	if resp, _ := send(t, address, "PUT /api/evacuate HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n"); resp.StatusCode != 200 || !evacuated.Load() {
		t.Errorf("evacuate: %d, evacuated %v", resp.StatusCode, evacuated.Load())
	}
	if resp, _ := send(t, address, "PUT /api/rejoin HTTP/1.1\r\nHost: m\r\n\r\n"); resp.StatusCode != 200 || evacuated.Load() {
		t.Errorf("rejoin: %d, evacuated %v", resp.StatusCode, evacuated.Load())
	}
	for message, want := range map[string]int{
		"GET /api/evacuate HTTP/1.1\r\nHost: m\r\n\r\n":  405,
		"POST /api/ready HTTP/1.1\r\nHost: m\r\n\r\n":    405,
		"GET /api/nothing HTTP/1.1\r\nHost: m\r\n\r\n":   404,
		"GET /health/ready HTTP/1.1\r\nHost: m\r\n\r\n":  404,
		"PUT /api/rejoin HTTP/1.1\r\nHost: m\r\n\r\nxyz": 200,
	} {
		if resp, _ := send(t, address, message); resp.StatusCode != want {
			t.Errorf("%q: %d, want %d", strings.SplitN(message, "\r\n", 2)[0], resp.StatusCode, want)
		}
	}
}

// Callers that send nothing or half a request and stay connected delay neither each other nor the next caller, and
// the server closes their connections in less than 4 s.
func TestSlowCallersHoldNobody(t *testing.T) {
	address := serve(t, Hooks{Ready: func() bool { return true }})
	var slow []net.Conn
	for i := range 40 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 1 {
			io.WriteString(c, "GET /api/ready HTTP/1.1\r\nHo")
		}
		slow = append(slow, c)
	}
	asked := time.Now()
	if resp, _ := send(t, address, "GET /api/ready HTTP/1.1\r\nHost: m\r\n\r\n"); resp.StatusCode != 200 {
		t.Errorf("ready, with 40 slow callers connected: status %d, want 200", resp.StatusCode)
	}
	for _, c := range slow {
		c.SetReadDeadline(asked.Add(4 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				t.Fatal("the connection of a slow caller is still open after 4 s")
			}
		}
	}
}
