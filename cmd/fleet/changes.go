package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/BurntSushi/toml"

	"junctionring/internal/agent"
	"junctionring/internal/conductor"
	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
	"junctionring/rollout"
)

func me() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func change(g *globals, r reach, c rollout.Command) (rollout.Reply, error) {
	ctx, done := context.WithTimeout(g.ctx, r.Timeout)
	defer done()
	c.By = me()
	reply, err := coordinator.Change(ctx, leaseholder.NewGroup(r.Coordinators...), c)
	if err == nil && reply.Error != "" && !reply.Waits {
		err = errors.New(reply.Error)
	}
	return reply, err
}

func view(g *globals, r reach, after uint64) (*rollout.Fleet, error) {
	ctx, done := context.WithTimeout(g.ctx, r.Timeout)
	defer done()
	return coordinator.View(ctx, leaseholder.NewGroup(r.Coordinators...), after)
}

type agentCommand struct {
	Config string `required:"" type:"existingfile" help:"The agent's file (TOML)."`
	Check  bool   `help:"Only say whether the file is in order."`
}

func (c agentCommand) Run(g *globals) error {
	o, err := agent.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println(c.Config, "is in order")
		return nil
	}
	return agent.New(o, g.log).Run(g.ctx)
}

type conductorCommand struct {
	reach
	Life time.Duration `default:"5s" help:"Of its session: how long releases stand still when it dies."`
}

func (c conductorCommand) Run(g *globals) error {
	host, _ := os.Hostname()
	client, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: c.Coordinators, Life: c.Life, Log: g.log,
		Member: lease.Member{Kind: "conductor", Name: fmt.Sprintf("%s-%d", host, os.Getpid())}})
	if err != nil {
		return err
	}
	defer func() {
		last, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		client.Close(last)
	}()
	return (&conductor.Conductor{Client: client, Group: leaseholder.NewGroup(c.Coordinators...), Log: g.log}).Run(g.ctx)
}

type statusFleetCommand struct {
	reach
	Watch  bool   `help:"Go on, and print each note of the fleet's log, and releases' progress by wave."`
	Notes  bool   `help:"Print the notes that are kept too: who asked what, and what came of it."`
	Output string `default:"text" enum:"text,json"`
}

func (c statusFleetCommand) Run(g *globals) error {
	f, err := view(g, c.reach, 0)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return json.NewEncoder(os.Stdout).Encode(f)
	}
	printFleet(f)
	if c.Notes {
		for _, n := range f.Notes {
			printNote(n)
		}
	}
	newest, before := f.Seq, map[string]string{}
	for c.Watch {
		select {
		case <-g.ctx.Done():
			return nil
		case <-time.After(500 * time.Millisecond):
		}
		if f, err = view(g, c.reach, newest); err != nil {
			fmt.Fprintln(os.Stderr, err)
			continue
		}
		for _, n := range f.Notes {
			printNote(n)
			newest = n.Seq
		}
		for _, id := range sorted(f.Plans) {
			if p := f.Plans[id]; !p.Over() && before[id] != progress(f, p) {
				before[id] = progress(f, p)
				fmt.Println("release " + id + " " + before[id])
			}
		}
	}
	return nil
}

// ruleOf names a rule and the part of the fleet that it bounds.
func ruleOf(u rollout.RuleUsage) string { return strings.TrimSpace("rule " + u.Rule + " " + u.Scope) }

func printNote(n rollout.Note) {
	fmt.Printf("%d  %s  %s %s\n", n.Seq, time.UnixMilli(n.At).Format(time.DateTime), n.By, n.What)
}

