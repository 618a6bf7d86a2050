package warden

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"junctionring/internal/coordinator/grouptest"
	"junctionring/internal/standin"
	"junctionring/rollout"
)

var quiet = slog.New(slog.DiscardHandler)

// hall is a registry with six table servers in two zones, a budget that lets half of them be out, and a gateway that says
// what it has under way.
type hall struct {
	*grouptest.Group
	t        *testing.T
	ctx      context.Context
	registry *standin.Registry
	tables   map[string]*standin.Table
	c        *Config
	held     map[string]int
}

func newHall(t *testing.T) *hall {
	t.Helper()
	t.Parallel()
	ctx, done := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(done)
	h := &hall{t: t, ctx: ctx, Group: grouptest.Start(ctx, t, 2*time.Second), tables: map[string]*standin.Table{}, held: map[string]int{}}
	var err error
	if h.registry, err = standin.NewRegistry("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.registry.Close)
	for i := range 6 {
		h.table(fmt.Sprintf("t%d", i), []string{"a", "b"}[i%2], 0)
	}
	path := filepath.Join(t.TempDir(), "tables.toml")
	text := fmt.Sprintf("name = \"hall\"\nsite = \"s\"\ncoordinators = [%q]\nlife = \"1s\"\nregistry = %q\ncapacity = 10\nwarm = \"400ms\"\nlook = \"100ms\"\n", h.Address, h.registry.Addr())
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	if h.c, err = LoadConfig(path); err != nil {
		t.Fatal(err)
	}
	h.Change(rollout.Command{Op: rollout.SetRules, Rules: []rollout.Rule{{Name: "half", Kind: rollout.KindTable, Most: 3}}})
	h.says()
	return h
}

// table starts a table server; cold: its process began only now.
func (h *hall) table(id, zone string, cold time.Duration) {
	h.t.Helper()
	t, err := standin.NewTable("127.0.0.1:0", standin.TableOptions{ID: id, Site: zone, Cores: 1, Speed: 1})
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(t.Close)
	h.tables[id] = t
	e := t.Instance(t.Addr())
	if cold > 0 {
		e.StartedAt = time.Now().UnixMilli()
	}
	h.registry.Put(e)
}

// says has the gateway say what it has under way at the servers that drain.
func (h *hall) says() {
	h.t.Helper()
	h.Change(rollout.Command{Op: rollout.Observe, Unit: "g1", Observed: &rollout.Unit{Kind: rollout.KindGateway, Capacity: 100, Load: 20, Up: true, Warm: true}, Held: h.held})
}

func (h *hall) run(name string) (end func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	done := make(chan error, 1)
	go func() { done <- New(h.c, &HTTP{Address: h.c.Registry}, name, quiet).Run(ctx) }()
	end = func() {
		cancel()
		if err := <-done; err != nil {
			h.t.Error(err)
		}
		done <- nil
	}
	h.t.Cleanup(end)
	return end
}

// up lists the servers that are seen in order.
func up(f *rollout.Fleet) (all []string) {
	for id, u := range f.Budget.Units {
		if u.Kind == rollout.KindTable && u.Up && u.Warm {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

func drained(h *hall) (ids []string) {
	all, err := (&HTTP{Address: h.c.Registry}).List(h.ctx)
	if err != nil {
		h.t.Fatal(err)
	}
	for _, s := range all {
		if s.Draining {
			ids = append(ids, s.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func is(ids []string, want ...string) bool { return slices.Equal(ids, want) }

// A zone is drained, is quiet only once the gateway has said so, and serves again when it is restored; the warden that
// began it dies in between.
func TestAZoneDrainsAndComesBack(t *testing.T) {
	h := newHall(t)
	first := h.run("first")
	h.Await("all are seen", func(f *rollout.Fleet) bool { return len(up(f)) == 6 })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "zone-a", Units: []string{"t0", "t2", "t4"}, Life: time.Minute})
	h.Await("the registry was told", func(*rollout.Fleet) bool { return is(drained(h), "t0", "t2", "t4") })
	first()
	h.run("second")
	h.held = map[string]int{"t0": 2, "t2": 0}
	h.says()
	f := h.Await("the second one sees", func(f *rollout.Fleet) bool { return f.Budget.Units["t1"].By == "second" })
	if n, who := f.WorkInFlight("t0"); f.Drains["zone-a"].Quiet || n != 2 || len(who) != 0 {
		t.Errorf("t0: %d under way, %v unknown; quiet %v", n, who, f.Drains["zone-a"].Quiet)
	}
	if n, who := f.WorkInFlight("t4"); n != 0 || !is(who, "g1") {
		t.Errorf("t4: %d under way, %v unknown", n, who)
	}
	h.held = map[string]int{"t0": 0, "t2": 0, "t4": 0}
	h.says()
	h.Await("it is quiet", func(f *rollout.Fleet) bool { return f.Drains["zone-a"].Quiet })
	h.Change(rollout.Command{Op: rollout.Restore, Change: "zone-a"})
	h.Await("all serve", func(f *rollout.Fleet) bool {
		return len(up(f)) == 6 && len(f.Drains) == 0 && len(f.Budget.Permits) == 0
	})
	if d := drained(h); len(d) != 0 {
		t.Errorf("%v are still listed as draining", d)
	}
}

// A drained server that restarts under its name, listed as serving and cold, is told to drain once more; restored, it
// counts as out until it is warm.
func TestADrainedServerThatRestartsStaysOut(t *testing.T) {
	h := newHall(t)
	h.c.Warm.Duration = 2 * time.Second
	h.run("w")
	h.Await("all are seen", func(f *rollout.Fleet) bool { return len(up(f)) == 6 })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "one", Units: []string{"t1"}, Life: time.Minute})
	h.Await("it drains", func(*rollout.Fleet) bool { return is(drained(h), "t1") })
	told := len(h.registry.Told())
	h.tables["t1"].Close()
	h.table("t1", "b", time.Second)
	h.Await("it drains again", func(*rollout.Fleet) bool { return is(drained(h), "t1") && len(h.registry.Told()) > told })
	h.Change(rollout.Command{Op: rollout.Restore, Change: "one"})
	f := h.Await("it is listed as serving", func(f *rollout.Fleet) bool { return len(drained(h)) == 0 && f.Budget.Permits["t1"].Returned })
	if f.Budget.Units["t1"].Warm {
		t.Error("a cold server counts as back")
	}
	h.Await("it is warm", func(f *rollout.Fleet) bool {
		return f.Budget.Permits["t1"] == nil && is(up(f), "t0", "t1", "t2", "t3", "t4", "t5")
	})
}

// While one zone is lost, the drain of the other waits, says for what, and goes on when the lost one is back.
func TestADrainWaitsWhileAnotherZoneIsLost(t *testing.T) {
	h := newHall(t)
	h.run("w")
	h.Await("all are seen", func(f *rollout.Fleet) bool { return len(up(f)) == 6 })
	for _, id := range []string{"t1", "t3", "t5"} {
		h.tables[id].Silence()
	}
	h.Await("the zone is out", func(f *rollout.Fleet) bool { return is(up(f), "t0", "t2", "t4") })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "zone-a", Units: []string{"t0", "t2", "t4"}, Life: time.Minute})
	f := h.Await("it waits", func(f *rollout.Fleet) bool { return len(f.Budget.Waiting) == 3 })
	if no := f.Budget.CheckLeave("t0"); no == nil || !strings.Contains(no.Error(), "at most 3 of 6 may be out; out are: t1 (not seen ready), t3 (not seen ready), t5 (not seen ready)") {
		t.Errorf("why: %v", no)
	}
	if d := drained(h); len(d) != 0 || len(up(f)) != 3 {
		t.Errorf("%v drain, %v serve", d, up(f))
	}
	h.tables["t1"].Speak()
	h.Await("as many leave as there is room for", func(*rollout.Fleet) bool { return is(drained(h), "t0") })
	h.tables["t3"].Speak()
	h.tables["t5"].Speak()
	h.Await("all of it leaves", func(*rollout.Fleet) bool { return is(drained(h), "t0", "t2", "t4") })
}

// A drain by hand past the budget counts as out; a server that the registry doesn't list any more is missed until it is
// forgotten; a time that has passed halts what is planned and ends no drain.
func TestWhatNobodyEndsStays(t *testing.T) {
	h := newHall(t)
	h.run("w")
	h.Await("all are seen", func(f *rollout.Fleet) bool { return len(up(f)) == 6 })
	h.registry.Drain("t5")
	e := h.tables["t3"].Instance("")
	e.Lifecycle = "DELETED"
	h.registry.Put(e)
	h.Await("both are out", func(f *rollout.Fleet) bool { return is(up(f), "t0", "t1", "t2", "t4") })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "d", Units: []string{"t0"}, Life: 3 * time.Second})
	f := h.Await("it is overdue", func(f *rollout.Fleet) bool { p := f.Budget.Permits["t0"]; return p != nil && p.Overdue })
	if no := f.Budget.CheckLeave("t1"); no == nil || !strings.Contains(no.Error(), "a permit is overdue; out are: t0 (d, overdue)") {
		t.Errorf("why t1 may not leave: %v", no)
	}
	if !is(drained(h), "t0", "t5") {
		t.Errorf("%v drain", drained(h))
	}
	h.Change(rollout.Command{Op: rollout.Claim, Unit: "t0"})
	claimed := time.Now()
	h.Change(rollout.Command{Op: rollout.Forget, Unit: "t3"})
	f = h.Await("somebody has looked", func(f *rollout.Fleet) bool { return !f.Budget.Permits["t0"].Overdue })
	if f.Budget.Units["t3"] != nil {
		t.Error("a forgotten server is known")
	}
	h.Await("it is overdue again", func(f *rollout.Fleet) bool { return f.Budget.Permits["t0"].Overdue })
	if d := time.Since(claimed); d < 2500*time.Millisecond {
		t.Errorf("overdue %v after somebody looked, its time is 3s", d)
	}
	h.Change(rollout.Command{Op: rollout.Restore, Change: "d"})
	h.Await("it serves", func(f *rollout.Fleet) bool { return is(up(f), "t0", "t1", "t2", "t4") && len(f.Drains) == 0 })
}

