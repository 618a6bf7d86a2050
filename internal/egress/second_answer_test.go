package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

const (
	warmUps       = 32                     // requests sent before a fault, so that connections are reused
	maxAnswerTime = 500 * time.Millisecond // for a request that the server answers at once
	faultDeadline = time.Second            // deadline of a request that the server may leave unanswered

	distinctQuery = "distinct=" // prefix of the queries of the requests that sendDistinct sends
)

// connectionScript decides, for the requests of one connection in order, what the server writes after reading a
// request, and whether it then closes the connection.
type connectionScript func(r *http.Request) (output string, closes bool)

// scriptedServer is a loopback server that records on which connection each request came, except for those of
// warmUp and sendDistinct.
type scriptedServer struct {
	address string

	mu          sync.Mutex
	connections int
	arrivals    []int // the connection's number, for each request
}

func startScripted(t *testing.T, newScript func() connectionScript) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			number := s.connections
			s.mu.Unlock()
			go s.serve(conn, number, newScript())
		}
	}()
	return s
}

func (s *scriptedServer) serve(conn net.Conn, number int, next connectionScript) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !strings.HasPrefix(r.URL.Path, "/warm/") && !strings.HasPrefix(r.URL.RawQuery, distinctQuery) {
			s.mu.Lock()
			s.arrivals = append(s.arrivals, number)
			s.mu.Unlock()
		}
		output, closes := next(r)
		if _, err := io.WriteString(conn, output); err != nil || closes {
			return
		}
	}
}

// accepted is the number of connections accepted.
func (s *scriptedServer) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// onOneConnection reports whether the last n requests came on one connection.
func (s *scriptedServer) onOneConnection(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.arrivals) < n {
		return false
	}
	last := s.arrivals[len(s.arrivals)-n:]
	for _, number := range last {
		if number != last[0] {
			return false
		}
	}
	return true
}

// answersOnce is the script of a server without a fault.
func answersOnce(body func(*http.Request) string) func() connectionScript {
	return func() connectionScript {
		return func(r *http.Request) (string, bool) { return withLength(body(r)), false }
	}
}

func ownBody(r *http.Request) string { return "answer to " + r.RequestURI }

// okForPosts is the answer body of a server that gives all writes the same answer.
func okForPosts(r *http.Request) string {
	if r.Method == http.MethodPost {
		return "ok"
	}
	return ownBody(r)
}

// withLength, chunked, afterContinue and afterEarlyHints are the framings of an answer.
func withLength(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func chunked(body string) string {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	if body == "" {
		return head + "0\r\n\r\n"
	}
	return fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

func afterContinue(body string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + withLength(body) }

func afterEarlyHints(body string) string {
	return "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" + withLength(body)
}

// ending is what the server does after it has written a second answer.
type ending int

const (
	closesConnection ending = iota
	staysSilent
	answersItself // writes the answer of the request under way
)

func (e ending) String() string { return [...]string{"closes", "silent", "own"}[e] }

// secondAnswer is a fault: /one is answered a second time, on its connection, when a later request has been read
// there.
type secondAnswer struct {
	body          string              // of both answers to /one, followed by its query
	frame         func(string) string // of the second answer
	requestsAfter int                 // requests after /one, including the one under way then
	then          ending
}

func (f secondAnswer) newScript() connectionScript {
	since, body := -1, "" // requests since /one; -1: it has not come yet
	return func(r *http.Request) (string, bool) {
		if since < 0 && r.URL.Path == "/one" {
			since, body = 0, f.body+r.URL.RawQuery
			return withLength(body), false
		}
		own := withLength(okForPosts(r))
		if since >= 0 {
			since++
		}
		if since != f.requestsAfter {
			return own, false
		}
		since = -1
		if f.then == answersItself {
			return f.frame(body) + own, false
		}
		return f.frame(body), f.then == closesConnection
	}
}

// withDistinct is a script whose server gives each request with distinctQuery an answer of its own.
func withDistinct(newScript func() connectionScript) func() connectionScript {
	return func() connectionScript {
		next := newScript()
		return func(r *http.Request) (string, bool) {
			if strings.HasPrefix(r.URL.RawQuery, distinctQuery) {
				return withLength(ownBody(r)), false
			}
			return next(r)
		}
	}
}

// scriptedTarget is a fleet's only target, a scripted server.
type scriptedTarget struct {
	*scriptedServer
	t *testing.T
	*entry
	distinctSent int // requests that sendDistinct sent
}

func startTarget(t *testing.T, conns int, newScript func() connectionScript) *scriptedTarget {
	t.Helper()
	s := startScripted(t, newScript)
	f := NewFleet(Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: conns})
	f.Update(core.Table{Targets: []core.Target{{Member: control.Member{Server: "s", State: control.Ready}, Address: s.address}}})
	t.Cleanup(func() { f.remove("s") })
	return &scriptedTarget{scriptedServer: s, t: t, entry: f.targets["s"]}
}

func get(path string) *Request { return Encode(http.MethodGet, path, "t", http.Header{}, nil, nil) }

// repeatOf is how a request may be repeated by its form, as the platform's requests may.
func repeatOf(r *Request) control.Repeat {
	switch {
	case r.Method == http.MethodGet:
		return control.Safe
	case r.Key != "":
		return control.Keyed
	}
	return control.Unsafe
}

// send carries out a request and returns its answer's body. The status of one that the server did not answer is
// neither OK nor Full.
func (s *scriptedTarget) send(r *Request, deadline time.Duration) (string, control.Status) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), deadline)
	defer cancel()
	o := s.exchange(core.Attempt{Ctx: ctx, Payload: r, Repeat: repeatOf(r), OnBodySent: func() {}, ResponseTimeout: deadline})
	reply, ok := o.Reply.(*Reply)
	if !ok {
		return "", o.Status
	}
	if reply.Long == nil {
		return string(reply.Body), o.Status
	}
	body, err := io.ReadAll(reply.Long)
	if err != nil {
		s.t.Errorf("a streamed body: %v", err)
	}
	return string(body), o.Status
}

