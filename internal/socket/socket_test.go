package socket_test

import (
	"io"
	"net"
	"testing"

	"junctionring/internal/socket"
)

// A connection that another goroutine reads on is looked at without waiting for that read; unread bytes and
// an end show.
func TestQuiet(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if !socket.Quiet(server) {
		t.Error("an idle connection is not quiet")
	}
	read := make(chan struct{})
	go func() {
		io.ReadFull(server, make([]byte, 1))
		close(read)
	}()
	if !socket.Quiet(server) {
		t.Error("a connection that is read on is not quiet")
	}
	io.WriteString(client, "ab")
	<-read
	if socket.Quiet(server) { // on loopback the second byte came with the first
		t.Error("a byte is left, and the connection is quiet")
	}
	io.ReadFull(server, make([]byte, 1))
	client.Close()
	if n, err := server.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatal(n, err)
	}
	if socket.Quiet(server) {
		t.Error("an ended connection is quiet")
	}
}
