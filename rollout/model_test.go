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

var maxStates = flag.Int("worlds", 8_000, "number of states after which a search ends, once the current depth is complete")

// modelState is a state of the model that explore searches: four units of which one may be out, a release over three of
// them, manual drains of the fourth and of one unit of the release, agents that report late, crashes, delayed
// observations, two conductors of which one acts on an outdated state, permits that become overdue, and an operator who
// halts, resumes and rolls back. Violations are determined from the units that are actually out, and why.
type modelState struct {
	b           *Budget
	p           *Plan
	actual      map[string]Unit // the actual state of the units; the budget holds what was observed
	agents      map[string]agentWork
	delayedMove *Move // of a conductor that was suspended before it sent the move
	remaining   struct{ crashes, moves, late, halts, backs, drains int }
	violation   string
}

// agentWork is the change that an agent, or an operator who drains by hand, is carrying out.
type agentWork struct {
	change, version string
	token           uint64
	stage           int // 0 none, 1 has a permit, 2 out, 3 serves again, 4 has reported it
}

var units = []string{"a", "b", "c", "d"}

func newModelState(without guard) *modelState {
	w := &modelState{b: NewBudget(), actual: map[string]Unit{}, agents: map[string]agentWork{}}
	w.b.Rules = []Rule{{Name: "one", Most: 1}}
	for _, id := range units {
		u := Unit{Kind: "gateway", Site: "s", Version: "1", Up: true, Warm: true, Capacity: 10, Load: 1}
		w.actual[id] = u
		w.b.Observe(id, u)
	}
	p, err := NewPlan("release", "2", false, w.b, []string{"a", "b", "c"}, Settings{Canary: 1, Growth: 2, Patience: time.Hour, Limits: Limits{Enough: 1}})
	if err != nil {
		panic(err)
	}
	w.p, w.b.disabled, p.disabled = p, without, without
	w.remaining.crashes, w.remaining.moves, w.remaining.late, w.remaining.halts, w.remaining.backs, w.remaining.drains = 1, 1, 1, 1, 1, 2
	return w
}

func (w *modelState) countOut(planned bool) (n int) {
	for _, id := range units {
		if a := w.agents[id]; a.stage == 2 || a.stage == 3 && !w.actual[id].inService() || !planned && !w.b.Units[id].inService() {
			n++
		}
	}
	return n
}

type event struct {
	name string
	do   func(w *modelState)
}

func (w *modelState) requestPermit(id, change, version string) {
	p, refused := w.b.RequestPermit(PermitRequest{change, id})
	if refused != nil {
		return
	}
	w.agents[id] = agentWork{change, version, p.Token, 1}
}

