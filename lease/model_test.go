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

// worldsMost ends a search after the depth at which it is reached; docs/leases.md states what larger ones found.
var worldsMost = flag.Int("worlds", 5_000, "worlds of each play after which its search ends")

// The world that the model goes through: one group of coordinators, two or three holders of one lease, a network
// that keeps, loses, doubles and swaps messages, clocks whose rates differ by the most that the rules allow, leaders
// that change, processes that are paused between their check and their act, revocations, and a backup put back.
// Whoever acts is judged by the world itself, by what holders may do, never by what the keeper believes.
const (
	step      = 10 // units of a true clock
	life      = 3 * step
	driftRate = 0.1
)

var rates = [...]int{9, 10, 11} // of the holders' clocks; the leaders' run at 11, against the slowest holder

type message struct {
	kind    string // renew, arrived (at a leader, not confirmed yet), ask, renewed, answered, told, gone
	holder  int
	session string
	number  uint64
	ask     Ask
	term    uint64
	at      time.Duration
	outcome Outcome
	view    View
}

// budgets are how often each thing may still happen.
type budgets struct{ lost, doubled, leaders, pauses, revokes, restores, drops, wants, renews, again, old, anew int }

type process struct {
	h       *Holder
	session string
	born    int
	paused  bool
	stuck   uint64 // token of an act that was checked before the pause and is done after it
}

type world struct {
	now      int
	state    *State
	watch    *Watch
	backup   *State
	pending  []Command // proposed by the leader, not applied yet
	zombie   *Watch    // a leader that doesn't know yet that it isn't
	before   *State    // and what it knows
	ps       []process
	net      []message
	seen     uint64 // by the guarded thing
	acted    uint64 // by the judge: the highest token under which anybody acted
	actor    string // and who
	left     budgets
	without  guard
	unfenced bool
	broken   string
}

func rules() Rules {
	return Rules{Life: life, Drift: driftRate, Margin: 2, Pause: 0, Jump: 0}
}

func (w *world) clock(i int) time.Duration { return time.Duration(1000 + w.now*rates[i]) }
func (w *world) leads() time.Duration      { return time.Duration(500 + w.now*11) }

func newWorld(holders int, left budgets, without guard) *world {
	s := NewState()
	s.without = without
	s.Apply(Command{Op: Lead, Term: 1, Epoch: 1})
	s.Sealed = false
	w := &world{state: s, left: left, without: without}
	w.watch = NewWatch(w.leads(), s, life)
	w.backup = copyState(s)
	for i := range holders {
		w.ps = append(w.ps, process{})
		w.open(i)
		w.deliver(w.take(0))
		w.deliver(w.take(0))
	}
	return w
}

// open begins a session: its renewal with the number 1 carries the wish to open it.
func (w *world) open(i int) {
	p := &w.ps[i]
	p.born++
	p.session = fmt.Sprintf("s%d.%d", i, p.born)
	p.h = NewHolder(rules())
	p.h.without = w.without
	w.net = append(w.net, message{kind: "open", holder: i, session: p.session, number: p.h.Renew(w.clock(i))})
}

func (w *world) take(i int) message {
	m := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	return m
}

func (w *world) tell(e Effect) {
	for _, id := range e.Touched {
		for i, p := range w.ps {
			if v, ok := w.state.View(id); p.session == id && ok {
				w.net = append(w.net, message{kind: "told", holder: i, session: id, view: v})
			}
		}
	}
}

func (w *world) apply(c Command) Effect {
	e := w.state.Apply(c)
	w.watch.Applied(w.leads(), w.state, c, e)
	w.tell(e)
	return e
}

