package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

func contextFor(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}

func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("refused")
}

// step is what a scripted peer writes after it has read the next request of a connection.
type step string

// scriptedConn returns a connection to a peer that writes one step for each request, in order, and then nothing
// more.
func scriptedConn(t *testing.T, stats *answerStats, steps ...step) *conn {
	t.Helper()
	return scriptedConnThen(t, stats, staysSilent, steps...)
}

// scriptedConnThen is scriptedConn with a peer that may close the connection after the last step.
func scriptedConnThen(t *testing.T, stats *answerStats, then ending, steps ...step) *conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	go func() {
		in := bufio.NewReader(far)
		for _, s := range steps {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(far, string(s))
		}
		if then == closesConnection {
			far.Close()
		}
		http.ReadRequest(in) // returns when the connection is closed
	}()
	return newConn(near, process{address: "pipe"}, stats)
}

// answering is a step that writes these answers, one after another.
func answering(bodies ...string) step {
	var s strings.Builder
	for _, b := range bodies {
		s.WriteString(withLength(b))
	}
	return step(s.String())
}

// sendOn carries out a request on a connection as an attempt would.
func sendOn(t *testing.T, c *conn, r *Request, deadline time.Duration) (o core.Outcome, reuse bool) {
	t.Helper()
	ctx, cancel := contextFor(t, deadline)
	defer cancel()
	c.inFlight = r.identity(repeatOf(r))
	o, reuse = c.roundTrip(ctx, r, nil, func() {}, deadline)
	if reuse {
		c.lastUsed, c.answered = time.Now(), true
	}
	return o, reuse
}

func bodyOf(o core.Outcome) string {
	if reply, ok := o.Reply.(*Reply); ok {
		return string(reply.Body)
	}
	return ""
}

// getFrom is a GET request of a customer, with headers in pairs.
func getFrom(customer uint64, path string, headers ...string) *Request {
	header := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		header.Set(headers[i], headers[i+1])
	}
	r := Encode(http.MethodGet, path, "t", header, nil, nil)
	r.Customer = customer
	return r
}

// sampledStats has enough samples for a connection to carry differing requests, and knows these answers as common.
func sampledStats(common ...string) *answerStats {
	stats := &answerStats{tracker: newAnswerTracker()}
	for i := range baseSamples {
		stats.tracker.record(fingerprint(1000+i), fingerprint(2000+i), time.Now())
	}
	for _, body := range common {
		for i := range 2 {
			stats.tracker.record(fingerprintOf([]byte(body)), fingerprint(3000+i), time.Now())
		}
	}
	return stats
}

// isCommon reports whether a body is known to be given to different requests.
func isCommon(stats *answerStats, body string) bool {
	return stats.tracker.anyCommon([]pastAnswer{{answer: fingerprintOf([]byte(body))}}, time.Now())
}

// mayCarry reports whether the target would send the request on the connection after its reuse delay.
func mayCarry(c *conn, r *Request) bool {
	return !c.unusable() && newConnRequest(r.identity(repeatOf(r))).canUse(c)
}

// wantNoneOf sends the last request on the connection if the target would, and requires that it gets none of these
// answers.
func wantNoneOf(t *testing.T, c *conn, reuse bool, r *Request, others ...string) {
	t.Helper()
	if !reuse || !mayCarry(c, r) {
		t.Log("it goes out on another connection")
		return
	}
	o, _ := sendOn(t, c, r, faultDeadline)
	for _, other := range others {
		if body := bodyOf(o); o.Status == control.OK && body == other {
			t.Errorf("got the answer of another request: %q", body)
		}
	}
}

// Guards against a request getting the own answer of the one before it, which was given a common second answer.
func TestOwnAnswerBehindACommonOneIsNotGivenToTheNextRequest(t *testing.T) {
	c := scriptedConn(t, sampledStats("ok"), answering("ok"), answering("ok"), answering("private of two"))
	if o, reuse := sendOn(t, c, getFrom(1, "/one"), faultDeadline); bodyOf(o) != "ok" || !reuse {
		t.Fatalf("/one got %q, %v", bodyOf(o), o.Status)
	}
	o, reuse := sendOn(t, c, getFrom(2, "/two"), faultDeadline)
	t.Logf("/two got %q, %v", bodyOf(o), o.Status)
	wantNoneOf(t, c, reuse, getFrom(3, "/three"), "private of two")
}

