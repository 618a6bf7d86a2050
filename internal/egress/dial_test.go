package egress

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"junctionring/control"
)

// hangingDials returns a Dial whose first connections never come up. It sends on begun for each dial.
func hangingDials(hanging int) (dial func(context.Context, string, string) (net.Conn, error), begun chan struct{}) {
	begun = make(chan struct{}, maxConns)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		begun <- struct{}{}
		if len(begun) <= hanging {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}, begun
}

// startHangingTarget starts a target whose first connections never come up and fail after the time-out.
func startHangingTarget(t *testing.T, hanging int, timeout time.Duration) (target *scriptedTarget, begun chan struct{}) {
	t.Helper()
	target = startTarget(t, maxConns, answersOnce(ownBody))
	target.site.ConnectTimeout = timeout
	target.site.Dial, begun = hangingDials(hanging)
	return target, begun
}

// Guards against a request failing, or waiting for the whole connect time-out, because one connection does not
// come up in time.
func TestOverdueConnectionDoesNotHoldARequest(t *testing.T) {
	target, _ := startHangingTarget(t, 1, 2*time.Second)
	began := time.Now()
	body, status := target.send(get("/one"), 5*time.Second)
	if took := time.Since(began); status != control.OK || took >= target.site.ConnectTimeout {
		t.Errorf("got %q, %v after %v", body, status, took)
	}
}

// Guards against unlimited dials, and a longer wait, at a server to which no connection comes up.
func TestOverdueDialsAreBounded(t *testing.T) {
	const timeout = time.Second
	target, begun := startHangingTarget(t, maxConns, timeout)
	began := time.Now()
	_, status := target.send(get("/one"), 5*time.Second)
	if took := time.Since(began); status != control.ConnectFailed || took >= 2*timeout {
		t.Errorf("ended with %v after %v", status, took)
	}
	if n := len(begun); n > maxDialsPerConn {
		t.Errorf("%d dials for one request", n)
	}
}

// Guards against a request being told that it could not connect before its own dial has ended, because the dials
// of an earlier request have.
func TestFailedParallelDialsEndNoOtherRequest(t *testing.T) {
	const timeout = time.Second
	target, begun := startHangingTarget(t, maxConns, timeout)
	first := make(chan control.Status)
	go func() {
		_, status := target.send(get("/one"), 5*time.Second)
		first <- status
	}()
	for range 2 { // the second beside the first
		select {
		case <-begun:
		case <-time.After(timeout):
			t.Fatal("no connection is opened beside one that is overdue")
		}
	}
	began := time.Now()
	_, status := target.send(get("/two"), 5*time.Second)
	if took := time.Since(began); status != control.ConnectFailed || took < timeout*9/10 {
		t.Errorf("the second ended with %v after %v", status, took)
	}
	if status := <-first; status != control.ConnectFailed {
		t.Errorf("the first ended with %v", status)
	}
}

// Guards against a request failing, and its target counting as restarted, because one connection is reset as it
// comes up. A target that resets all of them is reported.
func TestConnectionResetAsItComesUpIsOpenedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		resets int
		want   control.Status
	}{"once": {1, control.OK}, "always": {maxConns, control.ConnectFailed}} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, 4, answersOnce(ownBody))
			dials := 0
			target.site.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials <= c.resets {
					return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			if _, status := target.send(post("/one", "move"), 5*time.Second); status != c.want {
				t.Errorf("ended with %v after %d dials", status, dials)
			}
			if dials > 2 {
				t.Errorf("%d dials for one request", dials)
			}
		})
	}
}

// Guards against a request being refused because another target takes the permit of the connection that was closed
// for it.
func TestReplacementGetsTheClosedConnectionsPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipe := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { near.Close(); far.Close() })
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a := &target{
			site:    &site{Options: Options{ConnectTimeout: time.Second, ConnIdle: time.Minute, Dial: pipe}, permits: make(chan struct{}, 1)},
			mailbox: make(chan any, mailboxSize), ctx: ctx, stop: cancel, ready: true,
		}
		a.dialOne() // takes the site's only permit
		a.handle(<-a.mailbox)
		a.idle[0].answered = true
		go func() {
			select {
			case a.site.permits <- struct{}{}: // as another target would, as soon as a permit is free
			case <-ctx.Done():
			}
		}()
		synctest.Wait() // until the goroutine waits for the permit
		next := &connRequest{result: make(chan *conn, 1), unusedOnly: true}
		a.handle(next)
		for a.openings > 0 && len(next.result) == 0 {
			a.handle(<-a.mailbox) // a dialResult; a reuseDue may come before or after it
		}
		if len(next.result) == 0 {
			t.Fatal("it waits, and no connection is being opened")
		}
		if got := <-next.result; got == nil || got.answered {
			t.Errorf("got %+v", got)
		}
	})
}

// Guards against a request that needs an unused connection waiting for a round trip to a target over a link, where
// only used connections are idle.
func TestWarmConnectionsAreUnusedOnes(t *testing.T) {
	a, _, _ := newReusedTarget(t)
	a.site.Warm = 1
	a.site.permits = make(chan struct{}, 4)
	a.site.permits <- struct{}{}
	a.dial()
	if a.openings != 1 {
		t.Errorf("%d connections are being opened", a.openings)
	}
}
