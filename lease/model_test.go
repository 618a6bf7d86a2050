package lease

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxWorlds limits a search: it ends after the depth at which it has reached this many worlds. docs/leases.md states what
// larger searches found.
var maxWorlds = flag.Int("worlds", 5_000, "worlds of each scenario after which its search ends")

// The model has one group of coordinators, two or three holders of one lease, a network that delays, loses, duplicates
// and reorders messages, clocks whose rates differ by the most that Timing allows, changes of leader, processes that
// are paused between their check and their action, revocations, and a restored backup. A world is one state of the
// whole model. Whether an action is a violation is judged from what the holders may do, never from what the
// coordinators believe.
const (
	step       = 10 // units of true time
	sessionTTL = 3 * step
	driftRate  = 0.1
)

// holderRates are the units by which the holders' clocks advance per step. The leaders' clocks advance by 11, which
// differs most from the slowest holder's.
var holderRates = [...]int{9, 10, 11}

type message struct {
	kind       string // open, renew, arrived (at a leader, not confirmed yet), ask, renewed, answered, told, gone
	holder     int
	session    string
	number     uint64
	request    Request
	term       uint64
	receivedAt time.Duration
	outcome    Outcome
	view       View
}

// budget is how often each event may still happen.
type budget struct {
	lost, duplicated, leaders, pauses, revokes, restores, releases, acquires, renewals, resends,
	deposedCommands, newSessions int
}

type process struct {
	h           *Holder
	session     string
	sessions    int
	paused      bool
	pausedToken uint64 // token of an action that is checked before the pause and done after it
}

type world struct {
	now           int
	state         *State
	tracker       *ExpiryTracker
	backup        *State
	pending       []Command      // proposed by the leader, not applied yet
	deposed       *ExpiryTracker // a deposed leader that does not know yet that it is deposed
	deposedState  *State         // the state that the deposed leader knows
	processes     []process
	network       []message
	fenceToken    uint64 // highest token that the protected resource has seen
	highestActed  uint64 // highest token under which any process acted
	lastActor     string // session that acted under it
	budget        budget
	disabledGuard guard
	fenceDisabled bool
	violation     string
}

func timing() Timing {
	return Timing{TTL: sessionTTL, Drift: driftRate, Margin: 2, MaxPause: 0, MaxClockJump: 0}
}

func (w *world) holderClock(i int) time.Duration { return time.Duration(1000 + w.now*holderRates[i]) }
func (w *world) leaderClock() time.Duration      { return time.Duration(500 + w.now*11) }

func newWorld(holders int, allowed budget, disabled guard) *world {
	s := NewState()
	s.disabledGuard = disabled
	s.Apply(Command{Op: Lead, Term: 1, Epoch: 1})
	s.Sealed = false
	w := &world{state: s, budget: allowed, disabledGuard: disabled}
	w.tracker = NewExpiryTracker(w.leaderClock(), s, sessionTTL)
	w.backup = copyState(s)
	for i := range holders {
		w.processes = append(w.processes, process{})
		w.open(i)
		w.deliver(w.take(0))
		w.deliver(w.take(0))
	}
	return w
}

// open starts a session: its renewal number 1 carries the request to open it.
func (w *world) open(i int) {
	p := &w.processes[i]
	p.sessions++
	p.session = fmt.Sprintf("s%d.%d", i, p.sessions)
	p.h = NewHolder(timing())
	p.h.disabledGuard = w.disabledGuard
	w.network = append(w.network, message{kind: "open", holder: i, session: p.session, number: p.h.Renew(w.holderClock(i))})
}

func (w *world) take(i int) message {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	return m
}

func (w *world) notify(e Effect) {
	for _, id := range e.AffectedSessions {
		for i, p := range w.processes {
			if v, ok := w.state.View(id); p.session == id && ok {
				w.network = append(w.network, message{kind: "told", holder: i, session: id, view: v})
			}
		}
	}
}

func (w *world) apply(c Command) Effect {
	e := w.state.Apply(c)
	w.tracker.Applied(w.leaderClock(), w.state, c, e)
	w.notify(e)
	return e
}

