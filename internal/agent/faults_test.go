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

// A conductor dies before each move that a release can take, or just after it, and another one continues from the
// coordinators' log. A move that the first one sends late must have no effect.
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
		{"dies-later", []step{{rollout.Updating, rollout.Halted}}, rollout.Done}, // the canary restarts before the next conductor checks
	} {
		t.Run(c.version, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			var ends []func()
			died := make(chan step, 1)
			resume := make(chan struct{})
			resumeAll := sync.OnceFunc(func() { close(resume) })
			defer resumeAll()
			left := slices.Clone(c.steps)
			start := func() {
				ends = append(ends, f.startConductor(func(m rollout.Move) {
					if i := slices.Index(left, step{m.Stage, m.To}); i >= 0 {
						died <- left[i]
						left = slices.Delete(left, i, i+1)
						<-resume // blocks as if it had died; the lease passes on when its session ends
					}
				}))
			}
			start()
			f.beginRelease(c.version, true)
			if c.version == "dies-later" { // the canary crashes while the second wave is updating
				v := f.Await("the second wave is updating", func(v *rollout.Fleet) bool { p := v.Plans["r"]; return p.Wave == 1 && p.Stage == rollout.Updating })
				r, _, _ := loadRunning(f.configs[slices.IndexFunc(f.configs, func(o *Config) bool { return o.Name == v.Plans["r"].Waves[0][0] })].State)
				syscall.Kill(r.PID, syscall.SIGKILL)
				f.appendRecord("g0 dies-later crash")
			}
			for range c.steps {
				select {
				case <-died:
				case <-f.ctx.Done():
					t.Fatalf("moves not sent: %v", left)
				}
				last := ends[len(ends)-1]
				go last()
				start()
			}
			f.Await("the release is over", func(v *rollout.Fleet) bool { return v.Plans["r"].Stage == c.ends })
			resumeAll() // the blocked conductors send their late moves
			v := f.Await("no permit is out", func(v *rollout.Fleet) bool { return len(v.Budget.Permits) == 0 })
			if v.Plans["r"].Stage != c.ends {
				t.Errorf("a late move changed the stage to %s", v.Plans["r"].Stage)
			}
			if atOnce, _ := f.replacements(c.version); atOnce > 1 {
				text, _ := os.ReadFile(f.recordPath)
				t.Errorf("%d gateways were replaced at once:\n%s%s", atOnce, text, grouptest.FormatNotes(v))
			}
		})
	}
}

// An operator rolls a release back while a wave is updating, and every gateway runs its previous version again.
func TestTheWayBackWhileAWaveGoesOut(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startConductor(nil)
	f.beginRelease("2", false)
	v := f.Await("the second wave has begun", func(v *rollout.Fleet) bool { p := v.Plans["r"]; return p.Wave == 1 && len(p.Begun) >= 2 })
	p := v.Plans["r"]
	f.Change(rollout.Command{Op: rollout.MoveRelease, Move: &rollout.Move{Plan: "r", Stage: p.Stage, Wave: p.Wave, To: rollout.RollingBack, Why: "by hand"}})
	f.Await("all gateways run the previous version", func(v *rollout.Fleet) bool {
		return v.Plans["r"].Stage == rollout.RolledBack && f.countServing(v, "1") == gatewayCount
	})
	if atOnce, _ := f.replacements("2"); atOnce > 1 {
		t.Errorf("%d gateways were replaced at once", atOnce)
	}
}

// A configuration is rolled out and rolled back by the same kind of plan as a program version. One that the gateways
// reject is applied at none.
func TestConfigurationsRollOutByTheSamePlan(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.startConductor(nil)
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
	f.Await("all gateways have the first configuration", func(v *rollout.Fleet) bool { return has(v, "c1") == gatewayCount })
	f.Change(rollout.Command{Op: rollout.Begin, Change: "good", Version: "c2", Config: true, Units: units, Settings: &s})
	f.Await("all gateways have the second configuration", func(v *rollout.Fleet) bool {
		return v.Plans["good"].Stage == rollout.Done && has(v, "c2") == gatewayCount
	})
	f.Change(rollout.Command{Op: rollout.Begin, Change: "bad", Version: "c-bad", Config: true, Units: units, Settings: &s})
	v := f.Await("the bad configuration is rejected", func(v *rollout.Fleet) bool { return v.Plans["bad"].Over() })
	if p := v.Plans["bad"]; p.Stage != rollout.RolledBack || !strings.Contains(p.Why, "class move-submit is missing") || has(v, "c2") != gatewayCount {
		t.Errorf("stage %s: %q; %d gateways have the second configuration", p.Stage, p.Why, has(v, "c2"))
	}
	// A gateway whose process is killed restarts with the configuration that it had.
	r, _, _ := loadRunning(f.configs[0].State)
	syscall.Kill(r.PID, syscall.SIGKILL)
	f.Await("the restarted gateway has the second configuration", func(v *rollout.Fleet) bool {
		u := v.Budget.Units["g0"]
		return u.Config == "c2" && u.Up && !strings.HasPrefix(u.Instance, fmt.Sprint(r.PID, "-"))
	})
	if text, _ := os.ReadFile(f.recordPath); strings.Count(string(text), " start\n") != gatewayCount+1 {
		t.Errorf("the release of a configuration replaced a process:\n%s", text)
	}
}

