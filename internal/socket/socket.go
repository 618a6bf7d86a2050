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
