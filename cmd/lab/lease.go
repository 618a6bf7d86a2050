package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"junctionring/internal/lab/leases"
)

type leaseCommand struct {
	Play         string        `arg:"" optional:"" default:"faults" enum:"faults,renewals,takeovers,log" help:"faults: random faults; renewals: many sessions, and their return; takeovers: the leader killed; log: a long log and a restart."`
	Out          string        `default:"lab-out/lease" help:"Folder for data, records and logs."`
	Coordinators int           `default:"3"`
	Contenders   int           `default:"20"`
	Leases       int           `default:"5"`
	Groups       int           `default:"4" help:"Of contenders: each has links of its own to the coordinators."`
	Life         time.Duration `default:"2s"`
	Hold         time.Duration `default:"300ms"`
	Faults       int           `default:"60"`
	Sessions     int           `default:"300"`
	Without      time.Duration `default:"30s" help:"renewals: how long all coordinators are gone."`
	Times        int           `default:"25" help:"takeovers: how often."`
	Entries      int           `default:"1000000" help:"log: entries."`
	Snapshots    int           `default:"10000" help:"Entries of the log between snapshots."`
	Seed         uint64        `default:"1"`
}

func (c leaseCommand) Run(ctx context.Context) error {
	self, folder, err := programAndFolder(filepath.Join(c.Out, fmt.Sprintf("%s-%d-%d", c.Play, c.Coordinators, c.Seed)))
	if err != nil {
		return err
	}
	c.Out = folder
	if err := os.RemoveAll(c.Out); err != nil {
		return err
	}
	if c.Play != "faults" {
		c.Contenders = 1
	}
	if c.Play == "faults" {
		c.Snapshots = min(c.Snapshots, 300) // so that snapshots are a part of it
	}
	r, err := leases.Start(ctx, leases.Options{Program: []string{self}, Dir: c.Out, Coordinators: c.Coordinators, Contenders: c.Contenders,
		Leases: c.Leases, Groups: c.Groups, Life: c.Life, Hold: c.Hold, Entries: c.Snapshots, Seed: c.Seed})
	if err != nil {
		return err
	}
	defer r.Close()
	if err := r.Run(ctx); err != nil {
		return err
	}
	if err := r.Settled(ctx); err != nil {
		return err
	}
	var figures []leases.Figure
	switch c.Play {
	case "renewals":
		figures, err = r.Renewals(ctx, c.Sessions, 30*time.Second, c.Without)
	case "takeovers":
		figures, err = r.Takeovers(ctx, c.Times)
	case "log":
		figures, err = r.LongLog(ctx, c.Entries)
	default:
		return c.faults(ctx, r)
	}
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, f := range figures {
		fmt.Fprintf(w, "%s\t%s\t%s\n", f.Name, f.Value, f.Target)
	}
	return w.Flush()
}

func (c leaseCommand) faults(ctx context.Context, r *leases.Rig) error {
	begun := time.Now()
	bar := progressbar.NewOptions(c.Faults, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetWidth(30), progressbar.OptionClearOnFinish())
	err := r.Random(ctx, c.Faults, func(done int, name string) { bar.Set(done) })
	bar.Finish()
	if err == nil {
		err = r.Settled(ctx)
	}
	if logged := os.WriteFile(filepath.Join(c.Out, "play.log"), []byte(strings.Join(r.Log, "\n")+"\n"), 0o644); err == nil {
		err = logged
	}
	if err != nil {
		return fmt.Errorf("%w; the processes' logs are in %s", err, c.Out)
	}
	v, err := r.Judge()
	if err != nil {
		return err
	}
	struck := 0
	for _, name := range slices.Sorted(maps.Keys(r.Met)) {
		fmt.Printf("  %-60s met %d\n", name, r.Met[name])
		struck += r.Met[name]
	}
	fmt.Printf("%d coordinators, %d contenders, %.0f s, seed %d: %d faults thrown, %d seen to strike\n", c.Coordinators, c.Contenders, time.Since(begun).Seconds(), c.Seed, c.Faults, struck)
	fmt.Printf("%d acts, %d grants, %d late acts turned away by their token; history: %s\n", v.Acts, v.Grants, v.Refused, v.History)
	for _, b := range v.Broken {
		fmt.Println("BROKEN:", b)
	}
	if len(v.Broken) > 0 || v.Grants < c.Faults {
		return fmt.Errorf("%d rules broken, %d grants; records and logs: %s", len(v.Broken), v.Grants, c.Out)
	}
	fmt.Println("0 acts by two holders, 0 fallen tokens, 0 histories refused")
	return nil
}
