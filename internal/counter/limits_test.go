package counter_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/counter"
)

// Guards against dialling in a tight loop a counter that resets each new connection, as one does that holds too many
// connections.
func TestCounterThatTurnsConnectionsAwayIsNotStormed(t *testing.T) {
	const dials, pause = 6, 100 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted := make(chan time.Time, 1024)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- time.Now()
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	add := startCounter(t, counter.NewLineClient(l.Addr().String(), 30*time.Millisecond))
	reached := make(chan time.Duration, 1)
	go func() {
		first := <-accepted
		for range dials - 1 {
			<-accepted
		}
		reached <- time.Since(first)
	}()
	for {
		select {
		case took := <-reached:
			if least := (dials - 2) * pause; took < least { // the second may follow the first at once
				t.Errorf("%d dials within %v, want at least %v", dials, took, least)
			}
			return
		case a := <-add(7, 1):
			if a.status == control.OK {
				t.Fatal("a call without an answer was reported as added")
			}
		}
	}
}

// A counter that closes idle connections, some after half a line, must leave no later call in doubt, and the gateway must
// have no more than one connection open at a time.
func TestCounterThatClosesAtRestLeavesNothingInDoubt(t *testing.T) {
	const rounds = 40 // more than the 32 connections that a counter holds
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var open, maxOpen atomic.Int64
	served, ended := make(chan net.Conn), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
			go func() {
				defer func() { open.Add(-1); c.Close(); ended <- struct{}{} }()
				b := make([]byte, 256)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					io.WriteString(c, "ok 1\r\npong\r\n") // a call and its ping arrive in one piece
					served <- c
				}
			}()
		}
	}()
	line := counter.NewLineClient(l.Addr().String(), 5*time.Second)
	add := startCounter(t, line)
	for i := range rounds {
		call := add(7, 1)
		c := <-served
		if a := <-call; a != (answer{control.OK, 1}) {
			t.Errorf("call %d ended as %v", i, a)
		}
		if i%2 == 1 {
			io.WriteString(c, "ok ")
		}
		c.(*net.TCPConn).CloseWrite()
		<-ended // the gateway has seen the end of the stream and closed the connection too
	}
	if n := maxOpen.Load(); n > 2 {
		t.Errorf("%d connections were open at once", n)
	}
	go func() { <-ended }() // the last connection ends with the actor
}
