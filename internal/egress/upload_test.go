package egress

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"junctionring/control"
)

// pausedUpload is a message whose client has sent a part of its body and pauses until the test ends. It sends on
// asked when more is requested.
func pausedUpload(t *testing.T) (r *Request, asked <-chan struct{}) {
	waits, resume := make(chan struct{}, 1), make(chan struct{})
	t.Cleanup(func() { close(resume) })
	next := func([]byte) (int, error) {
		waits <- struct{}{}
		<-resume
		return 0, io.ErrUnexpectedEOF
	}
	head := []byte("POST /stake/1 HTTP/1.1\r\nContent-Length: 100000\r\n")
	return &Request{Method: "POST", Head: head, Body: []byte("begin"), Rest: &Upload{Length: 100000, Next: next}}, waits
}

// tcpPair returns a loopback connection and its far end.
func tcpPair(t *testing.T) (near *conn, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	near = newConn(nc, process{address: l.Addr().String()}, &answerStats{})
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// Guards against an attempt that waits for a paused client's body although its connection, or the request, has
// ended.
func TestPausedBodyDoesNotHoldAnEndedAttempt(t *testing.T) {
	const mostWait = time.Second
	for _, c := range []struct {
		name string
		end  func(far net.Conn, cancel context.CancelFunc)
		want control.Status
	}{
		{"the target resets", func(far net.Conn, _ context.CancelFunc) {
			far.(*net.TCPConn).SetLinger(0)
			far.Close()
		}, control.ConnectFailed},
		{"the target closes", func(far net.Conn, _ context.CancelFunc) { far.Close() }, control.ConnectFailed},
		{"the target closes behind an early answer", func(far net.Conn, _ context.CancelFunc) {
			io.WriteString(far, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
			far.Close()
		}, control.ConnectFailed},
		{"the request is called off", func(_ net.Conn, cancel context.CancelFunc) { cancel() }, control.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := tcpPair(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r, asked := pausedUpload(t)
			ended := make(chan control.Status, 1)
			go func() {
				o, _ := near.roundTrip(ctx, r, nil, func() { t.Error("the message is taken for whole") }, time.Minute)
				ended <- o.Status
			}()
			<-asked
			c.end(far, cancel)
			select {
			case status := <-ended:
				if status != c.want {
					t.Errorf("ended as %v, want %v", status, c.want)
				}
			case <-time.After(mostWait):
				t.Errorf("still waits for the client after %v", mostWait)
			}
			if !r.Rest.BodyConsumed() {
				t.Error("the message may be sent again, though a part of its body is lost")
			}
		})
	}
}