// A warden that was stopped while another took over changes nothing any more: the registry and the log turn it away.
func TestALateWardenIsTurnedAway(t *testing.T) {
	h := newHall(t)
	r := &HTTP{Address: h.c.Registry}
	if err := r.Drain(h.ctx, "t1", true, "tables:hall", 7); err != nil {
		t.Fatal(err)
	}
	if err := r.Drain(h.ctx, "t1", false, "tables:hall", 6); err == nil || !strings.Contains(err.Error(), "409") {
		t.Errorf("an overtaken token: %v", err)
	}
	if err := r.Drain(h.ctx, "t9", true, "tables:hall", 7); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("a server that is not there: %v", err)
	}
	if !is(drained(h), "t1") {
		t.Errorf("%v drain", drained(h))
	}
}

func FuzzList(f *testing.F) {
	for _, text := range []string{
		`{"reset":true,"instances":[{"instanceId":"t1","hostPort":"127.0.0.1:1","lifecycle":"SERVING","weight":1,"startedAtMs":5}]}`,
		`{"reset":false,"instances":[]}`, `{"reset":true,"instances":[{"instanceId":"t1","hostPort":"h:1","lifecycle":"GONE"}]}`,
		`{"reset":true,"instances":[{"instanceId":"t1","hostPort":"h:1","lifecycle":"DRAINING"},{"instanceId":"t1","hostPort":"h:1","lifecycle":"DRAINING"}]}`,
		`{"reset":true,"instances":[{"instanceId":"t1","hostPort":"h:1","lifecycle":"SERVING","weight":-1}]}`, `{"reset":true`, ``,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		all, err := decodeList(text)
		seen := map[string]bool{}
		for _, s := range all {
			if err != nil || s.ID == "" || s.Address == "" || seen[s.ID] || !(s.Weight >= 0) {
				t.Errorf("%q: %+v (%v)", text, s, err)
			}
			seen[s.ID] = true
		}
	})
}

func TestAWardensFileIsChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tables.toml")
	for text, want := range map[string]string{
		"registry = \"x\"":  `registry: "x" is no host:port`,
		"capacity = 0":      "capacity: 0 must be above 0",
		"coordinators = []": "coordinators: none is named",
		"look = \"1ms\"":    "look 50ms or more",
		"lok = \"1s\"":      "lok",
		"health = \"live\"": `health: "live" is no path`,
	} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
