package replacement

import (
	"fmt"
	"testing"
)

// model tracks both processes independently of the state machine: which accepts, and which may read each connection.
type model struct {
	machine        *Machine
	stopping       bool
	successor      Successor // the process that was last sent the listening sockets
	successorReady bool      // it has reported that it serves
	accepting      bool
	draining       bool
	lost           map[Successor]bool
	owner          map[Conn]string // reader: here (this process), none, passed (unacknowledged), there (the successor)
}

func (m *model) step(t *testing.T, events []any) {
	t.Helper()
	fail := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("after %v: %s", events, fmt.Sprintf(format, args...))
	}
	event := events[len(events)-1]
	switch e := event.(type) {
	case ShutdownRequested:
		m.stopping = true
	case Ready:
		m.successorReady = m.successorReady || e.Successor == m.successor
	case ConnIdle:
		m.owner[e.Conn] = "none"
	case Acknowledged:
		if m.owner[e.Conn] == "passed" {
			m.owner[e.Conn] = "there"
		}
	case Lost:
		m.lost[e.Successor] = true
	}
	for _, a := range m.machine.Handle(event, nil) {
		switch a := a.(type) {
		case SendListeners:
			if m.successor != 0 && !m.lost[m.successor] {
				fail("the listening sockets are sent to %d while %d is the successor", a.Successor, m.successor)
			}
			m.successor, m.successorReady = a.Successor, false
		case Refuse:
			if a.Successor == m.successor || a.Reason == "" {
				fail("process %d is refused with reason %q, and process %d is the successor", a.Successor, a.Reason, m.successor)
			}
		case BeginHandover:
			if !m.stopping || !m.successorReady || m.lost[m.successor] {
				fail("the handover begins without a serving successor, or before shutdown is requested")
			}
			m.accepting = false
		case ResumeAccepting:
			m.accepting, m.draining = true, true
		case Drain:
			m.draining = true
		case Pass:
			if m.owner[a.Conn] != "none" || m.lost[a.Successor] || a.Successor != m.successor {
				fail("connection %v is passed to process %d in state %q", a.Conn, a.Successor, m.owner[a.Conn])
			}
			m.owner[a.Conn] = "passed"
		case Release:
			if m.owner[a.Conn] != "there" {
				fail("connection %v is released in state %q", a.Conn, m.owner[a.Conn])
			}
		case Keep:
			if o := m.owner[a.Conn]; o != "none" && o != "passed" {
				fail("connection %v is kept in state %q", a.Conn, o)
			}
			m.owner[a.Conn] = "here"
		}
	}
	for c, o := range m.owner {
		if o == "none" || o == "passed" && m.lost[m.successor] {
			fail("connection %d has no reader (state %q)", c, o)
		}
	}
	if alive := m.successor != 0 && !m.lost[m.successor]; m.stopping && !alive && (!m.accepting || !m.draining) {
		fail("shutting down without a successor: accepting %v, draining %v, want both", m.accepting, m.draining)
	}
}

// Explores every order of events up to a depth: two processes request the handover, serve, acknowledge, decline and are
// lost; this process is told to shut down; two connections become idle. No connection ever has two readers or none,
// none is passed to a process that does not serve or is lost, and a process that loses its successor accepts
// connections again and drains.
func TestEveryOrder(t *testing.T) {
	events := []any{ShutdownRequested{}}
	for s := Successor(1); s <= 2; s++ {
		events = append(events, Requested{s}, Ready{s}, Lost{s}, Acknowledged{s, 1}, Declined{s, 2}, Acknowledged{s, 2})
	}
	events = append(events, ConnIdle{1}, ConnIdle{2})
	const depth = 6
	orders := 0
	var explore func(prefix []any)
	explore = func(prefix []any) {
		if len(prefix) > 0 { // replayed from the start, since a state machine cannot be copied
			m := &model{machine: New(), accepting: true, lost: map[Successor]bool{}, owner: map[Conn]string{1: "here", 2: "here"}}
			for i := range prefix {
				if !possible(m, prefix[i]) {
					return
				}
				m.step(t, prefix[:i+1])
			}
			orders++
		}
		if len(prefix) < depth {
			for _, e := range events {
				explore(append(prefix[:len(prefix):len(prefix)], e))
			}
		}
	}
	explore([]any{Requested{1}}) // relevant orders contain both a successor and a shutdown request
	explore([]any{ShutdownRequested{}})
	explore([]any{Requested{1}, Ready{1}, ShutdownRequested{}, ConnIdle{1}}) // deeper after the handover has begun
	if orders < 100_000 {
		t.Errorf("only %d orders were explored, want at least 100,000", orders)
	}
}

// possible excludes events that the caller of the state machine rules out: a message from a process that was lost or
// that has not requested the handover, and an idle report for a connection that this process does not read.
func possible(m *model, event any) bool {
	switch e := event.(type) {
	case Requested:
		return !m.lost[e.Successor] && e.Successor != m.successor
	case Ready:
		return !m.lost[e.Successor]
	case Acknowledged:
		return !m.lost[e.Successor] && e.Successor == m.successor
	case Declined:
		return !m.lost[e.Successor]
	case ConnIdle:
		return m.owner[e.Conn] == "here"
	}
	return true
}
