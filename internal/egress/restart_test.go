package egress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// serveAs answers each request on a listener's connections with a name, until the listener and they are closed.
func serveAs(name string, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			for in := bufio.NewReader(c); ; {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				body := name + r.URL.Path // distinct answers, so that the connection may be used again
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}()
	}
}

// Guards against requests that go to the process that stood at an address before, on connections that it left open.
func TestRestartedTargetGetsNewConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		since control.Seconds // of the target, as told again
		want  string
	}{
		{"told again as it was", 1, "old"},
		{"restarted", 2, "new"},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go serveAs("old", old)
			f := NewFleet(Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: 4})
			defer f.remove("s")
			list := func(since control.Seconds) {
				f.Update(core.Table{Targets: []core.Target{{
					Member: control.Member{Server: "s", Since: since, State: control.Ready}, Address: old.Addr().String()}}})
			}
			ask := func(path string) string {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				o := f.targets["s"].exchange(core.Attempt{Ctx: ctx,
					Payload: &Request{Method: "GET", Head: []byte("GET " + path + " HTTP/1.1\r\nHost: t\r\n")}})
				if o.Status != control.OK {
					t.Fatalf("%s: the attempt ended with %v", path, o.Status)
				}
				return string(o.Reply.(*Reply).Body)
			}
			list(1)
			for i := range 12 { // so that a connection is known to give distinct answers
				ask(fmt.Sprint("/", i))
			}
			old.Close() // its connections stay open
			fresh, err := net.Listen("tcp", old.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer fresh.Close()
			go serveAs("new", fresh)
			list(c.since)
			if got := ask("/next"); got != c.want+"/next" {
				t.Errorf("answered by %q, want the %s process", got, c.want)
			}
		})
	}
}
