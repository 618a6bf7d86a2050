package counter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/counter"
)

// duplicatingCounter is a counter that answers some calls twice on its first connection. On every other connection it
// answers correctly.
type duplicatingCounter struct {
	net.Listener
	received chan struct{} // one value for each call

	mu     sync.Mutex
	totals map[string]float64
	conns  []net.Conn
}

func newDuplicatingCounter(t *testing.T, first func(*duplicatingCounter, net.Conn)) *duplicatingCounter {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &duplicatingCounter{Listener: l, received: make(chan struct{}, 64), totals: map[string]float64{}}
	var serving sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		s.closeConns()
		serving.Wait()
	})
	serving.Go(func() {
		for serve := first; ; serve = answerOnce {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			serving.Go(func() {
				defer c.Close()
				serve(s, c)
			})
		}
	})
	return s
}

func (s *duplicatingCounter) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

const pong = "pong\r\n"

func answerOnce(s *duplicatingCounter, c net.Conn) {
	for in := bufio.NewScanner(c); in.Scan(); {
		reply := pong
		if in.Text() != "ping" {
			reply = s.add(in.Text())
		}
		io.WriteString(c, reply)
	}
}

// answerEachTwice answers each call twice: the second time when the next call has arrived, right before the answer to
// that call.
func answerEachTwice(s *duplicatingCounter, c net.Conn) {
	duplicate := ""
	for in := bufio.NewScanner(c); in.Scan(); {
		if in.Text() == "ping" {
			io.WriteString(c, pong)
			continue
		}
		reply := s.add(in.Text())
		io.WriteString(c, duplicate+reply)
		duplicate = reply
	}
}

// answerFirstTwice answers the first call twice. It delays every answer until the next call has arrived.
func answerFirstTwice(s *duplicatingCounter, c net.Conn) {
	pending := ""
	for in := bufio.NewScanner(c); in.Scan(); {
		if in.Text() == "ping" {
			pending += pong
			continue
		}
		reply := s.add(in.Text())
		if pending == "" {
			pending = reply + reply
			continue
		}
		io.WriteString(c, pending)
		pending = reply
	}
}

func (s *duplicatingCounter) add(line string) (answer string) {
	var name string
	var amount, ttl float64
	fmt.Sscanf(line, "bump %s %g %g", &name, &amount, &ttl)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totals[name] += amount
	s.received <- struct{}{}
	return fmt.Sprintf("ok %g\r\n", s.totals[name])
}

// Guards against the total of one name being taken for another's when the counter answers a call twice, the second time
// late.
func TestSecondLineIsNotTakenForAnotherName(t *testing.T) {
	s := newDuplicatingCounter(t, answerEachTwice)
	add := startCounter(t, counter.NewLineClient(s.Addr().String(), 5*time.Second))
	if a := <-add(1, 5); a != (answer{control.OK, 5}) {
		t.Fatalf("the first call was answered %v", a)
	}
	if a := <-add(2, 1); a != (answer{status: control.Timeout}) { // its amount was added, but the total is unknown
		t.Errorf("the call on name 2, whose total is 1, ended as %v", a)
	}
	for i := range 10 {
		want := float64(2 + i)
		if a := <-add(2, 1); a != (answer{control.OK, want}) {
			t.Errorf("a later call was answered %v, want %g", a, want)
		}
	}
}

// Guards against every later total going to the wrong name when a call is answered twice and another call is always in
// flight.
func TestLineTooManyDoesNotShiftTheTotalsBehind(t *testing.T) {
	s := newDuplicatingCounter(t, answerFirstTwice)
	add := startCounter(t, counter.NewLineClient(s.Addr().String(), 5*time.Second))
	var calls []chan answer
	for i := range 8 {
		calls = append(calls, add(uint64(i), float64(i+1)))
		<-s.received
	}
	for i, call := range calls[:len(calls)-1] { // the answer to the last one may still be delayed
		if a := <-call; a.status == control.OK && a.total != float64(i+1) {
			t.Errorf("the call on name %d, whose total is %d, was answered %v", i, i+1, a)
		}
	}
}

// Guards against an unsolicited line being taken for the answer to the next call.
func TestUnaskedLineEndsTheConnection(t *testing.T) {
	s := newFakeCounter(t)
	add := startCounter(t, counter.NewLineClient(s.Addr().String(), 5*time.Second))
	c := <-s.conns
	io.WriteString(c, "ok 5\r\n")
	c = <-s.conns
	call := add(1, 1)
	<-s.lines
	io.WriteString(c, "ok 1\r\n")
	if a := <-call; a != (answer{control.OK, 1}) {
		t.Errorf("the call was answered %v", a)
	}
}
