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
	"junctionring/internal/lab/proc"
)

type fleetCommand struct {
	Play     string        `arg:"" optional:"" default:"faults" enum:"faults,good,bad,gone,drain" help:"faults: a release with random faults meanwhile; good: one without, beside the same load without any, and what it costs the coordinators; bad: the four kinds of bad versions; gone: one in whose middle all coordinators are gone for a minute; drain: a zone of table servers taken out."`
	Out      string        `default:"lab-out/fleet" help:"Folder for data, records and logs."`
	Program  string        `help:"The gateway; default: junctionring beside this program."`
	Gateways int           `default:"100"`
	Groups   int           `default:"3" help:"Of agents: each has links of its own to the coordinators."`
	Tables   int           `default:"60"`
	Rate     float64       `default:"400" help:"Requests a second."`
	Most     int           `default:"10" help:"Gateways out at once, by the budget."`
	Life     time.Duration `default:"4s" help:"Of the agents' sessions."`
	Spare    float64       `default:"0" help:"What stays, of gateways and of table servers, must serve the load so many times; 0: not asked."`
	Learn    time.Duration `default:"1s" help:"After which a fresh gateway counts as back."`
	Faults   int           `default:"8" help:"faults: how many at the most, in each run."`
	Runs     int           `default:"1" help:"faults: how many, each with a seed of its own."`
	Seed     uint64        `default:"1"`
}

func (c fleetCommand) Run(ctx context.Context) error {
	var err error
	if c.Program, err = builtGateway(c.Program); err != nil {
		return err
	}
	fleet, err := programBeside("fleet")
	if err != nil {
		return err
	}
	for i := range c.Runs {
		if err := c.run(ctx, fleet, c.Seed+uint64(i)); err != nil {
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
		Rate: c.Rate, Most: c.Most, Spare: c.Spare, Life: c.Life, Learn: c.Learn, Seed: seed})
	if err != nil {
		return err
	}
	defer r.Close()
	verdict := func(what string, o fleet.Outcome, err error) error {
		if err != nil {
			return fmt.Errorf("%s: %w; logs: %s", what, err, dir)
		}
		for _, name := range slices.Sorted(maps.Keys(r.Met)) {
			fmt.Printf("  %-55s met %d\n", name, r.Met[name])
		}
		fmt.Printf("%s: %s after %.1f s (%s); %d faults; out at once through planned work %d of %d, in at least %d of %d; %d saw it; %d requests, %d lost, %d more at struck gateways, %d refused, in time %.4f; %d looks\n",
			what, o.Stage, o.Took.Seconds(), o.Why, o.Thrown, o.Most, c.Most, o.Least, c.Gateways, o.Saw, o.Asked, len(o.Lost), o.Struck, o.Refused, o.InTime, o.Looks)
		broken := r.Broken(o)
		for _, b := range broken {
			fmt.Println("BROKEN:", b)
		}
		if len(broken) > 0 {
			return fmt.Errorf("%s: %d rules broken; logs: %s", what, len(broken), dir)
		}
		return nil
	}
	switch c.Play {
	case "faults":
		o, err := r.Release(ctx, "release", "2", c.Faults)
		return verdict(fmt.Sprintf("seed %d", seed), o, err)
	case "good":
		calm, err := r.Calm(ctx, 30*time.Second)
		if err != nil {
			return err
		}
		fmt.Printf("calm: %d requests, %d lost, %d refused, in time %.4f\n", calm.Asked, len(calm.Lost), calm.Refused, calm.InTime)
		was := r.Cost(ctx)
		o, err := r.Release(ctx, "release", "2", 0)
		if err := verdict("good", o, err); err != nil {
			return err
		}
		spent := r.Cost(ctx).Less(was)
		fmt.Printf("in time %+.2f points beside calm; one gateway is out %.2f s; longest chain %.1f s, taken %.2f times that\n", 100*(o.InTime-calm.InTime), o.One.Seconds(), o.Chain.Seconds(), o.Took.Seconds()/o.Chain.Seconds())
		fmt.Printf("coordinators, together, in the release and until all rests: %.1f s CPU, %.1f MB, %d entries\n", spent.CPU.Seconds(), float64(spent.Bytes)/1e6, spent.Entries)
		was = r.Cost(ctx)
		proc.Wait(ctx, 10*time.Second)
		idle := r.Cost(ctx).Less(was)
		fmt.Printf("coordinators at rest, a second: %.3f s CPU, %.3f MB, %.1f entries\n", idle.CPU.Seconds()/10, float64(idle.Bytes)/1e7, float64(idle.Entries)/10)
		return nil
	case "gone":
		o, held, during, err := r.Gone(ctx, time.Minute)
		if err := verdict("coordinators gone for 60 s", o, err); err != nil {
			return err
		}
		fmt.Printf("%d permits were out when they went; %d gateways were begun while they were gone\n", held, during)
		return nil
	case "bad":
		for _, version := range []string{"never-ready", "crashes", "slow", "fails-moves", "spoilt"} {
			o, err := r.Release(ctx, "to-"+version, version, 0)
			if err := verdict(version, o, err); err != nil {
				return err
			}
		}
		return nil
	}
	o, err := r.Drain(ctx, 20*time.Second)
	if err != nil {
		return fmt.Errorf("%w; logs: %s", err, dir)
	}
	fmt.Printf("before: %d requests, in time %.4f, p99 %v; while a zone was out: %d, %.4f, %v (%.2f times)\n", o.Before.Requests, o.Before.Share(), o.Before.P99.Round(time.Millisecond),
		o.During.Requests, o.During.Share(), o.During.P99.Round(time.Millisecond), o.During.P99.Seconds()/o.Before.P99.Seconds())
	fmt.Printf("quiet after %.2f s; %d requests came later than 1 s after the notice, %d were under way when it was said to be quiet; %d lost\n", o.Quiet.Seconds(), o.Late, o.StillHeld, len(o.Lost))
	fmt.Printf("%d servers out at once; a second zone meanwhile: %q; back %.2f s after the restore\n", o.Out, o.Refused, o.Back.Seconds())
	return nil
}
