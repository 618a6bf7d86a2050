package rollout

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// Applies long random sequences of commands: agents and wardens that carry out their tasks late and out of order,
// crashes, drains, releases, and an operator who halts and resumes. At each step no unit leaves by plan if more units
// would then be out than the rules allow, the number of notes stays bounded, and a fleet restored from a snapshot gives
// the same replies as the original. In the end, without further faults, every permit ends and no request waits.
func TestLongRunsOfTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tables, gateways, maxTablesOut, maxGatewaysOut = 4, 5, 2, 1
		f, restored := NewFleet(), NewFleet()
		applyBoth := func(c Command) Reply {
			if err := c.Check(); err != nil {
				t.Fatalf("%+v: %v", c, err)
			}
			r := f.Apply(c)
			if again := restored.Apply(c); again != r {
				t.Fatalf("%+v: reply %+v, but %+v from the fleet restored from a snapshot", c, r, again)
			}
			return r
		}
		applyBoth(Command{Op: SetRules, Rules: []Rule{{Name: "t", Kind: KindTable, Most: maxTablesOut}, {Name: "g", Kind: KindGateway, Most: maxGatewaysOut}, {Name: "room", Spare: 1}}})
		actual := map[string]Unit{}
		var ids []string
		add := func(id, kind string) {
			ids = append(ids, id)
			actual[id] = Unit{Kind: kind, Site: "s", Capacity: 10, Load: map[string]float64{KindGateway: 4}[kind], Version: "1", Config: "c1", Up: true, Warm: true}
		}
		for i := range tables {
			add(fmt.Sprint("t", i), KindTable)
		}
		for i := range gateways {
			add(fmt.Sprint("g", i), KindGateway)
		}
		observe := func(id string) {
			u := actual[id]
			c := Command{Op: Observe, Unit: id, Observed: &u}
			if u.Kind == KindGateway {
				c.Held = map[string]int{}
				for _, s := range f.Brief(id).Drains {
					c.Held[s] = 0
				}
			}
			applyBoth(c)
		}
		for _, id := range ids {
			observe(id)
		}
		// countLeft counts the units that left by plan and are not yet observed back: what the rules limit, apart from crashes.
		countLeft := func(kind string) (n int) {
			for id, p := range f.Budget.Permits {
				if actual[id].Kind == kind && p.Left {
					n++
				}
			}
			return n
		}
		// runAgent does what the agent or warden of a unit does next.
		runAgent := func(id string) {
			u := actual[id]
			p := f.Budget.Permits[id]
			if p == nil {
				if task := f.Task(id); task.Version != "" {
					applyBoth(Command{Op: RequestPermit, Unit: id, Change: task.Change, Life: time.Minute})
				}
				return
			}
			task := f.Task(id)
			returnUnit := func() {
				u.Up, u.Warm = true, true
				actual[id] = u
				applyBoth(Command{Op: Return, Unit: id, Token: p.Token})
			}
			switch {
			case p.Returned:
			case task.Restore || task.Change != p.Change:
				returnUnit()
			case !p.Left:
				leftBefore, most := countLeft(u.Kind), map[string]int{KindTable: maxTablesOut, KindGateway: maxGatewaysOut}[u.Kind]
				outOtherwise := 0
				for other, s := range f.Budget.Units {
					if other != id && s.Kind == u.Kind && !s.inService() && (f.Budget.Permits[other] == nil || !f.Budget.Permits[other].Left) {
						outOtherwise++
					}
				}
				if r := applyBoth(Command{Op: Leave, Unit: id, Token: p.Token}); r.Error == "" {
					if leftBefore+outOtherwise+1 > most {
						t.Fatalf("%s left although %d units had left by plan and %d were out otherwise; the limit is %d", id, leftBefore, outOtherwise, most)
					}
					u.Up, u.Warm = false, false
					actual[id] = u
				}
			case task.Version != "":
				if task.Config {
					u.Config = task.Version
				} else {
					u.Version = task.Version
				}
				returnUnit()
			}
		}
		s := Settings{Canary: 1, Growth: 2, Patience: time.Hour, Limits: Limits{Enough: 1}}
		begun, drains := 0, 0
		unit := rapid.SampledFrom(ids)
		steps := rapid.IntRange(20, 250).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				runAgent(unit.Draw(t, "unit"))
			case 3, 4, 5:
				observe(unit.Draw(t, "unit"))
			case 6:
				id := unit.Draw(t, "unit")
				u := actual[id]
				u.Up, u.Warm = rapid.Bool().Draw(t, "up"), true
				u.Warm = u.Up
				if f.Budget.Permits[id] == nil {
					actual[id] = u
				}
			case 7:
				begun++
				applyBoth(Command{Op: Begin, Change: fmt.Sprint("r", begun), Version: fmt.Sprint("v", begun), Config: rapid.Bool().Draw(t, "config"), Units: rapid.SampledFrom([][]string{{"g0", "g1", "g2"}, {"g3", "g4"}, {"g2", "g3"}}).Draw(t, "units"), Settings: &s})
			case 8:
				for _, id := range sortedKeys(f.Plans) {
					if m, ok := f.Plans[id].Next(f.Budget, Observation{Since: time.Second, Fresh: true, Changed: map[string]Count{"x": {Asked: 9}}, Others: map[string]Count{"x": {Asked: 9}}}); ok {
						applyBoth(Command{Op: MoveRelease, Move: &m})
						break
					}
				}
			case 9:
				drains++
				applyBoth(Command{Op: Drain, Change: fmt.Sprint("d", drains), Units: rapid.SampledFrom([][]string{{"t0", "t1"}, {"t1"}, {"t2", "g4"}, {"t3", "t2"}}).Draw(t, "drained"), Life: time.Minute})
			case 10:
				applyBoth(Command{Op: Restore, Change: fmt.Sprint("d", rapid.IntRange(1, max(1, drains)).Draw(t, "which"))})
			case 11:
				if f.Budget.Halted == "" {
					applyBoth(Command{Op: Halt, By: "ito", Why: "why"})
				} else {
					applyBoth(Command{Op: Resume})
				}
			}
			if rapid.IntRange(0, 20).Draw(t, "snapshot") == 0 {
				raw, err := msgpack.Marshal(f)
				if err != nil {
					t.Fatal(err)
				}
				restored = NewFleet()
				if err := msgpack.Unmarshal(raw, restored); err != nil {
					t.Fatal(err)
				}
			}
			if len(f.Notes) > maxNotes+notesSlack {
				t.Fatalf("%d notes are kept, the limit is %d", len(f.Notes), maxNotes+notesSlack)
			}
		}
		if a, b := f.Budget.Usage(), restored.Budget.Usage(); !reflect.DeepEqual(a, b) {
			t.Fatalf("budget usage is %+v, but %+v in the fleet restored from a snapshot", a, b)
		}
		// From here on there are no more faults.
		applyBoth(Command{Op: Resume})
		for i := range drains {
			applyBoth(Command{Op: Restore, Change: fmt.Sprint("d", i+1)})
		}
		for range 40 * len(ids) {
			for _, id := range ids {
				if f.Budget.Permits[id] == nil {
					u := actual[id]
					u.Up, u.Warm = true, true
					actual[id] = u
				}
				runAgent(id)
				observe(id)
			}
			for _, id := range sortedKeys(f.Plans) {
				if m, ok := f.Plans[id].Next(f.Budget, Observation{Since: time.Second, Fresh: true, Changed: map[string]Count{"x": {Asked: 9}}, Others: map[string]Count{"x": {Asked: 9}}}); ok {
					applyBoth(Command{Op: MoveRelease, Move: &m})
				}
			}
		}
		if len(f.Budget.Permits) > 0 || len(f.Budget.Waiting) > 0 || len(f.Drains) > 0 {
			t.Fatalf("at rest: permits %v, waiting %v, drains %v", sortedKeys(f.Budget.Permits), f.Budget.Waiting, sortedKeys(f.Drains))
		}
		for id, p := range f.Plans {
			if !p.Over() && p.Stage != Halted {
				t.Fatalf("at rest, %s is %s in wave %d: %s", id, p.Stage, p.Wave+1, p.Why)
			}
		}
	})
}
