package socket

import (
	"context"
	"net"
	"testing"
)

// Two listeners share one address, as a process and its successor do: both accept connections, and once one of them is
// closed the other accepts all.
func TestTwoProcessesShareAnAddress(t *testing.T) {
	first, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().String()
	second, err := Listen(context.Background(), address)
	if err != nil {
		t.Fatalf("second listener on %s: %v", address, err)
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
			t.Fatalf("connection attempt after the first listener was closed: %v", err)
		}
		c.Close()
		<-taken
	}
	if _, err := net.Listen("tcp", address); err == nil {
		t.Error("a listener without SO_REUSEPORT could bind the address of one with it")
	}
}