// wantOK sends a request that must be answered with want, within maxAnswerTime.
func (s *scriptedTarget) wantOK(name string, r *Request, want string) {
	s.t.Helper()
	began := time.Now()
	body, status := s.send(r, 5*time.Second)
	if took := time.Since(began); took > maxAnswerTime {
		s.t.Errorf("%s took %v", name, took)
	}
	if body != want || status != control.OK {
		s.t.Errorf("%s got %q, %v, want %q", name, body, status, want)
	}
}

// warmUp sends n requests, each with an answer of its own, one after another.
func (s *scriptedTarget) warmUp(n int) {
	s.t.Helper()
	for i := range n {
		path := "/warm/" + strconv.Itoa(i)
		s.wantOK(path, get(path), "answer to "+path)
	}
}

// wantNotCrossed sends the request that is under way when the second answer comes, the last of n from /one on. If
// it came on another connection than they did, the second answer cannot reach it, and it must get its own.
func (s *scriptedTarget) wantNotCrossed(r *Request, n int, own string, then ending) (sameConn bool) {
	s.t.Helper()
	body, status := s.send(r, faultDeadline)
	sameConn = s.onOneConnection(n)
	s.t.Logf("one connection for all: %t; got %q, %v", sameConn, body, status)
	if !sameConn || then == answersItself {
		if body != own || status != control.OK {
			s.t.Errorf("got %q, %v, want its own answer %q", body, status, own)
		}
		return sameConn
	}
	if status != control.Reset && status != control.Timeout {
		s.t.Errorf("got the answer of /one: %q, %v", body, status)
	}
	return true
}

// wantSameConnection is wantNotCrossed where the last n requests must come on one connection.
func (s *scriptedTarget) wantSameConnection(r *Request, n int, own string, then ending) {
	s.t.Helper()
	if !s.wantNotCrossed(r, n, own, then) {
		s.t.Error("the requests came on different connections")
	}
}

// testSecondAnswer has a second answer of /one come while a later request is under way.
func testSecondAnswer(t *testing.T, f secondAnswer) {
	t.Helper()
	target := startTarget(t, 1, f.newScript)
	target.warmUp(warmUps)
	target.wantOK("/one", get("/one"), f.body)
	for i := range f.requestsAfter - 1 {
		path := "/between/" + strconv.Itoa(i)
		target.wantOK(path, get(path), "answer to "+path)
	}
	target.wantSameConnection(get("/last"), f.requestsAfter+1, "answer to /last", f.then)
}

// Guards against a request that is never answered getting the second answer of the one before it.
func TestUnansweredRequestDoesNotGetASecondAnswer(t *testing.T) {
	for _, then := range []ending{closesConnection, staysSilent} {
		t.Run(then.String(), func(t *testing.T) {
			t.Parallel()
			testSecondAnswer(t, secondAnswer{body: "of one", frame: withLength, requestsAfter: 1, then: then})
		})
	}
}

