package handoff

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"junctionring/replacement"
)

const (
	claimRetryInterval = 5 * time.Second        // where no socket can be made
	claimPollInterval  = 200 * time.Millisecond // between looks whether this process can be found at last
	ackTimeout         = 400 * time.Millisecond // for a successor to acknowledge a connection
	mailboxSize        = 256
)

// Predecessor is the old process's side of a handover: it can be found from the start, and is asked by its successor.
// One goroutine runs it, and waits on nobody but its mailbox.
type Predecessor struct {
	path      string
	address   string
	listeners map[string]net.Listener
	log       *slog.Logger
	mailbox   chan any
	done      chan struct{}

	machine     *replacement.Machine
	lastID      int // successors and connections are numbered
	links       map[replacement.Successor]link
	requested   map[replacement.Successor][]string // the addresses that it asked for
	transfers   map[replacement.Conn]*transfer
	begun       chan struct{}
	lost        chan struct{}
	noSuccessor chan struct{}
}

// passing is a connection on its way to the successor.
type transfer struct {
	conn   *net.TCPConn
	result chan bool // of one place
	timer  *time.Timer
}

type (
	connected struct{ link link }
	received  struct {
		successor replacement.Successor
		message   message
		err       error
	}
	shutdownRequested struct{}
	transferRequest   struct{ *transfer }
	ackTimedOut       struct {
		successor replacement.Successor
		conn      replacement.Conn
	}
)

// NewPredecessor makes the old side of a process that serves the listeners, by their addresses as its successor will
// write them; that of the first address names the place where it is found.
func NewPredecessor(dir, address string, listeners map[string]net.Listener, log *slog.Logger) *Predecessor {
	return &Predecessor{
		path: Path(dir, address), address: address, listeners: listeners, log: log, mailbox: make(chan any, mailboxSize), done: make(chan struct{}),
		machine: replacement.New(), links: map[replacement.Successor]link{}, requested: map[replacement.Successor][]string{}, transfers: map[replacement.Conn]*transfer{},
		begun: make(chan struct{}), lost: make(chan struct{}), noSuccessor: make(chan struct{}),
	}
}

// Run can be found, and answers successors, until ctx ends. Where no socket can be made (a folder that is full, a
// platform without them), this process is replaced without a handover; it says so once.
func (p *Predecessor) Run(ctx context.Context) {
	defer close(p.done)
	go p.acceptSuccessors(ctx)
	for {
		select {
		case <-ctx.Done():
			for _, l := range p.links {
				l.Close()
			}
			return
		case m := <-p.mailbox:
			p.handle(ctx, m)
		}
	}
}

// listen claims the path, at once or when the process that is found there has ended, and takes successors.
func (p *Predecessor) acceptSuccessors(ctx context.Context) {
	listener, err := claim(p.path)
	for warned := false; err != nil; listener, err = claim(p.path) {
		if !errors.Is(err, errInUse) && !warned {
			warned = true
			p.log.Warn("handover: no successor will find this process", "err", err)
		}
		interval := claimPollInterval
		if !errors.Is(err, errInUse) {
			interval = claimRetryInterval
		}
		wait := time.NewTimer(interval)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
	}
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		c, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		p.post(connected{link{c}})
	}
}

func (p *Predecessor) post(m any) bool {
	select {
	case p.mailbox <- m:
		return true
	case <-p.done:
		return false
	}
}

// NotifyShutdown says that this process is to end. begun is closed once the successor serves and connections go to it, alone
// once it is known that there is none; lost when one that there was is gone.
func (p *Predecessor) NotifyShutdown() (begun, noSuccessor, lost <-chan struct{}) {
	p.post(shutdownRequested{})
	return p.begun, p.noSuccessor, p.lost
}

// Transfer passes a connection to the successor, and returns false if that has not taken it: then it is still the
// caller's, and nobody else has read from it.
func (p *Predecessor) Transfer(c *net.TCPConn) bool {
	t := &transfer{conn: c, result: make(chan bool, 1)}
	if !p.post(transferRequest{t}) {
		return false
	}
	select {
	case ok := <-t.result:
		return ok
	case <-p.done:
		return false
	}
}

