package egress

import (
	"context"
	"net"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// over is the context of an attempt that ends just as its connection comes: whoever waits for both sees the
// connection.
type endedContext struct {
	context.Context
	err error
}

func (c endedContext) Done() <-chan struct{} { return nil }
func (c endedContext) Err() error            { return c.err }

// An attempt whose time or client is gone when its connection comes up, or whose key is no longer known, is not sent,
// and says that it never was; the next one has the connection.
func TestLateConnectionIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		ctx    context.Context
		before time.Time
		want   control.Status
	}{
		{"called off", endedContext{context.Background(), context.Canceled}, time.Time{}, control.Cancelled},
		{"out of time", endedContext{context.Background(), context.DeadlineExceeded}, time.Time{}, control.ConnectFailed},
		{"behind its window", context.Background(), time.Unix(1, 0), control.Moot},
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
				return target.exchange(core.Attempt{Ctx: ctx, Before: before,
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

// reused is a target's actor, not running, with one connection that has just been used.
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
		mailbox: make(chan any, mailboxSize), ctx: ctx, stop: cancel, ready: true, address: l.Addr().String(),
	}
	req := &connRequest{result: make(chan *conn, 1)}
	a.handle(req)
	a.handle(<-a.mailbox) // dialed
	if c = <-req.result; c == nil {
		t.Fatal("no connection")
	}
	t.Cleanup(func() { c.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	c.lastUsed, c.answered, c.answerTime = time.Now().Add(time.Hour), true, time.Second // however slow this machine is, it has not rested yet
	a.handle(connReleased{c})
	return a, c, far
}

// A second answer that comes some milliseconds behind the first is not taken for that of the next request: the
// connection rests first, and the answer shows meanwhile.
func TestSecondAnswerIsNotReadByTheNextRequest(t *testing.T) {
	a, c, far := newReusedTarget(t)
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	select {
	case <-next.result:
		t.Fatal("the connection is used again before a second answer could show")
	default:
	}
	far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")) // on loopback it lies there at once
	c.lastUsed = time.Now().Add(-maxReuseDelay)
	a.handle(reuseDue{})
	if _, err := c.Write(nil); err == nil {
		t.Error("the connection with an answer on it is still open")
	}
	a.handle(<-a.mailbox) // dialed
	if got := <-next.result; got == nil || got == c {
		t.Errorf("got %v instead of a fresh connection", got)
	}
}

// A connection that has rested with nothing on it is used again, with no other one opened for whoever waits for it.
func TestConnectionIsReusedAfterDelay(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	c.lastUsed = time.Now()
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) == 0 { // else this machine has held the test up for so long
		a.handle(<-a.mailbox)
	}
	if got := <-next.result; got != c {
		t.Errorf("got %v", got)
	}
	if rest := time.Since(c.lastUsed); rest < maxReuseDelay {
		t.Errorf("it rested for %v", rest)
	}
	if a.open != 1 || a.dialing != 0 {
		t.Errorf("%d open, %d dialling", a.open, a.dialing)
	}
}

// A target that answers quickly is not held up by rests that take longer than its answers.
func TestReuseDelayFollowsAnswerTime(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	for range 100 {
		c.answerTime = time.Millisecond
		a.handle(connReleased{<-acquireReused(a, c)})
	}
	if rest := a.reuseDelay(); rest > time.Millisecond/reuseDelayDivisor*11/10 {
		t.Errorf("it rests for %v", rest)
	}
}

// leased hands a rested connection out.
func acquireReused(a *target, c *conn) chan *conn {
	c.lastUsed = time.Now().Add(-maxReuseDelay)
	req := &connRequest{result: make(chan *conn, 1)}
	a.handle(req)
	return req.result
}

// Many connections are a load that rests would hold up: there each is used again at once.
func TestManyConnectionsAreReusedAtOnce(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	a.open += maxDelayedConns
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) == 0 || <-next.result != c {
		t.Error("it is held back")
	}
}

// two is reused with a second connection that has been used after the first, and a target that has many.
func newTargetWithTwoConns(t *testing.T) (a *target, first, second *conn, far net.Conn) {
	t.Helper()
	a, first, far = newReusedTarget(t)
	near, other := net.Pipe()
	t.Cleanup(func() { near.Close(); other.Close() })
	a.site.permits, a.open = make(chan struct{}, 2*maxDelayedConns), maxDelayedConns+1
	for range a.open {
		a.site.permits <- struct{}{}
	}
	second = newConn(near, a.address, &a.stats)
	second.answered, second.lastUsed = true, first.lastUsed.Add(time.Millisecond)
	a.idle = append(a.idle, second)
	return a, first, second, far
}

// Where there are many connections that have not rested, the one that has rested longest is used, and none is waited for.
func TestManyConnectionsUseTheLongestIdleOne(t *testing.T) {
	a, first, _, _ := newTargetWithTwoConns(t)
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) == 0 {
		t.Fatal("it is held back")
	}
	if got := <-next.result; got != first {
		t.Error("the connection that was used last is used again")
	}
}

// A target that has sent something unasked has all its connections rest, many or few, and others are opened meanwhile;
// some seconds later it is as before.
func TestSecondAnswerDelaysReuseOfAllConnections(t *testing.T) {
	a, first, second, far := newTargetWithTwoConns(t)
	far.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")) // on loopback it lies there at once
	next := &connRequest{result: make(chan *conn, 1)}
	a.handle(next)
	if len(next.result) > 0 {
		t.Fatal("a connection is used again that has not rested")
	}
	if _, err := first.Write(nil); err == nil {
		t.Error("the connection with an answer on it is still open")
	}
	if a.dialing != 1 {
		t.Errorf("%d connections are being opened for the one that waits", a.dialing)
	}
	a.lastUnsolicited = time.Now().Add(-unsolicitedWindow)
	a.handle(reuseDue{})
	if len(next.result) == 0 || <-next.result != second {
		t.Error("it is still held back")
	}
	if a.reuseDelay() > maxReuseDelay {
		t.Errorf("it rests for %v", a.reuseDelay())
	}
}

// Guards against the next request waiting for a handshake where a connection was given up for a refusal alone.
func TestRefusedConnectionIsReplacedAtOnce(t *testing.T) {
	a, c, _ := newReusedTarget(t)
	a.idle = nil // its attempt is out
	c.Close()
	a.handle(connClosed{answered: true, replace: true})
	if a.open != 1 || a.dialing != 1 {
		t.Fatalf("%d open, %d dialling", a.open, a.dialing)
	}
	a.handle(<-a.mailbox) // dialed
	if len(a.idle) != 1 || a.idle[0].answered {
		t.Errorf("idle: %+v", a.idle)
	}
	a.idle[0].Close()
}

// Guards against connections of use for one request alone taking the place of those that any request may use.
func TestOneEqualOnlyConnectionIsKeptIdle(t *testing.T) {
	a, first, second, _ := newTargetWithTwoConns(t)
	first.equalOnly, first.onlyRequest = true, 1
	a.idle = a.idle[:1] // second's attempt is out
	second.equalOnly, second.onlyRequest = true, 2
	a.handle(connReleased{second})
	if len(a.idle) != 1 || a.idle[0] != second {
		t.Errorf("idle: %+v", a.idle)
	}
	if _, err := first.Write(nil); err == nil {
		t.Error("the one before is still open")
	}
}
