// Package socket looks at connections without reading from them.
package socket

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet tells whether a connection is open with nothing to be read on it, without waiting. The runtime does not
// tell: it notices an end or new bytes only in a read.
func Quiet(c net.Conn) bool {
	n, ok, e := peek(c)
	if !ok {
		return n == noSocket
	}
	return e == syscall.EAGAIN
}

// Unread tells whether bytes wait to be read on a connection, without waiting: an end that the other side sent
// is none, so a connection whose client has gone counts as having nothing unread.
func Unread(c net.Conn) bool {
	n, ok, e := peek(c)
	return ok && e == nil && n > 0
}

const noSocket = -1 // of peek: the connection has no descriptor to look at

// peek looks at the next byte without taking it and without waiting (Read would wait for a goroutine that
// reads). ok is false where nothing could be looked at; n is then noSocket for a connection without a
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

// WaitEnd waits until the other side has ended a connection, or its read deadline, and returns what a read would have
// said. Bytes that come meanwhile are left unread; an end behind them is seen all the same.
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
			return false // until more comes, or the deadline
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

// HungUp tells, without waiting, whether the other side has ended a connection, or its sending, be it behind bytes that
// are not read yet.
func HungUp(c syscall.Conn) (ended bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { ended = hungUp(fd) })
	return ended
}

// hungUp tells whether the other side has ended its sending, or the connection, behind bytes that are not read yet.
func hungUp(fd uintptr) bool {
	pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs, 0)
	return err == nil && n > 0 && pollFDs[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
