package egress

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"junctionring/control"
)

func post(uri, body string) *Request {
	return Encode(http.MethodPost, uri, "t", http.Header{}, []byte(body), nil)
}

// teach has n unsafe requests of a path answered, each in its own way.
func (s *scriptedTarget) teach(path string, n int) {
	s.t.Helper()
	for range n {
		s.taught++
		uri := path + "?" + distinctQuery + strconv.Itoa(s.taught)
		s.wantOK(uri, post(uri, "move"), "answer to "+uri)
	}
}

// alikeAt answers all requests to a path alike, and others each in its own way.
func alikeAt(path string) func() connectionScript {
	return answersOnce(func(r *http.Request) string {
		if r.URL.Path == path && r.URL.RawQuery == "" {
			return "ok"
		}
		return ownBody(r)
	})
}

// wantAlike sends requests that are all answered alike, and none of whose answers may be lost.
func (s *scriptedTarget) wantAlike(requests ...*Request) {
	s.t.Helper()
	for i, r := range requests {
		if body, status := s.send(r, faultyWait); body != "ok" || status != control.OK {
			s.t.Errorf("request %d, which ran, ended with %q, %v", i, body, status)
		}
	}
}

// Guards against an unsafe request being lost on a path answered alike, since other paths are answered each in its own way.
func TestAlikeAnswerBehindPathsOfDistinctOnesIsNotLost(t *testing.T) {
	target := startTarget(t, 1, alikeAt("/write"))
	target.warmUp(warmUps)
	for i := range 64 {
		target.teach("/other/"+strconv.Itoa(i), 1)
	}
	target.teach("/another", 2*distinctFrom)
	target.wantAlike(post("/write", "0"), post("/write", "1"), post("/write", "2"))
}

// Guards against a keyed request being lost whose body was still coming in, and so can't be sent again.
func TestAlikeAnswerToAKeyedUploadIsNotLost(t *testing.T) {
	target := startTarget(t, 1, alikeAt("/write"))
	target.warmUp(warmUps)
	keyed := func(key string) *Request {
		return Encode(http.MethodPost, "/write", "t", http.Header{"Idempotency-Key": {key}}, []byte("begins"),
			&Upload{Length: -1, Next: strings.NewReader(key).Read})
	}
	target.wantAlike(keyed("a"), keyed("b"), keyed("c"))
}

// Guards against a handshake for each unsafe request where answers differ: on one path, and on paths of one template.
func TestUnsafeRequestsUseFewConnectionsOnceTheirPathIsKnown(t *testing.T) {
	const few = 2 // so that none follows the one before on its connection
	for name, uri := range map[string]func(i int) string{
		"one path":    func(i int) string { return "/write?" + strconv.Itoa(i) },
		"identifiers": func(i int) string { return "/orders/" + strconv.Itoa(i) + "/lines" },
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, 4, answersOnce(ownBody))
			target.warmUp(warmUps)
			first := target.accepted()
			for i := range distinctFrom + 64 {
				target.wantOK(uri(i), post(uri(i), "move"), "answer to "+uri(i))
			}
			if opened := target.accepted() - first; opened > distinctFrom+few {
				t.Errorf("%d connections were opened", opened)
			}
		})
	}
}

// Guards against a handshake for each upload to a path of which only requests that can be repeated tell.
func TestKeyedRequestsTellOfUploadsToTheirPath(t *testing.T) {
	const few = 2
	target := startTarget(t, 4, answersOnce(ownBody))
	target.warmUp(warmUps)
	keyed := func(i int, rest *Upload) (uri string, r *Request) {
		uri = "/write?" + strconv.Itoa(i)
		return uri, Encode(http.MethodPost, uri, "t", http.Header{"Idempotency-Key": {uri}}, []byte("begins"), rest)
	}
	for i := range distinctFrom {
		uri, r := keyed(i, nil)
		target.wantOK(uri, r, "answer to "+uri)
	}
	first := target.accepted()
	for i := range 16 {
		uri, r := keyed(distinctFrom+i, &Upload{Length: -1, Next: strings.NewReader("rest").Read})
		target.wantOK(uri, r, "answer to "+uri)
	}
	if opened := target.accepted() - first; opened > few {
		t.Errorf("%d connections were opened", opened)
	}
}

