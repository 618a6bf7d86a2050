// Package replacement decides how a process hands its listening sockets and its clients' connections over to its
// successor, the process that replaces it: which process becomes the successor, when connections are passed, and
// which of the two processes owns each of them. It does no I/O and has no clock; the caller decides when a successor
// that does not answer counts as failed, and reports it with Lost.
package replacement

// State is the progress of the predecessor, the process that is replaced.
type State int

// The states of the predecessor.
const (
	NoSuccessor State = iota // serving, without a successor
	Paired                   // a successor holds the listening sockets too, but does not serve yet
	BothServing              // both processes accept and serve
	HandingOver              // shutting down: each connection that becomes idle is passed to the successor
	Draining                 // shutting down without a successor: still serves, and closes each connection with its answer
)

// Successor is a process that asked to replace this one, numbered by the caller from 1.
type Successor int

// Conn is a connection, numbered by the caller.
type Conn int

// Events.
type (
	// Requested: a process asks to become the successor.
	Requested struct{ Successor Successor }
	// Ready: the successor serves.
	Ready struct{ Successor Successor }
	// Lost: the successor ended, did not answer in time, or sent a malformed message. The caller reports every
	// acknowledgement of that successor before Lost.
	Lost struct{ Successor Successor }
	// ShutdownRequested: this process is to shut down.
	ShutdownRequested struct{}
	// ConnIdle: no part of a request has been read from a connection, and this process no longer reads from it.
	ConnIdle struct{ Conn Conn }
	// Acknowledged: the successor has received a connection, and has not read from it yet.
	Acknowledged struct {
		Successor Successor
		Conn      Conn
	}
	// Declined: the successor does not take a connection, or the connection could not be passed to it.
	Declined struct {
		Successor Successor
		Conn      Conn
	}
)

// Actions.
type (
	// SendListeners passes the listening sockets to the successor.
	SendListeners struct{ Successor Successor }
	// Refuse tells a process that it does not become the successor.
	Refuse struct {
		Successor Successor
		Reason    string
	}
	// BeginHandover: stop accepting connections, and report each connection that becomes idle. The listening sockets
	// stay open.
	BeginHandover struct{}
	// ResumeAccepting: accept connections again, and drain as without a successor.
	ResumeAccepting struct{}
	// Pass sends a connection's descriptor to the successor; this process keeps its own descriptor, and does not read
	// from it.
	Pass struct {
		Successor Successor
		Conn      Conn
	}
	// Release closes this process's descriptor of a connection that the successor owns.
	Release struct{ Conn Conn }
	// Keep continues to serve a connection in this process.
	Keep struct{ Conn Conn }
	// Drain: shut down without a successor.
	Drain struct{}
)

// Machine is the predecessor's state machine. It is not safe for concurrent use.
type Machine struct {
	state          State
	stopping       bool
	successor      Successor         // 0: none
	unacknowledged map[Conn]struct{} // passed to the successor, and neither acknowledged nor declined yet
}

// New returns the state machine of a process that serves without a successor.
func New() *Machine { return &Machine{unacknowledged: map[Conn]struct{}{}} }

func (m *Machine) State() State { return m.state }

// Handle processes one event and appends the resulting actions.
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
		for c := range m.unacknowledged { // not acknowledged, so the successor has not read from it
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

// beginHandover begins the handover once shutdown is requested and the successor serves.
func (m *Machine) beginHandover(actions []any) []any {
	if m.stopping && m.state == BothServing {
		m.state = HandingOver
		actions = append(actions, BeginHandover{})
	}
	return actions
}

// settle records that the successor has acknowledged or declined a connection. It reports whether the connection was
// still unacknowledged; otherwise it changes nothing.
func (m *Machine) settle(s Successor, c Conn) bool {
	_, ok := m.unacknowledged[c]
	if s != m.successor || !ok {
		return false
	}
	delete(m.unacknowledged, c)
	return true
}
