package replacement

import (
	"fmt"
	"testing"
)

// world is what the two sides do, followed beside the machine: who accepts, and who may read each connection.
type world struct {
	m         *Machine
	told      bool
	lent      Successor // holds the listening sockets
	serves    bool      // that one said so
	accepting bool
	drains    bool
	dead      map[Successor]bool
	owner     map[Conn]string // here, none, passed, there
}

func (w *world) step(t *testing.T, trail []any) {
	t.Helper()
	fail := func(format string, args ...any) {
		t.Helper()
		t.Fatalf("after %v: %s", trail, fmt.Sprintf(format, args...))
	}
	event := trail[len(trail)-1]
	switch e := event.(type) {
	case ShutdownRequested:
		w.told = true
	case Ready:
		w.serves = w.serves || e.Successor == w.lent
	case ConnIdle:
		w.owner[e.Conn] = "none"
	case Acknowledged:
		if w.owner[e.Conn] == "passed" {
			w.owner[e.Conn] = "there"
		}
	case Lost:
		w.dead[e.Successor] = true
	}
	for _, a := range w.m.Handle(event, nil) {
		switch a := a.(type) {
		case SendListeners:
			if w.lent != 0 && !w.dead[w.lent] {
				fail("lent to %d while %d succeeds", a.Successor, w.lent)
			}
			w.lent, w.serves = a.Successor, false
		case Refuse:
			if a.Successor == w.lent || a.Reason == "" {
				fail("%d turned away (%q)", a.Successor, a.Reason)
			}
		case BeginHandover:
			if !w.told || !w.serves || w.dead[w.lent] {
				fail("handing begins with nobody to hand to, or before it is told")
			}
			w.accepting = false
		case ResumeAccepting:
			w.accepting, w.drains = true, true
		case Drain:
			w.drains = true
		case Pass:
			if w.owner[a.Conn] != "none" || w.dead[a.Successor] || a.Successor != w.lent {
				fail("%v is passed to %d while it is %s", a.Conn, a.Successor, w.owner[a.Conn])
			}
			w.owner[a.Conn] = "passed"
		case Release:
			if w.owner[a.Conn] != "there" {
				fail("%v is let go of while it is %s", a.Conn, w.owner[a.Conn])
			}
		case Keep:
			if o := w.owner[a.Conn]; o != "none" && o != "passed" {
				fail("%v is served here while it is %s", a.Conn, o)
			}
			w.owner[a.Conn] = "here"
		}
	}
	for c, o := range w.owner {
		if o == "none" || o == "passed" && w.dead[w.lent] {
			fail("connection %d is nobody's (%s)", c, o)
		}
	}
	if alive := w.lent != 0 && !w.dead[w.lent]; w.told && !alive && (!w.accepting || !w.drains) {
		fail("told to end with nobody to follow, and accepting %v, draining %v", w.accepting, w.drains)
	}
}

// Every order of events up to a depth: two processes ask, serve, acknowledge, decline and die; this one is told to
// end; two connections come to rest. No connection ever has two readers or none, none is passed to a process that
// does not serve or is dead, and a process that loses its successor serves on and drains.
func TestEveryOrder(t *testing.T) {
	events := []any{ShutdownRequested{}}
	for h := Successor(1); h <= 2; h++ {
		events = append(events, Requested{h}, Ready{h}, Lost{h}, Acknowledged{h, 1}, Declined{h, 2}, Acknowledged{h, 2})
	}
	events = append(events, ConnIdle{1}, ConnIdle{2})
	const depth = 6
	orders := 0
	var walk func(trail []any)
	walk = func(trail []any) {
		if len(trail) > 0 { // replayed from the start: a machine is not copied
			w := &world{m: New(), accepting: true, dead: map[Successor]bool{}, owner: map[Conn]string{1: "here", 2: "here"}}
			for i := range trail {
				if !possible(w, trail[i]) {
					return
				}
				w.step(t, trail[:i+1])
			}
			orders++
		}
		if len(trail) < depth {
			for _, e := range events {
				walk(append(trail[:len(trail):len(trail)], e))
			}
		}
	}
	walk([]any{Requested{1}}) // the orders that matter have a successor, and the word to end, in some place
	walk([]any{ShutdownRequested{}})
	walk([]any{Requested{1}, Ready{1}, ShutdownRequested{}, ConnIdle{1}}) // deeper where handing has begun
	if orders < 100_000 {
		t.Errorf("only %d orders were gone through", orders)
	}
}

// possible leaves out what the callers guarantee not to happen: a process speaks after it was lost or before it
// asked, or a connection rests that is not read here.
func possible(w *world, event any) bool {
	switch e := event.(type) {
	case Requested:
		return !w.dead[e.Successor] && e.Successor != w.lent
	case Ready:
		return !w.dead[e.Successor]
	case Acknowledged:
		return !w.dead[e.Successor] && e.Successor == w.lent
	case Declined:
		return !w.dead[e.Successor]
	case ConnIdle:
		return w.owner[e.Conn] == "here"
	}
	return true
}
