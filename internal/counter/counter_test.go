package counter_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/counter"
	"junctionring/internal/standin"
)

type answer struct {
	status control.Status
	total  float64
}

// counterClient is a counter of either kind.
type counterClient interface {
	Add(uint64, float64, time.Duration, func(control.Status, float64)) bool
	Run(context.Context)
}

func startCounter(t *testing.T, c counterClient) func(name uint64, amount float64) chan answer {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return func(name uint64, amount float64) chan answer {
		t.Helper()
		got := make(chan answer, 2)
		if !c.Add(name, amount, 4*time.Second, func(s control.Status, total float64) { got <- answer{s, total} }) {
			t.Fatal("the counter did not accept the call")
		}
		return got
	}
}

// fakeCounter accepts connections on which a test writes the answers to calls. It answers pings itself, each in its place
// among the calls.
type fakeCounter struct {
	net.Listener
	lines chan string
	conns chan net.Conn
}

// fakeCounterConn is a connection of a fakeCounter. A test writes the answers to calls on it.
type fakeCounterConn struct {
	net.Conn

	mu       sync.Mutex
	calls    int   // received
	answered int   // lines written by the test
	pings    []int // for each one without an answer yet, the number of calls before it
}

func (c *fakeCounterConn) received(line string) (isCall bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if line != "ping" {
		c.calls++
		return true
	}
	c.pings = append(c.pings, c.calls)
	c.answerPings()
	return false
}

// answerPings answers the pings whose turn has come. The caller holds c.mu.
func (c *fakeCounterConn) answerPings() {
	for len(c.pings) > 0 && c.pings[0] <= c.answered {
		c.pings = c.pings[1:]
		io.WriteString(c.Conn, "pong\r\n")
	}
}

// Write writes answers to calls and, in their places between these, answers to pings.
func (c *fakeCounterConn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for line := range bytes.Lines(b) {
		if _, err := c.Conn.Write(line); err != nil {
			return n, err
		}
		n += len(line)
		c.answered += bytes.Count(line, []byte("\n"))
		c.answerPings()
	}
	return n, nil
}

func newFakeCounter(t *testing.T) *fakeCounter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeCounter{l, make(chan string, 64), make(chan net.Conn, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := &fakeCounterConn{Conn: nc}
			s.conns <- c
			go func() {
				for in := bufio.NewScanner(c); in.Scan(); {
					if c.received(in.Text()) {
						s.lines <- in.Text()
					}
				}
			}()
		}
	}()
	return s
}

// Guards against the late answer to a call that timed out being taken for the answer to the next call: the call must keep
// its place in the pipeline.
func TestLateAnswerIsReadOff(t *testing.T) {
	s := newFakeCounter(t)
	add := startCounter(t, counter.NewLineClient(s.Addr().String(), 50*time.Millisecond))
	c := <-s.conns
	first := add(7, 2.5)
	if line := <-s.lines; line != "bump 7 2.5 4000" {
		t.Errorf("the counter received %q", line)
	}
	if a := <-first; a.status != control.Timeout { // it may have been added
		t.Errorf("an unanswered call ended as %v", a)
	}
	second := add(8, 1)
	<-s.lines
	io.WriteString(c, "ok 2.5\r\nok 41\r\n")
	if a := <-second; a != (answer{control.OK, 41}) {
		t.Errorf("the second call was answered %v", a)
	}
	busy, wrong := add(9, 1), add(9, 0)
	<-s.lines
	<-s.lines
	io.WriteString(c, "busy\r\nerror\r\n")
	if a, b := <-busy, <-wrong; a.status != control.Full || b.status != control.Full {
		t.Errorf("rejected calls ended as %v, %v", a, b)
	}
	if len(first) != 0 {
		t.Error("one call was reported twice")
	}
}

// A broken connection leaves the calls in flight on it in doubt, and the next call is sent on a new connection. A call
// on a counter that cannot be reached adds nothing.
func TestCounterBreaksAndIsGone(t *testing.T) {
	s := newFakeCounter(t)
	add := startCounter(t, counter.NewLineClient(s.Addr().String(), 5*time.Second))
	c := <-s.conns
	pending := add(7, 1)
	<-s.lines
	c.Close()
	if a := <-pending; a.status != control.Timeout {
		t.Errorf("a call on a broken connection ended as %v", a)
	}
	c = <-s.conns
	again := add(7, 1)
	<-s.lines
	io.WriteString(c, "ok 1\r\n")
	if a := <-again; a != (answer{control.OK, 1}) {
		t.Errorf("the call after the break was answered %v", a)
	}
	s.Close()
	c.Close()
	for {
		if a := <-add(7, 1); a.status == control.ConnectFailed {
			break
		} else if a.status != control.Timeout { // written just as the connection broke
			t.Fatalf("a call on an unreachable counter ended as %v", a)
		}
	}
}

