package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Queued returns how many bytes wait to be read on a connection, without blocking; 0 if that cannot be determined.
func Queued(c syscall.Conn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			n = queued
		}
	})
	return n
}