// Guards against each later answer of a connection going to the request after its own.
func TestOwnAnswerBehindACommonOneThroughTheTarget(t *testing.T) {
	target := startTarget(t, 1, func() connectionScript {
		last, owed := "", ""
		return func(r *http.Request) (string, bool) {
			own := withLength(ownBody(r))
			switch {
			case r.URL.Path == "/common", r.URL.Path == "/one":
				last = withLength("ok")
				return last, false
			case r.URL.Path == "/two" && last != "": // first /one's a second time; its own is late
				owed = own
				return last, false
			case owed != "":
				own, owed = owed, own
				return own, false
			}
			return own, false
		}
	})
	target.warmUp(warmUps)
	for i := range 2 { // each is the first answer with this body on its connection
		target.post(closeAllIdle{})
		target.wantOK("/common", get("/common?"+strconv.Itoa(i)), "ok")
	}
	target.wantOK("/one", get("/one"), "ok")
	body, status := target.send(get("/two"), faultDeadline)
	t.Logf("/two got %q, %v", body, status)
	for _, path := range []string{"/three", "/four", "/five"} {
		if body, status := target.send(get(path), faultDeadline); status == control.OK && body != "answer to "+path {
			t.Errorf("%s got %q", path, body)
		}
	}
	t.Logf("one connection for all: %t", target.onOneConnection(5))
}

// Guards against a request getting the own answer of an equal read before it, which was given a second answer.
func TestOwnAnswerOfAnEqualReadIsNotGivenToTheNextRequest(t *testing.T) {
	c := scriptedConn(t, sampledStats(), answering("cart: 1 thing"), answering("cart: 1 thing"),
		answering("cart: 2 things"))
	sendOn(t, c, getFrom(1, "/cart", "X-Request-ID", "a"), faultDeadline)
	_, reuse := sendOn(t, c, getFrom(1, "/cart", "X-Request-ID", "b"), faultDeadline)
	wantNoneOf(t, c, reuse, getFrom(2, "/cart", "X-Request-ID", "c"), "cart: 2 things")
}

// Guards against a request getting the answer of a probe.
func TestProbesAnswerIsNotGivenToARequest(t *testing.T) {
	probe := func() *Request {
		return &Request{Method: http.MethodGet, Head: []byte("GET /stats HTTP/1.1\r\nHost: target\r\n")}
	}
	c := scriptedConn(t, sampledStats(), answering(`{"inflight":1}`), answering(`{"inflight":1}`),
		answering(`{"inflight":2}`))
	sendOn(t, c, probe(), faultDeadline)
	_, reuse := sendOn(t, c, probe(), faultDeadline)
	wantNoneOf(t, c, reuse, getFrom(2, "/view"), `{"inflight":2}`)
}

// Guards against an equal read getting an earlier answer when its own follows.
func TestEqualReadDoesNotGetAnAnswerFromBefore(t *testing.T) {
	c := scriptedConn(t, sampledStats(), answering("cart: empty"), answering("cart: empty", "cart: 1 thing"))
	sendOn(t, c, getFrom(1, "/cart", "X-Request-ID", "a"), faultDeadline)
	o, _ := sendOn(t, c, getFrom(1, "/cart", "X-Request-ID", "b"), faultDeadline)
	if bodyOf(o) == "cart: empty" {
		t.Error("the second read got the first one's answer, with its own behind it")
	}
}

// Guards against a second answer that comes after many others being given to the next request.
func TestSecondAnswerBehindManyIsNotGivenToTheNextRequest(t *testing.T) {
	for _, behind := range []int{maxPastAnswers, maxPastAnswers + 1} {
		t.Run(strconv.Itoa(behind), func(t *testing.T) {
			steps := []step{answering("of one")}
			for i := range behind - 1 {
				steps = append(steps, answering("between "+strconv.Itoa(i)))
			}
			h := sampledStats()
			c := scriptedConn(t, h, append(steps, answering("of one"))...)
			_, reuse := sendOn(t, c, getFrom(1, "/one"), faultDeadline)
			for i := range behind - 1 {
				if reuse && mayCarry(c, getFrom(2, "/between")) {
					_, reuse = sendOn(t, c, getFrom(2, "/between?"+strconv.Itoa(i)), faultDeadline)
				}
			}
			wantNoneOf(t, c, reuse, getFrom(3, "/last"), "of one")
		})
	}
}

// Guards against one customer's answer counting as common because this customer requested it twice.
func TestOneCustomersAnswerIsNotCommon(t *testing.T) {
	h := sampledStats()
	const private = "account of customer 1"
	for _, trace := range []string{"a", "b"} {
		c := scriptedConn(t, h, answering(private))
		sendOn(t, c, getFrom(1, "/account", "Traceparent", trace), faultDeadline)
	}
	c := scriptedConn(t, h, answering(private), answering(private))
	_, reuse := sendOn(t, c, getFrom(1, "/account", "Traceparent", "c"), faultDeadline)
	wantNoneOf(t, c, reuse, getFrom(2, "/account"), private)
}

