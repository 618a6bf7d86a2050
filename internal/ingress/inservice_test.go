package ingress_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"junctionring/internal/telemetry"
)

// Guards against wrong metrics: each answer is counted once by the result that the client got, each attempt once by
// its arrival at the target, and each pending request while it is pending.
func TestFiguresCountEachAnswer(t *testing.T) {
	p := newTestServer(t)
	metrics := telemetry.New("svc")
	address, _, _ := startWithMetrics(t, 64, fleet(), metrics, p)
	want := map[string]int64{}
	attempts := 0
	resultOf := func(status int) string {
		switch status {
		case 200:
			return "success"
		case 429, 503:
			return "overload"
		}
		return "error"
	}
	for i, script := range []struct{ message, class, answer string }{
		{viewRequest, "table-view", okAnswer},
		{moveRequest, "move-submit", okAnswer},
		{viewRequest, "table-view", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhe"}, // truncated: the connection is closed early
		{moveRequest, "move-submit", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhe"},
	} {
		awaitHeldRequests(t, metrics, 0) // a request counts as pending until just after its answer is written
		c := dial(t, address)
		io.WriteString(c, strings.Replace(script.message, "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4"+string(rune('a'+i)), 1))
		answered := make(chan int, 1)
		go func() {
			resp, _ := c.read(t)
			answered <- resp.StatusCode
		}()
		for done := false; !done; {
			select {
			case r := <-p.requests:
				attempts++
				if n := metrics.Concurrent.Load(); n != 1 {
					t.Errorf("%d requests counted as pending, want 1", n)
				}
				p.answer(r, script.answer)
				if strings.HasSuffix(script.answer, "he") {
					r.conn.Close()
				}
			case status := <-answered:
				want["replies."+script.class+"."+resultOf(status)]++
				done = true
			}
		}
	}
	counts := func(class string) *telemetry.Counts {
		for i, name := range []string{"table-view", "move-submit"} {
			if name == class {
				return metrics.Class(i)
			}
		}
		return nil
	}
	var dispatched int64
	for _, class := range []string{"table-view", "move-submit"} {
		c := counts(class)
		dispatched += c.Dispatches.Load()
		for what, n := range map[string]int64{"success": c.Success.Load(), "overload": c.Overload.Load(), "error": c.Error.Load()} {
			if w := want["replies."+class+"."+what]; n != w {
				t.Errorf("%s %s: counted %d, the clients got %d", class, what, n, w)
			}
		}
	}
	if dispatched != int64(attempts) {
		t.Errorf("%d attempts counted, the target got %d", dispatched, attempts)
	}
	for deadline := time.Now().Add(5 * time.Second); metrics.Concurrent.Load() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the handler returns just after the answer is written
	}
	if n := metrics.Concurrent.Load(); n != 0 {
		t.Errorf("%d requests counted as pending after all were answered", n)
	}
	var b bytes.Buffer
	metrics.WriteTo(&b)
	if !strings.Contains(b.String(), "svc.replies.table-view.success:1|c\n") || !strings.Contains(b.String(), "svc.concurrent:0|g\n") {
		t.Errorf("written:\n%s", b.String())
	}
}

// Guards against an evacuated gateway that keeps its clients: it must report at once that it is not ready, close idle
// connections, and close a new connection after one answer. After Rejoin it must be ready again.
func TestEvacuateSendsClientsAway(t *testing.T) {
	p := newTestServer(t)
	address, _, s := startServer(t, 64, fleet(), p)
	idle := dial(t, address)
	if resp, _ := idle.roundTrip(t, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); resp.StatusCode != 200 {
		t.Fatalf("not ready: %d", resp.StatusCode)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.Evacuate(ctx)
	if s.Available() {
		t.Error("still available while evacuated")
	}
	duringEvacuation := dial(t, address)
	if resp, _ := duringEvacuation.roundTrip(t, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("readiness while evacuated: answered %d, want 503", resp.StatusCode)
	}
	duringEvacuation.awaitClosed(t, 5*time.Second, "a connection answered while evacuated")
	idle.awaitClosed(t, 5*time.Second, "an idle connection while evacuated")
	c := dial(t, address)
	io.WriteString(c, viewRequest)
	p.answer(<-p.requests, okAnswer)
	if resp, _ := c.read(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a client that connected while evacuated was answered %d, close %v", resp.StatusCode, resp.Close)
	}
	s.Rejoin()
	afterRejoin := dial(t, address)
	if resp, _ := afterRejoin.roundTrip(t, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("readiness after rejoin: answered %d, close %v", resp.StatusCode, resp.Close)
	}
}
