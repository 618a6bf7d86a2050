package egress

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"junctionring/control"
)

const distinctRun = 8 // distinct answers of a path in a row, after which the next one might be expected to differ, too

func post(uri, body string) *Request {
	return Encode(http.MethodPost, uri, "t", http.Header{}, []byte(body), nil)
}

// sendDistinct sends n unsafe requests of a path, each of which gets an answer of its own.
func (s *scriptedTarget) sendDistinct(path string, n int) {
	s.t.Helper()
	for range n {
		s.distinctSent++
		uri := path + "?" + distinctQuery + strconv.Itoa(s.distinctSent)
		s.wantOK(uri, post(uri, "move"), "answer to "+uri)
	}
}

// identicalAt gives all requests to a path the same answer, and each other request one of its own.
func identicalAt(path string) func() connectionScript {
	return answersOnce(func(r *http.Request) string {
		if r.URL.Path == path && r.URL.RawQuery == "" {
			return "ok"
		}
		return ownBody(r)
	})
}

// wantIdentical sends requests that all get the same answer, none of which may be lost.
func (s *scriptedTarget) wantIdentical(requests ...*Request) {
	s.t.Helper()
	for i, r := range requests {
		if body, status := s.send(r, faultDeadline); body != "ok" || status != control.OK {
			s.t.Errorf("request %d, which ran, ended with %q, %v", i, body, status)
		}
	}
}

// Guards against an unsafe request being lost on a path with identical answers, because other paths have distinct
// ones.
func TestIdenticalAnswerAfterPathsOfDistinctOnesIsNotLost(t *testing.T) {
	target := startTarget(t, 1, identicalAt("/write"))
	target.warmUp(warmUps)
	for i := range 64 {
		target.sendDistinct("/other/"+strconv.Itoa(i), 1)
	}
	target.sendDistinct("/another", 2*distinctRun)
	target.wantIdentical(post("/write", "0"), post("/write", "1"), post("/write", "2"))
}

// Guards against a keyed request being lost whose body was still coming in, so that it can't be sent again.
func TestIdenticalAnswerToAKeyedUploadIsNotLost(t *testing.T) {
	target := startTarget(t, 1, identicalAt("/write"))
	target.warmUp(warmUps)
	keyed := func(key string) *Request {
		return Encode(http.MethodPost, "/write", "t", http.Header{"Idempotency-Key": {key}}, []byte("begins"),
			&Upload{Length: -1, Next: strings.NewReader(key).Read})
	}
	target.wantIdentical(keyed("a"), keyed("b"), keyed("c"))
}

// Guards against requests that can't be sent again opening more than one connection each, and against more being
// open at once than are needed, as a server holds only so many.
func TestRequestsThatCannotBeSentAgainOpenOneConnectionEach(t *testing.T) {
	const (
		writes = 64
		few    = 2 // connections that may be opened beyond one for each write
	)
	for name, write := range map[string]func(i int) (uri string, r *Request){
		"one path": func(i int) (string, *Request) {
			uri := "/write?" + strconv.Itoa(i)
			return uri, post(uri, "move")
		},
		"identifiers": func(i int) (string, *Request) {
			uri := "/orders/" + strconv.Itoa(i) + "/lines"
			return uri, post(uri, "move")
		},
		"keyed uploads": func(i int) (string, *Request) {
			uri := "/write?" + strconv.Itoa(i)
			return uri, Encode(http.MethodPost, uri, "t", http.Header{"Idempotency-Key": {uri}}, []byte("begins"),
				&Upload{Length: -1, Next: strings.NewReader("rest").Read})
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, maxConns, answersOnce(ownBody))
			mostOpen := target.watchOpen()
			target.warmUp(warmUps)
			first := target.accepted()
			for i := range writes {
				uri, r := write(i)
				target.wantOK(uri, r, "answer to "+uri)
				for _, read := range []string{uri + "/first", uri + "/second"} {
					target.wantOK(read, get(read), "answer to "+read)
				}
			}
			if opened := target.accepted() - first; opened > writes+few {
				t.Errorf("%d connections were opened for %d writes", opened, writes)
			}
			if most := mostOpen.Load(); most > usedIdleKept+few {
				t.Errorf("%d connections were open at once, for one request at a time", most)
			}
		})
	}
}