// A gateway drains under a permit and stays out until it is restored. Until then the drain of the next gateway waits.
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
		t.Errorf("refusal of g2: %v", no)
	}
	f.Change(rollout.Command{Op: rollout.Restore, Change: "d1"})
	f.Await("g1 serves, and g2 is out", func(v *rollout.Fleet) bool { return v.Budget.Units["g1"].Up && !v.Budget.Units["g2"].Up })
	f.Change(rollout.Command{Op: rollout.Restore, Change: "d2"})
	f.Await("all serve", func(v *rollout.Fleet) bool { return f.countServing(v, "1") == gatewayCount && len(v.Drains) == 0 })
}

// A second agent with the same name and another state file neither reports nor acts while the first one runs.
func TestASecondAgentOfANameWaits(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.config("g0", "elsewhere")
	ctx, stop := context.WithCancel(f.ctx)
	ended := make(chan error, 1)
	second := New(c, discardLogger)
	go func() { ended <- second.Run(ctx) }()
	v := f.Await("the second agent's gateway runs", func(*rollout.Fleet) bool { r, ok, _ := loadRunning(c.State); return ok && r.PID > 0 })
	first := v.Budget.Units["g0"].Instance
	f.beginRelease("2", false)
	f.startConductor(nil)
	f.Await("the release is over", func(v *rollout.Fleet) bool { return v.Plans["r"].Over() })
	if text, _ := os.ReadFile(f.recordPath); strings.Contains(string(text), "elsewhere 2 start") {
		t.Error("the second agent replaced its gateway")
	}
	if _, held := second.leaseToken(); held {
		t.Error("both agents hold the lease of one name")
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if r, ok, _ := loadRunning(c.State); ok {
		if p := adopt(r); p != nil {
			p.terminate(time.Second)
		}
	}
	if v.Budget.Units["g0"].Instance != first {
		t.Error("the second agent's process was reported under the name")
	}
}

// An agent is killed during a replacement and leaves two processes. The next agent keeps the one that accepts clients and
// terminates the other.
func TestAnAgentFindsBothProcesses(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		old     string // version in the state file
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
			f.recordPath = f.dir + "/record"
			f.writeVersions()
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
				old.terminate(time.Second)
			}
			a := New(o, discardLogger)
			if err := a.recoverProcess(); err != nil {
				t.Fatal(err)
			}
			defer func() { a.current.terminate(time.Second) }()
			if a.current == nil || a.current.Version != c.stays || a.current.Config != "c1" {
				t.Fatalf("adopted %+v, want version %s", a.current, c.stays)
			}
			for version, p := range both {
				if version != c.stays {
					<-p.ended
				}
			}
			if r, ok, err := loadRunning(o.State); err != nil || !ok || r != a.current.running {
				t.Errorf("state file has %+v (%v), adopted %+v", r, err, a.current.running)
			}
			l, err := lock(o.State + ".lock")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if err := New(o, discardLogger).Run(t.Context()); err == nil || !strings.Contains(err.Error(), "another agent keeps this gateway") {
				t.Errorf("second agent with the same state file: %v", err)
			}
		})
	}
}

// leftoverProcesses matches the whole path of the state file, not a prefix, and at any position in the environment.
func TestLeftoverProcessesAreOnlyOurs(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	cmd.Env = []string{stateEnv + "=/elsewhere/state", "JUNCTIONRING_VERSION=1"}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	if all := leftoverProcesses("/elsewhere/stat", nil); len(all) != 0 {
		t.Errorf("found %d processes of another state file", len(all))
	}
	if all := leftoverProcesses("/elsewhere/state", nil); len(all) != 1 || all[0].PID != cmd.Process.Pid || all[0].Version != "1" {
		t.Errorf("processes of this state file, first in the environment: %+v", all)
	}
}
