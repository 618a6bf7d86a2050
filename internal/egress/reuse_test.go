package egress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// Guards against one customer getting the private answer of another who requested the same path.
func TestPrivateAnswerIsNotGivenToAnotherCustomer(t *testing.T) {
	const private = "account of customer 1"
	c := scriptedConn(t, sampledStats(), answering(private), answering(private))
	_, reuse := sendOn(t, c, getFrom(1, "/account", "Cookie", "session=1"), faultDeadline)
	wantNoneOf(t, c, reuse, getFrom(2, "/account", "Cookie", "session=2"), private)
}

// Guards against all later answers on a connection going to the request after their own, once one customer was
// given the private answer of another who requested the same path.
func TestAnswersDoNotShiftBehindAPrivateSecondOne(t *testing.T) {
	const private = "account of customer 1"
	c := scriptedConn(t, sampledStats(), answering(private), answering(private),
		answering("account of customer 2"), answering("account of customer 3"))
	_, reuse := sendOn(t, c, getFrom(1, "/account", "Cookie", "session=1"), faultDeadline)
	for customer := uint64(2); reuse && customer <= 4; customer++ {
		r := getFrom(customer, "/account", "Cookie", "session="+strconv.FormatUint(customer, 10))
		if !mayCarry(c, r) {
			return
		}
		var o core.Outcome
		o, reuse = sendOn(t, c, r, faultDeadline)
		want := "account of customer " + strconv.FormatUint(customer, 10)
		if body := bodyOf(o); o.Status == control.OK && body != want {
			t.Errorf("customer %d got %q", customer, body)
		}
	}
}

// Guards against the same through the target's actor, at a server that answers one request twice, once, and whose
// later answers each come when the next request has been read.
func TestPrivateAnswersDoNotShiftThroughTheTarget(t *testing.T) {
	target := startTarget(t, 1, func() connectionScript {
		last := ""
		return func(r *http.Request) (string, bool) {
			own := withLength("account of " + r.Header.Get("Cookie"))
			if r.URL.Path != "/account" {
				return withLength(ownBody(r)), false
			}
			if last == "" {
				last = own
				return own, false
			}
			own, last = last, own
			return own, false
		}
	})
	target.warmUp(warmUps)
	for customer := range uint64(8) {
		cookie := "customer " + strconv.FormatUint(1+customer, 10)
		body, status := target.send(getFrom(1+customer, "/account", "Cookie", cookie), faultDeadline)
		if status == control.OK && body != "account of "+cookie {
			t.Errorf("%s got %q", cookie, body)
		}
	}
}

