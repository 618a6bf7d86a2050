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

func refusesDials(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("refused")
}

// step is what a scripted peer writes when it has read the next request of a connection.
type step string

// scriptedConn is a connection to a peer that writes one step for each request, in order, and then nothing more.
func scriptedConn(t *testing.T, h *answerStats, steps ...step) *conn {
	t.Helper()
	return scriptedConnThen(t, h, staysSilent, steps...)
}

// scriptedConnThen is scriptedConn whose peer may close the connection behind the last step.
func scriptedConnThen(t *testing.T, h *answerStats, then ending, steps ...step) *conn {
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
		http.ReadRequest(in) // until it is closed
	}()
	return newConn(near, "pipe", h)
}

// of is a step that answers with these bodies, one after another.
func of(bodies ...string) step {
	var s strings.Builder
	for _, b := range bodies {
		s.WriteString(withLength(b))
	}
	return step(s.String())
}

// asked carries a request out on a connection as an attempt would.
func asked(t *testing.T, c *conn, r *Request, deadline time.Duration) (o core.Outcome, reuse bool) {
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

// by is a request of a customer, with headers in pairs.
func by(customer uint64, path string, headers ...string) *Request {
	h := http.Header{}
	for i := 0; i+1 < len(headers); i += 2 {
		h.Set(headers[i], headers[i+1])
	}
	r := Encode(http.MethodGet, path, "t", h, nil, nil)
	r.Customer = customer
	return r
}

// knowing is a history that has learned enough for connections to be used for different requests, and that these
// answers are common.
func knowing(commons ...string) *answerStats {
	h := &answerStats{tracker: newAnswerTracker()}
	for i := range baseSamples {
		h.tracker.record(fingerprint(1000+i), fingerprint(2000+i), time.Now())
	}
	for _, body := range commons {
		for i := range 2 {
			h.tracker.record(fingerprintOf([]byte(body)), fingerprint(3000+i), time.Now())
		}
	}
	return h
}

// isCommon tells whether a body is known to be given to different requests.
func isCommon(h *answerStats, body string) bool {
	return h.tracker.anyCommon([]pastAnswer{{answer: fingerprintOf([]byte(body))}}, time.Now())
}

// goesOn tells whether the target would use the connection for the request, once it has rested.
func goesOn(c *conn, r *Request) bool {
	return !c.unusable() && newConnRequest(r.identity(repeatOf(r))).canUse(c)
}

// wantNoneOf sends the last request on the connection where the target would, and wants none of these answers for it.
func wantNoneOf(t *testing.T, c *conn, reuse bool, r *Request, others ...string) {
	t.Helper()
	if !reuse || !goesOn(c, r) {
		t.Log("it goes out on another connection")
		return
	}
	o, _ := asked(t, c, r, faultyWait)
	for _, other := range others {
		if body := bodyOf(o); o.Status == control.OK && body == other {
			t.Errorf("got the answer of another request: %q", body)
		}
	}
}

// Guards against a request getting the own answer of the one before, which was given a common second answer.
func TestOwnAnswerBehindACommonOneIsNotGivenToTheNextRequest(t *testing.T) {
	c := scriptedConn(t, knowing("ok"), of("ok"), of("ok"), of("private of two"))
	if o, reuse := asked(t, c, by(1, "/one"), faultyWait); bodyOf(o) != "ok" || !reuse {
		t.Fatalf("/one got %q, %v", bodyOf(o), o.Status)
	}
	o, reuse := asked(t, c, by(2, "/two"), faultyWait)
	t.Logf("/two got %q, %v", bodyOf(o), o.Status)
	wantNoneOf(t, c, reuse, by(3, "/three"), "private of two")
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
			case r.URL.Path == "/two" && last != "": // first /one's again; its own is late
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
	for i := range 2 { // each is the first with its body on its connection
		target.post(closeAllIdle{})
		target.wantOK("/common", get("/common?"+strconv.Itoa(i)), "ok")
	}
	target.wantOK("/one", get("/one"), "ok")
	body, status := target.send(get("/two"), faultyWait)
	t.Logf("/two got %q, %v", body, status)
	for _, path := range []string{"/three", "/four", "/five"} {
		if body, status := target.send(get(path), faultyWait); status == control.OK && body != "answer to "+path {
			t.Errorf("%s got %q", path, body)
		}
	}
	t.Logf("one connection for all: %t", target.onOneConnection(5))
}

// Guards against a request getting the own answer of an equal read before it, which was given a second answer.
func TestOwnAnswerOfAnEqualReadIsNotGivenToTheNextRequest(t *testing.T) {
	c := scriptedConn(t, knowing(), of("cart: 1 thing"), of("cart: 1 thing"), of("cart: 2 things"))
	asked(t, c, by(1, "/cart", "X-Request-ID", "a"), faultyWait)
	_, reuse := asked(t, c, by(1, "/cart", "X-Request-ID", "b"), faultyWait)
	wantNoneOf(t, c, reuse, by(2, "/cart", "X-Request-ID", "c"), "cart: 2 things")
}

// Guards against a request getting the answer of a probe.
func TestProbesAnswerIsNotGivenToARequest(t *testing.T) {
	probe := func() *Request {
		return &Request{Method: http.MethodGet, Head: []byte("GET /stats HTTP/1.1\r\nHost: target\r\n")}
	}
	c := scriptedConn(t, knowing(), of(`{"inflight":1}`), of(`{"inflight":1}`), of(`{"inflight":2}`))
	asked(t, c, probe(), faultyWait)
	_, reuse := asked(t, c, probe(), faultyWait)
	wantNoneOf(t, c, reuse, by(2, "/view"), `{"inflight":2}`)
}

// Guards against an equal read getting an answer from before, with its own behind it.
func TestEqualReadDoesNotGetAnAnswerFromBefore(t *testing.T) {
	c := scriptedConn(t, knowing(), of("cart: empty"), of("cart: empty", "cart: 1 thing"))
	asked(t, c, by(1, "/cart", "X-Request-ID", "a"), faultyWait)
	o, _ := asked(t, c, by(1, "/cart", "X-Request-ID", "b"), faultyWait)
	if bodyOf(o) == "cart: empty" {
		t.Error("the second read got the first one's answer, with its own behind it")
	}
}

// Guards against a second answer that comes behind many others being given to the next request.
func TestSecondAnswerBehindManyIsNotGivenToTheNextRequest(t *testing.T) {
	for _, behind := range []int{maxPastAnswers, maxPastAnswers + 1} {
		t.Run(strconv.Itoa(behind), func(t *testing.T) {
			steps := []step{of("of one")}
			for i := range behind - 1 {
				steps = append(steps, of("between "+strconv.Itoa(i)))
			}
			h := knowing()
			c := scriptedConn(t, h, append(steps, of("of one"))...)
			_, reuse := asked(t, c, by(1, "/one"), faultyWait)
			for i := range behind - 1 {
				if reuse && goesOn(c, by(2, "/between")) {
					_, reuse = asked(t, c, by(2, "/between?"+strconv.Itoa(i)), faultyWait)
				}
			}
			wantNoneOf(t, c, reuse, by(3, "/last"), "of one")
		})
	}
}

// Guards against one customer's answer counting as common since he asked twice.
func TestOneCustomersAnswerIsNotCommon(t *testing.T) {
	h := knowing()
	const private = "account of customer 1"
	for _, trace := range []string{"a", "b"} {
		c := scriptedConn(t, h, of(private))
		asked(t, c, by(1, "/account", "Traceparent", trace), faultyWait)
	}
	c := scriptedConn(t, h, of(private), of(private))
	_, reuse := asked(t, c, by(1, "/account", "Traceparent", "c"), faultyWait)
	wantNoneOf(t, c, reuse, by(2, "/account"), private)
}

// Guards against a customer getting another's cookie with a body that is common.
func TestCommonBodyDoesNotBringAnothersHead(t *testing.T) {
	login := func(session string) step {
		return step("HTTP/1.1 200 OK\r\nSet-Cookie: session=" + session + "\r\nContent-Length: 0\r\n\r\n")
	}
	c := scriptedConn(t, knowing(""), login("of-one"), login("of-one"))
	asked(t, c, by(1, "/login?code=1"), faultyWait)
	o, _ := asked(t, c, by(2, "/login?code=2"), faultyWait)
	if reply, ok := o.Reply.(*Reply); ok && reply.Header.Get("Set-Cookie") == "session=of-one" {
		t.Error("customer 2 got the session of customer 1")
	}
}

// Guards against a common answer being taken with the own one behind it.
func TestOwnAnswerBehindACommonOneIsTaken(t *testing.T) {
	c := scriptedConn(t, knowing("ok"), of("ok"), of("ok", "of two"))
	asked(t, c, by(1, "/one"), faultyWait)
	if o, _ := asked(t, c, by(2, "/two"), faultyWait); bodyOf(o) == "ok" {
		t.Error("/two got the answer of /one, with its own behind it")
	}
}

// Guards against a second answer that refuses saying of the next request that it never ran.
func TestSecondAnswerThatRefusesDoesNotCountAsNeverRun(t *testing.T) {
	c := scriptedConn(t, knowing(), of("of one"), "HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"+of("of two"))
	_, reuse := asked(t, c, by(1, "/one"), faultyWait)
	r := Encode(http.MethodPost, "/two", "t", http.Header{}, []byte("move"), nil)
	if !reuse || !goesOn(c, r) {
		return
	}
	if o, _ := asked(t, c, r, faultyWait); o.Status == control.Full {
		t.Error("/two ran, and counts as never run")
	}
}

// Guards against a failed dial leaving those waiting for whom no idle connection is.
func TestFailedDialIsToldWhereIdleConnectionsDoNotFit(t *testing.T) {
	a, c, _ := reused(t)
	c.lastUsed = time.Now().Add(-maxReuseDelay)
	a.stats.tracker = newAnswerTracker() // knows nothing: no connection is used for different requests
	a.site.permits = make(chan struct{}, 4)
	a.site.permits <- struct{}{}
	a.site.Dial = refusesDials
	next := &connRequest{result: make(chan *conn, 1), identity: identity{request: 7}}
	a.handle(next)
	if a.dialing != 1 {
		t.Fatalf("%d dialling", a.dialing)
	}
	a.handle(<-a.mailbox) // dialed, in vain
	if len(next.result) == 0 && a.dialing == 0 && !a.reuseScheduled {
		t.Errorf("%d wait, with %d idle that they may not use, and nothing that could end that", len(a.waiting), len(a.idle))
	}
}

// Guards against failed dials leaving those waiting that are more than may be dialled for at once.
func TestFailedDialsAreToldToAllThatWait(t *testing.T) {
	a, c, _ := reused(t)
	a.idle = nil // its attempt is out
	c.Close()
	a.handle(connClosed{})
	a.site.permits = make(chan struct{}, 2*maxDials)
	a.site.Dial = refusesDials
	var all []*connRequest
	for range maxDials + 4 {
		all = append(all, &connRequest{result: make(chan *conn, 1)})
		a.handle(all[len(all)-1])
	}
	for a.dialing > 0 {
		a.handle(<-a.mailbox)
	}
	if len(a.waiting) > 0 && !a.reuseScheduled {
		t.Errorf("%d of %d wait, with nothing that could end that but the next sweep", len(a.waiting), len(all))
	}
}

// Guards against an unsafe request that ran being lost, as its answer is not known to be common yet.
func TestAlikeAnswerOfAHealthyServerIsNotLost(t *testing.T) {
	target := startTarget(t, 1, answersOnce(okToPosts))
	target.warmUp(warmUps)
	for i := range 4 {
		r := Encode(http.MethodPost, "/write", "t", http.Header{}, []byte(strconv.Itoa(i)), nil)
		if body, status := target.send(r, faultyWait); body != "ok" || status != control.OK {
			t.Errorf("POST %d, which ran, ended with %v", i, status)
		}
	}
}

// Guards against common answers being forgotten behind those that are given once.
func TestCommonAnswerOutlivesAnswersGivenOnce(t *testing.T) {
	h := knowing("ok")
	for i := range maxTrackedEntries {
		h.tracker.record(fingerprint(10_000+i), fingerprint(20_000+i), time.Now())
	}
	if !isCommon(h, "ok") {
		t.Errorf("forgotten behind %d answers that were each given once", maxTrackedEntries)
	}
}

// Guards against keyed requests of different users with one key being taken for equal.
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
	c := newConn(near, "pipe", knowing())
	_, reuse := asked(t, c, by(1, "/one"), faultyWait)
	r := by(2, "/two")
	if !reuse || !goesOn(c, r) {
		return
	}
	o, _ := asked(t, c, r, 5*time.Second)
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

// Guards against something false being learned behind a common second answer.
func TestNothingFalseIsLearnedBehindACommonAnswer(t *testing.T) {
	h := knowing("ok")
	c := scriptedConn(t, h, of("ok"), of("ok"), of("private of two"))
	asked(t, c, by(1, "/one"), faultyWait)
	_, reuse := asked(t, c, by(2, "/two"), faultyWait)
	if reuse && goesOn(c, by(3, "/three")) {
		asked(t, c, by(3, "/three"), faultyWait)
	}
	again := scriptedConn(t, h, of("private of two"))
	asked(t, again, by(2, "/two"), faultyWait)
	if isCommon(h, "private of two") {
		t.Error("the private answer of one customer counts as common")
	}
}

// Guards against reads of a state that two customers see being run again and again.
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
				if _, status := target.send(by(1+customer, "/board"), faultyWait); status == control.OK {
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

// Guards against an answer that is dropped time and again, as nothing is learned from it.
func TestDroppedAnswerIsLearnedFromInTheEnd(t *testing.T) {
	target := startTarget(t, 1, answersOnce(func(r *http.Request) string {
		if r.URL.Path != "/board" {
			return ownBody(r)
		}
		return "board"
	}))
	target.warmUp(warmUps)
	lost := 0
	for i := range uint64(20) {
		if _, status := target.send(by(1+i%2, "/board"), faultyWait); status != control.OK {
			lost++
		}
	}
	if lost > 2 {
		t.Errorf("%d of 20 reads lost", lost)
	}
}

// Guards against a target that answered counting as silent, where its answer was dropped.
func TestDroppedAnswerDoesNotCountAsSilence(t *testing.T) {
	for round := range 8 {
		t.Run(strconv.Itoa(round), func(t *testing.T) {
			t.Parallel()
			dropsAnAnswer(t)
		})
	}
}

func dropsAnAnswer(t *testing.T) {
	t.Helper()
	target := startTarget(t, 8, answersOnce(okToPosts))
	target.warmUp(warmUps)
	status := control.OK
	for i := 0; status == control.OK; i++ { // until one comes on a connection that gave the answer before
		if i == warmUps {
			t.Log("no answer is dropped")
			return
		}
		_, status = target.send(Encode(http.MethodPost, "/write", "t", http.Header{}, []byte(strconv.Itoa(i)), nil), faultyWait)
	}
	before := target.accepted()
	target.wantOK("/next", get("/next"), "answer to /next")
	if target.accepted() > before {
		t.Errorf("after status %d no idle connection is left", status)
	}
}