// Guards against a second answer being passed on after an earlier one of the same target was dropped.
func TestSecondAnswersInARowAreAllKeptBack(t *testing.T) {
	for _, then := range []ending{closesConnection, staysSilent} {
		t.Run(then.String(), func(t *testing.T) {
			t.Parallel()
			target := startTarget(t, 1, secondAnswer{body: "of one, ", frame: withLength, requestsAfter: 1, then: then}.newScript)
			target.warmUp(warmUps)
			for round := range 3 {
				query := "round=" + strconv.Itoa(round)
				target.wantOK("/one?"+query, get("/one?"+query), "of one, "+query)
				target.wantNotCrossed(get("/last?"+query), 2, "answer to /last?"+query, then)
			}
		})
	}
}

// Guards against a second answer that comes after the answer of another request being given to a third request.
func TestSecondAnswerIsNotGivenToTheRequestAfterTheNext(t *testing.T) {
	for _, then := range []ending{closesConnection, staysSilent, answersItself} {
		t.Run(then.String(), func(t *testing.T) {
			t.Parallel()
			testSecondAnswer(t, secondAnswer{body: "of one", frame: withLength, requestsAfter: 2, then: then})
		})
	}
}

// Guards against a second answer not being recognized by its body because its head differs from the first one's.
func TestSecondAnswerInOtherFramingIsNotGivenToTheNextRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		frame func(string) string
	}{{"chunked", chunked}, {"behind 100", afterContinue}, {"behind 103", afterEarlyHints}} {
		for _, then := range []ending{closesConnection, staysSilent, answersItself} {
			t.Run(c.name+"/"+then.String(), func(t *testing.T) {
				t.Parallel()
				testSecondAnswer(t, secondAnswer{body: "of one", frame: c.frame, requestsAfter: 1, then: then})
			})
		}
	}
}

// Guards against a second answer without a body being given to a request that is never answered, in any framing.
func TestUnansweredRequestDoesNotGetASecondEmptyAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		frame func(string) string
	}{{"length", withLength}, {"chunked", chunked}} {
		for _, then := range []ending{closesConnection, staysSilent, answersItself} {
			t.Run(c.name+"/"+then.String(), func(t *testing.T) {
				t.Parallel()
				testSecondAnswer(t, secondAnswer{frame: c.frame, requestsAfter: 1, then: then})
			})
		}
	}
}

// Guards against two requests that differ only in a header being taken for equal, so that the second gets the
// answer of the first.
func TestRequestsThatDifferInAHeaderDoNotShareAnAnswer(t *testing.T) {
	for _, c := range []struct{ method, header string }{
		{http.MethodPost, "Idempotency-Key"},
		{http.MethodGet, "Cookie"},
		{http.MethodGet, "X-Forwarded-Uri"},
	} {
		for _, then := range []ending{closesConnection, staysSilent} {
			t.Run(c.method+" "+c.header+"/"+then.String(), func(t *testing.T) {
				t.Parallel()
				fault := secondAnswer{body: "run as 1", frame: withLength, requestsAfter: 1, then: then}
				target := startTarget(t, 1, fault.newScript)
				target.warmUp(warmUps)
				with := func(value string) *Request {
					var body []byte
					if c.method == http.MethodPost {
						body = []byte("move")
					}
					return Encode(c.method, "/one", "t", http.Header{c.header: {value}}, body, nil)
				}
				target.wantOK("the first", with("a"), "run as 1")
				target.wantSameConnection(with("b"), 2, "run as 1", then)
			})
		}
	}
}

// nonRepeatable makes requests to /one that differ only in X-Request-ID, or in the rest of a body that is sent as
// it comes in.
var nonRepeatable = map[string]func(id string) *Request{
	"unsafe": func(id string) *Request {
		return Encode(http.MethodPost, "/one", "t", http.Header{"X-Request-ID": {id}}, []byte("move"), nil)
	},
	"upload": upload,
}

// Guards against an unsafe request or an upload getting the second answer of the one before it on its connection.
func TestRequestThatCannotBeSentAgainDoesNotGetASecondAnswer(t *testing.T) {
	for name, with := range nonRepeatable {
		for _, then := range []ending{closesConnection, staysSilent} {
			t.Run(name+"/"+then.String(), func(t *testing.T) {
				t.Parallel()
				c := scriptedConnThen(t, sampledStats(), then, answering("run as 1"), answering("run as 1"))
				if o, reuse := sendOn(t, c, with("a"), faultDeadline); bodyOf(o) != "run as 1" || !reuse {
					t.Fatalf("the first got %q, %v", bodyOf(o), o.Status)
				}
				o, _ := sendOn(t, c, with("b"), faultDeadline)
				if o.Status != control.Reset && o.Status != control.Timeout {
					t.Errorf("got the answer of the first: %q, %v", bodyOf(o), o.Status)
				}
			})
		}
	}
}

