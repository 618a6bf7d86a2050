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

// An attempt whose time or client is gone when its connection comes up is not sent, and says that it never was; the
// next one has the connection.
func TestLateConnectionIsNotUsed(t *testing.T) {
	for why, want := range map[error]control.Status{
		context.Canceled: control.Cancelled, context.DeadlineExceeded: control.ConnectFailed,
	} {
		t.Run(why.Error(), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			f := NewFleet(Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: 1})
			f.Update(core.Table{Targets: []core.Target{{Member: control.Member{Server: "s", State: control.Ready}, Address: l.Addr().String()}}})
			defer f.remove("s")
			gone := &Request{Method: "GET", Head: []byte("GET /gone HTTP/1.1\r\nHost: t\r\n")}
			target := f.targets["s"].target
			if o := target.exchange(over{context.Background(), why}, gone, nil, 0); o.Status != want || o.Written {
				t.Errorf("ended with %v, written %t", o.Status, o.Written)
			}
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			got := make(chan string, 1)
			go func() {
				b := make([]byte, 256)
				n, _ := c.Read(b)
				got <- string(b[:n])
				c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}()
			next := &Request{Method: "GET", Head: []byte("GET /next HTTP/1.1\r\nHost: t\r\n")}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if o := target.exchange(ctx, next, nil, 0); o.Status != control.OK {
				t.Errorf("the next attempt ended with %v", o.Status)
			}
			if text := <-got; text[:9] != "GET /next" {
				t.Errorf("the target got %q first", text)
			}
		})
	}
}