func printFleet(f *rollout.Fleet) {
	if f.Budget.Halted != "" {
		fmt.Println("planned work is halted:", f.Budget.Halted)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "UNIT\tKIND\tSITE\tZONE\tVERSION\tREADY\tWARM\tLOAD\tPERMIT")
	for _, id := range sorted(f.Budget.Units) {
		u := f.Budget.Units[id]
		permit := ""
		if p := f.Budget.Permits[id]; p != nil {
			permit = p.Change
			if p.Overdue {
				permit += ", overdue: 'fleet claim " + id + "' once somebody has looked"
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%v\t%v\t%.0f of %.0f\t%s\n", id, u.Kind, u.Site, u.Zone, u.Version, u.Up, u.Warm, u.Load, u.Capacity, permit)
	}
	w.Flush()
	for _, u := range f.Budget.Usage() {
		fmt.Printf("%s: %d of %d out", ruleOf(u), u.Out, u.Total)
		if u.Limit >= 0 {
			fmt.Printf(", %d may be", u.Limit)
		}
		if u.Spare > 0 {
			fmt.Printf(", what stays can serve %.0f a second of %.0f x %.2f", u.Remaining, u.Load, u.Spare)
		}
		if len(u.OutUnits) > 0 {
			fmt.Printf(": %s", strings.Join(u.OutUnits, ", "))
		}
		fmt.Println()
	}
	for _, a := range f.Budget.Waiting {
		fmt.Printf("waits: %s for %s\n", a.Unit, a.Change)
	}
	for _, id := range sorted(f.Plans) {
		p := f.Plans[id]
		fmt.Println("release " + id + " " + progress(f, p))
		for _, unit := range sorted(p.Failed) {
			fmt.Printf("  %s could not be changed: %s\n", unit, p.Failed[unit])
		}
	}
	for _, id := range sorted(f.Drains) {
		fmt.Printf("drain %s by %s: %s\n", id, f.Drains[id].By, drained(f, id))
	}
}

// progress is how far a release has come, wave by wave.
func progress(f *rollout.Fleet, p *rollout.Plan) string {
	what := "to " + p.To
	if p.Config {
		what = "to configuration " + p.To
	}
	line := fmt.Sprintf("%s: %s, wave %d of %d, run it by wave:", what, p.Stage, p.Wave+1, len(p.Waves))
	for _, wave := range p.Waves {
		n := 0
		for _, unit := range wave {
			if u := f.Budget.Units[unit]; u != nil && p.RunningVersion(u) == p.To {
				n++
			}
		}
		line += fmt.Sprintf(" %d/%d", n, len(wave))
	}
	return strings.TrimSpace(line + " " + p.Why)
}

func sorted[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

type releaseFleetCommand struct {
	Start  startCommand  `cmd:"" help:"Begin a release."`
	Halt   haltCommand   `cmd:"" help:"Halt a release: who has begun finishes, nobody begins."`
	Resume resumeCommand `cmd:"" help:"Go on with a halted release."`
	Back   backCommand   `cmd:"" help:"Bring back what ran before, newest first."`
}

type startCommand struct {
	reach
	Name     string        `arg:"" help:"Of the release; never used again."`
	Version  string        `arg:"" help:"That is to run."`
	Units    []string      `help:"The units; default: all gateways." sep:","`
	Canary   int           `default:"1" help:"Units of the first wave."`
	Growth   float64       `default:"3" help:"Of each wave over the one before."`
	Pause    time.Duration `default:"30s" help:"After each wave, before it is judged."`
	Patience time.Duration `default:"5m" help:"For enough requests to judge by, and for a unit to be back."`
	Enough   uint64        `default:"100" help:"Requests of a class on each side before it is judged."`
	More     float64       `default:"0.02" help:"By how much the share of failed or of late may be above the others'."`
	Config   bool          `name:"configuration" help:"VERSION is one of the configuration, not of the program."`
	GoBack   bool          `help:"Go back by itself when a check halts it."`
	DryRun   bool          `help:"Only print the waves and the smallest capacity left."`
}

func (c startCommand) Run(g *globals) error {
	f, err := view(g, c.reach, 0)
	if err != nil {
		return err
	}
	if len(c.Units) == 0 {
		for _, id := range sorted(f.Budget.Units) {
			if f.Budget.Units[id].Kind == "gateway" {
				c.Units = append(c.Units, id)
			}
		}
	}
	s := rollout.DefaultSettings
	s.Canary, s.Growth, s.Pause, s.Patience, s.GoBack = c.Canary, c.Growth, c.Pause, c.Patience, c.GoBack
	s.Limits.Enough, s.Limits.More = c.Enough, c.More
	p, err := rollout.NewPlan(c.Name, c.Version, c.Config, f.Budget, c.Units, s)
	if err != nil {
		return err
	}
	all, load := 0.0, 0.0
	for _, u := range f.Budget.Units {
		if u.Kind == rollout.KindGateway {
			all, load = all+u.Capacity, load+u.Load
		}
	}
	least := math.Inf(1)
	for i, wave := range p.Waves {
		fmt.Printf("wave %d: %s\n", i+1, strings.Join(wave, ", "))
		largest := 0.0
		for _, u := range wave {
			largest = max(largest, f.Budget.Units[u].Capacity)
		}
		least = min(least, all-largest*float64(out(f, wave)))
	}
	fmt.Printf("smallest capacity left: %.0f of %.0f a second, at a load of %.0f now\n", least, all, load)
	if c.DryRun {
		return nil
	}
	_, err = change(g, c.reach, rollout.Command{Op: rollout.Begin, Change: c.Name, Version: c.Version, Config: c.Config, Units: c.Units, Settings: &s})
	return err
}

// out is how many units of a wave the budget lets be out at once, when nothing else is.
func out(f *rollout.Fleet, wave []string) int {
	n := len(wave)
	for _, u := range f.Budget.Usage() {
		if u.Limit >= 0 {
			n = min(n, u.Limit)
		}
	}
	return n
}

type ofRelease struct {
	reach
	Name string `arg:""`
	Why  string `help:"For the log."`
}

func (c ofRelease) move(g *globals, to rollout.Stage) error {
	f, err := view(g, c.reach, 1<<62)
	if err != nil {
		return err
	}
	p := f.Plans[c.Name]
	if p == nil {
		return fmt.Errorf("there is no release %s", c.Name)
	}
	_, err = change(g, c.reach, rollout.Command{Op: rollout.MoveRelease, Move: &rollout.Move{Plan: c.Name, Stage: p.Stage, Wave: p.Wave, To: to, Why: strings.TrimSpace(me() + " " + c.Why)}})
	return err
}

type haltCommand struct{ ofRelease }

func (c haltCommand) Run(g *globals) error { return c.move(g, rollout.Halted) }

type resumeCommand struct{ ofRelease }

func (c resumeCommand) Run(g *globals) error { return c.move(g, rollout.Updating) }

type backCommand struct{ ofRelease }

func (c backCommand) Run(g *globals) error { return c.move(g, rollout.RollingBack) }

type budgetCommand struct {
	reach
	Set string `type:"existingfile" help:"A file of [[rule]] to put in force."`
}

func (c budgetCommand) Run(g *globals) error {
	if c.Set != "" {
		var file struct {
			Rules []struct {
				Name, Kind, Site, Zone string
				Most                   int
				Share, Spare           float64
			} `toml:"rule"`
		}
		meta, err := toml.DecodeFile(c.Set, &file)
		if err != nil {
			return err
		}
		if unknown := meta.Undecoded(); len(unknown) > 0 {
			return fmt.Errorf("%s: unknown key %s", c.Set, unknown[0])
		}
		var rules []rollout.Rule
		for _, r := range file.Rules {
			rules = append(rules, rollout.Rule(r))
		}
		if _, err := change(g, c.reach, rollout.Command{Op: rollout.SetRules, Rules: rules}); err != nil {
			return fmt.Errorf("%s: %w", c.Set, err)
		}
	}
	f, err := view(g, c.reach, 1<<62)
	if err != nil {
		return err
	}
	if len(f.Budget.Rules) == 0 {
		fmt.Println("the budget has no rule: nothing may leave")
	}
	for _, u := range f.Budget.Usage() {
		fmt.Printf("%s: %d of %d out, %d may be (-1: not counted) %s\n", ruleOf(u), u.Out, u.Total, u.Limit, strings.Join(u.OutUnits, ", "))
	}
	return nil
}

type haltAllCommand struct {
	reach
	Why    string `arg:"" optional:"" default:"by hand"`
	Resume bool   `help:"End the halt."`
}

func (c haltAllCommand) Run(g *globals) error {
	cmd := rollout.Command{Op: rollout.Halt, Why: c.Why}
	if c.Resume {
		cmd = rollout.Command{Op: rollout.Resume}
	}
	_, err := change(g, c.reach, cmd)
	return err
}

type claimCommand struct {
	reach
	Unit string `arg:""`
}

func (c claimCommand) Run(g *globals) error {
	_, err := change(g, c.reach, rollout.Command{Op: rollout.Claim, Unit: c.Unit})
	return err
}

type forgetCommand struct {
	reach
	Unit string `arg:""`
}

func (c forgetCommand) Run(g *globals) error {
	_, err := change(g, c.reach, rollout.Command{Op: rollout.Forget, Unit: c.Unit})
	return err
}
