package main

import (
	"net"
	"time"
)

// newLink is a proxy that delays what passes through it, in both directions and in its order.
func (p *play) newLink(to string, delay time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.onEnd(func() { l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer far.Close()
				done := make(chan struct{}, 2)
				go carry(near, far, delay, done)
				go carry(far, near, delay, done)
				<-done
			}()
		}
	}()
	return l.Addr().String(), nil
}

// carry passes on what comes from one side to the other after a delay, up to the end.
func carry(from, to net.Conn, delay time.Duration, done chan<- struct{}) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 4096)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{b[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		if _, err := to.Write(next.data); err != nil {
			break
		}
	}
	done <- struct{}{}
}
