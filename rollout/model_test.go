package rollout

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

var worldsMost = flag.Int("worlds", 8_000, "worlds after which a search ends, with the depth begun")

// The world that the model goes through: four units of which one may be out, a release over three of them, a drain by
// hand of the fourth and of one of the release's, agents that are slow to speak, crashes, sights that come late, two
// conductors of which one acts on what it saw long ago, permits whose time passes, an operator who halts, resumes and
// goes back. It judges by what really is out, and why.
type world struct {
	b     *Budget
	p     *Plan
	real  map[string]Unit // as the units are; the budget knows what was seen
	agent map[string]work
	move  *Move // of a conductor that was stopped before it sent it
	left  struct{ crashes, moves, late, halts, backs, drains int }
	bad   string
}

// work is what an agent, or whoever drains by hand, has under way.
type work struct {
	change, version string
	token           uint64
	stage           int // 1 may begin, 2 out, 3 serves again, 4 has said so
}

var units = []string{"a", "b", "c", "d"}

func newWorld(without guard) *world {
	w := &world{b: NewBudget(), real: map[string]Unit{}, agent: map[string]work{}}
	w.b.Rules = []Rule{{Name: "one", Most: 1}}
	for _, id := range units {
		u := Unit{Kind: "gateway", Site: "s", Version: "1", Up: true, Warm: true, Capacity: 10, Load: 1}
		w.real[id] = u
		w.b.See(id, u)
	}
	p, err := NewPlan("release", "2", false, w.b, []string{"a", "b", "c"}, Settings{Canary: 1, Growth: 2, Patience: time.Hour, Limits: Limits{Enough: 1}})
	if err != nil {
		panic(err)
	}
	w.p, w.b.without, p.without = p, without, without
	w.left.crashes, w.left.moves, w.left.late, w.left.halts, w.left.backs, w.left.drains = 1, 1, 1, 1, 1, 2
	return w
}

func (w *world) out(planned bool) (n int) {
	for _, id := range units {
		if a := w.agent[id]; a.stage == 2 || a.stage == 3 && !w.real[id].in() || !planned && !w.b.Units[id].in() {
			n++
		}
	}
	return n
}

type event struct {
	name string
	do   func(w *world)
}

func (w *world) ask(id, change, version string) {
	p, refused := w.b.Want(Ask{change, id})
	if refused != nil {
		return
	}
	w.agent[id] = work{change, version, p.Token, 1}
}

