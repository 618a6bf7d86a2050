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
type over struct {
	context.Context
	why error
}

func (o over) Done() <-chan struct{} { return nil }
func (o over) Err() error            { return o.why }

// An attempt whose time or client is gone when its connection comes up, or whose key is no longer known, is not sent,
// and says that it never was; the next one has the connection.
func TestLateConnectionIsNotUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		ctx    context.Context
		before time.Time
		want   control.Status
	}{
		{"called off", over{context.Background(), context.Canceled}, time.Time{}, control.Cancelled},
		{"out of time", over{context.Background(), context.DeadlineExceeded}, time.Time{}, control.ConnectFailed},
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
				return target.exchange(ctx, &Request{Method: "GET", Head: []byte("GET " + path + " HTTP/1.1\r\nHost: t\r\n")}, before, nil, 0)
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
