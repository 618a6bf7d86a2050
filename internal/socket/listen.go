package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPending tells, without waiting, whether a connection waits to be accepted.
func HasPending(l net.Listener) (pending bool) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		pollFDs := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(pollFDs, 0)
		pending = err == nil && n > 0 && pollFDs[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// Listen listens on a TCP address that another process may listen on too: a process that replaces this one is
// started beside it with the same address, and the kernel spreads new connections over both until this one
// closes. Without SO_REUSEPORT the second bind fails and the new process cannot start.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(network, address string, raw syscall.RawConn) error {
		var opt error
		if err := raw.Control(func(fd uintptr) {
			opt = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); err != nil {
			return err
		}
		if opt != nil {
			return fmt.Errorf("SO_REUSEPORT on %s: %w", address, opt)
		}
		return nil
	}}
	return lc.Listen(ctx, "tcp", address)
}
