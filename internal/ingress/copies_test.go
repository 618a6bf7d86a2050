package ingress_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// copyLimits allow second copies of safe requests.
var copyLimits = control.Limits{MaxAttempts: 6, SecondCopies: true, Cancel: true, RetryAfter: true, MaxRetryAfter: 1}

// loaded is a good answer with a load report, as answers hold them where the settings say so.
const loaded = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: {\"qps\":7,\"queue\":2}\r\n\r\nhere"

// answersToLearn is the number of answers after which a gateway knows how long they take, and not fewer: none of the
// requests that teach it may have a copy itself.
const answersToLearn = 43

// startCopying runs a gateway that may send second copies before two servers, and has each class answered often enough
// for the gateway to know how long answers take.
func startCopying(t *testing.T) (address string, c *core.Core, one, two *peer) {
	t.Helper()
	one, two = newPeer(t), newPeer(t)
	address, c, _ = startLimited(t, 64, fleet(), nil, copyLimits, one, two)
	client := dial(t, address)
	for i := range answersToLearn {
		io.WriteString(client, numbered(strings.Replace(view, "units=2", "units=1", 1), 1000+i))
		r, _ := either(one, two)
		at(r, one, two).answer(r, loaded)
		client.served(t)
	}
	return address, c, one, two
}

// at is the peer that got a message.
func at(r *received, peers ...*peer) *peer {
	for _, p := range peers {
		if p.Addr().String() == r.conn.LocalAddr().String() {
			return p
		}
	}
	return nil
}

// both waits for an attempt of one request at each server, with nothing answered in between.
func both(t *testing.T, one, two *peer) (first, second *received) {
	t.Helper()
	first, other := either(one, two)
	second = <-other.got
	if a, b := first.Header.Get("X-Request-ID"), second.Header.Get("X-Request-ID"); a != b {
		t.Fatalf("two requests, %s and %s, want two copies of one", a, b)
	}
	return first, second
}

func TestHangingFirstCopyIsServedByTheSecond(t *testing.T) {
	address, _, one, two := startCopying(t)
	client := dial(t, address)
	io.WriteString(client, numbered(view, 1))
	first, second := both(t, one, two)
	at(second, one, two).answer(second, loaded)
	client.served(t)
	first.closed(t) // the slower copy is called off
}

func TestFirstCopyMayAnswerAfterItsCopyWasSent(t *testing.T) {
	address, _, one, two := startCopying(t)
	client := dial(t, address)
	io.WriteString(client, numbered(view, 1))
	first, second := both(t, one, two)
	at(first, one, two).answer(first, loaded)
	client.served(t)
	second.closed(t)
}

// Both copies answer at once, again and again: the client has one answer to each request, and none of an earlier one.
func TestCrossingAnswersOfTwoCopies(t *testing.T) {
	address, c, one, two := startCopying(t)
	client := dial(t, address)
	for i := range 4 { // as many as the budget pays for
		io.WriteString(client, numbered(view, 1+i))
		first, second := both(t, one, two)
		answer := strings.Replace(loaded, "here", fmt.Sprintf("%04d", i), 1)
		go io.WriteString(second.conn, answer)
		io.WriteString(first.conn, answer)
		if resp, body := client.read(t); resp.StatusCode != 200 || body != fmt.Sprintf("%04d", i) {
			t.Errorf("request %d: answered %d %q", i, resp.StatusCode, body)
		}
		c.Settle()
		first.conn.Close()
		second.conn.Close()
	}
}

func TestFailureOfOneCopyLeavesTheOther(t *testing.T) {
	for name, answer := range map[string]string{
		"failed":      "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
		"turned away": full,
		"cut":         loaded[:len(loaded)-2],
	} {
		t.Run(name, func(t *testing.T) {
			address, c, one, two := startCopying(t)
			client := dial(t, address)
			io.WriteString(client, numbered(view, 1))
			first, second := both(t, one, two)
			io.WriteString(first.conn, answer)
			first.conn.Close()
			c.Settle()
			if n := len(one.got) + len(two.got); n > 0 {
				t.Errorf("%d more attempts beside the copy", n)
			}
			at(second, one, two).answer(second, loaded)
			client.served(t)
		})
	}
}

func TestClientThatLeavesEndsBothCopiesOnTheWire(t *testing.T) {
	address, _, one, two := startCopying(t)
	client := dial(t, address)
	io.WriteString(client, numbered(view, 1))
	first, second := both(t, one, two)
	client.Close()
	first.closed(t)
	second.closed(t)
}

// The other server drains while a copy is pending: none is sent there, however long the first attempt takes.
func TestDrainWhileACopyIsPending(t *testing.T) {
	address, c, one, two := startCopying(t)
	client := dial(t, address)
	io.WriteString(client, numbered(view, 1))
	first, other := either(one, two)
	drained := table(control.Draining, other)
	drained.Kind = control.Delta
	c.Routes(drained)
	c.Settle()
	time.AfterFunc(300*time.Millisecond, func() { at(first, one, two).answer(first, loaded) })
	client.served(t)
	if n := len(other.got); n > 0 {
		t.Errorf("%d copies to a server that drains", n)
	}
}

// Keyed and unsafe requests that hang have one attempt out, also where second copies are allowed, and an unsafe one
// that may have run is not sent again.
func TestOnlySafeRequestsAreCopied(t *testing.T) {
	for _, message := range []string{move, stake} {
		address, _, one, two := startCopying(t)
		client := dial(t, address)
		io.WriteString(client, numbered(strings.Replace(message, "3000m", "900m", 1), 1))
		r, other := either(one, two)
		resp, _ := client.read(t)
		r.closed(t)
		if want := map[bool]int{true: 502, false: 503}[message == stake]; resp.StatusCode != want {
			t.Errorf("%s: answered %d, want %d", message[:12], resp.StatusCode, want)
		}
		if n := len(other.got); n > 0 && message == stake {
			t.Errorf("an unsafe request was sent %d more times", n)
		}
	}
}

// An unsafe request goes on to another server when it surely never ran: the first refuses connections.
func TestUnsafeIsRepeatedWhenItNeverRan(t *testing.T) {
	gone, up := newPeer(t), newPeer(t)
	gone.Close()
	address, _, _ := startLimited(t, 64, fleet(), nil, copyLimits, gone, up)
	for i := range 8 {
		client := dial(t, address)
		io.WriteString(client, numbered(stake, i))
		up.answer(<-up.got, loaded)
		client.served(t)
	}
	if n := len(up.got); n > 0 {
		t.Error(fmt.Sprint(n, " requests more than were asked"))
	}
}