// Guards against a customer getting another's cookie with a body that is common.
func TestCommonBodyDoesNotBringAnothersHead(t *testing.T) {
	login := func(session string) step {
		return step("HTTP/1.1 200 OK\r\nSet-Cookie: session=" + session + "\r\nContent-Length: 0\r\n\r\n")
	}
	c := scriptedConn(t, sampledStats(""), login("of-one"), login("of-one"))
	sendOn(t, c, getFrom(1, "/login?code=1"), faultDeadline)
	o, _ := sendOn(t, c, getFrom(2, "/login?code=2"), faultDeadline)
	if reply, ok := o.Reply.(*Reply); ok && reply.Header.Get("Set-Cookie") == "session=of-one" {
		t.Error("customer 2 got the session of customer 1")
	}
}

// Guards against a common answer being accepted when the request's own follows it.
func TestOwnAnswerBehindACommonOneIsTaken(t *testing.T) {
	c := scriptedConn(t, sampledStats("ok"), answering("ok"), answering("ok", "of two"))
	sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	if o, _ := sendOn(t, c, getFrom(2, "/two"), faultDeadline); bodyOf(o) == "ok" {
		t.Error("/two got the answer of /one, with its own behind it")
	}
}

// Guards against a duplicate refusal being taken for the next request's, so that this counts as never run.
func TestSecondAnswerThatRefusesDoesNotCountAsNeverRun(t *testing.T) {
	c := scriptedConn(t, sampledStats(), answering("of one"),
		"HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"+answering("of two"))
	_, reuse := sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	r := Encode(http.MethodPost, "/two", "t", http.Header{}, []byte("move"), nil)
	if !reuse || !mayCarry(c, r) {
		return
	}
	if o, _ := sendOn(t, c, r, faultDeadline); o.Status == control.Full {
		t.Error("/two ran, and counts as never run")
	}
}

// Guards against a failed dial leaving a request waiting that can use no idle connection.
func TestFailedDialIsReportedIfNoIdleConnectionSuits(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	c.lastUsed = time.Now().Add(-maxReuseDelay)
	a.stats.tracker = newAnswerTracker() // has no samples: no connection carries differing requests
	a.site.permits = make(chan struct{}, 4)
	a.site.permits <- struct{}{}
	a.site.Dial = refuseDial
	next := &connRequest{result: make(chan *conn, 1), identity: identity{request: 7}}
	a.handle(next)
	if a.openings != 1 {
		t.Fatalf("%d dialling", a.openings)
	}
	a.handle(<-a.mailbox) // the dial failed
	if len(next.result) == 0 && a.openings == 0 && !a.reuseScheduled {
		t.Errorf("%d wait, with %d idle that they may not use, and nothing that could end that", len(a.waiting), len(a.idle))
	}
}

// Guards against failed dials leaving requests waiting when more wait than may be dialled for at once.
func TestFailedDialsAreReportedToAllThatWait(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	a.idle = nil // its attempt is under way
	c.Close()
	a.handle(connClosed{})
	a.site.permits = make(chan struct{}, 2*maxDials)
	a.site.Dial = refuseDial
	var all []*connRequest
	for range maxDials + 4 {
		all = append(all, &connRequest{result: make(chan *conn, 1)})
		a.handle(all[len(all)-1])
	}
	for a.openings > 0 {
		a.handle(<-a.mailbox)
	}
	if len(a.waiting) > 0 && !a.reuseScheduled {
		t.Errorf("%d of %d wait, with nothing that could end that but the next sweep", len(a.waiting), len(all))
	}
}

// Guards against an unsafe request that ran being lost because its answer is not known to be common yet.
func TestIdenticalAnswerOfAHealthyServerIsNotLost(t *testing.T) {
	target := startTarget(t, 1, answersOnce(okForPosts))
	target.warmUp(warmUps)
	for i := range 4 {
		r := Encode(http.MethodPost, "/write", "t", http.Header{}, []byte(strconv.Itoa(i)), nil)
		if body, status := target.send(r, faultDeadline); body != "ok" || status != control.OK {
			t.Errorf("POST %d, which ran, ended with %v", i, status)
		}
	}
}

// Guards against common answers being evicted by answers that are given once.
func TestCommonAnswerOutlivesAnswersGivenOnce(t *testing.T) {
	h := sampledStats("ok")
	for i := range maxTrackedEntries {
		h.tracker.record(fingerprint(10_000+i), fingerprint(20_000+i), time.Now())
	}
	if !isCommon(h, "ok") {
		t.Errorf("forgotten behind %d answers that were each given once", maxTrackedEntries)
	}
}

// Guards against keyed requests of different users with the same key being taken for equal.
func TestSameKeyOfDifferentUsersIsNotEqual(t *testing.T) {
	with := func(user string) *Request {
		return Encode(http.MethodPost, "/pay", "t", http.Header{"Idempotency-Key": {"1"}, "Authorization": {user}}, []byte("5"), nil)
	}
	if with("a").identity(control.Keyed).request.matches(with("b").identity(control.Keyed).request) {
		t.Error("they count as one request")
	}
}

