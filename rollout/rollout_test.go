package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func fleetOf(t *testing.T, n int, rules ...Rule) *Fleet {
	t.Helper()
	f := NewFleet()
	apply(t, f, Command{Op: SetRules, Rules: rules}, "")
	for i := range n {
		apply(t, f, Command{Op: Observe, Unit: fmt.Sprintf("g%d", i), Observed: &Unit{Kind: "gateway", Site: []string{"east", "west"}[i%2], Capacity: 10, Load: 5, Version: "1", Up: true, Warm: true}}, "")
	}
	return f
}

func apply(t *testing.T, f *Fleet, c Command, refused string) Reply {
	t.Helper()
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	r := f.Apply(c)
	if (r.Error == "") != (refused == "") || !strings.Contains(r.Error, refused) {
		t.Errorf("%s of %s%s: error %q, want %q", c.Op, c.Unit, c.Change, r.Error, refused)
	}
	return r
}

func TestARefusalNamesTheRuleAndWhoUsesIt(t *testing.T) {
	f := fleetOf(t, 10, Rule{Name: "tenth", Kind: "gateway", Share: 0.1}, Rule{Name: "sites", Site: "*", Spare: 1.6})
	life := time.Minute
	first := apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "r", Life: life}, "")
	if again := apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "r", Life: life}, ""); again.Token != first.Token {
		t.Errorf("a repeated request got permit %d, then %d", first.Token, again.Token)
	}
	apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "other", Life: life}, "g1 is out already; out are: g1 (r)")
	if r := apply(t, f, Command{Op: RequestPermit, Unit: "g2", Change: "r", Life: life}, "rule tenth: at most 1 of 10 may be out; out are: g1 (r)"); !r.Waits {
		t.Error("a request that a rule refuses does not wait")
	}
	apply(t, f, Command{Op: Return, Unit: "g1", Token: first.Token + 1}, "no permit in force")
	apply(t, f, Command{Op: MarkOverdue, Unit: "g1", Token: first.Token}, "")
	apply(t, f, Command{Op: RequestPermit, Unit: "g2", Change: "r", Life: life}, "overdue")
	apply(t, f, Command{Op: Claim, Unit: "g1"}, "")
	apply(t, f, Command{Op: Halt, By: "ito", Why: "the final"}, "")
	apply(t, f, Command{Op: Leave, Unit: "g1", Token: first.Token}, "halted: ito: the final")
	apply(t, f, Command{Op: Resume}, "")
	apply(t, f, Command{Op: Leave, Unit: "g1", Token: first.Token}, "")
	apply(t, f, Command{Op: Return, Unit: "g1", Token: first.Token}, "")
	if f.Budget.Permits["g1"] == nil {
		t.Error("a permit ended on the holder's report, without an observation")
	}
	g1 := *f.Budget.Units["g1"]
	apply(t, f, Command{Op: Observe, Unit: "g1", Observed: &g1}, "")
	if p := f.Budget.Permits["g2"]; p == nil || f.Budget.Permits["g1"] != nil {
		t.Error("g1 is observed back, but its permit is in force or g2 has none")
	}
	// The remaining capacity of a site must suffice: 4 of 5 gateways can serve 40 requests per second, and 25 x 1.7 is 42.5.
	f = fleetOf(t, 10, Rule{Name: "sites", Site: "*", Spare: 1.7})
	apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "r", Life: life}, "rule sites: what would stay in west can serve 40 a second")
	// A unit to which no rule applies may not leave, and without rules no unit may leave.
	f = fleetOf(t, 2, Rule{Name: "tables", Kind: "table", Most: 1})
	apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "r", Life: life}, "no rule of the budget speaks of g1")
	apply(t, f, Command{Op: RequestPermit, Unit: "g9", Change: "r", Life: life}, "g9 is not known")
}

// A request that a rule refuses blocks later requests for the same scope, and for no other.
func TestSmallChangesStarveNobody(t *testing.T) {
	f := fleetOf(t, 4, Rule{Name: "all", Most: 3}, Rule{Name: "east", Site: "east", Most: 1}, Rule{Name: "west", Site: "west", Most: 3})
	life := time.Minute
	apply(t, f, Command{Op: RequestPermit, Unit: "g0", Change: "a", Life: life}, "")
	apply(t, f, Command{Op: RequestPermit, Unit: "g2", Change: "b", Life: life}, "rule east") // refused by the rule east, not by the rule all
	g1 := apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "c", Life: life}, "")
	apply(t, f, Command{Op: RequestPermit, Unit: "g3", Change: "c", Life: life}, "")
	apply(t, f, Command{Op: Return, Unit: "g1", Token: g1.Token}, "")
	apply(t, f, Command{Op: Observe, Unit: "g1", Observed: &Unit{Kind: "gateway", Site: "west", Up: true, Warm: true}}, "")
	if len(f.Budget.Waiting) != 1 || f.Budget.Waiting[0].Unit != "g2" {
		t.Errorf("waiting: %v", f.Budget.Waiting)
	}
}

