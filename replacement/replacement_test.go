package replacement

import (
	"fmt"
	"testing"
)

// world is what the two sides do, followed beside the machine: who accepts, and who may read each connection.
type model struct {
	machine        *Machine
	stopping       bool
	successor      Successor // holds the listening sockets
	successorReady bool      // that one said so
	accepting      bool
	draining       bool
	lost           map[Successor]bool
	owner          map[Conn]string // here, none, passed, there
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
				fail("lent to %d while %d succeeds", a.Successor, m.successor)
			}
			m.successor, m.successorReady = a.Successor, false
		case Refuse:
			if a.Successor == m.successor || a.Reason == "" {
				fail("%d turned away (%q)", a.Successor, a.Reason)
			}
		case BeginHandover:
			if !m.stopping || !m.successorReady || m.lost[m.successor] {
				fail("handing begins with nobody to hand to, or before it is told")
			}
			m.accepting = false
		case ResumeAccepting:
			m.accepting, m.draining = true, true
		case Drain:
			m.draining = true
		case Pass:
			if m.owner[a.Conn] != "none" || m.lost[a.Successor] || a.Successor != m.successor {
				fail("%v is passed to %d while it is %s", a.Conn, a.Successor, m.owner[a.Conn])
			}
			m.owner[a.Conn] = "passed"
		case Release:
			if m.owner[a.Conn] != "there" {
				fail("%v is let go of while it is %s", a.Conn, m.owner[a.Conn])
			}
		case Keep:
			if o := m.owner[a.Conn]; o != "none" && o != "passed" {
				fail("%v is served here while it is %s", a.Conn, o)
			}
			m.owner[a.Conn] = "here"
		}
	}
	for c, o := range m.owner {
		if o == "none" || o == "passed" && m.lost[m.successor] {
			fail("connection %d is nobody's (%s)", c, o)
		}
	}
	if alive := m.successor != 0 && !m.lost[m.successor]; m.stopping && !alive && (!m.accepting || !m.draining) {
		fail("told to end with nobody to follow, and accepting %v, draining %v", m.accepting, m.draining)
	}
}

// Every order of events up to a depth: two processes ask, serve, acknowledge, decline and die; this one is told to
// end; two connections come to rest. No connection ever has two readers or none, none is passed to a process that
// does not serve or is dead, and a process that loses its successor serves on and drains.
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
		if len(prefix) > 0 { // replayed from the start: a machine is not copied
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
	explore([]any{Requested{1}}) // the orders that matter have a successor, and the word to end, in some place
	explore([]any{ShutdownRequested{}})
	explore([]any{Requested{1}, Ready{1}, ShutdownRequested{}, ConnIdle{1}}) // deeper where handing has begun
	if orders < 100_000 {
		t.Errorf("only %d orders were gone through", orders)
	}
}

// possible leaves out what the callers guarantee not to happen: a process speaks after it was lost or before it
// asked, or a connection rests that is not read here.
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
