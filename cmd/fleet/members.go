package main

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"junctionring/internal/leaseholder"
	"junctionring/lease"
)

type fleetCommand struct {
	Members  membersCommand  `cmd:"" help:"Show who is there, and with --watch each change."`
	Register registerCommand `cmd:"" help:"Keep one member in that list, from a process beside it."`

	Status    statusFleetCommand  `cmd:"" help:"Units, permits, releases and drains."`
	Budget    budgetCommand       `cmd:"" help:"Show the budget's rules and their use, or set them."`
	Release   releaseFleetCommand `cmd:"" help:"Begin, halt, resume or take back a release."`
	Halt      haltAllCommand      `cmd:"" help:"Halt all planned work, or end the halt."`
	Drain     drainCommand        `cmd:"" help:"Take table servers or gateways out, under the budget, until they are restored."`
	Restore   serveAgainCommand   `cmd:"" help:"Have what a drain took out serve again."`
	Claim     claimCommand        `cmd:"" help:"Say that somebody has looked after an overdue permit."`
	Forget    forgetCommand       `cmd:"" help:"A unit has left the fleet for good."`
	Conductor conductorCommand    `cmd:"" help:"Conduct releases, under a lease."`
	Tables    tablesCommand       `cmd:"" help:"Watch over the table servers of one registry, under a lease."`
}

type membersCommand struct {
	reach
	Kind  string `help:"Only members of this kind: gateway, agent, task, ..."`
	Watch bool   `help:"Go on, and print each join, change, leave and silence."`
}

func (c membersCommand) Run(g *globals) error {
	if c.Watch {
		w := leaseholder.Watch{Coordinators: c.Coordinators, Log: g.log}
		return w.Run(g.ctx, func(whole bool, changes []lease.Change) {
			if whole {
				fmt.Printf("-- everybody: %d\n", len(changes))
			}
			for _, m := range changes {
				if c.Kind == "" || c.Kind == m.Member.Kind {
					fmt.Printf("%s  %s %s  %s  %s  %s  %s\n", leaseholder.ChangeWord(m.Kind), m.Member.Kind, m.Member.Name, m.Member.Site, m.Member.Address, m.Member.Version, m.Member.State)
				}
			}
		})
	}
	a, err := list(g, c.reach)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tNAME\tSITE\tADDRESS\tVERSION\tSTATE\tLEFT")
	for _, s := range a.Sessions {
		m := s.Member
		if c.Kind == "" || c.Kind == m.Kind {
			fmt.Fprintln(w, strings.Join([]string{m.Kind, m.Name, m.Site, m.Address, m.Version, m.State, (time.Duration(s.LeftMs) * time.Millisecond).String()}, "\t"))
		}
	}
	return w.Flush()
}

type registerCommand struct {
	reach
	Name    string        `required:"" help:"The member's name."`
	Kind    string        `default:"gateway" help:"gateway, agent, task, ..."`
	Site    string        `help:"Where it stands."`
	Address string        `help:"Where it serves, host:port."`
	Version string        `help:"What it runs."`
	Ready   string        `help:"A URL that answers 2xx while it is in order, such as http://127.0.0.1:9082/status."`
	Every   time.Duration `default:"1s" help:"Between two looks at it."`
	Life    time.Duration `default:"10s" help:"After which it is silent, when this process says nothing more."`
}

func (c registerCommand) Run(g *globals) error {
	if c.Ready != "" {
		if u, err := url.Parse(c.Ready); err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("ready: %q is not http://host:port/path", c.Ready)
		}
	}
	if c.Every < 100*time.Millisecond {
		return fmt.Errorf("every: %v is below 100ms", c.Every)
	}
	m := lease.Member{Kind: c.Kind, Name: c.Name, Site: c.Site, Address: c.Address, Version: c.Version, State: "starting"}
	client, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: c.Coordinators, Life: c.Life, Member: m, Log: g.log})
	if err != nil {
		return err
	}
	return leaseholder.Register{Client: client, Member: m, Ready: c.Ready, Every: c.Every}.Run(g.ctx)
}