func (w *world) events() (all []event) {
	add := func(name string, do func(w *world)) { all = append(all, event{name, do}) }
	for _, id := range units {
		a, u := w.agent[id], w.real[id]
		// Each event has its own copy of the unit and of the work: they all are made before one is chosen.
		of := func(name string, do func(w *world, u Unit, a work)) {
			add(name, func(w *world) { do(w, u, a) })
		}
		switch a.stage {
		case 0:
			if v, ok := w.p.Due(w.b, id); ok {
				of("the agent of "+id+" asks", func(w *world, u Unit, a work) { w.ask(id, "release", v) })
			}
			if w.left.drains > 0 && (id == "d" || id == "b") && w.b.Permits[id] == nil {
				of("somebody drains "+id, func(w *world, u Unit, a work) { w.left.drains--; w.ask(id, "drain", u.Version) })
			}
			if p := w.b.Permits[id]; p != nil && !p.Returned { // given in its turn
				of("the permit of "+id+" is told", func(w *world, u Unit, a work) { w.agent[id] = work{p.Change, "", p.Token, 1} })
			}
		case 1:
			of(id+" leaves", func(w *world, u Unit, a work) {
				if a.change == "release" {
					v, ok := w.p.Due(w.b, id)
					if !ok { // halted meanwhile: it gives its permit back, and stays
						w.b.Return(id, a.token)
						a.stage = 4
						w.agent[id] = a
						return
					}
					if w.p.Stage == Backing {
						for _, later := range w.p.Begun[slices.Index(w.p.Begun, id)+1:] {
							if w.real[later].Version != w.p.From[later] {
								w.bad = fmt.Sprintf("%s goes back before %s, which was changed after it", id, later)
							}
						}
					}
					a.version = v
				} else {
					a.version = u.Version
				}
				if w.b.Leave(id, a.token) != nil {
					return
				}
				w.p.Began(map[bool]string{true: id}[a.change == "release"])
				seen := w.out(false)
				a.stage = 2
				w.agent[id] = a
				u.Up, u.Warm = false, false
				w.real[id] = u
				for other, p := range w.b.Permits {
					if p.Overdue && other != id {
						w.bad = fmt.Sprintf("%s left by plan while the permit of %s was overdue", id, other)
					}
				}
				if n := w.out(true); n > w.b.Rules[0].Most {
					w.bad = fmt.Sprintf("%d are out by plan, and %d may be", n, w.b.Rules[0].Most)
				}
				if seen >= w.b.Rules[0].Most && w.b.Units[id].in() {
					w.bad = fmt.Sprintf("%s left by plan while %d were seen out", id, seen)
				}
			})
		case 2:
			of(id+" is started again", func(w *world, u Unit, a work) {
				u.Up, u.Version = true, a.version
				a.stage = 3
				w.real[id], w.agent[id] = u, a
			})
		case 3:
			of("that "+id+" serves again is said", func(w *world, u Unit, a work) {
				w.b.Return(id, a.token)
				a.stage = 4
				w.agent[id] = a
			})
		case 4:
			if p := w.b.Permits[id]; p == nil || p.Token != a.token {
				of("the agent of "+id+" rests", func(w *world, u Unit, a work) { delete(w.agent, id) })
			}
		}
		if u.Up && !u.Warm {
			of(id+" gets warm", func(w *world, u Unit, a work) { u.Warm = true; w.real[id] = u })
		}
		if !u.Up && a.stage != 2 {
			of(id+" recovers", func(w *world, u Unit, a work) { u.Up = true; w.real[id] = u })
		}
		if u.Up && w.left.crashes > 0 && a.stage != 2 {
			of(id+" crashes", func(w *world, u Unit, a work) { w.left.crashes--; u.Up, u.Warm = false, false; w.real[id] = u })
		}
		if p := w.b.Permits[id]; *w.b.Units[id] != u || p != nil && p.Returned && u.in() {
			of(id+" is seen", func(w *world, u Unit, a work) { w.b.See(id, u); w.told(w.b.Give()) })
		}
		if p := w.b.Permits[id]; p != nil && !p.Overdue && w.left.late > 0 {
			of("the permit of "+id+" is overdue", func(w *world, u Unit, a work) { w.left.late--; w.b.Late(id, p.Token) })
		}
	}
	if m, ok := w.next(); ok {
		add("the conductor moves to "+string(m.To), func(w *world) { w.p.Take(m) })
		if w.left.moves > 0 && w.move == nil {
			add("another conductor is stopped before it moves to "+string(m.To), func(w *world) { w.left.moves--; m.Token = 1; w.move = &m })
		}
	}
	if w.move != nil {
		add("the stopped conductor's move comes", func(w *world) { w.p.Take(*w.move); w.move = nil })
	}
	here := Move{Plan: w.p.ID, Stage: w.p.Stage, Wave: w.p.Wave, Why: "operator"}
	if w.left.halts > 0 && (w.p.Stage == Going || w.p.Stage == Looking) {
		add("an operator halts", func(w *world) { w.left.halts--; here.To = Halted; w.p.Take(here) })
	}
	if w.p.Stage == Halted {
		add("an operator resumes", func(w *world) { here.To = Going; w.p.Take(here) })
	}
	if w.left.backs > 0 && !w.p.Over() && w.p.Stage != Backing {
		add("an operator goes back", func(w *world) { w.left.backs--; here.To = Backing; w.p.Take(here) })
	}
	return all
}

// told has those who waited know of their permits.
func (w *world) told(given []Ask) {
	for _, a := range given {
		if w.agent[a.Unit].stage == 0 {
			w.agent[a.Unit] = work{a.Change, "", w.b.Permits[a.Unit].Token, 1}
		}
	}
}

func (w *world) next() (Move, bool) {
	m, ok := w.p.Next(w.b, Look{Since: time.Second, Sight: true, Changed: map[string]Count{"x": {Asked: 10}}, Others: map[string]Count{"x": {Asked: 10}}})
	m.Token = 2
	return m, ok
}

func (w *world) copy() *world {
	c := *w
	b, p := *w.b, *w.p
	b.Units, b.Permits, b.Waiting = map[string]*Unit{}, map[string]*Permit{}, slices.Clone(w.b.Waiting)
	for k, v := range w.b.Units {
		u := *v
		b.Units[k] = &u
	}
	for k, v := range w.b.Permits {
		x := *v
		b.Permits[k] = &x
	}
	p.Begun, p.Failed = slices.Clone(w.p.Begun), maps.Clone(w.p.Failed)
	c.b, c.p, c.real, c.agent = &b, &p, maps.Clone(w.real), maps.Clone(w.agent)
	return &c
}

func (w *world) key() uint64 {
	var s strings.Builder
	for _, id := range units {
		fmt.Fprint(&s, w.real[id], *w.b.Units[id], w.agent[id].change, w.agent[id].version, w.agent[id].stage)
		if p := w.b.Permits[id]; p != nil {
			fmt.Fprint(&s, p.Change, p.Returned, p.Overdue, p.Token == w.agent[id].token)
		}
	}
	fmt.Fprint(&s, w.b.Waiting, w.p.Stage, w.p.Wave, w.p.Begun, w.p.Conductor, w.left, w.move != nil)
	if w.move != nil {
		fmt.Fprint(&s, *w.move)
	}
	return xxhash.Sum64String(s.String())
}

