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

// awaitHeldRequests waits until the front holds n requests.
func awaitHeldRequests(t *testing.T, metrics *telemetry.Figures, n int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); metrics.Concurrent.Load() != n; runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are held, want %d", metrics.Concurrent.Load(), n)
		}
	}
}

// disconnects are the ways in which a client disconnects after it has sent a complete request.
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
		io.WriteString(c, strings.Replace(withID(moveRequest, 901), "Content-Length: 4", "Content-Length: 60000", 1)+
			strings.Repeat("x", 30000))
		c.Close()
	}},
	{"empty lines, then end", func(c *net.TCPConn) { io.WriteString(c, "\r\n\r\n"); c.Close() }},
}

// Guards against a request that is sent on after its client has disconnected while the request waited for the only
// connection to the target. The gateway must drop it while that connection is still occupied, in whichever way the
// client disconnects, on a new or a reused connection, with or without a body, and also where the settings do not
// permit pending attempts to be cancelled.
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
					address, c, _ := startWithLimits(t, 64, egress.NewFleet(
						egress.Options{ConnectTimeout: time.Second, ConnIdle: time.Minute, Conns: 1}), metrics, limits, p)
					leavingClient := dial(t, address)
					if reused {
						io.WriteString(leavingClient, withID(viewRequest, 1))
						p.answer(<-p.requests, okAnswer)
						leavingClient.expectOK(t)
					}
					awaitHeldRequests(t, metrics, 0)
					busyClient := dial(t, address)
					io.WriteString(busyClient, withID(viewRequest, 2))
					held := <-p.requests // it occupies the only connection
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

// Guards against a pending attempt that is not cancelled when its client disconnects, and against a second attempt
// for that client.
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
				t.Error("another attempt was made for a client that has disconnected")
			}
		})
	}
}

// Guards against an incomplete request that is sent on when its client disconnects within the body.
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
				t.Error("an incomplete request was sent on")
			}
		})
	}
}
