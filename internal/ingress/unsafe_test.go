package ingress_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const stakeRequest = "POST /stake/3 HTTP/1.1\r\n" + headers + "Content-Length: 4\r\n\r\ne2e4"

// receiveFromEither returns the next request that reaches one of two servers, and the other server.
func receiveFromEither(one, two *testServer) (*receivedRequest, *testServer) {
	select {
	case r := <-one.requests:
		return r, two
	case r := <-two.requests:
		return r, one
	}
}

// Guards against a repeat of an unsafe request (a POST with no key) that may have run: once its last byte is written,
// the client gets a 502, never an answer that permits a retry. A request that was rejected unprocessed goes to
// another server.
func TestUnsafeIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		repeated     bool
		status       int
	}{
		{"reset", "", false, 502},
		{"cut in its answer", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhe", false, 502},
		{"cut in its first line", "HTTP/1.1 20", false, 502},
		{"failed", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, 502},
		{"503 that may have run", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", false, 502},
		{"504 that may have run", "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", false, 502},
		{"504 that never ran", "HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", true, 200},
		{"turned away", notProcessedAnswer, true, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := newTestServer(t), newTestServer(t)
			address, _ := start(t, fleet(), one, two)
			client := dial(t, address)
			io.WriteString(client, stakeRequest)
			r, other := receiveFromEither(one, two)
			if r.Header.Get("Idempotency-Key") != "" || r.body != "e2e4" {
				t.Errorf("sent on with a key, or %q", r.body)
			}
			io.WriteString(r.conn, c.answer)
			if !c.repeated {
				r.conn.Close()
			} else {
				other.answer(<-other.requests, okAnswer)
			}
			if resp, _ := client.read(t); resp.StatusCode != c.status {
				t.Errorf("answered %d, want %d", resp.StatusCode, c.status)
			}
			if len(one.requests)+len(two.requests) > 0 {
				t.Error("sent again")
			}
		})
	}
	one := newTestServer(t)
	address, _ := start(t, fleet(), one)
	if resp, _ := dial(t, address).roundTrip(t, strings.Replace(stakeRequest, "POST", "GET", 1)); resp.StatusCode/100 != 4 {
		t.Errorf("a GET of an unsafe class: answered %d", resp.StatusCode)
	}
}

// An unsafe request whose server refuses the connection never ran there. Guards against its failure: it must be sent
// to another server, once.
func TestUnsafeGoesOnFromARefusedConnection(t *testing.T) {
	const requests = 12
	gone, live := newTestServer(t), newTestServer(t)
	gone.Close()
	go func() {
		for r := range live.requests {
			live.answer(r, okAnswer)
		}
	}()
	address, _ := start(t, fleet(), gone, live)
	for i := range requests {
		client := dial(t, address)
		io.WriteString(client, strings.Replace(stakeRequest, "9b1f03aa5c7e2d41", fmt.Sprintf("9b1f03aa5c7e2d%02d", i), 1))
		client.expectOK(t)
	}
}

// An unsafe request whose connection breaks before its last byte is written never ran. Its client must get a 503,
// which permits a retry; the gateway itself cannot repeat it, since it did not keep the body.
func TestUnsafeThatBreaksBeforeItsLastByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	connections := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections <- c
		}
	}()
	address, _ := start(t, fleet(), &testServer{Listener: l})
	const length = 1 << 20
	client := dial(t, address)
	io.WriteString(client, strings.Replace(strings.Replace(stakeRequest, "Content-Length: 4",
		fmt.Sprintf("Content-Length: %d", length), 1), "e2e4", "", 1))
	client.Write(make([]byte, length/2))
	server := <-connections
	const kept = 1 << 14 // bytes, more than the gateway keeps of a body: until they are written it may repeat the request
	if _, err := io.ReadFull(server, make([]byte, kept)); err != nil {
		t.Fatal(err)
	}
	server.(*net.TCPConn).SetLinger(0)
	server.Close()
	client.Write(make([]byte, length/2-1)) // the connection may already be closed
	if resp, _ := client.read(t); resp.StatusCode != 503 {
		t.Errorf("answered %d, want 503", resp.StatusCode)
	}
	if len(connections) > 0 {
		t.Error("the request was sent again without its body")
	}
}

// The server of an unsafe request does not answer. Guards against an answer after the client's timeout, and against a
// second attempt.
func TestUnsafeTimesOutInTime(t *testing.T) {
	const wait, slack = 600 * time.Millisecond, 500 * time.Millisecond
	one, two := newTestServer(t), newTestServer(t)
	address, _ := start(t, fleet(), one, two)
	client := dial(t, address)
	began := time.Now()
	io.WriteString(client, strings.Replace(stakeRequest, "X-Timeout: 3000m", "X-Timeout: 600m", 1))
	receiveFromEither(one, two)
	resp, _ := client.read(t)
	if took := time.Since(began); resp.StatusCode != 502 || took > wait+slack {
		t.Errorf("answered %d after %v", resp.StatusCode, took)
	}
	if len(one.requests)+len(two.requests) > 0 {
		t.Error("sent again")
	}
}

// A server sends part of a line, or a 408, as it closes an idle connection. Guards against those bytes being read as
// the answer to the next request, which must be sent once, on another connection.
func TestHalfALineAtTheCloseIsNoAnswer(t *testing.T) {
	p := newTestServer(t)
	address, _ := start(t, fleet(), p)
	client := dial(t, address)
	for _, text := range []string{"HTTP/1.1 4", "H", "\r\n", "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"} {
		io.WriteString(client, stakeRequest)
		r := <-p.requests
		io.WriteString(r.conn, okAnswer)
		client.expectOK(t)
		io.WriteString(r.conn, text) // on loopback it arrives at once
		r.conn.Close()
	}
	io.WriteString(client, stakeRequest)
	p.answer(<-p.requests, okAnswer)
	client.expectOK(t)
	if len(p.requests) > 0 {
		t.Error("sent twice")
	}
}

// Guards against a client that pauses within its body and gets no answer when the server breaks the connection.
func TestUnsafeWhoseServerBreaksWhileItsBodyPauses(t *testing.T) {
	defer func() {
		if t.Failed() {
			t.Log("want 503 at once as the server breaks the connection")
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	address, _ := start(t, fleet(), &testServer{Listener: l})
	const length, first = 1 << 20, 1 << 17
	client := dial(t, address)
	head := strings.Replace(strings.Replace(stakeRequest, "Content-Length: 4",
		fmt.Sprintf("Content-Length: %d", length), 1), "e2e4", "", 1)
	io.WriteString(client, head)
	client.Write(make([]byte, first))
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(server, make([]byte, first)); err != nil { // the header comes first: the last bytes stay unread
		t.Fatal(err)
	}
	server.(*net.TCPConn).SetLinger(0)
	server.Close()
	if resp, _ := client.read(t); resp.StatusCode != 503 {
		t.Errorf("answered %d, want 503", resp.StatusCode)
	}
}