func (w *world) deliver(m message) {
	p := &w.processes[m.holder]
	answer := func(k string, o Outcome, v View) {
		w.network = append(w.network, message{kind: k, holder: m.holder, session: m.session, number: m.number,
			request: m.request, outcome: o, view: v})
	}
	confirm := func() {
		if !w.tracker.Renewed(m.receivedAt, w.state, m.session) {
			answer("gone", Outcome{}, View{})
			return
		}
		v, _ := w.state.View(m.session)
		answer("renewed", Outcome{}, v)
	}
	switch m.kind {
	case "open":
		w.apply(Command{Op: Open, Session: m.session, TTL: sessionTTL})
		m.receivedAt = w.leaderClock()
		confirm()
	case "renew":
		if w.deposed != nil && w.disabledGuard == guardLeaderConfirmed { // it answers without confirming that it leads
			if w.deposed.Renewed(w.leaderClock(), w.deposedState, m.session) {
				v, _ := w.deposedState.View(m.session)
				answer("renewed", Outcome{}, v)
			}
			return
		}
		m.kind, m.receivedAt, m.term = "arrived", w.leaderClock(), w.state.Term
		w.network = append(w.network, m)
	case "arrived":
		if m.term == w.state.Term {
			confirm()
		}
	case "ask":
		e := w.apply(Command{Op: m.request.Op, Session: m.session, Seq: m.request.Seq, Name: "l", Token: m.request.Token})
		v, exists := w.state.View(m.session)
		if !exists { // as in the coordinator: Unknown for a lease alone is an ordinary answer
			answer("gone", Outcome{}, View{})
			return
		}
		answer("answered", e.Outcome, v)
	default:
		if m.session != p.session {
			return
		}
		now := w.holderClock(m.holder)
		p.h.Tick(now, now, nil)
		switch m.kind {
		case "renewed":
			p.h.Renewed(now, m.number, m.view, nil)
		case "answered":
			p.h.Answered(now, m.request.Seq, m.outcome, m.view, nil)
		case "told":
			p.h.ViewReceived(now, m.view, nil)
		case "gone":
			if _, ok := w.state.Sessions[p.session]; !ok {
				p.h.SessionGone(nil)
			}
		}
	}
}

// advanceTime advances the time by one step: every process that is not paused checks its clocks.
func (w *world) advanceTime() {
	w.now++
	for i := range w.processes {
		if !w.processes[i].paused {
			w.processes[i].h.Tick(w.holderClock(i), w.holderClock(i), nil)
		}
	}
	w.pending = append(w.pending, w.tracker.Due(w.leaderClock(), w.state)...)
	// Raft would drop the proposals of a deposed leader; the leases must not depend on that.
	if w.deposed != nil && w.budget.deposedCommands > 0 {
		if due := w.deposed.Due(w.leaderClock(), w.deposedState); len(due) > 0 {
			w.budget.deposedCommands--
			w.pending = append(w.pending, due...)
		}
	}
}

func (w *world) newLeader(applyPending bool) {
	w.deposed, w.deposedState = w.tracker, copyState(w.state)
	proposed := w.pending
	w.pending = nil
	if applyPending {
		for _, c := range proposed {
			w.notify(w.state.Apply(c))
		}
		proposed = nil
	}
	w.state.Apply(Command{Op: Lead, Term: w.state.Term + 1, Epoch: 1})
	w.tracker = NewExpiryTracker(w.leaderClock(), w.state, sessionTTL)
	w.pending = proposed // raft would drop them; the leases must not depend on that
}

// actAll has every process act that may act, and records violations.
func (w *world) actAll() {
	acting := -1
	for i := range w.processes {
		p := &w.processes[i]
		if s := w.state.Sessions[p.session]; w.disabledGuard != guardStopBeforeRelease && s != nil &&
			p.h.Phase("l") == Queued && len(s.Waits)+len(s.Holds) == 0 && s.LeasesRev <= p.h.rev {
			w.violation = fmt.Sprintf("holder %d waits, but is no longer in the queue", i)
		}
		if p.paused {
			continue
		}
		token, _, ok := p.h.MayAct(w.holderClock(i), "l")
		if !ok {
			continue
		}
		if acting >= 0 {
			w.violation = fmt.Sprintf("holders %d and %d may both act", acting, i)
		}
		acting = i
		w.act(p.session, token)
	}
}

func (w *world) act(session string, token uint64) {
	if token < w.fenceToken && !w.fenceDisabled {
		return
	}
	w.fenceToken = max(w.fenceToken, token)
	if token < w.highestActed {
		w.violation = fmt.Sprintf("an action under token %x was admitted after one under %x", token, w.highestActed)
	}
	if token == w.highestActed && session != w.lastActor {
		w.violation = fmt.Sprintf("%s acted under the token of %s", session, w.lastActor)
	}
	if token >= w.highestActed {
		w.highestActed, w.lastActor = token, session
	}
}

