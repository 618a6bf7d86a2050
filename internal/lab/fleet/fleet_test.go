package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionring/rollout"
)

// programs builds the gateway and the program fleet.
func programs(t *testing.T) (gateway, fleet string) {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "junctionring/cmd/junctionring", "junctionring/cmd/fleet")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return filepath.Join(dir, "junctionring"), filepath.Join(dir, "fleet")
}

func play(ctx context.Context, t *testing.T, o Options) *Rig {
	t.Helper()
	o.Program, o.Fleet = programs(t)
	dir, err := os.MkdirTemp("", "fleet") // a short path: sockets are named below it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !t.Failed() {
			os.RemoveAll(dir)
		}
	})
	o.Dir, o.Seed = dir, 7
	r, err := Start(ctx, o)
	if err != nil {
		t.Fatalf("%v; logs: %s", err, dir)
	}
	t.Cleanup(r.Close)
	return r
}

// Every fault strikes a fleet of real processes while releases go out and come back under load, one after the other.
// The judge is the kernel's list of processes, the front's look at readiness, and the clients' own record.
func TestEachFaultWhileReleasesGoOut(t *testing.T) {
	if testing.Short() {
		t.Skip("many processes")
	}
	ctx, done := context.WithTimeout(t.Context(), 4*time.Minute)
	defer done()
	r := play(ctx, t, Options{Gateways: 9, Groups: 3, Tables: 6, Rate: 40, Most: 2, Life: 1500 * time.Millisecond, Learn: 200 * time.Millisecond})
	loadCtx, enough := context.WithCancel(ctx)
	samples := make(chan Offered, 1)
	go func() {
		s, _ := r.Offer(loadCtx, r.o.Rate, 4*time.Minute)
		samples <- s
	}()
	defer enough()
	s := rollout.Settings{Canary: 1, Growth: 2, Pause: 500 * time.Millisecond, Patience: 30 * time.Second, Limits: rollout.DefaultLimits, GoBack: true}
	s.Limits.Enough = 5
	releases, version := 0, "1"
	going := func() { // a release is under way
		f, err := r.View(ctx)
		if err != nil {
			return // the fault is among the coordinators, and the release goes on
		}
		id := fmt.Sprintf("r%d", releases)
		if p := f.Plans[id]; p != nil && !p.Over() {
			return
		} else if p != nil && p.Stage == rollout.Done {
			version = p.To
		}
		releases++
		to := map[string]string{"1": "2", "2": "1"}[version]
		if err := r.begin(ctx, fmt.Sprintf("r%d", releases), to, s); err != nil {
			t.Fatal(err)
		}
	}
	missed := map[string]int{}
	for round := range 2 { // one that found nothing to strike is thrown once more
		for _, f := range Faults {
			if round > 0 && r.Met[f.Name] > 0 {
				continue
			}
			going()
			struck, err := f.Run(ctx, r)
			if err != nil {
				t.Fatalf("%s: %v", f.Name, err)
			}
			r.met(f.Name, struck)
			if !struck {
				missed[f.Name]++
			}
		}
	}
	for _, f := range Faults {
		if r.Met[f.Name] == 0 {
			t.Errorf("%s: never seen to strike", f.Name)
		}
	}
	p, err := r.over(ctx, fmt.Sprintf("r%d", releases), 90*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.rests(ctx, time.Minute); err != nil {
		t.Error(err)
	}
	ended := time.Now()
	enough()
	o := Outcome{Stage: p.Stage, Verdict: r.Verdict(answered(<-samples, ended))}
	if p.Stage == rollout.Done {
		version = p.To
	}
	o.Stands = r.stands(ctx, func(string) string { return version })
	for _, b := range r.Broken(o) {
		t.Error(b)
	}
	t.Logf("%d releases, the last %s (%s); %d faults struck, %v missed once; %d requests, %d more at struck gateways, in time %.3f; at most %d out by plan, at least %d in",
		releases, p.Stage, p.Why, len(r.Met), missed, o.Asked, o.Struck, o.InTime, o.Most, o.Least)
	if o.Asked < 100 || o.Looks < 100 {
		t.Errorf("%d requests and %d looks prove nothing", o.Asked, o.Looks)
	}
	if t.Failed() {
		t.Log(strings.Join(r.Log, "\n"))
	}
}

// What an operator types, against a fleet of real processes under load.
func TestAnOperatorsCommands(t *testing.T) {
	if testing.Short() {
		t.Skip("many processes")
	}
	ctx, done := context.WithTimeout(t.Context(), 2*time.Minute)
	defer done()
	r := play(ctx, t, Options{Gateways: 3, Groups: 1, Tables: 6, Rate: 30, Most: 1, Life: 1500 * time.Millisecond, Learn: 200 * time.Millisecond})
	loadCtx, enough := context.WithCancel(ctx)
	defer enough()
	go r.Offer(loadCtx, r.o.Rate, time.Minute)
	for _, c := range []struct {
		line  string
		fails bool
		says  []string
	}{
		{"status", false, []string{"g0", "hall-2", "rule tables: 0 of 6 out, 2 may be"}},
		{"release start r 2 --dry-run", false, []string{"wave 1: g0", "wave 2: g1, g2", "smallest capacity left"}},
		{"release start r 2 --units g0,g9", true, []string{"g9 is not known"}},
		{"release start r 2 --configuration", true, []string{"names no configuration that it could go back to"}},
		{"release halt r", true, []string{"there is no release r"}},
		{"drain nowhere", true, []string{"nowhere is neither a unit nor a zone with table servers"}},
		{"drain hall-0 hall-1", true, []string{"it could never be out as a whole: rule tables: at most 2 of 6 may be out"}},
		{"drain hall-0 --dry-run", false, []string{"drain-hall-0: t0, t3", "rule tables: 2 of 6 out"}},
		{"drain hall-0 --wait", false, []string{"2 of 2 are out, nothing is under way there"}},
		{"drain hall-1", false, []string{"it waits in its turn: rule tables: at most 2 of 6 may be out; out are: t0 (drain-hall-0), t3 (drain-hall-0)"}},
		{"restore drain-hall-1", false, nil},
		{"restore drain-hall-0", false, nil},
		{"restore drain-hall-7", true, []string{"there is no drain drain-hall-7"}},
		{"halt the final", true, nil}, // one word too many
		{"halt the-final", false, nil},
		{"status --notes", false, []string{"planned work is halted: ", "the-final", "is quiet: nothing is under way at t0, t3"}},
		{"halt --resume", false, nil},
		{"status --output json", false, []string{`"Budget":{"Rules":[{"Name":"gateways"`}},
	} {
		cmd := exec.CommandContext(ctx, r.o.Fleet, append([]string{"fleet"}, strings.Fields(c.line)...)...)
		cmd.Env = append(os.Environ(), "JUNCTIONRING_COORDINATORS="+strings.Join(r.listens, ","))
		out, err := cmd.CombinedOutput()
		if (err != nil) != c.fails {
			t.Errorf("%s: %v\n%s", c.line, err, out)
		}
		for _, s := range c.says {
			if !strings.Contains(string(out), s) {
				t.Errorf("%s does not say %q:\n%s", c.line, s, out)
			}
		}
	}
	if err := r.Await(ctx, 20*time.Second, "all tables serve", func(f *rollout.Fleet) bool { return len(f.Drains) == 0 }); err != nil {
		t.Error(err)
	}
}