// upload is a request to /one whose body has the same beginning each time and whose rest comes in as it is sent.
func upload(rest string) *Request {
	return Encode(http.MethodPost, "/one", "t", http.Header{}, []byte("begins alike"),
		&Upload{Length: -1, Next: strings.NewReader(rest).Read})
}

// Guards against an unsafe request or an upload getting the second answer of the one before it, and against its
// own answer being lost, whatever answers the path had before.
func TestSecondRequestOfAPathHasItsOwnAnswer(t *testing.T) {
	for _, path := range []struct {
		name            string
		conns, distinct int
	}{{"new path", 1, 0}, {"path of different answers", 2, distinctRun}} {
		for name, with := range nonRepeatable {
			for _, then := range []ending{closesConnection, staysSilent} {
				t.Run(path.name+"/"+name+"/"+then.String(), func(t *testing.T) {
					t.Parallel()
					fault := secondAnswer{body: "run as 1", frame: withLength, requestsAfter: 1, then: then}
					target := startTarget(t, path.conns, withDistinct(fault.newScript))
					target.warmUp(warmUps)
					target.sendDistinct("/one", path.distinct)
					target.wantOK("the first", with("a"), "run as 1")
					target.sendDistinct("/one", min(1, path.distinct))
					if target.wantNotCrossed(with("b"), 2, "run as 1", then) {
						t.Error("both came on one connection")
					}
				})
			}
		}
	}
}

// Guards against a second answer being passed on at a server that gives other requests identical answers.
func TestIdenticalAnswersLetNoSecondAnswerThrough(t *testing.T) {
	for _, then := range []ending{closesConnection, staysSilent, answersItself} {
		t.Run(then.String(), func(t *testing.T) {
			t.Parallel()
			target := startTarget(t, 1, secondAnswer{body: "of one", frame: withLength, requestsAfter: 1, then: then}.newScript)
			target.wantAll(numberedRequests(2*warmUps, okForPosts), 1)
			for i := range 4 {
				r := Encode(http.MethodPost, "/write", "t", http.Header{}, []byte(strconv.Itoa(i)), nil)
				target.wantOK("POST /write", r, "ok")
			}
			target.wantOK("/one", get("/one"), "of one")
			target.wantSameConnection(get("/last"), 2, "answer to /last", then)
		})
	}
}

// Guards against equal reads, which may have equal answers, being delayed or lost.
func TestEqualReadsMayShareAnAnswer(t *testing.T) {
	target := startTarget(t, 4, answersOnce(ownBody))
	target.warmUp(warmUps)
	for i := range 8 {
		r := Encode(http.MethodGet, "/view", "t", http.Header{"X-Request-Id": {strconv.Itoa(i)}}, nil, nil)
		target.wantOK("/view", r, "answer to /view")
	}
}

// Guards against the tests of second answers passing only because no connection is ever reused.
func TestConnectionIsReusedOnceAnswersAreKnown(t *testing.T) {
	target := startTarget(t, 1, answersOnce(ownBody))
	target.warmUp(warmUps)
	for _, path := range []string{"/one", "/two", "/three"} {
		target.wantOK(path, get(path), "answer to "+path)
	}
	if !target.onOneConnection(3) {
		t.Error("three requests after the warm-up did not come on one connection")
	}
}

// numberedRequest is a request that a server without a fault answers with body.
type numberedRequest struct {
	request *Request
	body    string
}

// identicalAnswerServers make the answers of servers that give different requests the same body.
var identicalAnswerServers = []struct {
	name string
	body func(r *http.Request) string
}{
	{"one body", func(*http.Request) string { return "ok" }},
	{"no body", func(*http.Request) string { return "" }},
	{"one of three bodies", func(r *http.Request) string {
		number, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/"), 10, 64)
		return "choice " + strconv.Itoa(rand.New(rand.NewPCG(1, number)).IntN(3))
	}},
	{"one body for POST", okForPosts},
}

// numberedRequests returns n different requests, GET and POST in turn.
func numberedRequests(n int, body func(*http.Request) string) []numberedRequest {
	all := make([]numberedRequest, n)
	for i := range all {
		method, uri := http.MethodGet, "/"+strconv.Itoa(i)
		var content []byte
		if i%2 == 1 {
			method, content = http.MethodPost, []byte("move "+uri)
		}
		r, _ := http.NewRequest(method, uri, nil)
		r.RequestURI = uri
		all[i] = numberedRequest{Encode(method, uri, "t", http.Header{}, content, nil), body(r)}
	}
	return all
}

