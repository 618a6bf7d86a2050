package ingress_test

import (
	"io"
	"strings"
	"testing"
)

const stake = "POST /stake/3 HTTP/1.1\r\n" + headers + "Content-Length: 4\r\n\r\ne2e4"

// either is the message that reaches one of two peers, and the other peer.
func either(one, two *peer) (*received, *peer) {
	select {
	case r := <-one.got:
		return r, two
	case r := <-two.got:
		return r, one
	}
}

// An unsafe request is a POST with no key. Once its last byte is written it is not sent again, whatever becomes of it:
// the client is told that it failed, never that trying again is harmless. Turned away unseen it never ran, and goes to
// another server.
func TestUnsafeIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		again        bool
		status       int
	}{
		{"reset", "", false, 502},
		{"cut in its answer", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhe", false, 502},
		{"failed", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, 502},
		{"turned away", full, true, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			one, two := newPeer(t), newPeer(t)
			address, _ := start(t, fleet(), one, two)
			client := dial(t, address)
			io.WriteString(client, stake)
			r, other := either(one, two)
			if r.Header.Get("Idempotency-Key") != "" || r.body != "e2e4" {
				t.Errorf("sent on with a key, or %q", r.body)
			}
			io.WriteString(r.conn, c.answer)
			if !c.again {
				r.conn.Close()
			} else {
				other.answer(<-other.got, ok)
			}
			if resp, _ := client.read(t); resp.StatusCode != c.status {
				t.Errorf("answered %d, want %d", resp.StatusCode, c.status)
			}
			if len(one.got)+len(two.got) > 0 {
				t.Error("sent again")
			}
		})
	}
	one := newPeer(t)
	address, _ := start(t, fleet(), one)
	if resp, _ := dial(t, address).ask(t, strings.Replace(stake, "POST", "GET", 1)); resp.StatusCode/100 != 4 {
		t.Errorf("a GET of an unsafe class: answered %d", resp.StatusCode)
	}
}
