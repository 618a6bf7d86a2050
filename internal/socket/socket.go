// Package socket looks at connections without reading from them.
package socket

import (
	"net"
	"syscall"
)

// Quiet tells whether a connection is open with nothing to be read on it, without waiting. The runtime does not
// tell: it notices an end or new bytes only in a read.
func Quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { // Read would wait for a goroutine that reads
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = e == syscall.EAGAIN
	})
	return err == nil && quiet
}

// Unread tells whether bytes wait to be read on a connection, without waiting: an end that the other side sent
// is none, so a connection whose client has gone counts as having nothing unread.
func Unread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = e == nil && n > 0
	})
	return unread
}
