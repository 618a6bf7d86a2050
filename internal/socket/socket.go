// Package socket inspects the state of TCP connections and listeners, and opens listeners that two processes can share.
// It never consumes data from a connection.
package socket

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports, without blocking, whether a connection is open and has nothing to read: neither data nor an end of
// stream. The Go runtime does not report this: it notices an end or new data only in a read. A connection without a
// descriptor counts as quiet.
func Quiet(c net.Conn) bool {
	n, ok, e := peek(c)
	if !ok {
		return n == noSocket
	}
	return e == syscall.EAGAIN
}

// Unread reports, without blocking, whether data waits to be read on a connection. An end of stream is not data, so a
// connection that its client has closed has nothing unread.
func Unread(c net.Conn) bool {
	n, ok, e := peek(c)
	return ok && e == nil && n > 0
}

const noSocket = -1 // result of peek: the connection has no descriptor

// peek looks at the next byte without consuming it and without blocking (raw.Read would wait for a goroutine that
// reads). ok is false if the connection could not be inspected; n is then noSocket for a connection without a
// descriptor.
func peek(c net.Conn) (n int, ok bool, e error) {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return noSocket, false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false, nil
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, err == nil, e
}

// WaitEnd blocks until the peer has ended a connection, or until its read deadline, and returns the error that a read
// would return. Data that arrives meanwhile is left unread; an end of stream behind it is detected all the same.
func WaitEnd(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	end := error(io.EOF)
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case e == syscall.EAGAIN || e == syscall.EINTR:
			return false // wait for the next event on the socket, or for the deadline
		case e == nil && n > 0:
			return hungUp(fd)
		case e != nil:
			end = e
		}
		return true
	})
	if err != nil {
		return err
	}
	return end
}

// HungUp reports, without blocking, whether the peer has closed a connection or its sending side, even behind data that
// has not been read yet.
func HungUp(c syscall.Conn) (ended bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { ended = hungUp(fd) })
	return ended
}

// hungUp is HungUp for a descriptor.
func hungUp(fd uintptr) bool {
	pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs, 0)
	return err == nil && n > 0 && pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
