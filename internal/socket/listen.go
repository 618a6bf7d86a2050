package socket

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

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