// Guards against a slow second answer being passed on before it is compared.
func TestSlowSecondAnswerIsNotPassedOnInPieces(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	passedOn := make(chan struct{})
	go func() {
		in := bufio.NewReader(far)
		http.ReadRequest(in)
		io.WriteString(far, withLength("of one"))
		http.ReadRequest(in)
		io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nof \r\n")
		<-passedOn
		io.WriteString(far, "3\r\none\r\n0\r\n\r\n")
	}()
	c := newConn(near, process{address: "pipe"}, sampledStats())
	_, reuse := sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	r := getFrom(2, "/two")
	if !reuse || !mayCarry(c, r) {
		return
	}
	o, _ := sendOn(t, c, r, 5*time.Second)
	close(passedOn)
	reply, ok := o.Reply.(*Reply)
	if !ok {
		return
	}
	body := reply.Body
	if reply.Long != nil {
		reply.Long.finish = func(bool) {}
		body, _ = io.ReadAll(reply.Long)
	}
	if string(body) == "of one" {
		t.Errorf("got the answer of another request: %q", body)
	}
}

// Guards against a private answer being recorded as common after a common second answer.
func TestNothingWrongIsRecordedAfterACommonAnswer(t *testing.T) {
	h := sampledStats("ok")
	c := scriptedConn(t, h, answering("ok"), answering("ok"), answering("private of two"))
	sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	_, reuse := sendOn(t, c, getFrom(2, "/two"), faultDeadline)
	if reuse && mayCarry(c, getFrom(3, "/three")) {
		sendOn(t, c, getFrom(3, "/three"), faultDeadline)
	}
	again := scriptedConn(t, h, answering("private of two"))
	sendOn(t, again, getFrom(2, "/two"), faultDeadline)
	if isCommon(h, "private of two") {
		t.Error("the private answer of one customer counts as common")
	}
}

// Guards against reads of a state that two customers see being run repeatedly.
func TestTwoReadersOfOneStateAreNotHeldUp(t *testing.T) {
	const states = 20
	var state atomic.Int64
	target := startTarget(t, 4, answersOnce(func(r *http.Request) string {
		if r.URL.Path != "/board" {
			return ownBody(r)
		}
		return "board " + strconv.FormatInt(state.Load(), 10)
	}))
	target.warmUp(warmUps)
	again := 0
	began := time.Now()
	for range states {
		state.Add(1)
		for customer := range uint64(2) {
			for tries := 0; ; tries++ { // as the core would repeat it
				if _, status := target.send(getFrom(1+customer, "/board"), faultDeadline); status == control.OK {
					break
				}
				if again++; tries == 3 {
					t.Fatal("three attempts failed")
				}
			}
		}
	}
	if again > states/10 {
		t.Errorf("%d of %d reads ran again; they took %v each", again, 2*states, time.Since(began)/(2*states))
	}
}

// Guards against an answer being dropped repeatedly because nothing is recorded of it.
func TestDroppedAnswersAreEventuallyRecorded(t *testing.T) {
	target := startTarget(t, 1, answersOnce(func(r *http.Request) string {
		if r.URL.Path != "/board" {
			return ownBody(r)
		}
		return "board"
	}))
	target.warmUp(warmUps)
	lost := 0
	for i := range uint64(20) {
		if _, status := target.send(getFrom(1+i%2, "/board"), faultDeadline); status != control.OK {
			lost++
		}
	}
	if lost > 2 {
		t.Errorf("%d of 20 reads lost", lost)
	}
}

// Guards against a target that answered counting as silent because its answer was dropped.
func TestDroppedAnswerDoesNotCountAsSilence(t *testing.T) {
	for round := range 8 {
		t.Run(strconv.Itoa(round), func(t *testing.T) {
			t.Parallel()
			testDroppedAnswer(t)
		})
	}
}

func testDroppedAnswer(t *testing.T) {
	t.Helper()
	target := startTarget(t, 8, answersOnce(okForPosts))
	target.warmUp(warmUps)
	status := control.OK
	for i := 0; status == control.OK; i++ { // until one goes out on a connection that gave the answer before
		if i == warmUps {
			t.Log("no answer is dropped")
			return
		}
		_, status = target.send(Encode(http.MethodPost, "/write", "t", http.Header{}, []byte(strconv.Itoa(i)), nil), faultDeadline)
	}
	before := target.accepted()
	target.wantOK("/next", get("/next"), "answer to /next")
	if target.accepted() > before {
		t.Errorf("after status %d no idle connection is left", status)
	}
}
