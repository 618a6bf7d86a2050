package egress

import (
	"context"
	"net"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// endedContext is the context of an attempt that ends just as its connection comes: a select on both gets the
// connection.
type endedContext struct {
	context.Context
	err error
}

func (c endedContext) Done() <-chan struct{} { return nil }
func (c endedContext) Err() error            { return c.err }

// An attempt whose deadline has passed, whose client is gone, or whose key is no longer known when its connection
// comes up is not sent, and reports that it never was. The next attempt gets the connection.
func TestLateConnectionIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		ctx    context.Context
		before time.Time
		want   control.Status
	}{
		{"called off", endedContext{context.Background(), context.Canceled}, time.Time{}, control.Cancelled},
		{"out of time", endedContext{context.Background(), context.DeadlineExceeded}, time.Time{}, control.ConnectFailed},
		{"behind its window", context.Background(), time.Unix(1, 0), control.NotSent},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			f := NewFleet(Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: 1})
			f.Update(core.Table{Targets: []core.Target{{Member: control.Member{Server: "s", State: control.Ready}, Address: l.Addr().String()}}})
			defer f.remove("s")
			target := f.targets["s"].target
			first := make(chan string, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				b := make([]byte, 256)
				n, _ := conn.Read(b)
				first <- string(b[:n])
				conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				conn.Read(b)
			}()
			ask := func(ctx context.Context, path string, before time.Time) core.Outcome {
				return target.exchange(core.Attempt{Ctx: ctx, SendBefore: before,
					Payload: &Request{Method: "GET", Head: []byte("GET " + path + " HTTP/1.1\r\nHost: t\r\n")}})
			}
			if o := ask(c.ctx, "/gone", c.before); o.Status != c.want || o.Written {
				t.Errorf("ended with %v, written %t", o.Status, o.Written)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if o := ask(ctx, "/next", time.Now().Add(time.Hour)); o.Status != control.OK {
				t.Errorf("the next attempt ended with %v", o.Status)
			}
			if text := <-first; text[:9] != "GET /next" {
				t.Errorf("the target got %q first", text)
			}
		})
	}
}

// newReusedTarget returns a target's actor, not running, with one connection that has just been used.
func newReusedTarget(t *testing.T) (a *target, c *conn, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	a = &target{
		site:    &site{Options: Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: 1}, permits: make(chan struct{}, 1)},
		mailbox: make(chan any, mailboxSize), ctx: ctx, stop: cancel, ready: true, process: process{address: l.Addr().String()},
	}
	req := &connRequest{result: make(chan *conn, 1)}
	a.handle(req)
	a.handle(<-a.mailbox) // a dialResult
	if c = <-req.result; c == nil {
		t.Fatal("no connection")
	}
	t.Cleanup(func() { c.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	// However slow the machine is, the reuse delay is not over yet.
	c.lastUsed, c.answered, c.answerTime = time.Now().Add(time.Hour), true, time.Second
	a.handle(connReleased{c})
	return a, c, far
}

// Guards against a second answer that comes some milliseconds after the first being taken for that of the next
// request: the connection stays idle first, and the second answer shows meanwhile.
func TestSecondAnswerIsNotReadByTheNextRequest(t *testing.T) {
	a, c, far := newReusedTarget(t)
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	select {
	case <-next.result:
		t.Fatal("the connection is used again before a second answer could show")
	default:
	}
	far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")) // on loopback it can be read at once
	c.lastUsed = time.Now().Add(-maxReuseDelay)
	a.handle(reuseDue{})
	if _, err := c.Write(nil); err == nil {
		t.Error("the connection with an answer on it is still open")
	}
	a.handle(<-a.mailbox) // a dialResult
	if got := <-next.result; got == nil || got == c {
		t.Errorf("got %v instead of a fresh connection", got)
	}
}

// A connection without unread bytes after its reuse delay is used again, and no other one is opened for the
// request that waits for it.
func TestConnectionIsReusedAfterDelay(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	c.lastUsed = time.Now()
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) == 0 { // else the machine has delayed the test for that long
		a.handle(<-a.mailbox)
	}
	if got := <-next.result; got != c {
		t.Errorf("got %v", got)
	}
	if rest := time.Since(c.lastUsed); rest < maxReuseDelay {
		t.Errorf("it was idle for only %v", rest)
	}
	if a.permitsHeld != 1 || a.openings != 0 {
		t.Errorf("%d open, %d dialling", a.permitsHeld, a.openings)
	}
}