type event struct {
	name string
	run  func(w *world)
}

// events returns all events that may happen next.
func (w *world) events() (all []event) {
	add := func(name string, run func(w *world)) { all = append(all, event{name, run}) }
	add("time advances one step", (*world).advanceTime)
	if len(w.pending) > 0 {
		add("the leader's command is applied", func(w *world) {
			c := w.pending[0]
			w.pending = slices.Delete(w.pending, 0, 1)
			w.apply(c)
		})
	}
	for i, m := range w.network {
		if w.processes[m.holder].paused && (m.kind != "open" && m.kind != "renew" && m.kind != "ask" && m.kind != "arrived") {
			continue
		}
		name := fmt.Sprintf("%s of %s", m.kind, m.session)
		add(name+" arrives", func(w *world) { w.deliver(w.take(i)) })
		if w.budget.duplicated > 0 {
			add(name+" arrives and will arrive again", func(w *world) { w.budget.duplicated--; w.deliver(w.network[i]) })
		}
		if w.budget.lost > 0 {
			add(name+" is lost", func(w *world) { w.budget.lost--; w.take(i) })
		}
	}
	for i := range w.processes {
		p := &w.processes[i]
		if p.paused {
			add(fmt.Sprintf("holder %d resumes", i), func(w *world) {
				p := &w.processes[i]
				p.paused = false
				if p.pausedToken != 0 {
					w.act(p.session, p.pausedToken)
				}
				p.pausedToken = 0
				p.h.Tick(w.holderClock(i), w.holderClock(i), nil)
			})
			continue
		}
		if _, ended := p.h.Ended(); ended {
			if w.budget.newSessions > 0 {
				add(fmt.Sprintf("holder %d opens a new session", i), func(w *world) { w.budget.newSessions--; w.open(i) })
			}
			continue
		}
		if w.budget.renewals > 0 {
			add(fmt.Sprintf("holder %d renews", i), func(w *world) {
				w.budget.renewals--
				w.network = append(w.network, message{kind: "renew", holder: i, session: w.processes[i].session,
					number: w.processes[i].h.Renew(w.holderClock(i))})
			})
		}
		if p.h.Phase("l") == None && w.budget.acquires > 0 {
			add(fmt.Sprintf("holder %d requests the lease", i),
				func(w *world) { w.budget.acquires--; w.processes[i].h.Acquire("l"); w.sendRequest(i) })
		}
		if p.h.Phase("l") != None && p.h.Phase("l") != Releasing && (w.budget.releases > 0 || p.h.Phase("l") == Revoked) {
			add(fmt.Sprintf("holder %d releases the lease", i), func(w *world) {
				if w.processes[i].h.Phase("l") != Revoked {
					w.budget.releases--
				}
				w.processes[i].h.Release("l", nil)
				w.sendRequest(i)
			})
		}
		if a, ok := p.h.NextRequest(); ok && w.budget.resends > 0 && !slices.ContainsFunc(w.network, func(m message) bool {
			return m.kind == "ask" && m.request.Seq == a.Seq && m.holder == i
		}) {
			add(fmt.Sprintf("holder %d sends its request again", i), func(w *world) { w.budget.resends--; w.sendRequest(i) })
		}
		if w.budget.pauses > 0 {
			add(fmt.Sprintf("holder %d is paused between its check and its action", i), func(w *world) {
				w.budget.pauses--
				w.processes[i].paused = true
				w.processes[i].pausedToken, _, _ = w.processes[i].h.MayAct(w.holderClock(i), "l")
			})
		}
	}
	if w.budget.leaders > 0 {
		add("another leader, and pending commands are applied before its term",
			func(w *world) { w.budget.leaders--; w.newLeader(true) })
		if len(w.pending) > 0 {
			add("another leader, and pending commands are applied late", func(w *world) { w.budget.leaders--; w.newLeader(false) })
		}
	}
	if l := w.state.Leases["l"]; w.budget.revokes > 0 && l != nil && l.Holder != "" {
		add("an operator revokes", func(w *world) { w.budget.revokes--; w.apply(Command{Op: Revoke, Name: "l"}) })
	}
	if w.budget.restores > 0 {
		add("the backup is restored", func(w *world) {
			w.budget.restores--
			w.state = copyState(w.backup)
			w.state.Restored = true
			w.pending = nil
			w.newLeader(true)
			w.deposed = nil
		})
	}
	return all
}