func (p *Predecessor) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case connected:
		if err := m.link.checkPeer(); err != nil {
			p.log.Warn("handover: a caller is not let in", "err", err)
			m.link.Close()
			return
		}
		p.lastID++
		successor := replacement.Successor(p.lastID)
		p.links[successor] = m.link
		go func() {
			for {
				msg, err := m.link.receive()
				if !p.post(received{successor, msg, err}) {
					msg.closeFDs()
				}
				if err != nil {
					return
				}
			}
		}()
	case received:
		p.handleMessage(m)
	case shutdownRequested:
		p.log.Info("handover: told to end", "state", p.machine.State())
		p.process(replacement.ShutdownRequested{})
	case transferRequest:
		p.lastID++
		id := replacement.Conn(p.lastID)
		p.transfers[id] = m.transfer
		p.process(replacement.ConnIdle{Conn: id})
	case ackTimedOut:
		if p.transfers[m.conn] != nil {
			p.log.Warn("handover: the successor is silent", "conn", m.conn)
			p.disconnect(m.successor)
		}
	}
}

// heard takes in what a successor says.
func (p *Predecessor) handleMessage(m received) {
	defer m.message.closeFDs()
	l, known := p.links[m.successor]
	if !known {
		return
	}
	if m.err != nil {
		l.Close()
		delete(p.links, m.successor)
		delete(p.requested, m.successor)
		p.process(replacement.Lost{Successor: m.successor})
		return
	}
	conn := replacement.Conn(m.message.Conn)
	switch m.message.Kind {
	case kindAsk:
		p.requested[m.successor] = m.message.Addresses
		p.process(replacement.Requested{Successor: m.successor})
	case kindReady:
		p.process(replacement.Ready{Successor: m.successor})
	case kindTook:
		p.process(replacement.Acknowledged{Successor: m.successor, Conn: conn})
	case kindDecline:
		p.process(replacement.Declined{Successor: m.successor, Conn: conn})
	default:
		p.disconnect(m.successor)
	}
}

// cut ends a successor's part. It can acknowledge nothing more from here on; what it has acknowledged is still
// read, up to the end, and only then is it lost: no connection has two readers.
func (p *Predecessor) disconnect(successor replacement.Successor) {
	if l, ok := p.links[successor]; ok {
		l.CloseRead()
	}
}

// do has the machine decide, and carries it out.
func (p *Predecessor) process(event any) {
	for _, a := range p.machine.Handle(event, nil) {
		switch a := a.(type) {
		case replacement.SendListeners:
			if err := p.sendListeners(a.Successor); err != nil {
				p.log.Warn("handover: the listening sockets cannot be lent", "err", err)
				p.disconnect(a.Successor)
			}
		case replacement.Refuse:
			p.log.Info("handover: a process is turned away", "why", a.Reason)
			p.links[a.Successor].send(message{Kind: kindRefuse, Reason: a.Reason})
		case replacement.BeginHandover:
			p.log.Info("handover: begins")
			close(p.begun)
		case replacement.ResumeAccepting:
			p.log.Warn("handover: the successor is lost; this process drains")
			close(p.lost)
		case replacement.Drain:
			close(p.noSuccessor)
		case replacement.Pass:
			p.sendConn(a)
		case replacement.Release:
			p.settle(a.Conn, true)
		case replacement.Keep:
			p.settle(a.Conn, false)
		}
	}
}

// lend gives a successor the listening sockets of the addresses that it asked for and that are served here.
func (p *Predecessor) sendListeners(successor replacement.Successor) error {
	m := message{Kind: kindLend}
	var send func(addresses []string, fds []int) error
	send = func(addresses []string, fds []int) error { // each descriptor is held while the next is looked up
		if len(addresses) == 0 {
			return p.links[successor].send(m, fds...)
		}
		c, ok := p.listeners[addresses[0]].(syscall.Conn)
		if !ok {
			return send(addresses[1:], fds)
		}
		m.Addresses = append(m.Addresses, addresses[0])
		return withFD(c, func(fd int) error { return send(addresses[1:], append(fds, fd)) })
	}
	requested := p.requested[successor]
	return send(requested[:min(len(requested), maxFDs)], nil)
}

// pass sends a connection's descriptor. It stays open here until it is acknowledged.
func (p *Predecessor) sendConn(a replacement.Pass) {
	t := p.transfers[a.Conn]
	err := withFD(t.conn, func(fd int) error {
		return p.links[a.Successor].send(message{Kind: kindPass, Conn: int(a.Conn)}, fd)
	})
	if err != nil {
		p.disconnect(a.Successor)
	}
	t.timer = time.AfterFunc(ackTimeout, func() { p.post(ackTimedOut{a.Successor, a.Conn}) })
}

func (p *Predecessor) settle(c replacement.Conn, taken bool) {
	t := p.transfers[c]
	if t == nil {
		return
	}
	delete(p.transfers, c)
	if t.timer != nil {
		t.timer.Stop()
	}
	t.result <- taken
}
