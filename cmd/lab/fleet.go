package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"junctionring/internal/lab/fleet"
)

type fleetCommand struct {
	Play     string        `arg:"" optional:"" default:"faults" enum:"faults,good,bad,cost,drain" help:"faults: a release with random faults meanwhile; good: one without, beside the same load without any; bad: the four kinds of bad versions; cost: what a release costs the coordinators; drain: a zone of table servers taken out."`
	Out      string        `default:"lab-out/fleet" help:"Folder for data, records and logs."`
	Program  string        `help:"The gateway; default: junctionring beside this program."`
	Gateways int           `default:"100"`
	Groups   int           `default:"3" help:"Of agents: each has links of its own to the coordinators."`
	Tables   int           `default:"60"`
	Rate     float64       `default:"400" help:"Requests a second."`
	Most     int           `default:"10" help:"Gateways out at once, by the budget."`
	Life     time.Duration `default:"4s" help:"Of the agents' sessions."`
	Learn    time.Duration `default:"1s" help:"After which a fresh gateway counts as back."`
	Faults   int           `default:"8" help:"faults: how many at the most, in each run."`
	Runs     int           `default:"1" help:"faults: how many, each with a seed of its own."`
	Seed     uint64        `default:"1"`
}

func (c fleetCommand) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if c.Program == "" {
		c.Program = filepath.Join(filepath.Dir(self), "junctionring")
	}
	for i := range c.Runs {
		if err := c.run(ctx, filepath.Join(filepath.Dir(self), "fleet"), c.Seed+uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

func (c fleetCommand) run(ctx context.Context, program string, seed uint64) (err error) {
	dir, err := filepath.Abs(filepath.Join(c.Out, fmt.Sprintf("%s-%d", c.Play, seed)))
	if err != nil {
		return err
	}
	if err := os.RemoveAll(dir); err != nil {
		return err
	}
	r, err := fleet.Start(ctx, fleet.Options{Program: c.Program, Fleet: program, Dir: dir, Gateways: c.Gateways, Groups: c.Groups, Tables: c.Tables,
		Rate: c.Rate, Most: c.Most, Life: c.Life, Learn: c.Learn, Seed: seed})
	if err != nil {
		return err
	}
	defer r.Close()
	switch c.Play {
	case "faults":
		o, err := r.Release(ctx, "release", "2", c.Faults)
		if err != nil {
			return fmt.Errorf("seed %d: %w; logs: %s", seed, err, dir)
		}
		for _, name := range slices.Sorted(maps.Keys(r.Met)) {
			fmt.Printf("  %-55s met %d\n", name, r.Met[name])
		}
		fmt.Printf("seed %d: %s after %.0f s (%s); %d faults; out at once through planned work %d of %d, in at least %d of %d; %d requests, %d lost, %d more at struck gateways, %d refused, in time %.4f; %d looks\n",
			seed, o.Stage, o.Took.Seconds(), o.Why, o.Thrown, o.Most, c.Most, o.Least, c.Gateways, o.Asked, len(o.Lost), o.Struck, o.Refused, o.InTime, o.Looks)
		if broken := r.Broken(o); len(broken) > 0 {
			for _, b := range broken {
				fmt.Println("BROKEN:", b)
			}
			return fmt.Errorf("seed %d: %d rules broken; logs: %s", seed, len(broken), dir)
		}
	}
	return nil
}