func (w *world) deliver(m message) {
	p := &w.ps[m.holder]
	answer := func(k string, o Outcome, v View) {
		w.net = append(w.net, message{kind: k, holder: m.holder, session: m.session, number: m.number, ask: m.ask, outcome: o, view: v})
	}
	confirm := func() {
		if !w.watch.Renewed(m.at, w.state, m.session) {
			answer("gone", Outcome{}, View{})
			return
		}
		v, _ := w.state.View(m.session)
		answer("renewed", Outcome{}, v)
	}
	switch m.kind {
	case "open":
		w.apply(Command{Op: Open, Session: m.session, Life: life})
		m.at = w.leads()
		confirm()
	case "renew":
		if w.zombie != nil && w.without == leaderConfirmed { // the one that is not the leader any more answers at once
			if w.zombie.Renewed(w.leads(), w.before, m.session) {
				v, _ := w.before.View(m.session)
				answer("renewed", Outcome{}, v)
			}
			return
		}
		m.kind, m.at, m.term = "arrived", w.leads(), w.state.Term
		w.net = append(w.net, m)
	case "arrived":
		if m.term == w.state.Term {
			confirm()
		}
	case "ask":
		e := w.apply(Command{Op: m.ask.Op, Session: m.session, Seq: m.ask.Seq, Name: "l", Token: m.ask.Token})
		v, there := w.state.View(m.session)
		if !there { // as the coordinator does: an unknown lease is an answer like others
			answer("gone", Outcome{}, View{})
			return
		}
		answer("answered", e.Outcome, v)
	default:
		if m.session != p.session {
			return
		}
		now := w.clock(m.holder)
		p.h.Tick(now, now, nil)
		switch m.kind {
		case "renewed":
			p.h.Renewed(now, m.number, m.view, nil)
		case "answered":
			p.h.Answered(now, m.ask.Seq, m.outcome, m.view, nil)
		case "told":
			p.h.Told(now, m.view, nil)
		case "gone":
			if _, ok := w.state.Sessions[p.session]; !ok {
				p.h.Gone(nil)
			}
		}
	}
}

// passes lets one step of time pass: everybody looks at the clock.
func (w *world) passes() {
	w.now++
	for i := range w.ps {
		if !w.ps[i].paused {
			w.ps[i].h.Tick(w.clock(i), w.clock(i), nil)
		}
	}
	w.pending = append(w.pending, w.watch.Due(w.leads(), w.state)...)
	if w.zombie != nil && w.left.old > 0 { // raft would drop what a deposed leader proposes; nothing may hang on it
		if due := w.zombie.Due(w.leads(), w.before); len(due) > 0 {
			w.left.old--
			w.pending = append(w.pending, due...)
		}
	}
}

func (w *world) newLeader(keep bool) {
	w.zombie, w.before = w.watch, copyState(w.state)
	late := w.pending
	w.pending = nil
	if keep {
		for _, c := range late {
			w.tell(w.state.Apply(c))
		}
		late = nil
	}
	w.state.Apply(Command{Op: Lead, Term: w.state.Term + 1, Epoch: 1})
	w.watch = NewWatch(w.leads(), w.state, life)
	w.pending = late // raft would drop them; that they count for nothing must not hang on it
}

// acts lets everybody act who may, and judges.
func (w *world) acts() {
	who := -1
	for i := range w.ps {
		p := &w.ps[i]
		if s := w.state.Sessions[p.session]; w.without != stopBeforeRelease && s != nil && p.h.Phase("l") == Queued && len(s.Waits)+len(s.Holds) == 0 && s.Claimed <= p.h.rev {
			w.broken = fmt.Sprintf("the queue lost holder %d", i)
		}
		if p.paused {
			continue
		}
		token, _, ok := p.h.May(w.clock(i), "l")
		if !ok {
			continue
		}
		if who >= 0 {
			w.broken = fmt.Sprintf("holders %d and %d may both act", who, i)
		}
		who = i
		w.act(p.session, token)
	}
}

func (w *world) act(session string, token uint64) {
	if token < w.seen && !w.unfenced {
		return
	}
	w.seen = max(w.seen, token)
	if token < w.acted {
		w.broken = fmt.Sprintf("an act under token %x was let in after one under %x", token, w.acted)
	}
	if token == w.acted && session != w.actor {
		w.broken = fmt.Sprintf("%s acted under the token of %s", session, w.actor)
	}
	if token >= w.acted {
		w.acted, w.actor = token, session
	}
}

