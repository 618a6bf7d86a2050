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

const answerTimeout = time.Second // a process that serves answers at once

// Successor is the new process's side of a handover.
type Successor struct {
	link      link
	address   string // whose connections come
	listeners map[string]net.Listener
	log       *slog.Logger
}

// Connect looks for the process that serves the first address and asks it for the listening sockets of all of them. An
// error says why this process has to open them itself.
func Connect(dir string, log *slog.Logger, addresses ...string) (*Successor, error) {
	l, err := dial(Path(dir, addresses[0]))
	if err != nil {
		return nil, err
	}
	s := &Successor{link: l, address: addresses[0], listeners: map[string]net.Listener{}, log: log}
	if err := s.requestListeners(addresses); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Successor) requestListeners(addresses []string) error {
	if err := s.link.send(message{Kind: kindAsk, Addresses: addresses}); err != nil {
		return err
	}
	s.link.SetReadDeadline(time.Now().Add(answerTimeout))
	m, err := s.link.receive()
	if err != nil {
		return err
	}
	defer m.closeFDs()
	switch {
	case m.Kind == kindRefuse:
		return fmt.Errorf("turned away: %s", m.Reason)
	case m.Kind != kindLend || len(m.fds) != len(m.Addresses) || len(m.fds) == 0 || m.Addresses[0] != s.address:
		return errMalformed
	}
	for i, fd := range m.fds {
		if err := checkTCPSocket(fd, true, m.Addresses[i]); err != nil {
			return err
		}
		f := os.NewFile(uintptr(fd), "lent")
		l, err := net.FileListener(f) // a descriptor of its own
		f.Close()
		m.fds[i] = -1
		if err != nil {
			return err
		}
		s.listeners[m.Addresses[i]] = l
	}
	return s.link.SetReadDeadline(time.Time{})
}

// Listener is the socket lent for an address, or nil. It is the caller's.
func (s *Successor) Listener(address string) net.Listener {
	l := s.listeners[address]
	delete(s.listeners, address)
	return l
}

// Close ends the handover, and closes what nobody asked for.
func (s *Successor) Close() {
	s.link.Close()
	for _, l := range s.listeners {
		l.Close()
	}
}

// Run says that this process serves, and has it adopt what the old one passes, until that one ends. adopt returns
// false for a connection that it does not want.
func (s *Successor) Run(ctx context.Context, adopt func(*net.TCPConn) bool) error {
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.link.Close() })
	defer stop()
	if err := s.link.send(message{Kind: kindReady}); err != nil {
		return err
	}
	adopted := 0
	defer func() { s.log.Info("handover: the old process has ended", "adopted", adopted) }()
	for {
		m, err := s.link.receive()
		if errors.Is(err, errMalformed) {
			return err
		}
		if err != nil {
			return nil // it ended
		}
		if m.Kind != kindPass {
			m.closeFDs()
			return errMalformed
		}
		c, err := s.connection(&m)
		if err != nil {
			s.log.Warn("handover: a connection is declined", "err", err)
			if err := s.link.send(message{Kind: kindDecline, Conn: m.Conn}); err != nil {
				return err
			}
			continue
		}
		// Said before a byte is read: until then the old process may serve it on.
		if err := s.link.send(message{Kind: kindTook, Conn: m.Conn}); err != nil {
			c.Close()
			return err
		}
		adopted++
		go func() {
			if !adopt(c) {
				c.Close()
			}
		}()
	}
}

// connection makes a connection of a message's descriptor.
func (s *Successor) connection(m *message) (*net.TCPConn, error) {
	defer m.closeFDs()
	if len(m.fds) != 1 {
		return nil, fmt.Errorf("%d descriptors where one belongs", len(m.fds))
	}
	if err := checkTCPSocket(m.fds[0], false, s.address); err != nil {
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
