package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"
	"github.com/schollz/progressbar/v3"

	"junctionring/internal/lab/scale"
)

type scaleCommand struct {
	Run     scaleRunCommand     `cmd:"" help:"Run scenarios at all their sizes, and fit lines to what was measured."`
	Fit     scaleFitCommand     `cmd:"" help:"Fit lines to raw data of earlier runs."`
	Compare scaleCompareCommand `cmd:"" help:"Run a scenario with two builds in turn, size by size."`
	Path    scalePathCommand    `cmd:"" help:"Measure a real gateway beside a plain reverse proxy, in turn, each on one core."`
	Fault   scaleFaultCommand   `cmd:"" help:"Let a fault happen to a scenario's fleet, and measure its recovery."`
	List    scaleListCommand    `cmd:"" help:"List the scenarios that come with the program."`
}

type scaleRunCommand struct {
	Scenarios []string `arg:"" help:"Names of scenarios ('lab scale list'), or files."`
	Out       string   `default:"lab-out/scale" help:"Folder for raw data, plots and logs. Sizes whose raw data is there are not run again."`
	Gateway   string   `help:"The gateway; default: junctionring beside this program."`
	Build     string   `default:"here" help:"Name of the build in the raw data."`
	Plots     bool     `help:"Draw each line."`
}

func (c scaleRunCommand) Run(ctx context.Context) error {
	scenarios, err := loadScenarios(c.Scenarios)
	if err != nil {
		return err
	}
	self, dir, err := programAndFolder(c.Out)
	if err != nil {
		return err
	}
	for _, s := range scenarios {
		rows, err := series(ctx, s, dir, scale.Options{Program: []string{self}, Gateway: gatewayBeside(c.Gateway, self), Build: c.Build})
		if err != nil {
			return err
		}
		if err := show(dir, rows, c.Plots); err != nil {
			return err
		}
	}
	return nil
}

// loadScenarios loads all, so that none starts where one makes no sense.
func loadScenarios(names []string) (all []*scale.Scenario, err error) {
	for _, name := range names {
		s, err := scale.Load(name)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

func gatewayBeside(named, self string) string {
	return cmp.Or(named, filepath.Join(filepath.Dir(self), "junctionring"))
}

// series runs a scenario at all its sizes, with a progress bar.
func series(ctx context.Context, s *scale.Scenario, dir string, o scale.Options) ([]scale.Row, error) {
	bar := progressbar.NewOptions(len(s.All()), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(s.Name),
		progressbar.OptionSetWidth(30), progressbar.OptionClearOnFinish())
	defer bar.Finish()
	options := func(value int) scale.Options {
		o.Dir = filepath.Join(dir, "logs", fmt.Sprintf("%s-%s-%d", s.Name, o.Build, value))
		return o
	}
	run := func(o scale.Options, value int) ([]scale.Row, error) {
		if err := os.RemoveAll(o.Dir); err != nil {
			return nil, err
		}
		return scale.Run(ctx, o, s, value)
	}
	return scale.Series(options, dir, s, run, func(value int, _ bool) {
		bar.Describe(fmt.Sprintf("%s, %s = %d", s.Name, s.Vary, value))
		bar.Add(1)
	})
}

// show fits lines, and shows, keeps and draws them.
func show(dir string, rows []scale.Row, plots bool) error {
	fits := scale.FitAll(rows)
	if err := scale.WriteFits(os.Stdout, fits); err != nil {
		return err
	}
	if len(rows) == 0 || !plots {
		return nil
	}
	return scale.PlotFits(dir, fits, rows)
}

type scaleFitCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Raw data (Parquet)."`
	Join  string   `help:"Write all rows to this file."`
	Plots string   `help:"Draw each line into this folder."`
	At    []int    `help:"Show what each line says at these values."`
}

func (c scaleFitCommand) Run() error {
	rows, err := scale.ReadAll(c.Files)
	if err != nil {
		return err
	}
	if c.Join != "" {
		if err := scale.WriteRows(c.Join, rows); err != nil {
			return err
		}
	}
	if len(c.At) > 0 {
		return scale.WritePredictions(os.Stdout, scale.FitAll(rows), c.At)
	}
	return show(c.Plots, rows, c.Plots != "")
}

type scaleCompareCommand struct {
	Scenario string `arg:"" help:"Name of a scenario, or a file."`
	Beside   string `required:"" type:"existingfile" help:"The other build of this program."`
	Gateway  string `help:"This build's gateway; default: junctionring beside this program."`
	Other    string `help:"The other build's gateway; default: junctionring beside that program."`
	Out      string `default:"lab-out/scale-compare" help:"Folder for raw data and logs."`
}

func (c scaleCompareCommand) Run(ctx context.Context) error {
	s, err := scale.Load(c.Scenario)
	if err != nil {
		return err
	}
	self, dir, err := programAndFolder(c.Out)
	if err != nil {
		return err
	}
	other, err := filepath.Abs(c.Beside)
	if err != nil {
		return err
	}
	builds := []scale.Options{
		{Program: []string{other}, Gateway: gatewayBeside(c.Other, other), Build: "before"},
		{Program: []string{self}, Gateway: gatewayBeside(c.Gateway, self), Build: "after"},
	}
	var rows []scale.Row
	for _, value := range s.All() { // in turn, so that both meet the same machine
		one := *s
		one.Sizes, one.HeldOut = []int{value}, nil
		for _, o := range builds {
			some, err := series(ctx, &one, dir, o)
			if err != nil {
				return err
			}
			rows = append(rows, some...)
		}
	}
	return showCompared(scale.Compare(rows, "before", "after"))
}

func showCompared(all []scale.Compared) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROLE\tPHASE\tFIGURE\tSIZE\tBEFORE\tAFTER\tTIMES LESS")
	for _, c := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.4g\t%.4g\t%.2f\n", c.Role, c.Phase, c.Figure, c.Value, c.Before, c.After, c.Before/c.After)
	}
	return w.Flush()
}