type event struct {
	name string
	do   func(w *world)
}

// events are all that may happen next.
func (w *world) events() (all []event) {
	add := func(name string, do func(w *world)) { all = append(all, event{name, do}) }
	add("a step of time", (*world).passes)
	if len(w.pending) > 0 {
		add("the leader's command is applied", func(w *world) {
			c := w.pending[0]
			w.pending = slices.Delete(w.pending, 0, 1)
			w.apply(c)
		})
	}
	for i, m := range w.net {
		if w.ps[m.holder].paused && (m.kind != "open" && m.kind != "renew" && m.kind != "ask" && m.kind != "arrived") {
			continue
		}
		name := fmt.Sprintf("%s of %s", m.kind, m.session)
		add(name+" comes", func(w *world) { w.deliver(w.take(i)) })
		if w.left.doubled > 0 {
			add(name+" comes and will come again", func(w *world) { w.left.doubled--; w.deliver(w.net[i]) })
		}
		if w.left.lost > 0 {
			add(name+" is lost", func(w *world) { w.left.lost--; w.take(i) })
		}
	}
	for i := range w.ps {
		p := &w.ps[i]
		if p.paused {
			add(fmt.Sprintf("holder %d goes on", i), func(w *world) {
				p := &w.ps[i]
				p.paused = false
				if p.stuck != 0 {
					w.act(p.session, p.stuck)
				}
				p.stuck = 0
				p.h.Tick(w.clock(i), w.clock(i), nil)
			})
			continue
		}
		if _, over := p.h.Over(); over {
			if w.left.anew > 0 {
				add(fmt.Sprintf("holder %d begins anew", i), func(w *world) { w.left.anew--; w.open(i) })
			}
			continue
		}
		if w.left.renews > 0 {
			add(fmt.Sprintf("holder %d renews", i), func(w *world) {
				w.left.renews--
				w.net = append(w.net, message{kind: "renew", holder: i, session: w.ps[i].session, number: w.ps[i].h.Renew(w.clock(i))})
			})
		}
		if p.h.Phase("l") == None && w.left.wants > 0 {
			add(fmt.Sprintf("holder %d wants", i), func(w *world) { w.left.wants--; w.ps[i].h.Want("l"); w.ask(i) })
		}
		if p.h.Phase("l") != None && p.h.Phase("l") != Leaving && (w.left.drops > 0 || p.h.Phase("l") == Withdrawn) {
			add(fmt.Sprintf("holder %d gives back", i), func(w *world) {
				if w.ps[i].h.Phase("l") != Withdrawn {
					w.left.drops--
				}
				w.ps[i].h.Drop("l", nil)
				w.ask(i)
			})
		}
		if a, ok := p.h.Next(); ok && w.left.again > 0 && !slices.ContainsFunc(w.net, func(m message) bool { return m.kind == "ask" && m.ask.Seq == a.Seq && m.holder == i }) {
			add(fmt.Sprintf("holder %d asks again", i), func(w *world) { w.left.again--; w.ask(i) })
		}
		if w.left.pauses > 0 {
			add(fmt.Sprintf("holder %d is paused in its act", i), func(w *world) {
				w.left.pauses--
				w.ps[i].paused = true
				w.ps[i].stuck, _, _ = w.ps[i].h.May(w.clock(i), "l")
			})
		}
	}
	if w.left.leaders > 0 {
		add("another leader, what was proposed stays", func(w *world) { w.left.leaders--; w.newLeader(true) })
		if len(w.pending) > 0 {
			add("another leader, what was proposed comes late", func(w *world) { w.left.leaders--; w.newLeader(false) })
		}
	}
	if l := w.state.Leases["l"]; w.left.revokes > 0 && l != nil && l.Holder != "" {
		add("an operator revokes", func(w *world) { w.left.revokes--; w.apply(Command{Op: Revoke, Name: "l"}) })
	}
	if w.left.restores > 0 {
		add("the backup is put back", func(w *world) {
			w.left.restores--
			w.state = copyState(w.backup)
			w.state.Restored = true
			w.pending = nil
			w.newLeader(true)
			w.zombie = nil
		})
	}
	return all
}