// Consecutive calls are written in order over one connection, without waiting for answers.
func TestCallsArePipelined(t *testing.T) {
	s := newFakeCounter(t)
	add := startCounter(t, counter.NewLineClient(s.Addr().String(), 5*time.Second))
	c := <-s.conns
	var calls []chan answer
	for i := range 5 {
		calls = append(calls, add(uint64(i), 1))
	}
	for i := range calls { // all arrive before any is answered
		if line := <-s.lines; !strings.HasPrefix(line, "bump "+string(rune('0'+i))+" ") {
			t.Errorf("call %d arrived as %q", i, line)
		}
	}
	io.WriteString(c, "ok 10\r\nok 11\r\nok 12\r\nok 13\r\nok 14\r\n")
	for i, call := range calls {
		if a := <-call; a != (answer{control.OK, float64(10 + i)}) {
			t.Errorf("call %d was answered %v", i, a)
		}
	}
}

// On Redis a name gets its time to live when it is new. A call whose answer is lost is in doubt and not sent again.
func TestRedis(t *testing.T) {
	s := newRedis(t)
	add := startCounter(t, counter.NewRedis(s.Addr(), 5*time.Second))
	for i, want := range []float64{2.5, 5} {
		if a := <-add(7, 2.5); a != (answer{control.OK, want}) {
			t.Errorf("add %d was answered %v", i, a)
		}
	}
	if ttls := s.Life(); len(ttls) != 1 || ttls[0] > 4*time.Second || ttls[0] <= 0 {
		t.Errorf("times to live are %v, want one of at most 4 s", ttls)
	}
	s.Empty()
	if a := <-add(7, 1); a != (answer{control.OK, 1}) {
		t.Errorf("a call on an emptied store was answered %v", a)
	}
	short := startCounter(t, counter.NewRedis(s.Addr(), 100*time.Millisecond))
	<-short(8, 0) // it opens its connection
	s.Silence()
	if a := <-short(8, 1); a.status != control.Timeout {
		t.Errorf("a call on a silent store ended as %v", a)
	}
	awaitSum(t, s, 7)
	if sum := s.Sum(); sum != 7 { // 5, 1, and the call in doubt, added once
		t.Errorf("%g units were added, want 7", sum)
	}
	absent := startCounter(t, counter.NewRedis("127.0.0.1:1", 5*time.Second))
	if a := <-absent(8, 1); a.status != control.ConnectFailed {
		t.Errorf("a call on an unreachable store ended as %v", a)
	}
}

// After a change of address new calls go to the new address at once. A call in flight at the old address still counts
// when it is answered, and is in doubt when its connection is closed.
func TestCounterMoves(t *testing.T) {
	first, second := newFakeCounter(t), newFakeCounter(t)
	line := counter.NewLineClient(first.Addr().String(), 5*time.Second)
	add := startCounter(t, line)
	old := <-first.conns
	answered, cut := add(7, 1), add(8, 1)
	<-first.lines
	<-first.lines
	line.SetAddress(second.Addr().String())
	c := <-second.conns
	late := add(9, 1)
	<-second.lines
	io.WriteString(c, "ok 3\r\n")
	if a := <-late; a != (answer{control.OK, 3}) {
		t.Errorf("the call at the new address was answered %v", a)
	}
	io.WriteString(old, "ok 2\r\n")
	if a := <-answered; a != (answer{control.OK, 2}) {
		t.Errorf("the call at the old address was answered %v", a)
	}
	old.Close()
	if a := <-cut; a.status != control.Timeout {
		t.Errorf("the call cut at the old address ended as %v", a)
	}
	if len(first.conns) != 0 {
		t.Error("the old address was dialled again")
	}
}

// A line that is not exactly an answer leaves its call and the calls after it in doubt. The connection is closed, and the
// next call is sent on another.
func TestSpoiltAnswerIsInDoubt(t *testing.T) {
	for name, malformed := range map[string]string{
		"noise": "\x80\xff\x00\r\n", "no total": "ok\r\n", "a word": "ok many\r\n", "not a number": "ok nan\r\n",
		"without end": "ok inf\r\n", "hex": "ok 0x10\r\n", "out of range": "ok 1e999\r\n", "more behind": "busy now\r\n",
		"line feed": "busy\n", "another's answer": "pong\r\n", "half a line": "\x80 ok 4", "long": strings.Repeat("o", 4096),
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeCounter(t)
			add := startCounter(t, counter.NewLineClient(s.Addr().String(), 5*time.Second))
			c := <-s.conns
			first, behind := add(7, 1), add(8, 1)
			<-s.lines
			<-s.lines
			io.WriteString(c, malformed)
			if a, b := <-first, <-behind; a.status != control.Timeout || b.status != control.Timeout {
				t.Errorf("ended as %v and %v", a, b)
			}
			c = <-s.conns
			next := add(9, 1)
			<-s.lines
			io.WriteString(c, "ok 1.25e+03\r\n")
			if a := <-next; a != (answer{control.OK, 1250}) {
				t.Errorf("the next call was answered %v", a)
			}
		})
	}
}

func newRedis(t *testing.T) *standin.Store {
	t.Helper()
	s, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func awaitSum(t *testing.T, s *standin.Store, sum float64) {
	t.Helper()
	if err := s.AwaitSum(sum, 10*time.Second); err != nil {
		t.Fatal(err)
	}
}
