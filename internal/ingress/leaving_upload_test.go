package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"junctionring/internal/egress"
	"junctionring/internal/telemetry"
)

// Guards against a request that is sent on after its client has closed the connection, where a long body that the
// gateway has not read yet stands before the close.
func TestWhoLeavesBehindAnUnreadBodyIsNotSentOn(t *testing.T) {
	for _, disconnect := range disconnects {
		for _, chunked := range []bool{false, true} {
			name := disconnect.name + ", length"
			if chunked {
				name = disconnect.name + ", chunked"
			}
			t.Run(name, func(t *testing.T) {
				p := newTestServer(t)
				metrics := telemetry.New("svc")
				address, c, _ := startWithLimits(t, 64, egress.NewFleet(
					egress.Options{ConnectTimeout: time.Second, ConnIdle: time.Minute, Conns: 1}), metrics, limits, p)
				busyClient := dial(t, address)
				io.WriteString(busyClient, withID(viewRequest, 2))
				held := <-p.requests // it occupies the only connection
				leavingClient := dial(t, address)
				head, body := uploadMessage(moveRequest, chunked, 100<<10)
				io.WriteString(leavingClient, withID(head, 3)+body)
				awaitHeldRequests(t, metrics, 2)
				c.Settle()
				disconnect.run(leavingClient.Conn.(*net.TCPConn))
				awaitHeldRequests(t, metrics, 1) // well before its time is over
				p.answer(held, okAnswer)
				busyClient.expectOK(t)
				expectNextRequest(t, p, busyClient, 4)
			})
		}
	}
}

// expectNextRequest sends a request and checks that it is the next one that the server receives, and is served.
func expectNextRequest(t *testing.T, p *testServer, c *client, n int) {
	t.Helper()
	io.WriteString(c, withID(viewRequest, n))
	answered := make(chan int, 1)
	go func() {
		status := 0
		if resp, err := http.ReadResponse(c.in, nil); err == nil {
			status = resp.StatusCode
		}
		answered <- status
	}()
	select {
	case next := <-p.requests:
		if id := next.Header.Get("X-Request-ID"); id != fmt.Sprint("id", n) {
			t.Errorf("the next request at the server was %s", id)
		}
		p.answer(next, okAnswer)
		if status := <-answered; status != http.StatusOK {
			t.Errorf("the next request was answered %d", status)
		}
	case status := <-answered:
		t.Errorf("the next request was answered %d, and not sent", status)
	}
}
