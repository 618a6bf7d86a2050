package agent

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"junctionring/internal/coordinator/grouptest"
	"junctionring/rollout"
)

// A conductor dies before each move that a release can take, or just after it, and another one goes on from the log.
func TestAConductorDiesInEachState(t *testing.T) {
	t.Parallel()
	type step struct{ from, to rollout.Stage }
	for _, c := range []struct {
		version string
		steps   []step
		ends    rollout.Stage
	}{
		{"2", []step{{rollout.Updating, rollout.Evaluating}, {rollout.Evaluating, rollout.Updating}, {rollout.Evaluating, rollout.Done}}, rollout.Done},
		{"fails-moves", []step{{rollout.Evaluating, rollout.Halted}, {rollout.Halted, rollout.RollingBack}, {rollout.RollingBack, rollout.RolledBack}}, rollout.RolledBack},
		{"dies-later", []step{{rollout.Updating, rollout.Halted}}, rollout.Done}, // the canary is back before the next conductor looks
	} {
		t.Run(c.version, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var ends []func()
			died := make(chan step, 1)
			stands := make(chan struct{})
			goOn := sync.OnceFunc(func() { close(stands) })
			defer goOn()
			left := slices.Clone(c.steps)
			start := func() {
				ends = append(ends, f.conduct(func(m rollout.Move) {
					if i := slices.Index(left, step{m.Stage, m.To}); i >= 0 {
						died <- left[i]
						left = slices.Delete(left, i, i+1)
						<-stands // as if it had died: its session's end passes the lease on
					}
				}))
			}
			start()
			f.release(c.version, true)
			if c.version == "dies-later" { // the canary falls while the second wave is going out
				v := f.Await("the second wave is going out", func(v *rollout.Fleet) bool { p := v.Plans["r"]; return p.Wave == 1 && p.Stage == rollout.Updating })
				r, _, _ := loadRunning(f.configs[slices.IndexFunc(f.configs, func(o *Config) bool { return o.Name == v.Plans["r"].Waves[0][0] })].State)
				syscall.Kill(r.PID, syscall.SIGKILL)
				f.note("g0 dies-later crash")
			}
			for range c.steps {
				select {
				case <-died:
				case <-f.ctx.Done():
					t.Fatalf("these moves were never taken: %v", left)
				}
				last := ends[len(ends)-1]
				go last()
				start()
			}
			f.Await("the release is over", func(v *rollout.Fleet) bool { return v.Plans["r"].Stage == c.ends })
			goOn() // those that stood still go on with the moves in their hands
			v := f.Await("nobody is out", func(v *rollout.Fleet) bool { return len(v.Budget.Permits) == 0 })
			if v.Plans["r"].Stage != c.ends {
				t.Errorf("a late move took it to %s", v.Plans["r"].Stage)
			}
			if atOnce, _ := f.judge(c.version); atOnce > 1 {
				text, _ := os.ReadFile(f.record)
				t.Errorf("%d were replaced at once:\n%s%s", atOnce, text, grouptest.FormatNotes(v))
			}
		})
	}
}

// An operator takes a release back while a wave is going out, and all run again what they ran.
func TestTheWayBackWhileAWaveGoesOut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.conduct(nil)
	f.release("2", false)
	v := f.Await("the second wave has begun", func(v *rollout.Fleet) bool { p := v.Plans["r"]; return p.Wave == 1 && len(p.Begun) >= 2 })
	p := v.Plans["r"]
	f.Change(rollout.Command{Op: rollout.MoveRelease, Move: &rollout.Move{Plan: "r", Stage: p.Stage, Wave: p.Wave, To: rollout.RollingBack, Why: "by hand"}})
	f.Await("all run what they ran", func(v *rollout.Fleet) bool {
		return v.Plans["r"].Stage == rollout.RolledBack && f.run(v, "1") == gateways
	})
	if atOnce, _ := f.judge("2"); atOnce > 1 {
		t.Errorf("%d were replaced at once", atOnce)
	}
}

// A configuration goes out by the same plan and comes back by it; one that the gateways turn down is seen by none.
func TestConfigurationsRollOutByTheSamePlan(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.conduct(nil)
	has := func(v *rollout.Fleet, config string) (n int) {
		for _, u := range v.Budget.Units {
			if u.Config == config && u.Up {
				n++
			}
		}
		return n
	}
	s := rollout.Settings{Canary: 1, Growth: 3, Pause: 300 * time.Millisecond, Patience: 20 * time.Second, Limits: rollout.DefaultLimits, GoBack: true}
	units := []string{"g0", "g1", "g2", "g3"}
	f.Await("all have the first", func(v *rollout.Fleet) bool { return has(v, "c1") == gateways })
	f.Change(rollout.Command{Op: rollout.Begin, Change: "good", Version: "c2", Config: true, Units: units, Settings: &s})
	f.Await("all have the second", func(v *rollout.Fleet) bool {
		return v.Plans["good"].Stage == rollout.Done && has(v, "c2") == gateways
	})
	f.Change(rollout.Command{Op: rollout.Begin, Change: "bad", Version: "c-bad", Config: true, Units: units, Settings: &s})
	v := f.Await("it is turned down", func(v *rollout.Fleet) bool { return v.Plans["bad"].Over() })
	if p := v.Plans["bad"]; p.Stage != rollout.RolledBack || !strings.Contains(p.Why, "class move-submit is missing") || has(v, "c2") != gateways {
		t.Errorf("%s: %q; %d have the second", p.Stage, p.Why, has(v, "c2"))
	}
	// A process that ends by itself comes back with the configuration that it had.
	r, _, _ := loadRunning(f.configs[0].State)
	syscall.Kill(r.PID, syscall.SIGKILL)
	f.Await("the killed one has it again", func(v *rollout.Fleet) bool {
		u := v.Budget.Units["g0"]
		return u.Config == "c2" && u.Up && !strings.HasPrefix(u.Instance, fmt.Sprint(r.PID, "-"))
	})
	if text, _ := os.ReadFile(f.record); strings.Count(string(text), " start\n") != gateways+1 {
		t.Errorf("a configuration's release replaced a process:\n%s", text)
	}
}