func (w *world) sendRequest(i int) {
	if a, ok := w.processes[i].h.NextRequest(); ok {
		w.network = append(w.network, message{kind: "ask", holder: i, session: w.processes[i].session, request: a})
	}
}

func copyState(s *State) *State {
	c := *s
	c.Sessions, c.Leases = map[string]*Session{}, map[string]*Lease{}
	for k, v := range s.Sessions {
		n := *v
		n.Waits, n.Holds = slices.Clone(v.Waits), slices.Clone(v.Holds)
		c.Sessions[k] = &n
	}
	for k, v := range s.Leases {
		n := *v
		n.Waiters = slices.Clone(v.Waiters)
		c.Leases[k] = &n
	}
	c.Changes = nil // not part of what is checked
	return &c
}

func copyTracker(w *ExpiryTracker) *ExpiryTracker {
	if w == nil {
		return nil
	}
	c := *w
	c.expiresAt, c.expiring, c.revoked = maps.Clone(w.expiresAt), maps.Clone(w.expiring), maps.Clone(w.revoked)
	return &c
}

func (w *world) copy() *world {
	c := *w
	c.state, c.tracker, c.deposed = copyState(w.state), copyTracker(w.tracker), copyTracker(w.deposed)
	c.pending, c.network, c.processes = slices.Clone(w.pending), slices.Clone(w.network), slices.Clone(w.processes)
	for i := range c.processes {
		h := *w.processes[i].h
		h.sentAt, h.leases, h.requests = maps.Clone(h.sentAt), map[string]*localLease{}, slices.Clone(h.requests)
		for k, v := range w.processes[i].h.leases {
			n := *v
			h.leases[k] = &n
		}
		c.processes[i].h = &h
	}
	return &c
}

// key returns a text that differs between worlds that may develop differently. Times are relative to now, and messages
// have no order.
func (w *world) key() string {
	var b strings.Builder
	s := w.state
	fmt.Fprint(&b, s.Term, s.Token, s.Sealed, s.Rev, w.fenceToken, w.highestActed, w.budget, "|")
	for _, id := range sortedKeys(s.Sessions) {
		v := s.Sessions[id]
		fmt.Fprint(&b, id, v.Seq, v.Last, w.tracker.expiresAt[id]-w.leaderClock(), w.tracker.expiring[id], ";")
	}
	for _, id := range sortedKeys(s.Leases) {
		fmt.Fprint(&b, *s.Leases[id], w.tracker.revoked[id].freeAt-w.leaderClock(), ";")
	}
	if s.Sealed {
		fmt.Fprint(&b, w.tracker.unsealAt-w.leaderClock())
	}
	if w.deposed != nil && w.disabledGuard == guardLeaderConfirmed {
		fmt.Fprint(&b, "z", w.deposedState.Rev)
	}
	fmt.Fprint(&b, w.pending, "|")
	for i := range w.processes {
		p := &w.processes[i]
		h := p.h
		fmt.Fprint(&b, p.session, p.paused, p.pausedToken, h.endCause)
		if h.endCause != "" {
			continue
		}
		fmt.Fprint(&b, h.renewedOnce, h.validUntil-w.holderClock(i), h.rev, h.lastRenewal, h.requests, h.lastSeq)
		for _, n := range slices.Sorted(maps.Keys(h.sentAt)) {
			fmt.Fprint(&b, n, h.sentAt[n]-w.holderClock(i), ",")
		}
		if l := h.leases["l"]; l != nil {
			fmt.Fprint(&b, *l)
		}
	}
	lines := make([]string, 0, len(w.network))
	for _, m := range w.network {
		if m.kind == "arrived" {
			m.receivedAt -= w.leaderClock()
		}
		lines = append(lines, fmt.Sprint(m))
	}
	slices.Sort(lines)
	fmt.Fprint(&b, lines)
	return b.String()
}

