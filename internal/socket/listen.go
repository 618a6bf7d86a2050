package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasPending reports, without blocking, whether a connection waits in the listener's accept queue.
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

// Listen listens on a TCP address with SO_REUSEPORT, so that another process can listen on it too. The process that
// replaces this one starts while this one still runs, on the same address, and the kernel distributes new connections
// over both until this one closes its listener. Without SO_REUSEPORT the second bind fails and the new process cannot
// start.
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