// A target that answers quickly is not held up by reuse delays that take longer than its answers.
func TestReuseDelayFollowsAnswerTime(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	for range 100 {
		c.answerTime = time.Millisecond
		a.handle(connReleased{<-acquireReused(a, c)})
	}
	if rest := a.reuseDelay(); rest > time.Millisecond/reuseDelayDivisor*11/10 {
		t.Errorf("the reuse delay is %v", rest)
	}
}

// acquireReused acquires the connection after its reuse delay.
func acquireReused(a *target, c *conn) chan *conn {
	c.lastUsed = time.Now().Add(-maxReuseDelay)
	req := &connRequest{result: make(chan *conn, 1)}
	a.handle(req)
	return req.result
}

// Many open connections mean a load that reuse delays would hold up: each is used again at once.
func TestManyConnectionsAreReusedAtOnce(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	a.permitsHeld += maxDelayedConns
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) == 0 || <-next.result != c {
		t.Error("the request waits")
	}
}

// newTargetWithTwoConns is newReusedTarget with a second connection, used after the first, at a target with many
// open connections.
func newTargetWithTwoConns(t *testing.T) (a *target, first, second *conn, far net.Conn) {
	t.Helper()
	a, first, far = newReusedTarget(t)
	near, other := net.Pipe()
	t.Cleanup(func() { near.Close(); other.Close() })
	a.site.permits, a.permitsHeld = make(chan struct{}, 2*maxDelayedConns), maxDelayedConns+1
	for range a.permitsHeld {
		a.site.permits <- struct{}{}
	}
	second = newConn(near, a.process, &a.stats)
	second.answered, second.lastUsed = true, first.lastUsed.Add(time.Millisecond)
	a.idle = append(a.idle, second)
	return a, first, second, far
}

// If many connections are open and no reuse delay is over, the longest idle one is used, and no request waits.
func TestManyConnectionsUseTheLongestIdleOne(t *testing.T) {
	a, first, _, _ := newTargetWithTwoConns(t)
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) == 0 {
		t.Fatal("the request waits")
	}
	if got := <-next.result; got != first {
		t.Error("the connection that was used last is used again")
	}
}

// A target that has sent unsolicited bytes has the reuse of all its connections delayed, many or few, and others
// are opened meanwhile; some seconds later it is treated as before.
func TestSecondAnswerDelaysReuseOfAllConnections(t *testing.T) {
	a, first, second, far := newTargetWithTwoConns(t)
	far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")) // on loopback it can be read at once
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) > 0 {
		t.Fatal("a connection is used again before its reuse delay is over")
	}
	if _, err := first.Write(nil); err == nil {
		t.Error("the connection with an answer on it is still open")
	}
	if a.openings != 1 {
		t.Errorf("%d connections are being opened for the one that waits", a.openings)
	}
	a.lastUnsolicited = time.Now().Add(-unsolicitedWindow)
	a.handle(reuseDue{})
	if len(next.result) == 0 || <-next.result != second {
		t.Error("the request still waits")
	}
	if a.reuseDelay() > maxReuseDelay {
		t.Errorf("the reuse delay is %v", a.reuseDelay())
	}
}

// Guards against the next request waiting for a handshake after a connection was closed only because of a refusal.
func TestRefusedConnectionIsReplacedAtOnce(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	a.idle = nil // its attempt is under way
	c.Close()
	a.handle(connClosed{answered: true, openReplacement: true})
	if a.permitsHeld != 1 || a.openings != 1 {
		t.Fatalf("%d open, %d dialling", a.permitsHeld, a.openings)
	}
	a.handle(<-a.mailbox) // a dialResult
	if len(a.idle) != 1 || a.idle[0].answered {
		t.Errorf("idle: %+v", a.idle)
	}
	a.idle[0].Close()
}

// Guards against connections that only equal requests can use displacing those that any request can use.
func TestOneEqualOnlyConnectionIsKeptIdle(t *testing.T) {
	a, first, second, _ := newTargetWithTwoConns(t)
	first.equalOnly, first.onlyRequest = true, 1
	a.idle = a.idle[:1] // second's attempt is under way
	second.equalOnly, second.onlyRequest = true, 2
	a.handle(connReleased{second})
	if len(a.idle) != 1 || a.idle[0] != second {
		t.Errorf("idle: %+v", a.idle)
	}
	if _, err := first.Write(nil); err == nil {
		t.Error("the one before is still open")
	}
}