// explore searches every order of events, breadth first, up to a depth or a number of worlds, and returns the shortest
// trace of events to a violation.
func explore(from *world, depth, limit int) (trace []string, violation string, worlds, reached int) {
	type node struct {
		w     *world
		from  int
		event string
	}
	seen := map[uint64]bool{}
	nodes := []node{{w: from, from: -1}}
	next := 1
	for index := 0; index < len(nodes); index++ {
		if index == next {
			if reached++; reached == depth || len(nodes) > limit {
				break
			}
			next = len(nodes)
		}
		w := nodes[index].w
		nodes[index].w = nil
		for _, e := range w.events() {
			c := w.copy()
			e.run(c)
			c.actAll()
			if k := xxhash.Sum64String(c.key()); !seen[k] {
				seen[k] = true
				if len(nodes)%64 == 0 {
					if err := c.copy().converges(); err != nil {
						c.violation = err.Error()
					}
				}
				nodes = append(nodes, node{c, index, e.name})
			}
			if c.violation != "" {
				trace = []string{e.name}
				for n := index; n > 0; n = nodes[n].from {
					trace = append(trace, nodes[n].event)
				}
				slices.Reverse(trace)
				return trace, c.violation, len(nodes), reached
			}
		}
	}
	return nil, "", len(nodes), reached
}

// converges ends all faults and lets every process run. It returns an error unless, within 40 steps, every holder gets
// the lease in turn, where each releases it as soon as it holds it.
func (w *world) converges() error {
	w.budget, w.deposed = budget{}, nil
	got := map[int]bool{}
	for i := range w.processes {
		p := &w.processes[i]
		p.paused, p.pausedToken = false, 0
		p.h.Tick(w.holderClock(i), w.holderClock(i), nil)
	}
	for range 40 { // steps: the TTL of a session and its renewal, for each holder in turn
		for i := range w.processes {
			p := &w.processes[i]
			if _, ended := p.h.Ended(); ended {
				w.open(i)
			} else if len(p.h.sentAt) < 8 {
				w.network = append(w.network, message{kind: "renew", holder: i, session: p.session, number: p.h.Renew(w.holderClock(i))})
			}
			if phase := p.h.Phase("l"); phase == Revoked {
				p.h.Release("l", nil)
			} else if phase == None && !got[i] {
				p.h.Acquire("l")
			}
			w.sendRequest(i)
		}
		for range 200 {
			if len(w.pending) > 0 {
				c := w.pending[0]
				w.pending = w.pending[1:]
				w.apply(c)
			} else if len(w.network) > 0 {
				w.deliver(w.take(0))
			} else {
				break
			}
		}
		w.actAll()
		for i := range w.processes {
			if _, _, ok := w.processes[i].h.MayAct(w.holderClock(i), "l"); ok {
				got[i] = true
				w.processes[i].h.Release("l", nil)
			}
		}
		if len(got) == len(w.processes) {
			return nil
		}
		w.advanceTime()
	}
	return fmt.Errorf("40 steps after the last fault only %v had the lease", slices.Collect(maps.Keys(got)))
}

var scenarios = []struct {
	name    string
	holders int
	budget  budget
	depth   int
	setup   func(w *world)
}{
	{"two holders from nothing", 2, budget{lost: 1, duplicated: 1, leaders: 1, acquires: 2, releases: 1, renewals: 2, resends: 1, newSessions: 1}, 12, nil},
	{"one holds, one waits", 2, budget{lost: 1, duplicated: 1, leaders: 1, pauses: 1, acquires: 1, releases: 1, renewals: 2, resends: 1, deposedCommands: 1, newSessions: 1}, 12, setupContended},
	{"revoked", 2, budget{lost: 1, revokes: 1, leaders: 1, pauses: 1, renewals: 2, deposedCommands: 1}, 16, setupContended},
	{"a backup put back", 2, budget{restores: 1, pauses: 1, lost: 1, acquires: 1, renewals: 2, newSessions: 1}, 16, setupContended},
	{"three holders", 3, budget{leaders: 1, pauses: 1, lost: 1, releases: 1, renewals: 2, deposedCommands: 1}, 12, setupContended},
}

// setupContended has the first holder hold the lease and the others wait for it.
func setupContended(w *world) {
	for i := range w.processes {
		w.processes[i].h.Acquire("l")
		w.sendRequest(i)
		for len(w.network) > 0 {
			w.deliver(w.take(0))
		}
	}
}

// setupRecentRenewal has the waiting session renew one step after the holding one.
func setupRecentRenewal(w *world) {
	setupContended(w)
	w.advanceTime()
	w.network = append(w.network, message{kind: "renew", holder: 1, session: w.processes[1].session,
		number: w.processes[1].h.Renew(w.holderClock(1))})
	for len(w.network) > 0 {
		w.deliver(w.take(0))
	}
}