func TestTwoReleasesConflictAndSayWithWhat(t *testing.T) {
	f := fleetOf(t, 4, Rule{Name: "one", Most: 1})
	s := DefaultSettings
	apply(t, f, Command{Op: Begin, Change: "r1", Version: "2", Units: []string{"g0", "g1"}, Settings: &s}, "")
	apply(t, f, Command{Op: Begin, Change: "r1", Version: "2", Units: []string{"g0", "g1"}, Settings: &s}, "")
	apply(t, f, Command{Op: Begin, Change: "r2", Version: "3", Units: []string{"g1", "g2"}, Settings: &s}, "release r1 is going, and has g1 too")
	apply(t, f, Command{Op: Begin, Change: "r3", Version: "3", Units: []string{"g2", "g2"}, Settings: &s}, "named twice")
	apply(t, f, Command{Op: Begin, Change: "r3", Version: "3", Units: []string{"g2"}, Settings: &s}, "")
	// An earlier conductor's move is refused after a later one's, and so is a move from an outdated stage.
	going := Move{Plan: "r1", Stage: Updating, To: Evaluating}
	later, earlier := going, going
	later.Token, earlier.Token = 9, 8
	apply(t, f, Command{Op: MoveRelease, Move: &later}, "")
	apply(t, f, Command{Op: MoveRelease, Move: &earlier}, "overtaken by 9")
	apply(t, f, Command{Op: MoveRelease, Move: &later}, "not going in wave 1")
	if got := fmt.Sprint(Waves([]string{"a1", "a2", "a3", "b1", "b2", "b3"}, func(u string) string { return u[:1] }, 1, 2)); got != "[[a1] [b1 a2] [b2 a3 b3]]" {
		t.Errorf("waves %s", got)
	}
}

// A site can serve no more than its gateways and no more than its table servers can. No unit of either kind leaves if
// that would be too little for the load, because every request passes through both.
func TestSpareCapacityCountsEachKind(t *testing.T) {
	f := fleetOf(t, 4, Rule{Name: "room", Spare: 1.2}) // gateways: capacity 40 requests per second, load 20
	life := time.Minute
	for i, capacity := range []float64{15, 15, 4} {
		apply(t, f, Command{Op: Observe, Unit: fmt.Sprintf("t%d", i), Observed: &Unit{Kind: KindTable, Site: "east", Capacity: capacity, Up: true, Warm: true}}, "")
	}
	apply(t, f, Command{Op: RequestPermit, Unit: "t0", Change: "d", Life: life}, "what would stay can serve 19 a second (tables), and 20 is asked with 1.20 times that")
	apply(t, f, Command{Op: Withdraw, Change: "d"}, "")
	apply(t, f, Command{Op: RequestPermit, Unit: "t2", Change: "e", Life: life}, "")
	apply(t, f, Command{Op: RequestPermit, Unit: "g0", Change: "r", Life: life}, "")
	apply(t, f, Command{Op: Observe, Unit: "t1", Observed: &Unit{Kind: KindTable, Site: "east", Capacity: 15}}, "") // it is down
	apply(t, f, Command{Op: RequestPermit, Unit: "g1", Change: "r", Life: life}, "can serve 20 a second (gateways)")
	if no := f.Budget.CheckLeave("t0"); no == nil || !strings.Contains(no.Error(), "can serve 0 a second (tables)") {
		t.Errorf("t0 may leave, or is refused for another reason: %v", no)
	}
}

