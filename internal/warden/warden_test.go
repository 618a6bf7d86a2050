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

var discardLogger = slog.New(slog.DiscardHandler)

// hall is a registry with six table servers in two zones, a budget that allows half of them to be out, and a gateway that
// reports its work in flight.
type hall struct {
	*grouptest.Group
	t            *testing.T
	ctx          context.Context
	registry     *standin.Registry
	tables       map[string]*standin.Table
	c            *Config
	workInFlight map[string]int
}

func newHall(t *testing.T) *hall {
	t.Helper()
	t.Parallel()
	ctx, done := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(done)
	h := &hall{t: t, ctx: ctx, Group: grouptest.Start(ctx, t, 2*time.Second), tables: map[string]*standin.Table{}, workInFlight: map[string]int{}}
	var err error
	if h.registry, err = standin.NewRegistry("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.registry.Close)
	for i := range 6 {
		h.startTable(fmt.Sprintf("t%d", i), []string{"a", "b"}[i%2], 0)
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
	h.reportWorkInFlight()
	return h
}

// startTable starts a table server. If cold is positive, its process has only just started.
func (h *hall) startTable(id, zone string, cold time.Duration) {
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

// reportWorkInFlight reports the gateway's work in flight at the draining servers.
func (h *hall) reportWorkInFlight() {
	h.t.Helper()
	h.Change(rollout.Command{Op: rollout.Observe, Unit: "g1", Observed: &rollout.Unit{Kind: rollout.KindGateway, Capacity: 100, Load: 20, Up: true, Warm: true}, Held: h.workInFlight})
}

func (h *hall) startWarden(name string) (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	done := make(chan error, 1)
	go func() { done <- New(h.c, &HTTP{Address: h.c.Registry}, name, discardLogger).Run(ctx) }()
	stop = func() {
		cancel()
		if err := <-done; err != nil {
			h.t.Error(err)
		}
		done <- nil
	}
	h.t.Cleanup(stop)
	return stop
}

// inService returns the IDs of the table servers that are ready and warm, in order.
func inService(f *rollout.Fleet) (all []string) {
	for id, u := range f.Budget.Units {
		if u.Kind == rollout.KindTable && u.Up && u.Warm {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

func drainingServers(h *hall) (ids []string) {
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

func equal(ids []string, want ...string) bool { return slices.Equal(ids, want) }

// A zone is drained, becomes quiet only once the gateway has reported no work in flight, and serves again when it is
// restored. The warden that began the drain stops in between, and another one continues.
func TestAZoneDrainsAndComesBack(t *testing.T) {
	h := newHall(t)
	first := h.startWarden("first")
	h.Await("all servers are in service", func(f *rollout.Fleet) bool { return len(inService(f)) == 6 })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "zone-a", Units: []string{"t0", "t2", "t4"}, Life: time.Minute})
	h.Await("the zone is listed as draining", func(*rollout.Fleet) bool { return equal(drainingServers(h), "t0", "t2", "t4") })
	first()
	h.startWarden("second")
	h.workInFlight = map[string]int{"t0": 2, "t2": 0}
	h.reportWorkInFlight()
	f := h.Await("the second warden reports", func(f *rollout.Fleet) bool { return f.Budget.Units["t1"].By == "second" })
	if n, who := f.WorkInFlight("t0"); f.Drains["zone-a"].Quiet || n != 2 || len(who) != 0 {
		t.Errorf("t0: %d in flight, not reported by %v; quiet %v", n, who, f.Drains["zone-a"].Quiet)
	}
	if n, who := f.WorkInFlight("t4"); n != 0 || !equal(who, "g1") {
		t.Errorf("t4: %d in flight, not reported by %v", n, who)
	}
	h.workInFlight = map[string]int{"t0": 0, "t2": 0, "t4": 0}
	h.reportWorkInFlight()
	h.Await("it is quiet", func(f *rollout.Fleet) bool { return f.Drains["zone-a"].Quiet })
	h.Change(rollout.Command{Op: rollout.Restore, Change: "zone-a"})
	h.Await("all serve", func(f *rollout.Fleet) bool {
		return len(inService(f)) == 6 && len(f.Drains) == 0 && len(f.Budget.Permits) == 0
	})
	if d := drainingServers(h); len(d) != 0 {
		t.Errorf("still listed as draining: %v", d)
	}
}

// A drained server restarts under its name and is listed as serving and cold. The warden sets it to draining again; after
// the restore it counts as out until it is warm.
func TestADrainedServerThatRestartsStaysOut(t *testing.T) {
	h := newHall(t)
	h.c.Warm.Duration = 2 * time.Second
	h.startWarden("w")
	h.Await("all servers are in service", func(f *rollout.Fleet) bool { return len(inService(f)) == 6 })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "one", Units: []string{"t1"}, Life: time.Minute})
	h.Await("it drains", func(*rollout.Fleet) bool { return equal(drainingServers(h), "t1") })
	told := len(h.registry.Told())
	h.tables["t1"].Close()
	h.startTable("t1", "b", time.Second)
	h.Await("it drains again", func(*rollout.Fleet) bool { return equal(drainingServers(h), "t1") && len(h.registry.Told()) > told })
	h.Change(rollout.Command{Op: rollout.Restore, Change: "one"})
	f := h.Await("it is listed as serving", func(f *rollout.Fleet) bool { return len(drainingServers(h)) == 0 && f.Budget.Permits["t1"].Returned })
	if f.Budget.Units["t1"].Warm {
		t.Error("a cold server counts as warm")
	}
	h.Await("it is warm", func(f *rollout.Fleet) bool {
		return f.Budget.Permits["t1"] == nil && equal(inService(f), "t0", "t1", "t2", "t3", "t4", "t5")
	})
}

// While one zone is out, the drain of the other waits, its refusal names the rule and the units that are out, and the
// drain continues when the servers of the first zone are back.
func TestADrainWaitsWhileAnotherZoneIsLost(t *testing.T) {
	h := newHall(t)
	h.startWarden("w")
	h.Await("all servers are in service", func(f *rollout.Fleet) bool { return len(inService(f)) == 6 })
	for _, id := range []string{"t1", "t3", "t5"} {
		h.tables[id].Silence()
	}
	h.Await("the zone is out", func(f *rollout.Fleet) bool { return equal(inService(f), "t0", "t2", "t4") })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "zone-a", Units: []string{"t0", "t2", "t4"}, Life: time.Minute})
	f := h.Await("it waits", func(f *rollout.Fleet) bool { return len(f.Budget.Waiting) == 3 })
	if no := f.Budget.CheckLeave("t0"); no == nil || !strings.Contains(no.Error(), "at most 3 of 6 may be out; out are: t1 (not seen ready), t3 (not seen ready), t5 (not seen ready)") {
		t.Errorf("refusal of t0: %v", no)
	}
	if d := drainingServers(h); len(d) != 0 || len(inService(f)) != 3 {
		t.Errorf("draining: %v, in service: %v", d, inService(f))
	}
	h.tables["t1"].Speak()
	h.Await("as many leave as the budget allows", func(*rollout.Fleet) bool { return equal(drainingServers(h), "t0") })
	h.tables["t3"].Speak()
	h.tables["t5"].Speak()
	h.Await("the whole zone drains", func(*rollout.Fleet) bool { return equal(drainingServers(h), "t0", "t2", "t4") })
}

// A server that is drained by hand outside the budget counts as out. A server that the registry no longer lists counts as
// out until it is forgotten. An overdue permit blocks planned work and ends no drain.
func TestUnitsAndPermitsStayOutUntilCleared(t *testing.T) {
	h := newHall(t)
	h.startWarden("w")
	h.Await("all servers are in service", func(f *rollout.Fleet) bool { return len(inService(f)) == 6 })
	h.registry.Drain("t5")
	e := h.tables["t3"].Instance("")
	e.Lifecycle = "DELETED"
	h.registry.Put(e)
	h.Await("both are out", func(f *rollout.Fleet) bool { return equal(inService(f), "t0", "t1", "t2", "t4") })
	h.Change(rollout.Command{Op: rollout.Drain, Change: "d", Units: []string{"t0"}, Life: 3 * time.Second})
	f := h.Await("it is overdue", func(f *rollout.Fleet) bool { p := f.Budget.Permits["t0"]; return p != nil && p.Overdue })
	if no := f.Budget.CheckLeave("t1"); no == nil || !strings.Contains(no.Error(), "a permit is overdue; out are: t0 (d, overdue)") {
		t.Errorf("refusal of t1: %v", no)
	}
	if !equal(drainingServers(h), "t0", "t5") {
		t.Errorf("draining: %v", drainingServers(h))
	}
	h.Change(rollout.Command{Op: rollout.Claim, Unit: "t0"})
	claimed := time.Now()
	h.Change(rollout.Command{Op: rollout.Forget, Unit: "t3"})
	f = h.Await("the overdue permit is claimed", func(f *rollout.Fleet) bool { return !f.Budget.Permits["t0"].Overdue })
	if f.Budget.Units["t3"] != nil {
		t.Error("a forgotten server is still a unit of the fleet")
	}
	h.Await("it is overdue again", func(f *rollout.Fleet) bool { return f.Budget.Permits["t0"].Overdue })
	if d := time.Since(claimed); d < 2500*time.Millisecond {
		t.Errorf("overdue again %v after the claim, want at least 2.5s of its 3s", d)
	}
	h.Change(rollout.Command{Op: rollout.Restore, Change: "d"})
	h.Await("it serves", func(f *rollout.Fleet) bool { return equal(inService(f), "t0", "t1", "t2", "t4") && len(f.Drains) == 0 })
}

// The registry rejects a drain with an old fencing token, as from a warden that was paused while another took over.
func TestALateWardenIsTurnedAway(t *testing.T) {
	h := newHall(t)
	r := &HTTP{Address: h.c.Registry}
	if err := r.Drain(h.ctx, "t1", true, "tables:hall", 7); err != nil {
		t.Fatal(err)
	}
	if err := r.Drain(h.ctx, "t1", false, "tables:hall", 6); err == nil || !strings.Contains(err.Error(), "409") {
		t.Errorf("drain with an old fencing token: %v", err)
	}
	if err := r.Drain(h.ctx, "t9", true, "tables:hall", 7); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("drain of an unknown server: %v", err)
	}
	if !equal(drainingServers(h), "t1") {
		t.Errorf("draining: %v", drainingServers(h))
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
