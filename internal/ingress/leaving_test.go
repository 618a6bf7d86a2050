package ingress_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/egress"
	"junctionring/internal/telemetry"
)

// holds waits until the front holds so many requests.
func awaitHeldRequests(t *testing.T, metrics *telemetry.Figures, n int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); metrics.Concurrent.Load() != n; runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are held, want %d", metrics.Concurrent.Load(), n)
		}
	}
}

// leavings are the ways in which a client leaves that has sent a whole request.
var disconnects = []struct {
	name string
	run  func(c *net.TCPConn)
}{
	{"end", func(c *net.TCPConn) { c.Close() }},
	{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
	{"half-close", func(c *net.TCPConn) { c.CloseWrite() }},
	{"a byte, then end", func(c *net.TCPConn) { io.WriteString(c, "G"); c.Close() }},
	{"a byte, then reset", func(c *net.TCPConn) { io.WriteString(c, "G"); c.SetLinger(0); c.Close() }},
	{"a byte, then half-close", func(c *net.TCPConn) { io.WriteString(c, "G"); c.CloseWrite() }},
	{"a whole request more, then end", func(c *net.TCPConn) { io.WriteString(c, withID(viewRequest, 900)); c.Close() }},
	{"a large part of one more, then end", func(c *net.TCPConn) {
		io.WriteString(c, strings.Replace(withID(moveRequest, 901), "Content-Length: 4", "Content-Length: 60000", 1)+strings.Repeat("x", 30000))
		c.Close()
	}},
	{"empty lines, then end", func(c *net.TCPConn) { io.WriteString(c, "\r\n\r\n"); c.Close() }},
}

// A client that leaves while its request waits for a connection has it dropped, however it leaves, on a fresh
// connection or one that was used before, with a body or without: it is gone from the gateway while what it waits for
// is still held, so it can't be sent on later. Nor where the settings do not allow that what is out is called off.
func TestWhoLeftIsNotSentOn(t *testing.T) {
	uncancelled := limits
	uncancelled.Cancel = false
	checkQueuedRequestIsDropped(t, "called off", limits)
	checkQueuedRequestIsDropped(t, "not called off", uncancelled)
}

func checkQueuedRequestIsDropped(t *testing.T, name string, limits control.Limits) {
	n := 0
	for _, disconnect := range disconnects {
		for _, reused := range []bool{false, true} {
			for _, message := range []string{viewRequest, moveRequest} {
				n++
				t.Run(fmt.Sprintf("%s, %s, reused %t, %s", name, disconnect.name, reused, message[:4]), func(t *testing.T) {
					p := newTestServer(t)
					metrics := telemetry.New("svc")
					address, c, _ := startWithLimits(t, 64, egress.NewFleet(egress.Options{ConnectTimeout: time.Second, ConnIdle: time.Minute, Conns: 1}), metrics, limits, p)
					leavingClient := dial(t, address)
					if reused {
						io.WriteString(leavingClient, withID(viewRequest, 1))
						p.answer(<-p.requests, okAnswer)
						leavingClient.expectOK(t)
					}
					awaitHeldRequests(t, metrics, 0)
					busyClient := dial(t, address)
					io.WriteString(busyClient, withID(viewRequest, 2))
					held := <-p.requests // it has the only connection
					io.WriteString(leavingClient, withID(message, 3))
					awaitHeldRequests(t, metrics, 2)
					c.Settle()
					disconnect.run(leavingClient.Conn.(*net.TCPConn))
					awaitHeldRequests(t, metrics, 1)
					p.answer(held, okAnswer)
					busyClient.expectOK(t)
					io.WriteString(busyClient, withID(viewRequest, 4))
					next := <-p.requests
					if id := next.Header.Get("X-Request-ID"); id != "id4" {
						t.Errorf("request %s was sent on: %s %s, %v", id, next.Method, next.RequestURI, next.Header)
					}
					p.answer(next, okAnswer)
					busyClient.expectOK(t)
				})
			}
		}
	}
	t.Logf("%d clients left", n)
}

// One whose attempt is out has that called off, however it leaves, and no second one is made.
func TestWhoLeftIsCalledOff(t *testing.T) {
	for _, disconnect := range disconnects {
		t.Run(disconnect.name, func(t *testing.T) {
			one, two := newTestServer(t), newTestServer(t)
			metrics := telemetry.New("svc")
			address, _, _ := startWithMetrics(t, 64, fleet(), metrics, one, two)
			c := dial(t, address)
			io.WriteString(c, viewRequest)
			var r *receivedRequest
			select {
			case r = <-one.requests:
			case r = <-two.requests:
			}
			disconnect.run(c.Conn.(*net.TCPConn))
			r.awaitClosed(t)
			awaitHeldRequests(t, metrics, 0)
			if len(one.requests)+len(two.requests) > 0 {
				t.Error("another attempt was made for a client that has left")
			}
		})
	}
}

// One that leaves within its body was never whole, and goes nowhere.
func TestWhoLeavesWithinTheBody(t *testing.T) {
	for _, disconnect := range disconnects[:3] {
		t.Run(disconnect.name, func(t *testing.T) {
			p := newTestServer(t)
			metrics := telemetry.New("svc")
			address, _, _ := startWithMetrics(t, 64, fleet(), metrics, p)
			c := dial(t, address)
			io.WriteString(c, moveRequest[:len(moveRequest)-2])
			awaitHeldRequests(t, metrics, 1)
			disconnect.run(c.Conn.(*net.TCPConn))
			awaitHeldRequests(t, metrics, 0)
			if len(p.requests)+len(p.conns) > 0 {
				t.Error("half a request was sent on")
			}
		})
	}
}
