package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// duplicatingPeer is a target that answers /one a second time after it has read the next request, and then that
// request. A write on a pipe returns when it has been read: each answer is read before the next is written.
func duplicatingPeer(far net.Conn, one, two string) {
	in := bufio.NewReader(far)
	for i := range 2 {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		own := one
		if request.URL.Path != "/one" {
			own = two
		}
		if i > 0 {
			fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(one), one)
		}
		if i == 0 || own != one {
			fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(own), own)
		}
	}
	http.ReadRequest(in) // returns when the connection is closed
}

// sendGet sends a request on a connection and returns the body of its answer.
func sendGet(t *testing.T, c *conn, path string) (body string, status control.Status, reuse bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := &Request{Method: "GET", Head: []byte("GET " + path + " HTTP/1.1\r\nHost: t\r\n")}
	c.inFlight = r.identity(control.Safe)
	o, reuse := c.roundTrip(ctx, r, nil, nil, 0)
	if reply, ok := o.Reply.(*Reply); ok {
		body = string(reply.Body)
	}
	return body, o.Status, reuse
}

// Guards against one caller getting another's answer when a target answers twice, the second time late.
func TestSecondAnswerIsNotGivenToTheNextRequest(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near, process{address: "pipe"}, &answerStats{})
	defer c.Close()
	go duplicatingPeer(far, "of one", "of two")
	if body, status, reuse := sendGet(t, c, "/one"); body != "of one" || status != control.OK || !reuse {
		t.Fatalf("the first got %q, %v, to be used again: %t", body, status, reuse)
	}
	body, status, reuse := sendGet(t, c, "/two")
	if body != "of two" || status != control.OK {
		t.Errorf("/two got the answer of /one: %q, %v", body, status)
	}
	if reuse {
		t.Error("a connection on which a second answer came is to be used again")
	}
}

// If the target closes the connection after the second answer, the next request has no answer of its own.
func TestSecondAnswerBeforeTheEndIsAReset(t *testing.T) {
	near, far := net.Pipe()
	c := newConn(near, process{address: "pipe"}, &answerStats{})
	defer c.Close()
	go func() {
		defer far.Close()
		in := bufio.NewReader(far)
		for range 2 {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			fmt.Fprint(far, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nof one")
		}
	}()
	sendGet(t, c, "/one")
	if body, status, _ := sendGet(t, c, "/two"); status != control.Reset {
		t.Errorf("/two got %q, %v", body, status)
	}
}

// Guards against an answer that is known to be given to different requests being held back or lost.
func TestAnswerGivenToDifferentRequestsIsNotHeldBack(t *testing.T) {
	target := startTarget(t, 2, answersOnce(func(*http.Request) string { return "done" }))
	for i := range 4 * baseSamples {
		path := fmt.Sprintf("/%d", i)
		target.wantOK(path, get(path), "done")
		path += "/move"
		target.wantOK(path, Encode(http.MethodPost, path, "t", http.Header{}, []byte("e2e4"), nil), "done")
	}
}

// The same request may have the same answer: it is not held back, and reveals nothing about the target.
func TestSameRequestMayHaveTheSameAnswer(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near, process{address: "pipe"}, &answerStats{tracker: newAnswerTracker()})
	defer c.Close()
	go func() {
		in := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			fmt.Fprint(far, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsame")
		}
	}()
	for range 3 {
		if body, status, reuse := sendGet(t, c, "/view"); body != "same" || status != control.OK || !reuse {
			t.Errorf("got %q, %v, to be used again: %t", body, status, reuse)
		}
	}
	if c.gaveCommon || c.stats.tracker.changes.Load() > 0 {
		t.Error("the answer counts as given to different requests")
	}
}

// A target that has sent unsolicited bytes gets one request per connection, however long a connection has been
// idle, within its limit on connections.
func TestSuspectedTargetGetsOneRequestPerConnection(t *testing.T) {
	a, c, _ := newReusedTarget(t) // its only permit is taken
	a.lastUnsolicited, c.lastUsed = time.Now(), time.Now().Add(-time.Minute/2)
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) > 0 {
		t.Fatal("the used connection is used again")
	}
	if _, err := c.Write(nil); err == nil {
		t.Error("the used connection is still open, and holds the permit")
	}
	for len(next.result) == 0 {
		a.handle(<-a.mailbox) // a dialResult; a reuseDue may come before or after it
	}
	if got := <-next.result; got == nil || got.answered {
		t.Errorf("got %+v", got)
	}
}

// Guards against a duplicate refusal being taken for the next request's answer, so that this request counts as
// never run.
func TestSecondRefusalIsNotGivenToTheNextRequest(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near, process{address: "pipe"}, &answerStats{})
	defer c.Close()
	go func() {
		const refusal = "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
		in := bufio.NewReader(far)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(far, refusal)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		fmt.Fprint(far, refusal)
		fmt.Fprint(far, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nof two")
	}()
	_, status, reuse := sendGet(t, c, "/one")
	if status != control.Full {
		t.Fatalf("the first got %v", status)
	}
	if !reuse { // no duplicate can reach the next request
		return
	}
	if _, status, _ := sendGet(t, c, "/two"); status == control.Full {
		t.Error("/two got the refusal of /one, and counts as never run")
	}
}

// Guards against a duplicate of a streamed answer being taken for the next request's answer.
func TestSecondStreamedAnswerIsNotGivenToTheNextRequest(t *testing.T) {
	long := strings.Repeat("x", MaxBody+1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for answer := ""; ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if answer == "" {
						answer = r.URL.Path
						if answer == "/long" {
							answer = long
						}
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
				}
			}()
		}
	}()
	f := NewFleet(Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: 4})
	f.Update(core.Table{Targets: []core.Target{{Member: control.Member{Server: "s", State: control.Ready}, Address: l.Addr().String()}}})
	defer f.remove("s")
	get := func(path string) string {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		o := f.targets["s"].exchange(core.Attempt{Ctx: ctx, Payload: &Request{Method: "GET", Head: []byte("GET " + path + " HTTP/1.1\r\nHost: t\r\n")}})
		reply, ok := o.Reply.(*Reply)
		if !ok {
			t.Fatalf("%s ended with %v", path, o.Status)
		}
		if reply.Long == nil {
			return string(reply.Body)
		}
		body, err := io.ReadAll(reply.Long)
		if err != nil {
			t.Fatal(err)
		}
		return string(body)
	}
	if got := get("/long"); got != long {
		t.Fatalf("the long answer has %d bytes", len(got))
	}
	if got := get("/two"); got != "/two" {
		t.Errorf("/two got the answer of /long, of %d bytes", len(got))
	}
}

// Guards against a duplicate answer without a body being taken for the next request's answer.
func TestSecondEmptyAnswerIsNotGivenToTheNextRequest(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := newConn(near, process{address: "pipe"}, &answerStats{})
	defer c.Close()
	go duplicatingPeer(far, "", "of two")
	if _, status, reuse := sendGet(t, c, "/one"); status != control.OK || !reuse {
		t.Fatalf("the first got %v, to be used again: %t", status, reuse)
	}
	if body, status, _ := sendGet(t, c, "/two"); body != "of two" || status != control.OK {
		t.Errorf("/two got the answer of /one: %q, %v", body, status)
	}
}
