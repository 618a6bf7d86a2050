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

// copyLimits permit a second, concurrent copy of a safe request.
var copyLimits = control.Limits{MaxAttempts: 6, SecondCopies: true, Cancel: true, RetryAfter: true, MaxRetryAfter: 1}

// answerWithLoad is a successful answer with a load report, which answers carry where the settings say so.
const answerWithLoad = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Server-Load: {\"qps\":7,\"queue\":2}\r\n\r\nhere"

// warmUpAnswers is the number of answers that a gateway needs to estimate how long an answer takes. If it needed
// fewer, a warm-up request could itself be sent as two copies.
const warmUpAnswers = 43

// startWithSecondCopies starts a gateway that may send second copies to two servers, and has enough requests answered
// for the gateway to estimate how long an answer takes.
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

// serverOf returns the server that received a request.
func serverOf(r *receivedRequest, servers ...*testServer) *testServer {
	for _, p := range servers {
		if p.Addr().String() == r.conn.LocalAddr().String() {
			return p
		}
	}
	return nil
}

// awaitBothCopies waits until each server has received an attempt of the same request. No answer is sent in between.
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
	first.awaitClosed(t) // the slower copy is cancelled
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

// Both copies of a request are answered at the same time. Guards against a client that gets a second answer, or the
// answer to an earlier request.
func TestCrossingAnswersOfTwoCopies(t *testing.T) {
	address, c, one, two := startWithSecondCopies(t)
	client := dial(t, address)
	for i := range 4 { // the budget for second copies permits no more
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
				t.Errorf("%d more attempts besides the two copies", n)
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

// Guards against a second copy that is sent to a server which starts to drain before the copy is due.
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
		t.Errorf("%d copies were sent to a draining server", n)
	}
}

// Guards against second copies of keyed and unsafe requests while their server does not answer, and against a repeat
// of an unsafe request that may have run.
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

// An unsafe request whose first server refuses connections cannot have run there, and must be sent to another server.
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
		t.Error(fmt.Sprint(n, " more requests reached the server than the clients sent"))
	}
}
