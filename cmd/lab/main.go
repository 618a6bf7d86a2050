// Command lab starts stand-ins, offers load and plays scenarios on loopback, for people and measurements.
// `lab try` is the newcomer's one command. It is no part of the gateway.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"junctionring/internal/lab"
	"junctionring/internal/lab/leases"
	"junctionring/internal/lab/scale"
	"junctionring/internal/standin"
)

type tryCommand struct {
	Plays   []string      `arg:"" optional:"" help:"Plays to run, or all; see 'lab plays'. Default: drain."`
	Out     string        `default:"lab-out" help:"Folder for tables, plots, raw series and logs."`
	Program string        `help:"The gateway; default: junctionring beside this program."`
	Delay   time.Duration `default:"40ms" help:"One way over the link."`
	Jitter  time.Duration `default:"2ms" help:"More, at the most."`
	Loss    float64       `default:"0.02" help:"Of packets on the link."`
	Seed    uint64        `default:"1"`
}

func (c tryCommand) Run(ctx context.Context) error {
	var err error
	if c.Program, err = builtGateway(c.Program); err != nil {
		return err
	}
	if len(c.Plays) == 0 {
		c.Plays = []string{"drain"}
	}
	missed := 0
	for _, p := range lab.Plays {
		if !wanted(c.Plays, p.Name) {
			continue
		}
		n, err := c.play(ctx, p)
		if err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		missed += n
	}
	for _, name := range c.Plays {
		if name != "all" && !known(name) {
			return fmt.Errorf("there is no play %q; 'lab plays' lists them", name)
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d figures are not reached", missed)
	}
	return nil
}

func wanted(names []string, name string) bool {
	for _, n := range names {
		if n == name || n == "all" {
			return true
		}
	}
	return false
}

func known(name string) bool {
	for _, p := range lab.Plays {
		if p.Name == name {
			return true
		}
	}
	return false
}

func (c tryCommand) play(ctx context.Context, p lab.Play) (missed int, err error) {
	dir := filepath.Join(c.Out, p.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	fmt.Printf("%s: %s (%d s)\n", p.Name, p.About, p.Seconds)
	bar := progressbar.NewOptions(100, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(p.Name),
		progressbar.OptionSetWidth(30), progressbar.OptionClearOnFinish())
	r, err := p.Run(ctx, c.Program, dir, standin.LinkOptions{Delay: c.Delay, Jitter: c.Jitter, Loss: c.Loss, Seed: c.Seed}, c.Seed,
		func(ended, of int64) { bar.Set(int(min(99, 100*ended/max(1, of)))) })
	bar.Finish()
	if err != nil {
		return 0, err
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, f := range r.Figures {
		mark := "ok"
		switch {
		case f.Target == "":
			mark = ""
		case !f.OK:
			mark = "MISSED"
			missed++
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", f.Name, f.Value, f.Target, mark)
	}
	w.Flush()
	for cause, n := range r.Causes {
		fmt.Fprintf(&b, "  crossed, %s: %d\n", cause, n)
	}
	fmt.Print(b.String())
	if err := os.WriteFile(filepath.Join(dir, "figures.txt"), []byte(b.String()), 0o644); err != nil {
		return missed, err
	}
	for name, samples := range map[string][]lab.Sample{"near.csv": r.Near, "far.csv": r.Far} {
		if err := lab.WriteSamples(filepath.Join(dir, name), samples); err != nil {
			return missed, err
		}
	}
	if err := lab.PlotRun(dir, p.Name+": "+p.About, "near", r.Near, r.Events); err != nil {
		return missed, err
	}
	fmt.Printf("  plots, series and logs: %s\n", dir)
	return missed, nil
}

type playsCommand struct{}

func (playsCommand) Run() error {
	for _, p := range lab.Plays {
		fmt.Printf("%-10s %s\n", p.Name, p.About)
	}
	return nil
}

func main() {
	if leases.Role() || scale.Role() { // a process that a scenario started
		return
	}
	var cli struct {
		Try      tryCommand      `cmd:"" help:"Play a scenario between two sites with real gateways, and measure it."`
		Plays    playsCommand    `cmd:"" help:"List the plays."`
		Fleet    fleetCommand    `cmd:"" help:"Play a whole fleet: releases and drains under a load, with faults between its processes."`
		Spread   spreadCommand   `cmd:"" help:"Measure how evenly many gateways spread a thin load over table servers, and under faults."`
		Soak     soakCommand     `cmd:"" help:"Run gateways under faults drawn from seeds, and judge every request from outside."`
		Lease    leaseCommand    `cmd:"" help:"Play coordinators, holders and faults between them, and judge by what they did."`
		Scale    scaleCommand    `cmd:"" help:"Measure what control costs as the fleet grows: hollow gateways against real coordinators and stand-ins."`
		Load     loadCommand     `cmd:"" help:"Offer an open-loop load to gateways on loopback."`
		Tables   tablesCommand   `cmd:"" help:"Start stand-in table servers."`
		Store    storeCommand    `cmd:"" help:"Start a stand-in Redis store."`
		Registry registryCommand `cmd:"" help:"Start a stand-in registry."`
		Link     linkCommand     `cmd:"" help:"Start a link that forwards TCP with delay and loss."`
		Checker  checkerCommand  `cmd:"" help:"Start a stand-in checker."`
		Control  controlCommand  `cmd:"" help:"Start a stand-in control service to push versions from."`
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k := kong.Parse(&cli, kong.Name("lab"), kong.Description("Stand-ins, load and plays on loopback."), kong.BindTo(ctx, (*context.Context)(nil)))
	k.FatalIfErrorf(k.Run())
}
