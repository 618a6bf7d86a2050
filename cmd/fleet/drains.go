package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"junctionring/internal/warden"
	"junctionring/rollout"
)

type tablesCommand struct {
	Config string `required:"" type:"existingfile" help:"The warden's file (TOML)."`
	Check  bool   `help:"Only say whether the file is in order."`
}

func (c tablesCommand) Run(g *globals) error {
	o, err := warden.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println(c.Config, "is in order")
		return nil
	}
	host, _ := os.Hostname()
	return warden.New(o, &warden.HTTP{Address: o.Registry}, fmt.Sprintf("%s-%d", host, os.Getpid()), g.log).Run(g.ctx)
}

type drainCommand struct {
	reach
	Targets []string      `arg:"" help:"Units, or a zone: then its table servers."`
	Name    string        `help:"Of the drain; default: drain-TARGET."`
	For     time.Duration `default:"4h" help:"After which it is overdue: shown, and no planned work begins until somebody has looked. It is never ended by itself."`
	Wait    bool          `help:"Return once nothing is under way there."`
	DryRun  bool          `help:"Only print what would be out, and the smallest capacity left."`
}

func (c drainCommand) Run(g *globals) error {
	f, err := view(g, c.reach, 1<<62)
	if err != nil {
		return err
	}
	units, err := named(f, c.Targets)
	if err != nil {
		return err
	}
	if c.Name == "" {
		c.Name = "drain-" + strings.Join(c.Targets, "-")
	}
	fmt.Printf("%s: %s\n", c.Name, strings.Join(units, ", "))
	if err := fits(f, units); err != nil {
		return err
	}
	if c.DryRun {
		return nil
	}
	r, err := change(g, c.reach, rollout.Command{Op: rollout.Drain, Change: c.Name, Units: units, Life: c.For})
	if err != nil {
		return err
	}
	if r.Waits {
		fmt.Printf("it waits in its turn: %s\n", r.Error)
	}
	said := ""
	for c.Wait {
		if f, err = view(g, c.reach, 1<<62); err != nil {
			fmt.Fprintln(os.Stderr, err)
		} else if d := f.Drains[c.Name]; d == nil {
			return fmt.Errorf("%s was restored", c.Name)
		} else if now := drained(f, c.Name); now != said {
			said = now
			fmt.Println(now)
		}
		if d := f.Drains[c.Name]; d != nil && d.Quiet {
			return nil
		}
		select {
		case <-g.ctx.Done():
			return errors.New("it goes on; 'fleet status' shows it")
		case <-time.After(500 * time.Millisecond):
		}
	}
	return nil
}

// named are the units that words name: a unit's own name, or a zone's.
func named(f *rollout.Fleet, words []string) (units []string, err error) {
	for _, word := range words {
		before := len(units)
		if f.Budget.Units[word] != nil {
			units = append(units, word)
		} else {
			for _, id := range sorted(f.Budget.Units) {
				if u := f.Budget.Units[id]; u.Kind == rollout.KindTable && u.Zone == word {
					units = append(units, id)
				}
			}
		}
		if len(units) == before {
			return nil, fmt.Errorf("%s is neither a unit nor a zone with table servers: 'fleet status' lists them", word)
		}
	}
	slices.Sort(units)
	return slices.Compact(units), nil
}

// fits tells whether units could all be out at once if nothing else were, and prints what would be left.
func fits(f *rollout.Fleet, units []string) error {
	alone := rollout.NewBudget()
	alone.Rules = f.Budget.Rules
	for id, u := range f.Budget.Units {
		whole := *u
		whole.Up, whole.Warm = true, true
		alone.Units[id] = &whole
	}
	for _, id := range units {
		if refused := alone.CheckLeave(id); refused != nil {
			return fmt.Errorf("it could never be out as a whole: %s", refused.Reason)
		}
		alone.Permits[id] = &rollout.Permit{Change: "this drain"}
	}
	for _, u := range alone.Usage() {
		fmt.Printf("%s: %d of %d out, what stays can serve %.0f a second at a load of %.0f now\n", ruleOf(u), u.Out, u.Total, u.Remaining, u.Load)
	}
	return nil
}

// drained is how far a drain has come.
func drained(f *rollout.Fleet, id string) string {
	d := f.Drains[id]
	var waits, held, unknown []string
	for _, unit := range d.Units {
		if p := f.Budget.Permits[unit]; p == nil || p.Change != id || !p.Left {
			waits = append(waits, unit)
		} else if n, who := f.WorkInFlight(unit); n > 0 || len(who) > 0 {
			if n > 0 {
				held = append(held, fmt.Sprintf("%s (%d)", unit, n))
			}
			for _, g := range who {
				if !slices.Contains(unknown, g) {
					unknown = append(unknown, g)
				}
			}
		}
	}
	line := fmt.Sprintf("%d of %d are out", len(d.Units)-len(waits), len(d.Units))
	switch {
	case d.Back:
		line = "goes back into service"
	case d.Quiet:
		line += ", nothing is under way there"
	}
	for _, part := range []struct {
		what string
		who  []string
	}{{"not yet: ", waits}, {"work under way at ", held}, {"not heard from: ", unknown}} {
		if len(part.who) > 0 && !d.Back && !d.Quiet {
			line += "; " + part.what + strings.Join(part.who, ", ")
		}
	}
	return line
}

type serveAgainCommand struct {
	reach
	Name string `arg:"" help:"Of the drain."`
}

func (c serveAgainCommand) Run(g *globals) error {
	_, err := change(g, c.reach, rollout.Command{Op: rollout.Restore, Change: c.Name})
	return err
}