// Guards against a request getting the own answer of an earlier read or probe that was given a duplicate of the
// answer before it.
func TestOwnAnswerOfAnEarlierReadIsNotGivenToTheNextRequest(t *testing.T) {
	probe := func() *Request {
		return &Request{Method: http.MethodGet, Head: []byte("GET /stats HTTP/1.1\r\nHost: target\r\n")}
	}
	cart := func() *Request { return getFrom(1, "/cart") }
	for _, c := range []struct {
		name         string
		equal        func() *Request
		first, later string
	}{
		{"a customer's read", cart, "cart: 1 thing", "cart: 2 things"},
		{"probe", probe, `{"inflight":1}`, `{"inflight":2}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := scriptedConn(t, sampledStats(), answering(c.first), answering(c.first), answering(c.later))
			sendOn(t, conn, c.equal(), faultDeadline)
			_, reuse := sendOn(t, conn, c.equal(), faultDeadline)
			wantNoneOf(t, conn, reuse, getFrom(2, "/view"), c.later)
		})
	}
}

// Guards against answers of a healthy server being lost repeatedly when it gives requests with different paths
// identical answers for a while and then others: an answer that contains the second, a revision or a tick.
func TestIdenticalAnswersThatChangeAreNotLostRepeatedly(t *testing.T) {
	for name, method := range map[string]string{"reads": http.MethodGet, "unsafe": http.MethodPost} {
		t.Run(name, func(t *testing.T) {
			const ticks = 12
			body := func(r *http.Request) string {
				number, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/orders/"))
				if err != nil {
					return ownBody(r)
				}
				return "tick " + strconv.Itoa(number/2)
			}
			h := sampledStats()
			lost := 0
			var conn *conn
			for i := range 2 * ticks {
				r := Encode(method, "/orders/"+strconv.Itoa(i), "t", http.Header{}, nil, nil)
				if conn == nil || !mayCarry(conn, r) { // as the target would choose
					conn = healthyConn(t, h, body)
				}
				o, reuse := sendOn(t, conn, r, faultDeadline)
				if o.Status != control.OK {
					if lost++; lost > 2 {
						t.Fatalf("%d of the first %d answers lost", lost, i+1)
					}
				}
				if !reuse {
					conn = nil
				}
			}
		})
	}
}

// Guards against a customer's read being lost on one connection after another, because each gave the same answer
// to another customer before.
func TestCommonAnswerOfOneCustomerIsNotLostRepeatedlyForAnother(t *testing.T) {
	h := sampledStats()
	var conns []*conn
	for i := range 4 { // customer 1 reads several lists, all of them empty
		c := healthyConn(t, h, func(*http.Request) string { return "[]" })
		if o, reuse := sendOn(t, c, getFrom(1, "/lists/"+strconv.Itoa(i)), faultDeadline); o.Status != control.OK || !reuse {
			t.Fatalf("ended with %v", o.Status)
		}
		conns = append(conns, c)
	}
	lost := 0
	for _, c := range conns { // repeats as the core would
		r := getFrom(2, "/orders")
		if !mayCarry(c, r) {
			t.Log("it goes out on another connection")
			return
		}
		if o, _ := sendOn(t, c, r, faultDeadline); o.Status == control.OK {
			break
		}
		lost++
	}
	if lost > 1 {
		t.Errorf("one read was lost %d times in a row", lost)
	}
}

// healthyConn returns a connection to a peer that answers each request once.
func healthyConn(t *testing.T, stats *answerStats, body func(*http.Request) string) *conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	go func() {
		for in := bufio.NewReader(far); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			r.RequestURI = r.URL.RequestURI()
			io.Copy(io.Discard, r.Body)
			io.WriteString(far, withLength(body(r)))
		}
	}()
	return newConn(near, process{address: "pipe"}, stats)
}

// Guards against an endless stream being held until its request's deadline because it begins as an earlier answer
// did: once it has more bytes than that answer, it is a different one.
func TestStreamThatBeginsAsAnEarlierAnswerIsPassedOn(t *testing.T) {
	for _, h := range []struct {
		name    string
		history *answerStats
	}{{"learned", sampledStats()}} {
		t.Run(h.name, func(t *testing.T) {
			const short, long = "event: connected\n\n", "event: connected\ndata: 1\n\nevent: tick\ndata: 2\n\n"
			c := scriptedConn(t, h.history, answering(short),
				step(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long)))
			_, reuse := sendOn(t, c, getFrom(1, "/events?closed=1"), faultDeadline)
			if r := getFrom(2, "/events"); reuse && mayCarry(c, r) {
				o, _ := sendOn(t, c, r, faultDeadline)
				if reply, ok := o.Reply.(*Reply); !ok || reply.Long == nil {
					t.Errorf("the stream, with %d bytes there, ended with %v", len(long), o.Status)
				}
			}
		})
	}
}

// Guards against a healthy server counting as one that answers twice, because it announces with an answer
// identical to an earlier one that it closes the connection, and closes it.
func TestAnnouncedCloseIsNotTakenForASecondAnswer(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close() })
	go func() {
		defer far.Close()
		in := bufio.NewReader(far)
		http.ReadRequest(in)
		io.WriteString(far, withLength("done"))
		http.ReadRequest(in)
		io.WriteString(far, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone")
	}()
	c := newConn(near, process{address: "pipe"}, sampledStats())
	sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	o, _ := sendOn(t, c, getFrom(2, "/two"), faultDeadline)
	if c.unsolicited {
		t.Errorf("/two ended with %v, and the target counts as one that answers twice", o.Status)
	}
}

// Guards against endless dials for one request to a target that accepts none, while a used connection is idle that
// is not to be used again.
func TestFailedDialIsReportedAtASuspectedTarget(t *testing.T) {
	a, _, _ := newReusedTarget(t) // its connection's reuse delay does not end within this test
	a.site.permits = make(chan struct{}, 4)
	a.site.permits <- struct{}{}
	a.site.Dial = refuseDial
	a.lastUnsolicited = time.Now()
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	dials := 0
	for len(next.result) == 0 && a.openings > 0 && dials < 100 {
		dials += a.openings
		a.handle(<-a.mailbox) // the dial failed
	}
	if len(next.result) == 0 || dials > 1 {
		t.Errorf("%d dials failed for one request; its failure was reported: %t", dials, len(next.result) > 0)
	}
}

// Guards against a request being overtaken forever by later ones that can use the connection in use, while it
// cannot.
func TestRequestIsNotPassedOverForEver(t *testing.T) {
	a, c, _ := newReusedTarget(t) // the only connection that the site's permits allow
	a.stats.tracker = newAnswerTracker()
	c.equalOnly, c.onlyRequest = true, 1
	a.idle = nil // its attempt is under way
	first := &connRequest{result: make(chan *conn, 1), identity: identity{request: 2}}
	a.handle(first)
	hot := func() *connRequest { return &connRequest{result: make(chan *conn, 1), identity: identity{request: 1}} }
	waits := hot()
	a.handle(waits)
	for passed := range 20 {
		later := hot()
		a.handle(later) // there is always one more waiting
		c.lastUsed = time.Now().Add(-maxReuseDelay)
		a.handle(connReleased{c})
		if len(first.result) > 0 || a.openings > 0 {
			t.Logf("after %d others", passed)
			return
		}
		if len(waits.result) == 0 {
			t.Fatal("nobody has the connection")
		}
		waits = later
	}
	t.Error("20 requests that came later were served before it, on the one connection there may be")
}

// Guards against idle connections that no request can use displacing those that any request can use.
func TestUnusableConnectionsDoNotKeepOthersOut(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	h := sampledStats()
	a.stats.tracker = h.tracker
	a.idle = nil // its attempt is under way
	a.site.permits, a.permitsHeld = make(chan struct{}, maxConns), 1
	a.site.permits <- struct{}{}
	for range maxIdle {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		other := newConn(near, a.process, &a.stats)
		other.answered, other.lastUsed, other.pastAnswers = true, time.Now(),
			[]pastAnswer{newPastAnswer([]byte("ok"), identity{})}
		a.idle = append(a.idle, other)
		a.site.permits <- struct{}{}
		a.permitsHeld++
	}
	for i := range 2 { // the answer becomes common
		h.tracker.record(fingerprintOf([]byte("ok")), fingerprint(5000+i), time.Now())
	}
	a.handle(connReleased{c})
	if _, err := c.Write(nil); err != nil {
		t.Errorf("the one connection of use is closed; %d are idle", len(a.idle))
	}
}

// Guards against a target counting as having answered, because an earlier request was answered on the connection,
// when the present request could not be written.
func TestFailedWriteDoesNotCountAsAnswered(t *testing.T) {
	c := scriptedConn(t, sampledStats(), answering("of one"))
	sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	c.Conn.Close()
	if o, _ := sendOn(t, c, getFrom(1, "/two"), faultDeadline); o.Status != control.ConnectFailed || c.gotAnswer {
		t.Errorf("ended with %v, counts as answered: %t", o.Status, c.gotAnswer)
	}
}