func (w *modelState) events() (all []event) {
	add := func(name string, do func(w *modelState)) { all = append(all, event{name, do}) }
	for _, id := range units {
		a, u := w.agents[id], w.actual[id]
		// Each event gets its own copy of the unit and of the work, because all events are created before one is chosen.
		of := func(name string, do func(w *modelState, u Unit, a agentWork)) {
			add(name, func(w *modelState) { do(w, u, a) })
		}
		switch a.stage {
		case 0:
			if v, ok := w.p.TargetVersion(w.b, id); ok {
				of("the agent of "+id+" requests a permit", func(w *modelState, u Unit, a agentWork) { w.requestPermit(id, "release", v) })
			}
			if w.remaining.drains > 0 && (id == "d" || id == "b") && w.b.Permits[id] == nil {
				of("a manual drain is requested for "+id, func(w *modelState, u Unit, a agentWork) {
					w.remaining.drains--
					w.requestPermit(id, "drain", u.Version)
				})
			}
			if p := w.b.Permits[id]; p != nil && !p.Returned { // granted in its turn
				of("the agent of "+id+" learns of its permit", func(w *modelState, u Unit, a agentWork) { w.agents[id] = agentWork{p.Change, "", p.Token, 1} })
			}
		case 1:
			of(id+" leaves", func(w *modelState, u Unit, a agentWork) {
				if a.change == "release" {
					v, ok := w.p.TargetVersion(w.b, id)
					if !ok { // halted meanwhile: the agent returns the permit, and the unit stays in service
						w.b.Return(id, a.token)
						a.stage = 4
						w.agents[id] = a
						return
					}
					if w.p.Stage == RollingBack {
						for _, later := range w.p.Begun[slices.Index(w.p.Begun, id)+1:] {
							if w.actual[later].Version != w.p.From[later] {
								w.violation = fmt.Sprintf("%s is rolled back before %s, which was changed after it", id, later)
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
				w.p.MarkBegun(map[bool]string{true: id}[a.change == "release"])
				seen := w.countOut(false)
				a.stage = 2
				w.agents[id] = a
				u.Up, u.Warm = false, false
				w.actual[id] = u
				for other, p := range w.b.Permits {
					if p.Overdue && other != id {
						w.violation = fmt.Sprintf("%s left by plan while the permit of %s was overdue", id, other)
					}
				}
				if n := w.countOut(true); n > w.b.Rules[0].Most {
					w.violation = fmt.Sprintf("%d units are out by plan, the limit is %d", n, w.b.Rules[0].Most)
				}
				if seen >= w.b.Rules[0].Most && w.b.Units[id].inService() {
					w.violation = fmt.Sprintf("%s left by plan while %d units were observed out", id, seen)
				}
			})
		case 2:
			of(id+" is started again", func(w *modelState, u Unit, a agentWork) {
				u.Up, u.Version = true, a.version
				a.stage = 3
				w.actual[id], w.agents[id] = u, a
			})
		case 3:
			of("the return of "+id+" is reported", func(w *modelState, u Unit, a agentWork) {
				w.b.Return(id, a.token)
				a.stage = 4
				w.agents[id] = a
			})
		case 4:
			if p := w.b.Permits[id]; p == nil || p.Token != a.token {
				of("the agent of "+id+" finishes", func(w *modelState, u Unit, a agentWork) { delete(w.agents, id) })
			}
		}
		if u.Up && !u.Warm {
			of(id+" becomes warm", func(w *modelState, u Unit, a agentWork) { u.Warm = true; w.actual[id] = u })
		}
		if !u.Up && a.stage != 2 {
			of(id+" recovers", func(w *modelState, u Unit, a agentWork) { u.Up = true; w.actual[id] = u })
		}
		if u.Up && w.remaining.crashes > 0 && a.stage != 2 {
			of(id+" crashes", func(w *modelState, u Unit, a agentWork) {
				w.remaining.crashes--
				u.Up, u.Warm = false, false
				w.actual[id] = u
			})
		}
		if p := w.b.Permits[id]; *w.b.Units[id] != u || p != nil && p.Returned && u.inService() {
			of(id+" is observed", func(w *modelState, u Unit, a agentWork) { w.b.Observe(id, u); w.startGranted(w.b.GrantWaiting()) })
		}
		if p := w.b.Permits[id]; p != nil && !p.Overdue && w.remaining.late > 0 {
			of("the permit of "+id+" is overdue", func(w *modelState, u Unit, a agentWork) { w.remaining.late--; w.b.MarkOverdue(id, p.Token) })
		}
	}
	if m, ok := w.next(); ok {
		add("the conductor moves to "+string(m.To), func(w *modelState) { w.p.ApplyMove(m) })
		if w.remaining.moves > 0 && w.delayedMove == nil {
			add("another conductor is suspended before it moves to "+string(m.To), func(w *modelState) { w.remaining.moves--; m.Token = 1; w.delayedMove = &m })
		}
	}
	if w.delayedMove != nil {
		add("the suspended conductor's move arrives", func(w *modelState) { w.p.ApplyMove(*w.delayedMove); w.delayedMove = nil })
	}
	here := Move{Plan: w.p.ID, Stage: w.p.Stage, Wave: w.p.Wave, Why: "operator"}
	if w.remaining.halts > 0 && (w.p.Stage == Updating || w.p.Stage == Evaluating) {
		add("an operator halts", func(w *modelState) { w.remaining.halts--; here.To = Halted; w.p.ApplyMove(here) })
	}
	if w.p.Stage == Halted {
		add("an operator resumes", func(w *modelState) { here.To = Updating; w.p.ApplyMove(here) })
	}
	if w.remaining.backs > 0 && !w.p.Over() && w.p.Stage != RollingBack {
		add("an operator rolls back", func(w *modelState) { w.remaining.backs--; here.To = RollingBack; w.p.ApplyMove(here) })
	}
	return all
}

// startGranted lets the agents of granted requests begin.
func (w *modelState) startGranted(given []PermitRequest) {
	for _, a := range given {
		if w.agents[a.Unit].stage == 0 {
			w.agents[a.Unit] = agentWork{a.Change, "", w.b.Permits[a.Unit].Token, 1}
		}
	}
}

func (w *modelState) next() (Move, bool) {
	m, ok := w.p.Next(w.b, Observation{Since: time.Second, Fresh: true, Changed: map[string]Count{"x": {Asked: 10}}, Others: map[string]Count{"x": {Asked: 10}}})
	m.Token = 2
	return m, ok
}

func (w *modelState) copy() *modelState {
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
	c.b, c.p, c.actual, c.agents = &b, &p, maps.Clone(w.actual), maps.Clone(w.agents)
	return &c
}

func (w *modelState) key() uint64 {
	var s strings.Builder
	for _, id := range units {
		fmt.Fprint(&s, w.actual[id], *w.b.Units[id], w.agents[id].change, w.agents[id].version, w.agents[id].stage)
		if p := w.b.Permits[id]; p != nil {
			fmt.Fprint(&s, p.Change, p.Returned, p.Overdue, p.Token == w.agents[id].token)
		}
	}
	fmt.Fprint(&s, w.b.Waiting, w.p.Stage, w.p.Wave, w.p.Begun, w.p.Conductor, w.remaining, w.delayedMove != nil)
	if w.delayedMove != nil {
		fmt.Fprint(&s, *w.delayedMove)
	}
	return xxhash.Sum64String(s.String())
}

// settle runs the model without further faults until nothing changes. It returns an error unless every permit has ended
// and the release has ended or is halted.
func (w *modelState) settle() error {
	w.remaining.crashes, w.remaining.moves, w.remaining.late, w.remaining.halts, w.remaining.backs, w.remaining.drains = 0, 0, 0, 0, 0, 0
	w.delayedMove = nil
	for _, id := range units { // an operator claims the overdue permits
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
		return fmt.Errorf("after settling, permits are still in force: %v", slices.Sorted(maps.Keys(w.b.Permits)))
	case !w.p.Over() && w.p.Stage != Halted:
		return fmt.Errorf("after settling, the release is %s in wave %d", w.p.Stage, w.p.Wave+1)
	case w.p.Stage == RolledBack && slices.ContainsFunc(units, func(id string) bool { return w.actual[id].Version != "1" }):
		return fmt.Errorf("rolled back, but not all units run their previous version")
	case w.p.Stage == Done && slices.ContainsFunc(units[:3], func(id string) bool { return w.actual[id].Version != "2" }):
		return fmt.Errorf("done, but not all units run the new version")
	}
	return nil
}

// fullyChanged returns a state in which all units of the release are changed and the last wave is not judged yet.
func fullyChanged(without guard) *modelState {
	w := newModelState(without)
	for _, id := range w.p.Waves[0] {
		w.p.MarkBegun(id)
	}
	w.p.Wave = len(w.p.Waves) - 1
	for _, id := range []string{"a", "b", "c"} {
		w.p.MarkBegun(id)
		u := w.actual[id]
		u.Version = "2"
		w.actual[id] = u
		w.b.Observe(id, u)
	}
	return w
}

// allowTwoOut returns a state in which two units may be out, so that an overdue permit alone does not use up the limit.
func allowTwoOut(without guard) *modelState {
	w := newModelState(without)
	w.b.Rules[0].Most = 2
	return w
}

func explore(from *modelState, maxNodes int) (path []string, violation string, states, depth int) {
	type node struct {
		w     *modelState
		from  int
		event string
	}
	seen, nodes, next := map[uint64]bool{}, []node{{from, -1, ""}}, 1
	for current := 0; current < len(nodes); current++ {
		if current == next {
			depth++
			if next = len(nodes); len(nodes) > maxNodes {
				break
			}
		}
		w := nodes[current].w
		nodes[current].w = nil
		for _, e := range w.events() {
			c := w.copy()
			e.do(c)
			if k := c.key(); !seen[k] {
				seen[k] = true
				nodes = append(nodes, node{c, current, e.name})
				if len(nodes)%16 == 0 && c.violation == "" {
					if err := c.copy().settle(); err != nil {
						c.violation = err.Error()
					}
				}
			}
			if c.violation != "" {
				path = []string{e.name}
				for n := current; n > 0; n = nodes[n].from {
					path = append(path, nodes[n].event)
				}
				slices.Reverse(path)
				return path, c.violation, len(nodes), depth
			}
		}
	}
	return nil, "", len(nodes), depth
}

func TestEveryOrderOfEvents(t *testing.T) {
	for name, from := range map[string]*modelState{"from the start": newModelState(guardNone), "from a fully changed release": fullyChanged(guardNone)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			path, violation, states, depth := explore(from, *maxStates)
			t.Logf("all orders of %d events: %d distinct states in %v", depth, states, time.Since(start).Round(time.Millisecond))
			if violation != "" {
				t.Errorf("%s:\n  %s", violation, strings.Join(path, "\n  "))
			}
		})
	}
}

func TestEachGuardIsNeeded(t *testing.T) {
	for _, g := range []struct {
		name string
		from *modelState
	}{
		{"crashes count against the budget", newModelState(guardCrashesCount)},
		{"a permit ends when its unit is seen back, not when somebody says so", newModelState(guardObservedReturn)},
		{"the rules are checked again before a unit leaves", newModelState(guardLeaveRecheck)},
		{"what is overdue halts planned work", allowTwoOut(guardOverdueBlocks)},
		{"a rollback begins with the last changed unit", fullyChanged(guardNewestFirst)},
	} {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			path, violation, states, _ := explore(g.from, 50_000)
			if violation == "" {
				t.Fatalf("no violation in %d states with the guard disabled", states)
			}
			t.Logf("%s after %d events (%d states):\n  %s", violation, len(path), states, strings.Join(path, "\n  "))
		})
	}
}
