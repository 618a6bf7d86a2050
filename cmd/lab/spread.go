package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"junctionring/internal/lab/spread"
)

type spreadCommand struct {
	Faults   []string      `arg:"" optional:"" help:"What to throw a third of the way in; default: none; all: each in turn."`
	Out      string        `default:"lab-out/spread" help:"Folder for figures, plots, raw data and logs."`
	Program  string        `help:"The gateway; default: junctionring beside this program."`
	Beside   string        `help:"Another build of the gateway, played with the same seeds after each."`
	Gateways int           `default:"200"`
	Tables   int           `default:"100"`
	Load     float64       `default:"0.7" help:"Of the table servers' capacity."`
	Speeds   []float64     `default:"1" help:"Of the table servers, in turn."`
	Heavy    int           `default:"0" help:"Gateways with ten times the load of the middling one."`
	Uneven   float64       `default:"0.7" help:"Standard deviation of the logarithm of gateways' loads."`
	For      time.Duration `default:"30s"`
	Seeds    []uint64      `default:"1,2"`
}

func (c spreadCommand) Run(ctx context.Context) error {
	var err error
	if c.Program, err = builtGateway(c.Program); err != nil {
		return err
	}
	switch {
	case len(c.Faults) == 0:
		c.Faults = []string{"none"}
	case slices.Equal(c.Faults, []string{"all"}):
		c.Faults = slices.Sorted(maps.Keys(spread.Faults))
	}
	for _, fault := range c.Faults {
		if _, known := spread.Faults[fault]; !known {
			return fmt.Errorf("there is no fault %q; there are %s", fault, strings.Join(slices.Sorted(maps.Keys(spread.Faults)), ", "))
		}
	}
	builds := []string{c.Program}
	if c.Beside != "" {
		builds = append(builds, c.Beside)
	}
	for _, fault := range c.Faults {
		for _, seed := range c.Seeds {
			for i, program := range builds {
				dir, err := filepath.Abs(filepath.Join(c.Out, fmt.Sprintf("%s-%d-%d", fault, seed, i)))
				if err != nil {
					return err
				}
				if err := os.RemoveAll(dir); err != nil {
					return err
				}
				fmt.Printf("%s, seed %d, %s: %d gateways, %d servers, load %.2f of the capacity\n", fault, seed, program, c.Gateways, c.Tables, c.Load)
				if err := c.play(ctx, fault, seed, program, dir); err != nil {
					return fmt.Errorf("%s, seed %d: %w; logs: %s", fault, seed, err, dir)
				}
			}
		}
	}
	return nil
}

func (c spreadCommand) play(ctx context.Context, fault string, seed uint64, program, dir string) error {
	w, err := spread.Start(ctx, spread.Options{Program: program, Dir: dir, Gateways: c.Gateways, Tables: c.Tables, Load: c.Load, Speeds: c.Speeds,
		Heavy: c.Heavy, Uneven: c.Uneven, For: c.For, Fault: fault, Seed: seed})
	if err != nil {
		return err
	}
	defer w.Close()
	begun := time.Now()
	f, samples, err := w.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Print(f.Text())
	if err := w.Write("figures.txt", f.Text()); err != nil {
		return err
	}
	return w.Save(samples, begun)
}