func (w *world) ask(i int) {
	if a, ok := w.ps[i].h.Next(); ok {
		w.net = append(w.net, message{kind: "ask", holder: i, session: w.ps[i].session, ask: a})
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
	c.Changes = nil // of no account here
	return &c
}

func copyWatch(w *Watch) *Watch {
	if w == nil {
		return nil
	}
	c := *w
	c.ends, c.ending, c.revoked = maps.Clone(w.ends), maps.Clone(w.ending), maps.Clone(w.revoked)
	return &c
}

func (w *world) copy() *world {
	c := *w
	c.state, c.watch, c.zombie = copyState(w.state), copyWatch(w.watch), copyWatch(w.zombie)
	c.pending, c.net, c.ps = slices.Clone(w.pending), slices.Clone(w.net), slices.Clone(w.ps)
	for i := range c.ps {
		h := *w.ps[i].h
		h.sent, h.wants, h.asks = maps.Clone(h.sent), map[string]*want{}, slices.Clone(h.asks)
		for k, v := range w.ps[i].h.wants {
			n := *v
			h.wants[k] = &n
		}
		c.ps[i].h = &h
	}
	return &c
}

// key tells worlds apart that may go on differently. Times count from now, and messages have no order.
func (w *world) key() string {
	var b strings.Builder
	s := w.state
	fmt.Fprint(&b, s.Term, s.Token, s.Sealed, s.Rev, w.seen, w.acted, w.left, "|")
	for _, id := range sortedKeys(s.Sessions) {
		v := s.Sessions[id]
		fmt.Fprint(&b, id, v.Seq, v.Last, w.watch.ends[id]-w.leads(), w.watch.ending[id], ";")
	}
	for _, id := range sortedKeys(s.Leases) {
		fmt.Fprint(&b, *s.Leases[id], w.watch.revoked[id].frees-w.leads(), ";")
	}
	if s.Sealed {
		fmt.Fprint(&b, w.watch.unseal-w.leads())
	}
	if w.zombie != nil && w.without == leaderConfirmed {
		fmt.Fprint(&b, "z", w.before.Rev)
	}
	fmt.Fprint(&b, w.pending, "|")
	for i := range w.ps {
		p := &w.ps[i]
		h := p.h
		fmt.Fprint(&b, p.session, p.paused, p.stuck, h.over)
		if h.over != "" {
			continue
		}
		fmt.Fprint(&b, h.alive, h.until-w.clock(i), h.rev, h.number, h.asks, h.seq)
		for _, n := range slices.Sorted(maps.Keys(h.sent)) {
			fmt.Fprint(&b, n, h.sent[n]-w.clock(i), ",")
		}
		if l := h.wants["l"]; l != nil {
			fmt.Fprint(&b, *l)
		}
	}
	lines := make([]string, 0, len(w.net))
	for _, m := range w.net {
		if m.kind == "arrived" {
			m.at -= w.leads()
		}
		lines = append(lines, fmt.Sprint(m))
	}
	slices.Sort(lines)
	fmt.Fprint(&b, lines)
	return b.String()
}

// explore goes through every order of events, breadth first, to a depth or a number of worlds, and returns the
// shortest way to a world that is broken.
func explore(from *world, depth, most int) (trail []string, broken string, worlds, level int) {
	type node struct {
		w    *world
		from int
		how  string
	}
	seen := map[uint64]bool{}
	nodes := []node{{w: from, from: -1}}
	next := 1
	for at := 0; at < len(nodes); at++ {
		if at == next {
			if level++; level == depth || len(nodes) > most {
				break
			}
			next = len(nodes)
		}
		w := nodes[at].w
		nodes[at].w = nil
		for _, e := range w.events() {
			c := w.copy()
			e.do(c)
			c.acts()
			if k := xxhash.Sum64String(c.key()); !seen[k] {
				seen[k] = true
				if len(nodes)%64 == 0 {
					if err := c.copy().settled(); err != nil {
						c.broken = err.Error()
					}
				}
				nodes = append(nodes, node{c, at, e.name})
			}
			if c.broken != "" {
				trail = []string{e.name}
				for n := at; n > 0; n = nodes[n].from {
					trail = append(trail, nodes[n].how)
				}
				slices.Reverse(trail)
				return trail, c.broken, len(nodes), level
			}
		}
	}
	return nil, "", len(nodes), level
}

// settled lets all faults end and everybody run: within a stated time somebody holds the lease, and everyone who
// waits gets it in turn when each gives it back as soon as it has it.
func (w *world) settled() error {
	w.left, w.zombie = budgets{}, nil
	got := map[int]bool{}
	for i := range w.ps {
		p := &w.ps[i]
		p.paused, p.stuck = false, 0
		p.h.Tick(w.clock(i), w.clock(i), nil)
	}
	for range 40 { // steps: the life of a session and its renewal, for each holder in turn
		for i := range w.ps {
			p := &w.ps[i]
			if _, over := p.h.Over(); over {
				w.open(i)
			} else if len(p.h.sent) < 8 {
				w.net = append(w.net, message{kind: "renew", holder: i, session: p.session, number: p.h.Renew(w.clock(i))})
			}
			if phase := p.h.Phase("l"); phase == Withdrawn {
				p.h.Drop("l", nil)
			} else if phase == None && !got[i] {
				p.h.Want("l")
			}
			w.ask(i)
		}
		for range 200 {
			if len(w.pending) > 0 {
				c := w.pending[0]
				w.pending = w.pending[1:]
				w.apply(c)
			} else if len(w.net) > 0 {
				w.deliver(w.take(0))
			} else {
				break
			}
		}
		w.acts()
		for i := range w.ps {
			if _, _, ok := w.ps[i].h.May(w.clock(i), "l"); ok {
				got[i] = true
				w.ps[i].h.Drop("l", nil)
			}
		}
		if len(got) == len(w.ps) {
			return nil
		}
		w.passes()
	}
	return fmt.Errorf("40 steps after the last fault only %v had the lease", slices.Collect(maps.Keys(got)))
}

var plays = []struct {
	name    string
	holders int
	left    budgets
	depth   int
	ready   func(w *world)
}{
	{"two holders from nothing", 2, budgets{lost: 1, doubled: 1, leaders: 1, wants: 2, drops: 1, renews: 2, again: 1, anew: 1}, 12, nil},
	{"one holds, one waits", 2, budgets{lost: 1, doubled: 1, leaders: 1, pauses: 1, wants: 1, drops: 1, renews: 2, again: 1, old: 1, anew: 1}, 12, contended},
	{"revoked", 2, budgets{lost: 1, revokes: 1, leaders: 1, pauses: 1, renews: 2, old: 1}, 16, contended},
	{"a backup put back", 2, budgets{restores: 1, pauses: 1, lost: 1, wants: 1, renews: 2, anew: 1}, 16, contended},
	{"three holders", 3, budgets{leaders: 1, pauses: 1, lost: 1, drops: 1, renews: 2, old: 1}, 12, contended},
}

// contended lets the first holder have the lease and the others wait for it.
func contended(w *world) {
	for i := range w.ps {
		w.ps[i].h.Want("l")
		w.ask(i)
		for len(w.net) > 0 {
			w.deliver(w.take(0))
		}
	}
}

// fresh has the one who waits renew a step after the one who holds.
func fresh(w *world) {
	contended(w)
	w.passes()
	w.net = append(w.net, message{kind: "renew", holder: 1, session: w.ps[1].session, number: w.ps[1].h.Renew(w.clock(1))})
	for len(w.net) > 0 {
		w.deliver(w.take(0))
	}
}

// deposed has a leader that doesn't know yet that another leads, and the one who waits renew there.
func deposed(w *world) {
	contended(w)
	w.newLeader(true)
	w.passes()
	w.net = append(w.net, message{kind: "renew", holder: 1, session: w.ps[1].session, number: w.ps[1].h.Renew(w.clock(1))})
	for len(w.net) > 0 {
		w.deliver(w.take(0))
	}
}

// backedUp has the first holder hold the lease, which a backup taken with both sessions doesn't know.
func backedUp(w *world) {
	w.backup = copyState(w.state)
	w.ps[0].h.Want("l")
	w.ask(0)
	for len(w.net) > 0 {
		w.deliver(w.take(0))
	}
}

// untold has the second holder hold the lease without having been told, and the first wait for it.
func untold(w *world) {
	contended(w)
	w.ps[0].h.Drop("l", nil)
	w.ask(0)
	w.deliver(w.take(0))
	later := slices.IndexFunc(w.net, func(m message) bool { return m.holder == 1 })
	held := w.take(later)
	for len(w.net) > 0 {
		w.deliver(w.take(0))
	}
	w.ps[0].h.Want("l")
	w.ask(0)
	for len(w.net) > 0 {
		w.deliver(w.take(0))
	}
	w.net = append(w.net, held)
}

func TestEveryOrderOfEvents(t *testing.T) {
	for _, p := range plays {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(p.holders, p.left, nothing)
			if p.ready != nil {
				p.ready(w)
			}
			begun := time.Now()
			trail, broken, worlds, level := explore(w, p.depth, *worldsMost)
			t.Logf("every order of %d events, %d worlds that differ, %v", level, worlds, time.Since(begun).Round(time.Millisecond))
			if broken != "" {
				t.Errorf("%s:\n  %s", broken, strings.Join(trail, "\n  "))
			}
		})
	}
}