// A drain is quiet once all its units have left and every gateway has reported that it has no requests in flight there.
// A gateway that joins later counts as unknown until it has reported too.
func TestADrainIsQuietOnceAllHaveSaidSo(t *testing.T) {
	f := fleetOf(t, 2, Rule{Name: "tables", Kind: KindTable, Most: 2})
	observe := func(unit string, held map[string]int) {
		t.Helper()
		apply(t, f, Command{Op: Observe, Unit: unit, Observed: f.Budget.Units[unit], Held: held}, "")
	}
	for _, id := range []string{"t0", "t1"} {
		apply(t, f, Command{Op: Observe, Unit: id, Observed: &Unit{Kind: KindTable, Up: true, Warm: true}}, "")
	}
	apply(t, f, Command{Op: Drain, Change: "d", Units: []string{"t0", "t1"}, Life: time.Minute}, "")
	if b := f.Brief("g0"); len(b.Drains) != 0 {
		t.Errorf("gateways have to report on %v, which have not left", b.Drains)
	}
	for _, id := range []string{"t0", "t1"} {
		apply(t, f, Command{Op: Leave, Unit: id, Token: f.Budget.Permits[id].Token}, "")
	}
	if b := f.Brief("g0"); fmt.Sprint(b.Drains) != "[t0 t1]" || b.Task.Change != "" {
		t.Errorf("brief: %+v", b)
	}
	observe("g0", map[string]int{"t0": 0, "t1": 0})
	observe("g1", map[string]int{"t0": 0, "t1": 3})
	if f.Drains["d"].Quiet {
		t.Error("quiet although requests are in flight")
	}
	observe("g1", map[string]int{"t0": 0})
	if f.Drains["d"].Quiet {
		t.Error("quiet although a gateway has not reported for one server")
	}
	observe("g1", map[string]int{"t0": 0, "t1": 0})
	if !f.Drains["d"].Quiet {
		t.Error("not quiet although all gateways have reported no requests in flight")
	}
	apply(t, f, Command{Op: Observe, Unit: "g2", Observed: &Unit{Kind: KindGateway, Up: true, Warm: true}}, "")
	if _, unknown := f.WorkInFlight("t0"); fmt.Sprint(unknown) != "[g2]" {
		t.Errorf("gateways that have not reported: %v, want [g2]", unknown)
	}
}

// Reports of an observer that was suspended while another one took over its units are refused.
func TestOnlyTheLatestObserverCounts(t *testing.T) {
	f := fleetOf(t, 1)
	up, down := &Unit{Kind: KindTable, Up: true, Warm: true, By: "b"}, &Unit{Kind: KindTable, By: "a"}
	apply(t, f, Command{Op: Observe, By: "tables:x", Token: 5, Unit: "t0", Observed: up}, "")
	apply(t, f, Command{Op: Observe, By: "tables:x", Token: 4, Unit: "t0", Observed: down}, "token 4 is overtaken by 5")
	apply(t, f, Command{Op: Observe, By: "tables:y", Token: 4, Unit: "t1", Observed: down}, "")
	if !f.Budget.Units["t0"].Up {
		t.Error("a report with an outdated token was applied")
	}
}

// A changed unit that is lost is no sign of a bad version: the release waits, and halts if the unit stays lost.
func TestLostUnitWaitsThenHalts(t *testing.T) {
	f := fleetOf(t, 3, Rule{Name: "one", Most: 1})
	s := DefaultSettings
	apply(t, f, Command{Op: Begin, Change: "r", Version: "2", Units: []string{"g0", "g1"}, Settings: &s}, "")
	p := f.Plans["r"]
	observe := func(version string, up bool) {
		apply(t, f, Command{Op: Observe, Unit: "g0", Observed: &Unit{Kind: KindGateway, Site: "east", Capacity: 10, Version: version, Up: up, Warm: up}}, "")
	}
	observe("2", true)
	apply(t, f, Command{Op: MoveRelease, Move: &Move{Plan: "r", Stage: Updating, To: Evaluating}}, "")
	apply(t, f, Command{Op: MarkLost, Unit: "g0"}, "")
	stale := Observation{Since: time.Second}
	if m, ok := p.Next(f.Budget, stale); ok {
		t.Errorf("lost for a second, want no move: %+v", m)
	}
	if no := f.Budget.CheckLeave("g1"); no == nil || !strings.Contains(no.Error(), "g0 (out of sight)") {
		t.Errorf("g1 may leave while g0 is lost, or is refused for another reason: %v", no)
	}
	stale.Since = s.Patience + time.Second
	if m, ok := p.Next(f.Budget, stale); !ok || m.To != Halted {
		t.Errorf("lost for longer than the patience, want a halt: %+v", m)
	}
	observe("2", false)
	if m, ok := p.Next(f.Budget, Observation{Since: time.Second}); !ok || m.To != Halted || !strings.Contains(m.Why, "g0 runs the new version and is not seen ready") {
		t.Errorf("observed down, want a halt: %+v", m)
	}
	// The wait for a unit that is lost before it is changed is limited too.
	observe("1", true)
	p.Stage = Updating
	apply(t, f, Command{Op: MarkLost, Unit: "g0"}, "")
	if m, ok := p.Next(f.Budget, Observation{Since: s.Patience + time.Second}); !ok || !strings.Contains(m.Why, "out of sight") {
		t.Errorf("lost before it was changed, want a halt: %+v", m)
	}
}

