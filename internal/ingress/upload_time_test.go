package ingress_test

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"junctionring/internal/socket"
)

const (
	uploadWait   = 600 * time.Millisecond // the client's X-Timeout
	uploadSlack  = 500 * time.Millisecond // later answers are lost
	targetBuffer = 64 << 10               // bytes that a stalling target's system receives; Linux doubles it
	uploadExcess = 512 << 10              // bytes of a body beyond what the systems' buffers can hold
)

// stallingTarget accepts connections and hands each to take, which reads as slowly as the test wants.
func stallingTarget(t *testing.T, take func(net.Conn)) *testServer {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { // its connections inherit it
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, targetBuffer)
		})
		return cmp.Or(controlErr, err)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go take(c)
		}
	}()
	return &testServer{Listener: l}
}

// readSlowly reads about 100 KB a second from a connection until it ends.
func readSlowly(c net.Conn) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for piece := make([]byte, 2<<10); ; <-tick.C {
		if _, err := io.ReadFull(c, piece); err != nil {
			return
		}
	}
}

// uploadMessage returns the head of a request with uploadWait, and its framed body.
func uploadMessage(request string, chunked bool, size int) (head, body string) {
	request = strings.Replace(strings.TrimSuffix(request, "e2e4"), "X-Timeout: 3000m", "X-Timeout: 600m", 1)
	body = strings.Repeat("x", size)
	if chunked {
		return strings.Replace(request, "Content-Length: 4", "Transfer-Encoding: chunked", 1), chunkedBody(body, 16<<10)
	}
	return strings.Replace(request, "Content-Length: 4", fmt.Sprintf("Content-Length: %d", size), 1), body
}

// Guards against a request whose body is written whole and gets its answer after its time, because its table server
// does not read the body or reads it slowly.
func TestUploadToASlowServerIsAnsweredInTime(t *testing.T) {
	for name, take := range map[string]func(net.Conn){
		"reads nothing": func(net.Conn) {}, "reads slowly": readSlowly,
	} {
		for request, text := range map[string]string{"keyed": moveRequest, "unsafe": stakeRequest} {
			for _, chunked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, chunked %t", name, request, chunked), func(t *testing.T) {
					address, _ := start(t, fleet(), stallingTarget(t, take))
					client := dial(t, address)
					// More than the gateway's system can hold for the target, so that the last byte is never written.
					size := int(socket.MaxSendBuffer()) + 2*targetBuffer + uploadExcess
					head, body := uploadMessage(text, chunked, size)
					if _, err := io.WriteString(client, head+body); err != nil {
						t.Fatal(err)
					}
					written := time.Now()
					resp, _ := client.read(t)
					if took := time.Since(written); took > uploadWait+uploadSlack {
						t.Errorf("answered %v after the last byte, want %v at most", took, uploadWait+uploadSlack)
					}
					if resp.StatusCode != 503 {
						t.Errorf("answered %d, want 503: it cannot have run", resp.StatusCode)
					}
				})
			}
		}
	}
}

// Guards against a client's time that runs while the client is still sending.
func TestTimeOfAnUploadRunsFromItsLastByte(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			p := newTestServer(t)
			address, _ := start(t, fleet(), p)
			client := dial(t, address)
			head, body := uploadMessage(moveRequest, chunked, 300<<10)
			io.WriteString(client, head)
			const pieces = 6
			tick := time.NewTicker(2 * uploadWait / pieces) // twice its time in all
			defer tick.Stop()
			for i := range pieces {
				<-tick.C
				io.WriteString(client, body[len(body)*i/pieces:len(body)*(i+1)/pieces])
			}
			p.answer(<-p.requests, okAnswer)
			client.expectOK(t)
		})
	}
}

// Guards against a refusal that is lost in a reset, where the client reads only once it has written its whole body.
func TestRefusalReachesAClientThatStillWrites(t *testing.T) {
	const size = 30 << 20 // bytes; more than the sockets' buffers hold
	address, _ := start(t, fleet(), stallingTarget(t, func(net.Conn) {}))
	client := dial(t, address)
	head, body := uploadMessage(moveRequest, true, size)
	if _, err := io.WriteString(client, head+body); err != nil {
		t.Fatalf("the body could not be written: %v", err)
	}
	if resp, _ := client.read(t); resp.StatusCode != 503 {
		t.Errorf("answered %d, want 503", resp.StatusCode)
	}
}
