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

const answerTimeout = time.Second // a running predecessor answers at once

// Successor is the side of a handover in the process that replaces another.
type Successor struct {
	link      link
	address   string // of the connections that are passed
	listeners map[string]net.Listener
	log       *slog.Logger
}

// Connect connects to the process that serves the first address, and requests the listening sockets of all addresses.
// After an error the caller has to open them itself.
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
		return fmt.Errorf("the running process refused the handover: %s", m.Reason)
	case m.Kind != kindLend || len(m.fds) != len(m.Addresses) || len(m.fds) == 0 || m.Addresses[0] != s.address:
		return errMalformed
	}
	for i, fd := range m.fds {
		if err := checkTCPSocket(fd, true, m.Addresses[i]); err != nil {
			return err
		}
		f := os.NewFile(uintptr(fd), "lent")
		l, err := net.FileListener(f) // it duplicates the descriptor
		f.Close()
		m.fds[i] = -1
		if err != nil {
			return err
		}
		s.listeners[m.Addresses[i]] = l
	}
	return s.link.SetReadDeadline(time.Time{})
}

// Listener returns the listening socket that was received for an address, or nil. The caller has to close it.
func (s *Successor) Listener(address string) net.Listener {
	l := s.listeners[address]
	delete(s.listeners, address)
	return l
}

// Close ends the handover, and closes the listening sockets that Listener has not returned.
func (s *Successor) Close() {
	s.link.Close()
	for _, l := range s.listeners {
		l.Close()
	}
}

// Run reports that this process serves, and calls adopt with each connection that the predecessor passes, until the
// predecessor ends. If adopt returns false, the connection is closed.
func (s *Successor) Run(ctx context.Context, adopt func(*net.TCPConn) bool) error {
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { s.link.Close() })
	defer stop()
	if err := s.link.send(message{Kind: kindReady}); err != nil {
		return err
	}
	adopted := 0
	defer func() { s.log.Info("handover: ended", "adopted", adopted) }()
	for {
		m, err := s.link.receive()
		if errors.Is(err, errMalformed) {
			return err
		}
		if err != nil {
			return nil // the predecessor has ended
		}
		if m.Kind != kindPass {
			m.closeFDs()
			return errMalformed
		}
		c, err := s.connection(&m)
		if err != nil {
			s.log.Warn("handover: connection declined", "err", err)
			if err := s.link.send(message{Kind: kindDecline, Conn: m.Conn}); err != nil {
				return err
			}
			continue
		}
		// Acknowledged before any data is read: until then the predecessor may continue to serve the connection.
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

// connection returns the connection whose descriptor came with a message.
func (s *Successor) connection(m *message) (*net.TCPConn, error) {
	defer m.closeFDs()
	if len(m.fds) != 1 {
		return nil, fmt.Errorf("message carries %d descriptors, want 1", len(m.fds))
	}
	if err := checkTCPSocket(m.fds[0], false, s.address); err != nil {
		return nil, err
	}
	if _, err := unix.Getpeername(m.fds[0]); err != nil {
		return nil, fmt.Errorf("descriptor %d is not connected: %w", m.fds[0], err)
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
		return nil, errors.New("descriptor is not a TCP connection")
	}
	return tcp, nil
}
