// Package replacement decides how a process hands its listening sockets and its clients' connections to the one
// that replaces it: who may succeed, when connections pass, and whose each of them is. It does no I/O and has no
// clock; what silence means, and when, its caller says with Lost.
package replacement

// State is how far the old process has come.
type State int

// The states of the old process.
const (
	NoSuccessor State = iota // it serves, and nobody is to follow
	Paired                   // a successor holds the listening sockets too, and does not serve yet
	BothServing              // both accept and serve
	HandingOver              // told to end: each connection at rest passes to the successor
	Draining                 // told to end with no successor: it serves on, and closes with its answers
)

// Successor is a process that asked to succeed, numbered by the caller from 1.
type Successor int

// Conn is a connection, numbered by the caller.
type Conn int

// Events.
type (
	// Requested: a process wants to succeed.
	Requested struct{ Successor Successor }
	// Ready: it serves.
	Ready struct{ Successor Successor }
	// Lost: it ended, fell silent, or spoke what cannot be read. What it still acknowledged came before.
	Lost struct{ Successor Successor }
	// ShutdownRequested: this process is to end.
	ShutdownRequested struct{}
	// ConnIdle: a connection has nothing of a request read from it, and nobody reads it here any more.
	ConnIdle struct{ Conn Conn }
	// Acknowledged: the successor has a connection, and has not read from it yet.
	Acknowledged struct {
		Successor Successor
		Conn      Conn
	}
	// Declined: the successor does not want it, or could not be given it.
	Declined struct {
		Successor Successor
		Conn      Conn
	}
)

// Actions.
type (
	// SendListeners gives the listening sockets to a process.
	SendListeners struct{ Successor Successor }
	// Refuse tells a process that it does not succeed.
	Refuse struct {
		Successor Successor
		Reason    string
	}
	// BeginHandover: accept no more, and report each connection that rests. The listening sockets stay open.
	BeginHandover struct{}
	// ResumeAccepting: accept again, and drain as one that nobody follows.
	ResumeAccepting struct{}
	// Pass gives a connection's descriptor to the successor; this process keeps its own, and reads nothing.
	Pass struct {
		Successor Successor
		Conn      Conn
	}
	// Release closes this process's descriptor of a connection that is the successor's.
	Release struct{ Conn Conn }
	// Keep serves a connection on, here.
	Keep struct{ Conn Conn }
	// Drain: nobody follows.
	Drain struct{}
)

// Machine is the old process's side.
type Machine struct {
	state          State
	stopping       bool
	successor      Successor // 0: none
	unacknowledged map[Conn]struct{}
}

// New is a process that serves alone.
func New() *Machine { return &Machine{unacknowledged: map[Conn]struct{}{}} }

// State tells how far it has come.
func (m *Machine) State() State { return m.state }

// Handle takes one event in, and appends what follows from it.
func (m *Machine) Handle(event any, actions []any) []any {
	switch e := event.(type) {
	case Requested:
		switch {
		case m.successor != 0:
			return append(actions, Refuse{e.Successor, "another process succeeds already"})
		case m.stopping:
			return append(actions, Refuse{e.Successor, "this process is ending"})
		}
		m.successor, m.state = e.Successor, Paired
		return append(actions, SendListeners(e))
	case Ready:
		if e.Successor == m.successor && m.state == Paired {
			m.state = BothServing
			return m.beginHandover(actions)
		}
	case ShutdownRequested:
		if m.stopping {
			return actions
		}
		m.stopping = true
		if m.successor == 0 {
			m.state = Draining
			return append(actions, Drain{})
		}
		return m.beginHandover(actions)
	case ConnIdle:
		if m.state != HandingOver {
			return append(actions, Keep(e))
		}
		m.unacknowledged[e.Conn] = struct{}{}
		return append(actions, Pass{m.successor, e.Conn})
	case Acknowledged:
		if m.settle(e.Successor, e.Conn) {
			return append(actions, Release{e.Conn})
		}
	case Declined:
		if m.settle(e.Successor, e.Conn) {
			return append(actions, Keep{e.Conn})
		}
	case Lost:
		if e.Successor == 0 || e.Successor != m.successor {
			return actions
		}
		for c := range m.unacknowledged { // never acknowledged, so never read by it
			actions = append(actions, Keep{c})
		}
		clear(m.unacknowledged)
		m.successor = 0
		previous := m.state
		m.state = NoSuccessor
		if m.stopping {
			m.state = Draining
			if previous == HandingOver {
				return append(actions, ResumeAccepting{})
			}
			return append(actions, Drain{})
		}
	}
	return actions
}

// begin starts the handing over once this process is to end and the other serves.
func (m *Machine) beginHandover(actions []any) []any {
	if m.stopping && m.state == BothServing {
		m.state = HandingOver
		actions = append(actions, BeginHandover{})
	}
	return actions
}

// mine tells whether a connection was passed to the successor and not settled yet, and settles it.
func (m *Machine) settle(s Successor, c Conn) bool {
	_, ok := m.unacknowledged[c]
	if s != m.successor || !ok {
		return false
	}
	delete(m.unacknowledged, c)
	return true
}
