package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"

	"junctionring/internal/coordinator"
	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/leaseholder"
	"junctionring/internal/snapshot"
)

type coordinatorCommand struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Run a coordinator (the default)."`
	Init     initCommand     `cmd:"" help:"Make the data folder of a coordinator of a new group."`
	Check    checkCommand    `cmd:"" help:"Check a coordinator's file."`
	Status   statusCommand   `cmd:"" help:"Show each coordinator: who leads, who is behind."`
	Snapshot snapshotCommand `cmd:"" help:"Save a backup of what the group keeps."`
	Restore  restoreCommand  `cmd:"" help:"Make the data folder of a new group out of a backup."`
	Member   memberCommand   `cmd:"" help:"Add or remove a coordinator while the group serves."`
}

// reach says where the coordinators are.
type reach struct {
	Coordinators []string      `default:"127.0.0.1:9700" env:"JUNCTIONRING_COORDINATORS" sep:"," help:"host:port of the coordinators, with commas between."`
	Timeout      time.Duration `default:"10s" help:"How long to try."`
}

// at makes a call where the group is led.
func at[T any](g *globals, r reach, call func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (T, error)) (T, error) {
	ctx, done := context.WithTimeout(g.ctx, r.Timeout)
	defer done()
	return leaseholder.Ask(ctx, leaseholder.NewGroup(r.Coordinators...), func(ctx context.Context, to leasepb.LeasesClient) (T, error) {
		return call(ctx, to, leaseholder.Trailer(ctx))
	})
}

type runCommand struct {
	Config string `required:"" type:"existingfile" help:"The coordinator's file (TOML)."`
	Join   bool   `help:"This coordinator was added to a group that runs ('member add'); its data folder is made now."`
}

func (c runCommand) Run(g *globals) error {
	o, err := coordinator.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	switch made, err := coordinator.HasIdentity(o.Data); {
	case err != nil:
		return err
	case made:
	case c.Join:
		id, err := coordinator.Join(g.ctx, o, nil)
		if err != nil {
			return err
		}
		g.log.Info("joins", "group", id.Group, "id", id.ID)
	case len(o.Peers) <= 1: // alone: there is nobody whose votes it could have forgotten
		if _, err := coordinator.Init(g.ctx, o); err != nil {
			return err
		}
		g.log.Info("a new group of one: nothing is given before its longest life has passed", "after", o.Life.Duration)
	}
	return coordinator.Serve(g.ctx, coordinator.Options{Config: o, Log: g.log}, nil)
}

type initCommand struct {
	Config string `required:"" type:"existingfile"`
}

func (c initCommand) Run(g *globals) error {
	o, err := coordinator.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	id, err := coordinator.Init(g.ctx, o)
	if err == nil {
		fmt.Printf("%s is coordinator %d of the new group %s, in %s\n", id.Name, id.ID, id.Group, o.Data)
	}
	return err
}

type checkCommand struct {
	File string `arg:"" type:"existingfile"`
}

func (c checkCommand) Run() error {
	_, err := coordinator.LoadConfig(c.File)
	if err == nil {
		fmt.Println(c.File, "is in order")
	}
	return err
}

type statusCommand struct{ reach }

