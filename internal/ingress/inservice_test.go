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

// Each answer is counted once by what the client got, and each attempt by what the target got; the requests
// held are counted while they are held.
func TestFiguresCountEachAnswer(t *testing.T) {
	p := newPeer(t)
	figures := telemetry.New("svc")
	address, _, _ := startCounted(t, 64, fleet(), figures, p)
	want := map[string]int64{}
	got := 0
	kind := func(status int) string {
		switch status {
		case 200:
			return "success"
		case 429, 503:
			return "overload"
		}
		return "error"
	}
	for i, script := range []struct{ message, class, answer string }{
		{view, "table-view", ok},
		{move, "move-submit", ok},
		{view, "table-view", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhe"}, // cut: a reset
		{move, "move-submit", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhe"},
	} {
		holds(t, figures, 0) // a request is held until just after its answer is written
		c := dial(t, address)
		io.WriteString(c, strings.Replace(script.message, "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4"+string(rune('a'+i)), 1))
		answered := make(chan int, 1)
		go func() {
			resp, _ := c.read(t)
			answered <- resp.StatusCode
		}()
		for done := false; !done; {
			select {
			case r := <-p.got:
				got++
				if n := figures.Concurrent.Load(); n != 1 {
					t.Errorf("%d requests held while one is", n)
				}
				p.answer(r, script.answer)
				if strings.HasSuffix(script.answer, "he") {
					r.conn.Close()
				}
			case status := <-answered:
				want["replies."+script.class+"."+kind(status)]++
				done = true
			}
		}
	}
	counts := func(class string) *telemetry.Counts {
		for i, name := range []string{"table-view", "move-submit"} {
			if name == class {
				return figures.Class(i)
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
	if dispatched != int64(got) {
		t.Errorf("%d attempts counted, the target got %d", dispatched, got)
	}
	for deadline := time.Now().Add(5 * time.Second); figures.Concurrent.Load() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the handler returns just after the answer is written
	}
	if n := figures.Concurrent.Load(); n != 0 {
		t.Errorf("%d requests held after all were answered", n)
	}
	var b bytes.Buffer
	figures.WriteTo(&b)
	if !strings.Contains(b.String(), "svc.replies.table-view.success:1|c\n") || !strings.Contains(b.String(), "svc.concurrent:0|g\n") {
		t.Errorf("written:\n%s", b.String())
	}
}

// Evacuated, the gateway says no at once, closes a resting connection, serves a new one once and closes it, and
// says yes again after rejoin.
func TestEvacuateSendsClientsAway(t *testing.T) {
	p := newPeer(t)
	address, _, s := startServer(t, 64, fleet(), p)
	resting := dial(t, address)
	if resp, _ := resting.ask(t, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); resp.StatusCode != 200 {
		t.Fatalf("not ready: %d", resp.StatusCode)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.Evacuate(ctx)
	if s.Available() {
		t.Error("evacuated, and still taking clients")
	}
	late := dial(t, address)
	if resp, _ := late.ask(t, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); resp.StatusCode != 503 {
		t.Errorf("evacuated, readiness says %d", resp.StatusCode)
	}
	late.closedBy(t, 5*time.Second, "a connection answered while evacuated")
	resting.closedBy(t, 5*time.Second, "a resting connection while evacuated")
	c := dial(t, address)
	io.WriteString(c, view)
	p.answer(<-p.got, ok)
	if resp, _ := c.read(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a client that came while evacuated got %d, close %v", resp.StatusCode, resp.Close)
	}
	s.Rejoin()
	again := dial(t, address)
	if resp, _ := again.ask(t, "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after rejoin, readiness says %d, close %v", resp.StatusCode, resp.Close)
	}
}
