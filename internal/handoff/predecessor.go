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
	claimAgain = 5 * time.Second        // where no socket can be made
	claimEvery = 200 * time.Millisecond // between looks whether this process can be found at last
	takeWait   = 400 * time.Millisecond // for a successor to acknowledge a connection
	mailbox    = 256
)

// Predecessor is the old process's side of a handover: it can be found from the start, and is asked by its successor.
// One goroutine runs it, and waits on nobody but its mailbox.
type Predecessor struct {
	path    string
	address string
	lent    map[string]net.Listener
	log     *slog.Logger
	mail    chan any
	ended   chan struct{}

	machine *replacement.Machine
	last    int // successors and connections are numbered
	links   map[replacement.Successor]link
	wants   map[replacement.Successor][]string // the addresses that it asked for
	waiting map[replacement.Conn]*passing
	begun   chan struct{}
	lost    chan struct{}
	alone   chan struct{}
}

// passing is a connection on its way to the successor.
type passing struct {
	conn  *net.TCPConn
	taken chan bool // of one place
	late  *time.Timer
}

type (
	came  struct{ link link }
	heard struct {
		successor replacement.Successor
		message   message
		err       error
	}
	tell struct{}
	give struct{ *passing }
	late struct {
		successor replacement.Successor
		conn      replacement.Conn
	}
)

// NewPredecessor makes the old side of a process that serves the listeners, by their addresses as its successor will
// write them; that of the first address names the place where it is found.
func NewPredecessor(dir, address string, lent map[string]net.Listener, log *slog.Logger) *Predecessor {
	return &Predecessor{
		path: Path(dir, address), address: address, lent: lent, log: log, mail: make(chan any, mailbox), ended: make(chan struct{}),
		machine: replacement.New(), links: map[replacement.Successor]link{}, wants: map[replacement.Successor][]string{}, waiting: map[replacement.Conn]*passing{},
		begun: make(chan struct{}), lost: make(chan struct{}), alone: make(chan struct{}),
	}
}

// Run can be found, and answers successors, until ctx ends. Where no socket can be made (a folder that is full, a
// platform without them), this process is replaced without a handover; it says so once.
func (e *Predecessor) Run(ctx context.Context) {
	defer close(e.ended)
	go e.listen(ctx)
	for {
		select {
		case <-ctx.Done():
			for _, l := range e.links {
				l.Close()
			}
			return
		case m := <-e.mail:
			e.handle(ctx, m)
		}
	}
}

// listen claims the path, at once or when the process that is found there has ended, and takes successors.
func (e *Predecessor) listen(ctx context.Context) {
	in, err := claim(e.path)
	for said := false; err != nil; in, err = claim(e.path) {
		if !errors.Is(err, errHeld) && !said {
			said = true
			e.log.Warn("handover: no successor will find this process", "err", err)
		}
		again := claimEvery
		if !errors.Is(err, errHeld) {
			again = claimAgain
		}
		wait := time.NewTimer(again)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
	}
	defer in.Close()
	stop := context.AfterFunc(ctx, func() { in.Close() })
	defer stop()
	for {
		c, err := in.AcceptUnix()
		if err != nil {
			return
		}
		e.post(came{link{c}})
	}
}

func (e *Predecessor) post(m any) bool {
	select {
	case e.mail <- m:
		return true
	case <-e.ended:
		return false
	}
}

// NotifyShutdown says that this process is to end. begun is closed once the successor serves and connections go to it, alone
// once it is known that there is none; lost when one that there was is gone.
func (e *Predecessor) NotifyShutdown() (begun, alone, lost <-chan struct{}) {
	e.post(tell{})
	return e.begun, e.alone, e.lost
}

// Transfer passes a connection to the successor, and returns false if that has not taken it: then it is still the
// caller's, and nobody else has read from it.
func (e *Predecessor) Transfer(c *net.TCPConn) bool {
	p := &passing{conn: c, taken: make(chan bool, 1)}
	if !e.post(give{p}) {
		return false
	}
	select {
	case ok := <-p.taken:
		return ok
	case <-e.ended:
		return false
	}
}