// Guards against reads and keyed requests opening connections when only requests that can't be sent again have to.
func TestRequestsThatCanBeSentAgainUseFewConnections(t *testing.T) {
	target := startTarget(t, 4, answersOnce(ownBody))
	target.warmUp(warmUps)
	first := target.accepted()
	for i := range 64 {
		uri := "/write?" + strconv.Itoa(i)
		keyed := Encode(http.MethodPost, uri, "t", http.Header{"Idempotency-Key": {uri}}, []byte("move"), nil)
		target.wantOK(uri, keyed, "answer to "+uri)
		target.wantOK("/view", get("/view?"+strconv.Itoa(i)), "answer to /view?"+strconv.Itoa(i))
	}
	const few = 2
	if opened := target.accepted() - first; opened > few {
		t.Errorf("%d connections were opened", opened)
	}
}

// Guards against more open connections than a server may hold when many requests that can't be sent again are
// under way at once.
func TestConnectionsOpenAtOnceKeepToWhatIsNeeded(t *testing.T) {
	const atATime = 8
	target := startTarget(t, maxConns, answersOnce(ownBody))
	mostOpen := target.watchOpen()
	target.warmUp(warmUps)
	target.wantAll(numberedRequests(256, ownBody), atATime)
	if most := mostOpen.Load(); most > 2*atATime { // as many idle as in use
		t.Errorf("%d connections were open at once, for %d requests", most, atATime)
	}
}

// watchOpen records the maximum number of open connections, from before the first request on.
func (s *scriptedTarget) watchOpen() *atomic.Int64 {
	most := new(atomic.Int64)
	s.site.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		open := int64(len(s.site.permits)) // including the one for this dial
		for before := most.Load(); open > before && !most.CompareAndSwap(before, open); before = most.Load() {
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	return most
}

// Guards against an unsafe request that ran being lost on a path with many distinct answers followed by identical
// ones.
func TestIdenticalAnswersAfterDistinctOnesAreNotLost(t *testing.T) {
	for _, conns := range []int{1, 4} {
		t.Run(strconv.Itoa(conns), func(t *testing.T) {
			target := startTarget(t, conns, identicalAt("/write"))
			target.warmUp(warmUps)
			target.sendDistinct("/write", 4*distinctRun)
			target.wantIdentical(post("/write", "0"), post("/write", "1"), post("/write", "2"), post("/write", "3"))
		})
	}
}

// Guards against the same when another answer came between the two identical ones, on another connection.
func TestIdenticalAnswersAmongDistinctOnesAreNotLost(t *testing.T) {
	target := startTarget(t, 2, identicalAt("/write"))
	target.warmUp(warmUps)
	target.sendDistinct("/write", distinctRun)
	target.wantIdentical(post("/write", "0"))
	target.sendDistinct("/write", 1)
	target.wantIdentical(post("/write", "1"))
}

// Guards against a duplicate refusal being taken for the next request's, so that this counts as never run, on a
// path that had many distinct answers before.
func TestSecondAnswerThatRefusesOnAKnownPathDoesNotCountAsNeverRun(t *testing.T) {
	const refusal = "HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	target := startTarget(t, 4, withDistinct(func() connectionScript {
		second := false
		return func(r *http.Request) (string, bool) {
			own := withLength(ownBody(r))
			if second && r.URL.Path == "/two" {
				return refusal + own, false
			}
			second = second || r.URL.Path == "/one"
			return own, false
		}
	}))
	target.warmUp(warmUps)
	target.sendDistinct("/two", distinctRun)
	target.wantOK("/one", get("/one"), "answer to /one")
	target.wantOK("/two", post("/two", "move"), "answer to /two")

	h := sampledStats()
	c := scriptedConn(t, h, answering("of one"), refusal+answering("of two"))
	sendOn(t, c, getFrom(1, "/one"), faultDeadline)
	r := post("/two", "move")
	if !mayCarry(c, r) {
		t.Log("it goes out on another connection")
		return
	}
	if o, _ := sendOn(t, c, r, faultDeadline); o.Status == control.Full {
		t.Error("/two ran, and counts as never run")
	}
}
