package handoff

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const answerWait = time.Second // a process that serves answers at once

// Successor is the new process's side of a handover.
type Successor struct {
	link    link
	address string // whose connections come
	lent    map[string]net.Listener
	log     *slog.Logger
}

// Connect looks for the process that serves the first address and asks it for the listening sockets of all of them. An
// error says why this process has to open them itself.
func Connect(dir string, log *slog.Logger, addresses ...string) (*Successor, error) {
	l, err := dial(Path(dir, addresses[0]))
	if err != nil {
		return nil, err
	}
	h := &Successor{link: l, address: addresses[0], lent: map[string]net.Listener{}, log: log}
	if err := h.ask(addresses); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Successor) ask(addresses []string) error {
	if err := h.link.send(message{Kind: ask, Listen: addresses}); err != nil {
		return err
	}
	h.link.SetReadDeadline(time.Now().Add(answerWait))
	m, err := h.link.receive()
	if err != nil {
		return err
	}
	defer m.close()
	switch {
	case m.Kind == refuse:
		return fmt.Errorf("turned away: %s", m.Why)
	case m.Kind != lend || len(m.fds) != len(m.Listen) || len(m.fds) == 0 || m.Listen[0] != h.address:
		return errForm
	}
	for i, fd := range m.fds {
		if err := stream(fd, true, m.Listen[i]); err != nil {
			return err
		}
		f := os.NewFile(uintptr(fd), "lent")
		l, err := net.FileListener(f) // a descriptor of its own
		f.Close()
		m.fds[i] = -1
		if err != nil {
			return err
		}
		h.lent[m.Listen[i]] = l
	}
	return h.link.SetReadDeadline(time.Time{})
}

// Listener is the socket lent for an address, or nil. It is the caller's.
func (h *Successor) Listener(address string) net.Listener {
	l := h.lent[address]
	delete(h.lent, address)
	return l
}

// Close ends the handover, and closes what nobody asked for.
func (h *Successor) Close() {
	h.link.Close()
	for _, l := range h.lent {
		l.Close()
	}
}

// Run says that this process serves, and has it adopt what the old one passes, until that one ends. adopt returns
// false for a connection that it does not want.
func (h *Successor) Run(ctx context.Context, adopt func(*net.TCPConn) bool) error {
	defer h.Close()
	stop := context.AfterFunc(ctx, func() { h.link.Close() })
	defer stop()
	if err := h.link.send(message{Kind: ready}); err != nil {
		return err
	}
	count := 0
	defer func() { h.log.Info("handover: the old process has ended", "adopted", count) }()
	for {
		m, err := h.link.receive()
		if errors.Is(err, errForm) {
			return err
		}
		if err != nil {
			return nil // it ended
		}
		if m.Kind != pass {
			m.close()
			return errForm
		}
		c, err := h.connection(&m)
		if err != nil {
			h.log.Warn("handover: a connection is declined", "err", err)
			if err := h.link.send(message{Kind: decline, Conn: m.Conn}); err != nil {
				return err
			}
			continue
		}
		// Said before a byte is read: until then the old process may serve it on.
		if err := h.link.send(message{Kind: took, Conn: m.Conn}); err != nil {
			c.Close()
			return err
		}
		count++
		go func() {
			if !adopt(c) {
				c.Close()
			}
		}()
	}
}

// connection makes a connection of a message's descriptor.
func (h *Successor) connection(m *message) (*net.TCPConn, error) {
	defer m.close()
	if len(m.fds) != 1 {
		return nil, fmt.Errorf("%d descriptors where one belongs", len(m.fds))
	}
	if err := stream(m.fds[0], false, h.address); err != nil {
		return nil, err
	}
	if _, err := unix.Getpeername(m.fds[0]); err != nil {
		return nil, fmt.Errorf("it is not connected: %w", err)
	}
	f := os.NewFile(uintptr(m.fds[0]), "passed")
	m.fds = nil
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		return nil, errors.New("it is no TCP connection")
	}
	return tcp, nil
}