// setupDeposedLeader has a deposed leader that does not know yet that another one leads, and the waiting session renew.
func setupDeposedLeader(w *world) {
	setupContended(w)
	w.newLeader(true)
	w.advanceTime()
	w.network = append(w.network, message{kind: "renew", holder: 1, session: w.processes[1].session,
		number: w.processes[1].h.Renew(w.holderClock(1))})
	for len(w.network) > 0 {
		w.deliver(w.take(0))
	}
}

// setupBackupBeforeGrant has the first holder hold the lease, and a backup with both sessions but without that grant.
func setupBackupBeforeGrant(w *world) {
	w.backup = copyState(w.state)
	w.processes[0].h.Acquire("l")
	w.sendRequest(0)
	for len(w.network) > 0 {
		w.deliver(w.take(0))
	}
}

// setupUnnotifiedHolder has the second holder hold the lease without having been told, and the first wait for it.
func setupUnnotifiedHolder(w *world) {
	setupContended(w)
	w.processes[0].h.Release("l", nil)
	w.sendRequest(0)
	w.deliver(w.take(0))
	index := slices.IndexFunc(w.network, func(m message) bool { return m.holder == 1 })
	heldView := w.take(index)
	for len(w.network) > 0 {
		w.deliver(w.take(0))
	}
	w.processes[0].h.Acquire("l")
	w.sendRequest(0)
	for len(w.network) > 0 {
		w.deliver(w.take(0))
	}
	w.network = append(w.network, heldView)
}

func TestEveryOrderOfEvents(t *testing.T) {
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(scenario.holders, scenario.budget, guardNone)
			if scenario.setup != nil {
				scenario.setup(w)
			}
			start := time.Now()
			trace, violation, worlds, depth := explore(w, scenario.depth, *maxWorlds)
			t.Logf("every order of %d events, %d distinct worlds, %v", depth, worlds, time.Since(start).Round(time.Millisecond))
			if violation != "" {
				t.Errorf("%s:\n  %s", violation, strings.Join(trace, "\n  "))
			}
		})
	}
}

// Without any one of the guards the search finds a violation, and logs the shortest trace to it.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, test := range []struct {
		name   string
		guard  guard
		setup  func(w *world)
		budget budget
	}{
		{"the fence", guardNone, setupContended, budget{pauses: 1, renewals: 1}},
		{"a leader's commands end with its term", guardCommandTerm, setupRecentRenewal, budget{leaders: 1, deposedCommands: 1, renewals: 1}},
		{"asks count in order", guardRequestOrder, setupContended, budget{duplicated: 1, releases: 1, acquires: 1}},
		{"a new leader waits for the TTLs before it", guardTTLAfterElection, setupContended, budget{leaders: 1}},
		{"only a confirmed leader renews", guardLeaderConfirmed, setupDeposedLeader, budget{renewals: 1}},
		{"a holder counts from its sending", guardValidityFromSend, setupContended, budget{renewals: 2}},
		{"drift and margin are taken off", guardDriftAndMargin, setupContended, budget{renewals: 1}},
		{"an older view counts for nothing", guardViewRevision, setupUnnotifiedHolder, budget{revokes: 1, renewals: 1}},
		{"it stops before it gives back", guardStopBeforeRelease, setupContended, budget{releases: 1}},
		{"a new epoch after a backup is put back", guardEpochAfterRestore, setupContended, budget{restores: 1, acquires: 1, newSessions: 1}},
		{"nothing is granted for a TTL after that", guardSealAfterRestore, setupBackupBeforeGrant, budget{restores: 1, acquires: 1}},
		{"a revoked lease is kept back for a TTL", guardRevocationWait, setupContended, budget{revokes: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(2, test.budget, test.guard)
			w.fenceDisabled = test.guard == guardNone
			test.setup(w)
			start := time.Now()
			trace, violation, worlds, _ := explore(w, 24, 400_000)
			if violation == "" {
				t.Fatalf("no violation in %d worlds without this guard", worlds)
			}
			t.Logf("%s after %d events (%d worlds, %v):\n  %s", violation, len(trace), worlds,
				time.Since(start).Round(time.Millisecond), strings.Join(trace, "\n  "))
		})
	}
}