// Guards against the answers to repeats of one request counting as different ones.
func TestRepeatsDoNotCountAsDistinctAnswers(t *testing.T) {
	now := time.Now()
	p := newPathAnswers()
	for range 2 * distinctFrom {
		p.note(1, 1, false, now)
	}
	if p.mayShare(1, nil, now) {
		t.Error("one answer counts as many")
	}
}

// Guards against an alike answer being forgotten, or a path never being used again for it.
func TestAlikeAnswerTakesMoreDistinctOnesEachTime(t *testing.T) {
	now := time.Now()
	p := newPathAnswers()
	answer := fingerprint(0)
	note := func(n int, alike bool) {
		for range n {
			answer++
			p.note(1, answer, alike, now)
		}
	}
	for alike, wanted := range []int{8, 32, 64, 128, 256, 512, 1024, 1024} {
		note(wanted-1, false)
		if p.mayShare(1, nil, now) {
			t.Errorf("after %d alike answers, %d distinct ones suffice", alike, wanted-1)
		}
		note(1, false)
		if !p.mayShare(1, nil, now) {
			t.Errorf("after %d alike answers, %d distinct ones do not suffice", alike, wanted)
		}
		note(1, true)
	}
}

// Guards against what was learned long ago being taken for what holds now.
func TestPathIsForgottenWithoutAnswers(t *testing.T) {
	now := time.Now()
	p := newPathAnswers()
	for i := range distinctFrom {
		p.note(1, fingerprint(1+i), false, now)
	}
	if !p.mayShare(1, nil, now.Add(countedFor)) || p.mayShare(1, nil, now.Add(countedFor+1)) {
		t.Errorf("it is not kept for just %v", countedFor)
	}
	p.note(1, 1, false, now.Add(countedFor+1))
	if p.mayShare(1, nil, now.Add(countedFor+1)) {
		t.Error("one answer brings back what was forgotten")
	}
}

// Guards against memory that grows with the number of paths.
func TestManyPathsTakeNoMemory(t *testing.T) {
	const most = 1 << 20
	p := newPathAnswers()
	note := func(from, to int) {
		for i := from; i < to; i++ {
			p.note(fingerprint(i), fingerprint(i), false, time.Now())
		}
	}
	note(1, 1001)
	before := heapInUse()
	note(1001, 11001)
	if after := heapInUse(); after > before+most {
		t.Errorf("the heap grew from %d to %d bytes", before, after)
	}
	if kept := p.counts.Len(); kept > pathsKept {
		t.Errorf("%d paths are kept", kept)
	}
}

// Guards against an unsafe request that ran being lost on a path of whose answers many differed before, and then are alike.
func TestAlikeAnswersBehindDistinctOnesAreNotLost(t *testing.T) {
	for _, conns := range []int{1, 4} {
		t.Run(strconv.Itoa(conns), func(t *testing.T) {
			target := startTarget(t, conns, alikeAt("/write"))
			target.warmUp(warmUps)
			target.teach("/write", 4*distinctFrom)
			target.wantAlike(post("/write", "0"), post("/write", "1"), post("/write", "2"), post("/write", "3"))
		})
	}
}

// Guards against the same where another answer came between the two that are alike, on another connection.
func TestAlikeAnswersAmongDistinctOnesAreNotLost(t *testing.T) {
	target := startTarget(t, 2, alikeAt("/write"))
	target.warmUp(warmUps)
	target.teach("/write", distinctFrom)
	target.wantAlike(post("/write", "0"))
	target.teach("/write", 1)
	target.wantAlike(post("/write", "1"))
}

// Guards against a second answer that refuses saying of the next request that it never ran, on a path of whose answers many
// differed before.
func TestSecondAnswerThatRefusesOnAKnownPathDoesNotCountAsNeverRun(t *testing.T) {
	h := knowing()
	next := post("/two", "move").question(control.Unsafe)
	for i := range distinctFrom {
		h.memory.learnFrom(next, fingerprint(5000+i), time.Now())
	}
	c := scriptedConn(t, h, of("of one"), "HTTP/1.1 504 Late\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"+of("of two"))
	asked(t, c, by(1, "/one"), faultyWait)
	r := post("/two", "move")
	if !goesOn(c, r) {
		t.Fatal("it goes out on another connection")
	}
	if o, _ := asked(t, c, r, faultyWait); o.Status == control.Full {
		t.Error("/two ran, and counts as never run")
	}
}