// rests lets no more go wrong: every permit ends, and a halt comes to rest, or the release ends.
func (w *world) rests() error {
	w.left.crashes, w.left.moves, w.left.late, w.left.halts, w.left.backs, w.left.drains = 0, 0, 0, 0, 0, 0
	w.move = nil
	for _, id := range units { // an operator looks after what is overdue
		if p := w.b.Permits[id]; p != nil {
			p.Overdue = false
		}
	}
	for range 300 {
		moved := false
		for _, e := range w.events() {
			if strings.HasPrefix(e.name, "an operator") {
				continue
			}
			c := w.copy()
			if e.do(c); c.key() != w.key() {
				*w, moved = *c, true
				break
			}
		}
		if !moved {
			break
		}
	}
	switch {
	case len(w.b.Permits) > 0:
		return fmt.Errorf("at rest, permits are out: %v", slices.Sorted(maps.Keys(w.b.Permits)))
	case !w.p.Over() && w.p.Stage != Halted:
		return fmt.Errorf("at rest, the release is %s in wave %d", w.p.Stage, w.p.Wave+1)
	case w.p.Stage == Undone && slices.ContainsFunc(units, func(id string) bool { return w.real[id].Version != "1" }):
		return fmt.Errorf("undone, and not all run what they ran")
	case w.p.Stage == Done && slices.ContainsFunc(units[:3], func(id string) bool { return w.real[id].Version != "2" }):
		return fmt.Errorf("done, and not all run the new version")
	}
	return nil
}

// changed is a world in which the whole release is out, and nothing is judged yet.
func changed(without guard) *world {
	w := newWorld(without)
	for _, id := range w.p.Waves[0] {
		w.p.Began(id)
	}
	w.p.Wave = len(w.p.Waves) - 1
	for _, id := range []string{"a", "b", "c"} {
		w.p.Began(id)
		u := w.real[id]
		u.Version = "2"
		w.real[id] = u
		w.b.See(id, u)
	}
	return w
}

// two lets two be out: what is overdue doesn't fill the room by itself.
func two(without guard) *world {
	w := newWorld(without)
	w.b.Rules[0].Most = 2
	return w
}

func explore(from *world, most int) (trail []string, broken string, worlds, level int) {
	type node struct {
		w    *world
		from int
		how  string
	}
	seen, nodes, next := map[uint64]bool{}, []node{{from, -1, ""}}, 1
	for at := 0; at < len(nodes); at++ {
		if at == next {
			level++
			if next = len(nodes); len(nodes) > most {
				break
			}
		}
		w := nodes[at].w
		nodes[at].w = nil
		for _, e := range w.events() {
			c := w.copy()
			e.do(c)
			if k := c.key(); !seen[k] {
				seen[k] = true
				nodes = append(nodes, node{c, at, e.name})
				if len(nodes)%16 == 0 && c.bad == "" {
					if err := c.copy().rests(); err != nil {
						c.bad = err.Error()
					}
				}
			}
			if c.bad != "" {
				trail = []string{e.name}
				for n := at; n > 0; n = nodes[n].from {
					trail = append(trail, nodes[n].how)
				}
				slices.Reverse(trail)
				return trail, c.bad, len(nodes), level
			}
		}
	}
	return nil, "", len(nodes), level
}

func TestEveryOrderOfEvents(t *testing.T) {
	for name, from := range map[string]*world{"from the start": newWorld(nothing), "from a whole release": changed(nothing)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			trail, broken, worlds, level := explore(from, *worldsMost)
			t.Logf("every order of %d events, %d worlds that differ, %v", level, worlds, time.Since(begun).Round(time.Millisecond))
			if broken != "" {
				t.Errorf("%s:\n  %s", broken, strings.Join(trail, "\n  "))
			}
		})
	}
}

func TestEachGuardIsNeeded(t *testing.T) {
	for _, g := range []struct {
		name string
		from *world
	}{
		{"crashes count against the budget", newWorld(crashesCount)},
		{"a permit ends when its unit is seen back, not when somebody says so", newWorld(seenNotTold)},
		{"leaving is asked for once more", newWorld(leaveAskedAgain)},
		{"what is overdue halts planned work", two(overdueHalts)},
		{"the way back begins with the newest", changed(newestFirst)},
	} {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			trail, broken, worlds, _ := explore(g.from, 50_000)
			if broken == "" {
				t.Fatalf("without it nothing went wrong in %d worlds", worlds)
			}
			t.Logf("%s after %d events (%d worlds):\n  %s", broken, len(trail), worlds, strings.Join(trail, "\n  "))
		})
	}
}