// A gateway drains under the budget's permit, stays out until it is restored, and keeps the next one waiting.
func TestAGatewayDrainsUnderThePermit(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.Change(rollout.Command{Op: rollout.Drain, Change: "d1", Units: []string{"g1"}, Life: time.Minute})
	f.Await("g1 is out", func(v *rollout.Fleet) bool {
		p := v.Budget.Permits["g1"]
		return p != nil && p.Left && !v.Budget.Units["g1"].Up
	})
	f.Change(rollout.Command{Op: rollout.Drain, Change: "d2", Units: []string{"g2"}, Life: time.Minute})
	v := f.Await("g2 waits", func(v *rollout.Fleet) bool { return len(v.Budget.Waiting) == 1 })
	if no := v.Budget.CheckLeave("g2"); no == nil || !strings.Contains(no.Error(), "rule one: at most 1 of 4 may be out; out are: g1 (d1)") {
		t.Errorf("why g2 waits: %v", no)
	}
	f.Change(rollout.Command{Op: rollout.Restore, Change: "d1"})
	f.Await("g1 serves, and g2 is out", func(v *rollout.Fleet) bool { return v.Budget.Units["g1"].Up && !v.Budget.Units["g2"].Up })
	f.Change(rollout.Command{Op: rollout.Restore, Change: "d2"})
	f.Await("all serve", func(v *rollout.Fleet) bool { return f.run(v, "1") == gateways && len(v.Drains) == 0 })
}

// A second agent of one name, somewhere else, says nothing until the first one is gone; then the name is its.
func TestASecondAgentOfANameWaits(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.config("g0", "elsewhere")
	ctx, stop := context.WithCancel(f.ctx)
	ended := make(chan error, 1)
	second := New(c, quiet)
	go func() { ended <- second.Run(ctx) }()
	v := f.Await("its gateway runs", func(*rollout.Fleet) bool { r, ok, _ := loadRunning(c.State); return ok && r.PID > 0 })
	first := v.Budget.Units["g0"].Instance
	f.release("2", false)
	f.conduct(nil)
	f.Await("the release is over", func(v *rollout.Fleet) bool { return v.Plans["r"].Over() })
	if text, _ := os.ReadFile(f.record); strings.Contains(string(text), "elsewhere 2 start") {
		t.Error("the second agent replaced its gateway")
	}
	if _, speaks := second.holds(); speaks {
		t.Error("both speak for one name")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if r, ok, _ := loadRunning(c.State); ok {
		if p := adopt(r); p != nil {
			p.end(time.Second)
		}
	}
	if v.Budget.Units["g0"].Instance != first {
		t.Error("another process was told of under the name")
	}
}

// An agent that was killed between two processes: the next one keeps the one that takes clients, and ends the other.
func TestAnAgentFindsBothProcesses(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		old     string // version that the state names
		oldRuns bool
		other   string
		stays   string
	}{
		{"both take clients", "1", true, "2", "1"},
		{"the old one has ended", "1", false, "2", "2"},
		{"the new one never got ready", "1", true, "never-ready", "1"},
		{"the old one takes nobody any more", "never-ready", true, "2", "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fleet{t: t, ctx: t.Context(), dir: t.TempDir(), Group: &grouptest.Group{Address: "127.0.0.1:1"}}
			f.record = f.dir + "/record"
			f.write()
			o := f.config("g0", "g0")
			old, err := start(o, c.old, o.Program.Management[0])
			if err != nil {
				t.Fatal(err)
			}
			old.Config = "c1"
			if err := old.save(o.State); err != nil {
				t.Fatal(err)
			}
			other, err := start(o, c.other, o.Program.Management[1])
			if err != nil {
				t.Fatal(err)
			}
			both := map[string]*process{c.old: old, c.other: other}
			for version, p := range both {
				for version != "never-ready" && !p.ready() {
					time.Sleep(10 * time.Millisecond)
				}
			}
			if !c.oldRuns {
				old.end(time.Second)
			}
			a := New(o, quiet)
			if err := a.find(); err != nil {
				t.Fatal(err)
			}
			defer func() { a.now.end(time.Second) }()
			if a.now == nil || a.now.Version != c.stays || a.now.Config != "c1" {
				t.Fatalf("goes on with %+v, %s is due", a.now, c.stays)
			}
			for version, p := range both {
				if version != c.stays {
					<-p.ended
				}
			}
			if r, ok, err := loadRunning(o.State); err != nil || !ok || r != a.now.running {
				t.Errorf("kept %+v (%v), goes on with %+v", r, err, a.now.running)
			}
			l, err := lock(o.State + ".lock")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if err := New(o, quiet).Run(t.Context()); err == nil || !strings.Contains(err.Error(), "another agent keeps this gateway") {
				t.Errorf("a second agent on one state: %v", err)
			}
		})
	}
}

// What strays looks for doesn't match a process of somebody else.
func TestStraysAreOnlyOurs(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	cmd.Env = []string{ownEnv + "=/elsewhere/state", "JUNCTIONRING_VERSION=1"}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	if all := strays("/elsewhere/stat", nil); len(all) != 0 {
		t.Errorf("%d processes of another state", len(all))
	}
	if all := strays("/elsewhere/state", nil); len(all) != 1 || all[0].PID != cmd.Process.Pid || all[0].Version != "1" {
		t.Errorf("of its own state, first in its environment: %+v", all)
	}
}
