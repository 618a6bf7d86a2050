package socket

import (
	"context"
	"net"
	"testing"
)

// Two listeners on one address, as an old process and its replacement hold it; each takes connections, and
// once one is closed the other takes them all.
func TestTwoProcessesShareAnAddress(t *testing.T) {
	first, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().String()
	second, err := Listen(context.Background(), address)
	if err != nil {
		t.Fatalf("a second listener on %s: %v", address, err)
	}
	defer second.Close()
	taken := make(chan string, 64)
	for _, l := range []net.Listener{first, second} {
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				taken <- l.Addr().String()
				c.Close()
			}
		}()
	}
	for range 8 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		<-taken
	}
	first.Close()
	for range 8 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatalf("with the first listener closed: %v", err)
		}
		c.Close()
		<-taken
	}
	if _, err := net.Listen("tcp", address); err == nil {
		t.Error("a listener without SO_REUSEPORT could bind beside one with it")
	}
}
