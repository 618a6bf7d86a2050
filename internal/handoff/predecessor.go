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
	claimRetryInterval = 5 * time.Second        // after the handover socket could not be created
	claimPollInterval  = 200 * time.Millisecond // while another process listens on the handover socket
	ackTimeout         = 400 * time.Millisecond // for a successor to acknowledge a connection
	mailboxSize        = 256                    // messages
)

// Predecessor is the side of a handover in the process that is replaced: it listens from the start, and its successor
// connects to it. It is an actor: one goroutine runs it, and blocks only on its mailbox.
type Predecessor struct {
	path      string
	address   string
	listeners map[string]net.Listener
	log       *slog.Logger
	mailbox   chan any
	done      chan struct{}

	machine     *replacement.Machine
	lastID      int // of successors and connections
	links       map[replacement.Successor]link
	requested   map[replacement.Successor][]string // the addresses that each one asked for
	transfers   map[replacement.Conn]*transfer
	begun       chan struct{}
	lost        chan struct{}
	noSuccessor chan struct{}
}

// transfer is a connection that is being passed to the successor.
type transfer struct {
	conn   *net.TCPConn
	result chan bool // buffered for one result
	timer  *time.Timer
}

// The messages of the mailbox.
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

// NewPredecessor returns the Predecessor of a process that serves the listeners, which are keyed by address in the form
// that the successor uses. The handover socket is in dir, and its name is made from address, the first of the addresses.
func NewPredecessor(dir, address string, listeners map[string]net.Listener, log *slog.Logger) *Predecessor {
	return &Predecessor{
		path: Path(dir, address), address: address, listeners: listeners, log: log,
		mailbox: make(chan any, mailboxSize), done: make(chan struct{}),
		machine: replacement.New(), links: map[replacement.Successor]link{},
		requested: map[replacement.Successor][]string{}, transfers: map[replacement.Conn]*transfer{},
		begun: make(chan struct{}), lost: make(chan struct{}), noSuccessor: make(chan struct{}),
	}
}

// Run accepts and answers successors until ctx ends. If the handover socket cannot be created (the disk is full, or the
// platform has no such sockets), this process is replaced without a handover; Run logs this once and keeps trying.
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

// acceptSuccessors claims the path, at once or when the process that listens there has ended, and accepts connections of
// successors.
func (p *Predecessor) acceptSuccessors(ctx context.Context) {
	listener, err := claim(p.path)
	for warned := false; err != nil; listener, err = claim(p.path) {
		if !errors.Is(err, errInUse) && !warned {
			warned = true
			p.log.Warn("handover: cannot listen for a successor; retrying", "err", err)
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

// NotifyShutdown reports that this process is to shut down. begun is closed once the successor serves and connections can
// be passed to it, noSuccessor once it is known that there is none, and lost when the successor fails after begun.
func (p *Predecessor) NotifyShutdown() (begun, noSuccessor, lost <-chan struct{}) {
	p.post(shutdownRequested{})
	return p.begun, p.noSuccessor, p.lost
}

// Transfer passes a connection to the successor. It returns false if the successor has not acknowledged it: the
// connection then still belongs to the caller, and the successor has not read from it.
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
			p.log.Warn("handover: connection of another process rejected", "err", err)
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
		p.log.Info("handover: shutdown requested", "state", p.machine.State())
		p.process(replacement.ShutdownRequested{})
	case transferRequest:
		p.lastID++
		id := replacement.Conn(p.lastID)
		p.transfers[id] = m.transfer
		p.process(replacement.ConnIdle{Conn: id})
	case ackTimedOut:
		if p.transfers[m.conn] != nil {
			p.log.Warn("handover: successor did not acknowledge a connection in time", "conn", m.conn)
			p.disconnect(m.successor)
		}
	}
}

// handleMessage processes a message of a successor, or the end of its link.
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

// disconnect gives up a successor. The successor cannot acknowledge connections any more; acknowledgements that it has
// already sent are still read, and only after the last one does it count as lost. Otherwise a connection could have two
// readers.
func (p *Predecessor) disconnect(successor replacement.Successor) {
	if l, ok := p.links[successor]; ok {
		l.CloseRead()
	}
}

// process passes an event to the state machine and carries out the resulting actions.
func (p *Predecessor) process(event any) {
	for _, a := range p.machine.Handle(event, nil) {
		switch a := a.(type) {
		case replacement.SendListeners:
			if err := p.sendListeners(a.Successor); err != nil {
				p.log.Warn("handover: cannot send the listening sockets", "err", err)
				p.disconnect(a.Successor)
			}
		case replacement.Refuse:
			p.log.Info("handover: request refused", "why", a.Reason)
			p.links[a.Successor].send(message{Kind: kindRefuse, Reason: a.Reason})
		case replacement.BeginHandover:
			p.log.Info("handover: started")
			close(p.begun)
		case replacement.ResumeAccepting:
			p.log.Warn("handover: successor lost; draining")
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

// sendListeners sends a successor the listening sockets of those requested addresses that this process serves.
func (p *Predecessor) sendListeners(successor replacement.Successor) error {
	m := message{Kind: kindLend}
	var send func(addresses []string, fds []int) error
	send = func(addresses []string, fds []int) error { // nested: every descriptor stays open until the send
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

// sendConn sends a connection's descriptor. The connection stays open in this process until it is acknowledged.
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