// wantAll sends requests, atATime of them concurrently. Each must be answered with its own body, within
// maxAnswerTime.
func (s *scriptedTarget) wantAll(all []numberedRequest, atATime int) {
	s.t.Helper()
	next := make(chan numberedRequest)
	var workers sync.WaitGroup
	for range atATime {
		workers.Go(func() {
			for n := range next {
				s.wantOK(strings.SplitN(string(n.request.Head), "\r\n", 2)[0], n.request, n.body)
			}
		})
	}
	for _, n := range all {
		next <- n
	}
	close(next)
	workers.Wait()
}

// Guards against answers being lost or long delayed when a server gives different requests the same body.
func TestIdenticalAnswersAreNeitherLostNorDelayed(t *testing.T) {
	for _, c := range identicalAnswerServers {
		for _, atATime := range []int{1, 8} {
			t.Run(fmt.Sprintf("%s/%d at a time", c.name, atATime), func(t *testing.T) {
				target := startTarget(t, 16, answersOnce(c.body))
				all := numberedRequests(warmUps+40, c.body)
				target.wantAll(all[:warmUps], 1)
				target.wantAll(all[warmUps:], atATime)
			})
		}
	}
}

// Guards against requests waiting in vain for a connection in its reuse delay, or barred from reuse, when few may
// be open.
func TestFewConnectionsAnswerAll(t *testing.T) {
	for _, c := range []struct {
		name string
		body func(*http.Request) string
	}{{"distinct bodies", ownBody}, {"one body", func(*http.Request) string { return "ok" }}} {
		t.Run(c.name+"/1 connection, one after another", func(t *testing.T) {
			startTarget(t, 1, answersOnce(c.body)).wantAll(numberedRequests(20, c.body), 1)
		})
		t.Run(c.name+"/2 connections, 20 at a time", func(t *testing.T) {
			startTarget(t, 2, answersOnce(c.body)).wantAll(numberedRequests(20, c.body), 20)
		})
	}
}

// Guards against memory that grows with the number of distinct answers that a server has given.
func TestManyDifferentAnswersDoNotGrowTheHeap(t *testing.T) {
	const most = 1 << 20
	target := startTarget(t, 4, answersOnce(ownBody))
	target.warmUp(1000)
	before := heapInUse()
	target.warmUp(10000)
	if after := heapInUse(); after > before+most {
		t.Errorf("the heap grew from %d to %d bytes", before, after)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC() // collects what finalizers held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against a second answer that comes slowly, in chunks, being streamed to the next request.
func TestSlowSecondAnswerIsNotGivenToTheNextRequest(t *testing.T) {
	const body = "of one, that comes in two pieces"
	target := startTarget(t, 1, func() connectionScript {
		second := false
		return func(r *http.Request) (string, bool) {
			if r.URL.Path == "/one" {
				second = true
				return chunked(body), false
			}
			if !second {
				return withLength(ownBody(r)), false
			}
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body)-1, body[:len(body)-1]), false
		}
	})
	target.warmUp(warmUps)
	target.wantOK("/one", get("/one"), body)
	ctx, cancel := context.WithTimeout(t.Context(), faultDeadline)
	defer cancel()
	o := target.exchange(core.Attempt{Ctx: ctx, Payload: get("/last")})
	reply, ok := o.Reply.(*Reply)
	if !ok {
		return
	}
	if reply.Long != nil {
		reply.Long.Close()
		t.Fatal("/last gets what came of a second answer of /one")
	}
	if own := "answer to /last"; string(reply.Body) != own {
		t.Errorf("got %q, want %q", reply.Body, own)
	}
}

// Guards against a request's own slow answer being held back on a connection that was used before.
func TestSlowOwnAnswerIsStreamedOnAUsedConnection(t *testing.T) {
	target := startTarget(t, 1, func() connectionScript {
		return func(r *http.Request) (string, bool) {
			if r.URL.Path == "/events" {
				return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbegins\r\n", false
			}
			return withLength(ownBody(r)), false
		}
	})
	target.warmUp(warmUps)
	target.wantOK("/one", get("/one"), "answer to /one")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	o := target.exchange(core.Attempt{Ctx: ctx, Payload: get("/events")})
	reply, ok := o.Reply.(*Reply)
	if !ok || reply.Long == nil {
		t.Fatalf("ended with %v, not streamed", o.Status)
	}
	defer reply.Long.Close()
	begin := make([]byte, len("begins"))
	if _, err := io.ReadFull(reply.Long, begin); err != nil || string(begin) != "begins" {
		t.Errorf("got %q, %v", begin, err)
	}
	if !target.onOneConnection(2) {
		t.Error("the request did not come on the used connection")
	}
}
