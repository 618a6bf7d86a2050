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
const answerWithLoad = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: {\"qps\":7,\"queue\":2}\r\n\r\nhere"

// answersToLearn is the number of answers after which a gateway knows how long they take, and not fewer: none of the
// requests that teach it may have a copy itself.
const warmUpAnswers = 43

// startCopying runs a gateway that may send second copies before two servers, and has each class answered often enough
// for the gateway to know how long answers take.
func startWithSecondCopies(t *testing.T) (address string, c *core.Core, one, two *testServer) {
	t.Helper()
	one, two = newTestServer(t), newTestServer(t)
	address, c, _ = startWithLimits(t, 64, fleet(), nil, copyLimits, one, two)
	client := dial(t, address)
	for i := range warmUpAnswers {
		io.WriteString(client, withID(strings.Replace(viewRequest, "units=2", "units=1", 1), 1000+i))
		r, _ := receiveFromEither(one, two)
		serverOf(r, one, two).answer(r, answerWithLoad)
		client.expectOK(t)
	}
	return address, c, one, two
}

// at is the peer that got a message.
func serverOf(r *receivedRequest, servers ...*testServer) *testServer {
	for _, p := range servers {
		if p.Addr().String() == r.conn.LocalAddr().String() {
			return p
		}
	}
	return nil
}

// both waits for an attempt of one request at each server, with nothing answered in between.
func awaitBothCopies(t *testing.T, one, two *testServer) (first, second *receivedRequest) {
	t.Helper()
	first, other := receiveFromEither(one, two)
	second = <-other.requests
	if a, b := first.Header.Get("X-Request-ID"), second.Header.Get("X-Request-ID"); a != b {
		t.Fatalf("two requests, %s and %s, want two copies of one", a, b)
	}
	return first, second
}

func TestHangingFirstCopyIsServedByTheSecond(t *testing.T) {
	address, _, one, two := startWithSecondCopies(t)
	client := dial(t, address)
	io.WriteString(client, withID(viewRequest, 1))
	first, second := awaitBothCopies(t, one, two)
	serverOf(second, one, two).answer(second, answerWithLoad)
	client.expectOK(t)
	first.awaitClosed(t) // the slower copy is called off
}

func TestFirstCopyMayAnswerAfterItsCopyWasSent(t *testing.T) {
	address, _, one, two := startWithSecondCopies(t)
	client := dial(t, address)
	io.WriteString(client, withID(viewRequest, 1))
	first, second := awaitBothCopies(t, one, two)
	serverOf(first, one, two).answer(first, answerWithLoad)
	client.expectOK(t)
	second.awaitClosed(t)
}

// Both copies answer at once, again and again: the client has one answer to each request, and none of an earlier one.
func TestCrossingAnswersOfTwoCopies(t *testing.T) {
	address, c, one, two := startWithSecondCopies(t)
	client := dial(t, address)
	for i := range 4 { // as many as the budget pays for
		io.WriteString(client, withID(viewRequest, 1+i))
		first, second := awaitBothCopies(t, one, two)
		answer := strings.Replace(answerWithLoad, "here", fmt.Sprintf("%04d", i), 1)
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
		"turned away": notProcessedAnswer,
		"cut":         answerWithLoad[:len(answerWithLoad)-2],
	} {
		t.Run(name, func(t *testing.T) {
			address, c, one, two := startWithSecondCopies(t)
			client := dial(t, address)
			io.WriteString(client, withID(viewRequest, 1))
			first, second := awaitBothCopies(t, one, two)
			io.WriteString(first.conn, answer)
			first.conn.Close()
			c.Settle()
			if n := len(one.requests) + len(two.requests); n > 0 {
				t.Errorf("%d more attempts beside the copy", n)
			}
			serverOf(second, one, two).answer(second, answerWithLoad)
			client.expectOK(t)
		})
	}
}

func TestClientThatLeavesEndsBothCopiesOnTheWire(t *testing.T) {
	address, _, one, two := startWithSecondCopies(t)
	client := dial(t, address)
	io.WriteString(client, withID(viewRequest, 1))
	first, second := awaitBothCopies(t, one, two)
	client.Close()
	first.awaitClosed(t)
	second.awaitClosed(t)
}

// The other server drains while a copy is pending: none is sent there, however long the first attempt takes.
func TestDrainWhileACopyIsPending(t *testing.T) {
	address, c, one, two := startWithSecondCopies(t)
	client := dial(t, address)
	io.WriteString(client, withID(viewRequest, 1))
	first, other := receiveFromEither(one, two)
	drained := table(control.Draining, other)
	drained.Kind = control.Delta
	c.Routes(drained)
	c.Settle()
	time.AfterFunc(300*time.Millisecond, func() { serverOf(first, one, two).answer(first, answerWithLoad) })
	client.expectOK(t)
	if n := len(other.requests); n > 0 {
		t.Errorf("%d copies to a server that drains", n)
	}
}

// Keyed and unsafe requests that hang have one attempt out, also where second copies are allowed, and an unsafe one
// that may have run is not sent again.
func TestOnlySafeRequestsAreCopied(t *testing.T) {
	for _, message := range []string{moveRequest, stakeRequest} {
		address, _, one, two := startWithSecondCopies(t)
		client := dial(t, address)
		io.WriteString(client, withID(strings.Replace(message, "3000m", "900m", 1), 1))
		r, other := receiveFromEither(one, two)
		resp, _ := client.read(t)
		r.awaitClosed(t)
		if want := map[bool]int{true: 502, false: 503}[message == stakeRequest]; resp.StatusCode != want {
			t.Errorf("%s: answered %d, want %d", message[:12], resp.StatusCode, want)
		}
		if n := len(other.requests); n > 0 && message == stakeRequest {
			t.Errorf("an unsafe request was sent %d more times", n)
		}
	}
}

// An unsafe request goes on to another server when it surely never ran: the first refuses connections.
func TestUnsafeIsRepeatedWhenItNeverRan(t *testing.T) {
	gone, up := newTestServer(t), newTestServer(t)
	gone.Close()
	address, _, _ := startWithLimits(t, 64, fleet(), nil, copyLimits, gone, up)
	for i := range 8 {
		client := dial(t, address)
		io.WriteString(client, withID(stakeRequest, i))
		up.answer(<-up.requests, answerWithLoad)
		client.expectOK(t)
	}
	if n := len(up.requests); n > 0 {
		t.Error(fmt.Sprint(n, " requests more than were asked"))
	}
}
