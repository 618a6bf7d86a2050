package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"

	"junctionring/internal/handoff"
	"junctionring/internal/socket"
)

// listeners are the sockets of the addresses that a process serves, the clients' first.
type listeners struct {
	addresses []string
	successor *handoff.Successor // nil: this process replaces nobody
	open      map[string]net.Listener
	log       *slog.Logger
}

// openListeners asks the process that serves these addresses, if there is one, for their sockets.
func openListeners(log *slog.Logger, addresses ...string) *listeners {
	l := &listeners{addresses: addresses, open: map[string]net.Listener{}, log: log}
	successor, err := handoff.Connect(os.TempDir(), log, addresses...)
	switch {
	case err == nil:
		l.successor = successor
		log.Info("handover: this process replaces another")
	case !errors.Is(err, os.ErrNotExist):
		log.Warn("handover: none from the process before; the addresses are opened anew", "err", err)
	}
	return l
}

// listen is the socket of an address: the old process's, or a new one that it may share (SO_REUSEPORT).
func (l *listeners) listen(address string) (listener net.Listener, err error) {
	if l.successor != nil {
		listener = l.successor.Listener(address)
	}
	if listener == nil {
		if listener, err = socket.Listen(context.Background(), address); err != nil {
			return nil, err
		}
	}
	l.open[address] = listener
	return listener, nil
}
