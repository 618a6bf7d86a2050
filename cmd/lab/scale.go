package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"

	"junctionring/internal/lab/scale"
)

type scaleCommand struct {
	Run     scaleRunCommand     `cmd:"" help:"Run scenarios at all their sizes, and fit lines to what was measured."`
	Fit     scaleFitCommand     `cmd:"" help:"Fit lines to raw data of earlier runs."`
	Compare scaleCompareCommand `cmd:"" help:"Run a scenario with two builds in turn, size by size."`
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
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dir, err := filepath.Abs(c.Out)
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
	self, err := os.Executable()
	if err != nil {
		return err
	}
	other, err := filepath.Abs(c.Beside)
	if err != nil {
		return err
	}
	dir, err := filepath.Abs(c.Out)
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