func (c statusCommand) Run(g *globals) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tNAME\tTERM\tLEADS\tAPPLIED\tLAST\tSNAPSHOT\tSESSIONS\tLEASES\tTOKEN\tNOTE")
	var led *leasepb.StatusAnswer
	silent := 0
	for _, a := range c.Coordinators {
		s, err := status(g.ctx, a)
		if err != nil {
			silent++
			fmt.Fprintf(w, "%s\t-\t\t\t\t\t\t\t\t\tno answer: %v\n", a, err)
			continue
		}
		note, leads := "", "no"
		if s.Sealed {
			note = "nothing is given yet: holders of before may be at work"
		}
		switch {
		case s.Leader == s.Id:
			leads, led = "yes", s
		case s.Leader == 0:
			leads = "nobody"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", a, s.Name, s.Term, leads, s.Applied, s.Last, s.Snapshot, s.Sessions, s.Leases, s.Token, note)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if led != nil {
		for _, p := range led.Coordinators {
			kind := "votes"
			if !p.Votes {
				kind = "reads the log, and votes once it has caught up"
			}
			seen := ""
			switch {
			case p.SilentMs < 0:
				seen = ", not heard of yet"
			case p.SilentMs > 1000:
				seen = fmt.Sprintf(", silent for %v", time.Duration(p.SilentMs)*time.Millisecond)
			}
			fmt.Printf("coordinator %d, %s at %s: %s, %d entries behind%s\n", p.Id, p.Name, p.Address, kind, p.Behind, seen)
		}
	}
	if silent == len(c.Coordinators) {
		return errors.New("no coordinator answered")
	}
	return nil
}

func status(ctx context.Context, address string) (*leasepb.StatusAnswer, error) {
	return leasepb.Status(ctx, address, 2*time.Second)
}

type snapshotCommand struct {
	reach
	File string `arg:"" help:"Where to save it."`
}

func (c snapshotCommand) Run(g *globals) error {
	ctx, done := context.WithTimeout(g.ctx, c.Timeout)
	defer done()
	raw, err := leaseholder.Backup(ctx, leaseholder.NewGroup(c.Coordinators...))
	if err != nil {
		return err
	}
	sessions, leases, token, err := coordinator.CheckBackup(raw)
	if err != nil {
		return fmt.Errorf("what came is no whole backup: %w", err)
	}
	if err := snapshot.Save(c.File, snapshot.Version{Number: 1, Content: raw}); err != nil {
		return err
	}
	fmt.Printf("%s: %d sessions, %d leases, tokens up to %d\n", c.File, sessions, leases, token)
	return nil
}

type restoreCommand struct {
	Config string `required:"" type:"existingfile"`
	From   string `required:"" type:"existingfile" help:"A file of 'coordinator snapshot'."`
	Epoch  uint32 `help:"Of the new tokens (their upper 32 bits), where this machine's clock is not to be trusted."`
}

func (c restoreCommand) Run(g *globals) error {
	o, err := coordinator.LoadConfig(c.Config)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(c.From)
	if err != nil {
		return err
	}
	v, why := snapshot.Decode(raw)
	if why != "" {
		return fmt.Errorf("%s is no whole backup: %s", c.From, why)
	}
	id, err := coordinator.Restore(o, v.Content, c.Epoch)
	if err == nil {
		fmt.Printf("%s is coordinator %d, alone in the new group %s; start it, and add others with 'member add'\n", id.Name, id.ID, id.Group)
	}
	return err
}

type memberCommand struct {
	Add    addCommand    `cmd:"" help:"Add a coordinator. Start it with 'coordinator run --join' then."`
	Remove removeCommand `cmd:"" help:"Remove a coordinator, at work or lost."`
}

type addCommand struct {
	reach
	Name    string `arg:""`
	Address string `arg:"" help:"host:port at which the others reach it."`
}

func (c addCommand) Run(g *globals) error {
	a, err := at(g, c.reach, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.Coordinator, error) {
		return to.AddCoordinator(ctx, &leasepb.Coordinator{Name: c.Name, Address: c.Address}, o)
	})
	if err == nil {
		fmt.Printf("%s is coordinator %d; start it with 'coordinator run --join --config FILE'\n", a.Name, a.Id)
	}
	return err
}

type removeCommand struct {
	reach
	Name string `arg:""`
}

func (c removeCommand) Run(g *globals) error {
	a, err := at(g, c.reach, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.Coordinator, error) {
		return to.RemoveCoordinator(ctx, &leasepb.Coordinator{Name: c.Name}, o)
	})
	if err == nil {
		fmt.Printf("%s, coordinator %d, was removed\n", a.Name, a.Id)
	}
	return err
}