func (e *Predecessor) handle(ctx context.Context, m any) {
	switch m := m.(type) {
	case came:
		if err := m.link.peer(); err != nil {
			e.log.Warn("handover: a caller is not let in", "err", err)
			m.link.Close()
			return
		}
		e.last++
		successor := replacement.Successor(e.last)
		e.links[successor] = m.link
		go func() {
			for {
				msg, err := m.link.receive()
				if !e.post(heard{successor, msg, err}) {
					msg.close()
				}
				if err != nil {
					return
				}
			}
		}()
	case heard:
		e.heard(m)
	case tell:
		e.log.Info("handover: told to end", "state", e.machine.State())
		e.do(replacement.ShutdownRequested{})
	case give:
		e.last++
		id := replacement.Conn(e.last)
		e.waiting[id] = m.passing
		e.do(replacement.ConnIdle{Conn: id})
	case late:
		if e.waiting[m.conn] != nil {
			e.log.Warn("handover: the successor is silent", "conn", m.conn)
			e.cut(m.successor)
		}
	}
}

// heard takes in what a successor says.
func (e *Predecessor) heard(m heard) {
	defer m.message.close()
	l, known := e.links[m.successor]
	if !known {
		return
	}
	if m.err != nil {
		l.Close()
		delete(e.links, m.successor)
		delete(e.wants, m.successor)
		e.do(replacement.Lost{Successor: m.successor})
		return
	}
	conn := replacement.Conn(m.message.Conn)
	switch m.message.Kind {
	case ask:
		e.wants[m.successor] = m.message.Listen
		e.do(replacement.Requested{Successor: m.successor})
	case ready:
		e.do(replacement.Ready{Successor: m.successor})
	case took:
		e.do(replacement.Acknowledged{Successor: m.successor, Conn: conn})
	case decline:
		e.do(replacement.Declined{Successor: m.successor, Conn: conn})
	default:
		e.cut(m.successor)
	}
}

// cut ends a successor's part. It can acknowledge nothing more from here on; what it has acknowledged is still
// read, up to the end, and only then is it lost: no connection has two readers.
func (e *Predecessor) cut(successor replacement.Successor) {
	if l, ok := e.links[successor]; ok {
		l.CloseRead()
	}
}

// do has the machine decide, and carries it out.
func (e *Predecessor) do(event any) {
	for _, a := range e.machine.Handle(event, nil) {
		switch a := a.(type) {
		case replacement.SendListeners:
			if err := e.lend(a.Successor); err != nil {
				e.log.Warn("handover: the listening sockets cannot be lent", "err", err)
				e.cut(a.Successor)
			}
		case replacement.Refuse:
			e.log.Info("handover: a process is turned away", "why", a.Reason)
			e.links[a.Successor].send(message{Kind: refuse, Why: a.Reason})
		case replacement.BeginHandover:
			e.log.Info("handover: begins")
			close(e.begun)
		case replacement.ResumeAccepting:
			e.log.Warn("handover: the successor is lost; this process drains")
			close(e.lost)
		case replacement.Drain:
			close(e.alone)
		case replacement.Pass:
			e.pass(a)
		case replacement.Release:
			e.settle(a.Conn, true)
		case replacement.Keep:
			e.settle(a.Conn, false)
		}
	}
}

// lend gives a successor the listening sockets of the addresses that it asked for and that are served here.
func (e *Predecessor) lend(successor replacement.Successor) error {
	m := message{Kind: lend}
	var send func(addresses []string, fds []int) error
	send = func(addresses []string, fds []int) error { // each descriptor is held while the next is looked up
		if len(addresses) == 0 {
			return e.links[successor].send(m, fds...)
		}
		c, ok := e.lent[addresses[0]].(syscall.Conn)
		if !ok {
			return send(addresses[1:], fds)
		}
		m.Listen = append(m.Listen, addresses[0])
		return control(c, func(fd int) error { return send(addresses[1:], append(fds, fd)) })
	}
	wants := e.wants[successor]
	return send(wants[:min(len(wants), mostFDs)], nil)
}

// pass sends a connection's descriptor. It stays open here until it is acknowledged.
func (e *Predecessor) pass(a replacement.Pass) {
	p := e.waiting[a.Conn]
	err := control(p.conn, func(fd int) error {
		return e.links[a.Successor].send(message{Kind: pass, Conn: int(a.Conn)}, fd)
	})
	if err != nil {
		e.cut(a.Successor)
	}
	p.late = time.AfterFunc(takeWait, func() { e.post(late{a.Successor, a.Conn}) })
}

func (e *Predecessor) settle(c replacement.Conn, taken bool) {
	p := e.waiting[c]
	if p == nil {
		return
	}
	delete(e.waiting, c)
	if p.late != nil {
		p.late.Stop()
	}
	p.taken <- taken
}