type scaleListCommand struct{}

func (scaleListCommand) Run() error {
	for _, name := range scale.Names() {
		s, err := scale.Load(name)
		if err != nil {
			return err
		}
		fmt.Printf("%-28s %s: %s %v, held out %v\n", name, s.About, s.Vary, s.Sizes, s.HeldOut)
	}
	return nil
}

type scalePathCommand struct {
	Tenants []int         `default:"100" help:"Active tenants; each with each number of servers."`
	Servers []int         `default:"100"`
	Rate    int           `default:"267" help:"Requests a second."`
	Rounds  int           `default:"3"`
	For     time.Duration `default:"6s" help:"Of each round, of each of the two."`
	Out     string        `default:"lab-out/scale" help:"Folder for raw data and logs."`
	Gateway string        `help:"The gateway; default: junctionring beside this program."`
}

func (c scalePathCommand) Run(ctx context.Context) error {
	self, dir, err := programAndFolder(c.Out)
	if err != nil {
		return err
	}
	var rows []scale.PathRow
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TENANTS\tSERVERS\tGATEWAY us\tPROXY us\tTIMES\tADDED p50 ms\tADDED p99 ms\tRANGE\tGATEWAY p99 ms\tSERVED\tRESIDENT MB")
	for _, tenants := range c.Tenants {
		for _, servers := range c.Servers {
			o := scale.PathOptions{Tenants: tenants, Servers: servers, Rate: c.Rate, Rounds: c.Rounds, For: c.For}
			o.Program, o.Gateway = []string{self}, gatewayBeside(c.Gateway, self)
			o.Dir = filepath.Join(dir, "logs", fmt.Sprintf("path-%d-%d", tenants, servers))
			some, err := scale.Path(ctx, o)
			if err != nil {
				return err
			}
			rows = append(rows, some...)
			s := scale.SummarisePath(some)
			fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d of %d\t%.0f\n", s.Tenants, s.Servers, s.Gateway, s.Proxy, s.Gateway/s.Proxy,
				s.AddedP50, s.AddedP99, s.Spread, s.GatewayP99, s.Served, s.Asked, s.Resident/1e6)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	name := fmt.Sprintf("path-%dx%d.parquet", len(c.Tenants), len(c.Servers))
	return parquet.WriteFile(filepath.Join(dir, name), rows)
}

type scaleFaultCommand struct {
	Scenario string   `arg:"" help:"Name of a scenario, or a file."`
	Faults   []string `arg:"" help:"none, push, restart-all, zone, leader, slow-reader."`
	Value    int      `required:"" help:"Of the scenario's factor."`
	Out      string   `default:"lab-out/scale" help:"Folder for raw data and logs."`
}

func (c scaleFaultCommand) Run(ctx context.Context) error {
	s, err := scale.Load(c.Scenario)
	if err != nil {
		return err
	}
	s.Sizes, s.HeldOut = []int{c.Value}, nil
	for _, name := range c.Faults {
		if _, known := scale.Faults[name]; !known {
			return fmt.Errorf("there is no fault %q", name)
		}
	}
	self, dir, err := programAndFolder(c.Out)
	if err != nil {
		return err
	}
	for _, name := range c.Faults {
		o := scale.Options{Program: []string{self}, Build: "here", Dir: filepath.Join(dir, "logs", "fault-"+name)}
		if err := os.RemoveAll(o.Dir); err != nil {
			return err
		}
		rows, err := scale.RunFault(ctx, o, s, c.Value, name)
		if err != nil {
			return fmt.Errorf("%s: %w; logs: %s", name, err, o.Dir)
		}
		if err := scale.Save(dir, rows); err != nil {
			return err
		}
		showFault(name, rows)
	}
	return nil
}

func showFault(name string, rows []scale.Row) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FAULT\tROLE\tPHASE\tSECONDS\tCPU s/s\tBYTES/s\tRESIDENT MB\tFAILURES\tIN FORCE p50, p99, max s\tOUT OF ORDER")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.4f\t%.0f\t%.0f\t%.0f\t%.2f, %.2f, %.2f\t%.0f\n", name, r.Role, r.Phase, r.Seconds, r.CPU/r.Seconds, r.Bytes/r.Seconds,
			r.Resident/1e6, r.Failures, r.DelayP50, r.DelayP99, r.DelayMax, r.Disorder)
	}
	w.Flush()
}