// Each guard taken out is noticed, with a shortest way to the harm.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, m := range []struct {
		name  string
		guard guard
		ready func(w *world)
		left  budgets
	}{
		{"the fence", nothing, contended, budgets{pauses: 1, renews: 1}},
		{"a leader's commands end with its term", termOfCommands, fresh, budgets{leaders: 1, old: 1, renews: 1}},
		{"asks count in order", seqOfAsks, contended, budgets{doubled: 1, drops: 1, wants: 1}},
		{"a new leader waits for the lives before it", lifeAfterElection, contended, budgets{leaders: 1}},
		{"only a confirmed leader renews", leaderConfirmed, deposed, budgets{renews: 1}},
		{"a holder counts from its sending", spanFromSending, contended, budgets{renews: 2}},
		{"drift and margin are taken off", driftAndMargin, contended, budgets{renews: 1}},
		{"an older view counts for nothing", revisionOfViews, untold, budgets{revokes: 1, renews: 1}},
		{"it stops before it gives back", stopBeforeRelease, contended, budgets{drops: 1}},
		{"a new epoch after a backup is put back", epochAfterRestore, contended, budgets{restores: 1, wants: 1, anew: 1}},
		{"nothing is given for a life after that", sealAfterRestore, backedUp, budgets{restores: 1, wants: 1}},
		{"a revoked lease is kept back for a life", revokedForLife, contended, budgets{revokes: 1}},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(2, m.left, m.guard)
			w.unfenced = m.guard == nothing
			m.ready(w)
			begun := time.Now()
			trail, broken, worlds, _ := explore(w, 24, 400_000)
			if broken == "" {
				t.Fatalf("without it nothing went wrong in %d worlds", worlds)
			}
			t.Logf("%s after %d events (%d worlds, %v):\n  %s", broken, len(trail), worlds, time.Since(begun).Round(time.Millisecond), strings.Join(trail, "\n  "))
		})
	}
}