// A release of a configuration compares and rolls back configuration versions, and refuses units that report none.
func TestAConfigurationsReleaseGoesByConfigurations(t *testing.T) {
	f := fleetOf(t, 2, Rule{Name: "one", Most: 1})
	s := DefaultSettings
	apply(t, f, Command{Op: Begin, Change: "r", Version: "c2", Config: true, Units: []string{"g0"}, Settings: &s}, "g0 names no configuration that it could go back to")
	seen := *f.Budget.Units["g0"]
	seen.Config = "c1"
	apply(t, f, Command{Op: Observe, Unit: "g0", Observed: &seen}, "")
	apply(t, f, Command{Op: Begin, Change: "r", Version: "c2", Config: true, Units: []string{"g0"}, Settings: &s}, "")
	if task := f.Task("g0"); !task.Config || task.Version != "c2" {
		t.Errorf("task %+v", task)
	}
	seen.Config = "c2"
	f.Plans["r"].MarkBegun("g0")
	apply(t, f, Command{Op: Observe, Unit: "g0", Observed: &seen}, "")
	apply(t, f, Command{Op: MoveRelease, Move: &Move{Plan: "r", Stage: Updating, To: RollingBack}}, "")
	if task := f.Task("g0"); !task.Config || task.Version != "c1" {
		t.Errorf("task during the rollback %+v", task)
	}
}

func TestJudgedOnEnoughRequestsByClass(t *testing.T) {
	l := DefaultLimits
	one := func(asked, failed, late uint64) map[string]Count {
		return map[string]Count{"move": {asked, failed, late}, "view": {1000, 10, 10}}
	}
	for _, c := range []struct {
		name            string
		changed, others map[string]Count
		want            Verdict
	}{
		{"alike", one(1000, 10, 50), one(9000, 90, 450), Good},
		{"one class fails", one(1000, 80, 50), one(9000, 90, 450), Bad},
		{"one class is late", one(1000, 10, 150), one(9000, 90, 450), Bad},
		{"a little more, within chance", one(200, 4, 0), one(9000, 90, 0), Good},
		{"too few to tell", one(50, 50, 0), one(9000, 90, 450), Inconclusive},
		{"too few of one class, another is worse", map[string]Count{"move": {10, 10, 0}, "view": {1000, 100, 0}}, one(9000, 90, 0), Bad},
		{"nothing at all", nil, nil, Inconclusive},
		{"better", one(1000, 0, 0), one(9000, 900, 900), Good},
	} {
		if v, why := l.Judge(c.changed, c.others); v != c.want {
			t.Errorf("%s: %d (%s), want %d", c.name, v, why, c.want)
		}
	}
}

func TestCommandsAreChecked(t *testing.T) {
	for _, c := range []Command{
		{}, {Op: "x"}, {Op: Observe, Unit: "a"}, {Op: Observe, Unit: "a", Observed: &Unit{Kind: "g", Load: -1}}, {Op: RequestPermit, Unit: "a", Change: "c"},
		{Op: RequestPermit, Unit: strings.Repeat("a", 300), Change: "c", Life: time.Minute}, {Op: Leave, Unit: "a"}, {Op: Halt}, {Op: MoveRelease},
		{Op: Begin, Change: "r", Version: "2", Units: []string{"a"}, Settings: &Settings{}}, {Op: Drain, Change: "d", Units: []string{"a"}, Life: time.Millisecond},
		{Op: SetRules, Rules: []Rule{{Name: "a"}}}, {Op: SetRules, Rules: []Rule{{Name: "a", Most: 1}, {Name: "a", Most: 1}}}, {Op: SetRules, Rules: []Rule{{Name: "a", Share: 1}}},
	} {
		if c.Check() == nil {
			t.Errorf("invalid command %+v was accepted", c)
		}
	}
}

// An entry of the log must cost as much with many waiting requests as with few: the coordinators apply hundreds of
// entries per second.
func BenchmarkSee(b *testing.B) {
	for _, waiting := range []int{0, 20, 200} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := NewFleet()
			f.Apply(Command{Op: SetRules, Rules: []Rule{{Name: "g", Kind: KindGateway, Most: 10}, {Name: "room", Spare: 0.1}}})
			u := Unit{Kind: KindGateway, Capacity: 10, Load: 5, Up: true, Warm: true}
			for i := range 300 {
				seen := u
				f.Apply(Command{Op: Observe, Unit: fmt.Sprint("g", i), Observed: &seen})
			}
			for i := range waiting + 10*min(1, waiting) {
				f.Apply(Command{Op: RequestPermit, Unit: fmt.Sprint("g", i), Change: "r", Life: time.Minute})
			}
			b.ResetTimer()
			for b.Loop() {
				seen := u
				f.Apply(Command{Op: Observe, Unit: "g299", Observed: &seen})
			}
		})
	}
}
