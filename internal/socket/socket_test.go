package socket_test

import (
	"io"
	"net"
	"testing"

	"junctionring/internal/socket"
)

// Quiet does not wait for a goroutine that reads from the connection, and detects unread data and an end of stream.
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
		t.Error("a connection with a pending read is not quiet")
	}
	io.WriteString(client, "ab")
	<-read
	if socket.Quiet(server) { // on loopback the second byte arrives with the first
		t.Error("a connection with an unread byte is quiet")
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
