package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
)

type leaseCommand struct {
	List    listCommand    `cmd:"" help:"List the leases that are held or waited for."`
	Show    showCommand    `cmd:"" help:"Show one lease: holder, token, who waits."`
	Hold    holdCommand    `cmd:"" help:"Run a command while a lease is held: lease hold NAME -- COMMAND..."`
	Release releaseCommand `cmd:"" help:"Have the holder give a lease back, and wait until it has."`
	Revoke  revokeCommand  `cmd:"" help:"Take a lease away. It is given on once its holder can't act any more."`
}

func list(g *globals, r reach) (*leasepb.ListAnswer, error) {
	return at(g, r, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.ListAnswer, error) {
		return to.List(ctx, &leasepb.ListAsk{}, o)
	})
}

func find(a *leasepb.ListAnswer, name string) *leasepb.Lease {
	for _, l := range a.Leases {
		if l.Name == name {
			return l
		}
	}
	return nil
}

func holder(l *leasepb.Lease) string {
	switch {
	case l.Holder == "":
		return "-"
	case l.Member.GetName() != "":
		return l.Member.Name
	}
	return l.Holder
}

type listCommand struct{ reach }

func (c listCommand) Run(g *globals) error {
	a, err := list(g, c.reach)
	if err != nil {
		return err
	}
	if a.Sealed {
		fmt.Println("nothing is given yet: holders of before the group was new, or restored, may be at work")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LEASE\tHOLDER\tTOKEN\tWAITING\tNOTE")
	for _, l := range a.Leases {
		note := ""
		if l.Revoked {
			note = "revoked"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", l.Name, holder(l), l.Token, len(l.Waiters), note)
	}
	return w.Flush()
}

type showCommand struct {
	reach
	Name string `arg:""`
}

func (c showCommand) Run(g *globals) error {
	a, err := list(g, c.reach)
	if err != nil {
		return err
	}
	l := find(a, c.Name)
	if l == nil {
		return fmt.Errorf("lease %s: nobody holds it or waits for it", c.Name)
	}
	fmt.Printf("lease    %s\nholder   %s (session %s)\ntoken    %d\n", l.Name, holder(l), l.Holder, l.Token)
	if l.Revoked {
		fmt.Println("revoked  yes; it is given on once its holder can't act any more")
	}
	for _, s := range a.Sessions {
		if s.Id == l.Holder {
			fmt.Printf("life     %v, %v left unless renewed\n", time.Duration(s.LifeMs)*time.Millisecond, time.Duration(s.LeftMs)*time.Millisecond)
		}
	}
	for i, id := range l.Waiters {
		fmt.Printf("waits %d  %s\n", i+1, id)
	}
	return nil
}

type holdCommand struct {
	reach
	Name    string        `arg:""`
	Command []string      `arg:"" passthrough:"" help:"The command, after --."`
	As      string        `help:"This holder's name; default: host and process."`
	Life    time.Duration `default:"10s" help:"Of the session: how long the lease outlasts this process at the most."`
	Wait    time.Duration `help:"Give up when the lease is not had in this time; 0: wait for ever."`
	Grace   time.Duration `default:"2s" help:"From SIGTERM to SIGKILL when the lease is about to end."`
}

func (c holdCommand) Run(g *globals) error {
	if len(c.Command) > 0 && c.Command[0] == "--" {
		c.Command = c.Command[1:]
	}
	if len(c.Command) == 0 {
		return fmt.Errorf("lease hold %s: no command is named after --", c.Name)
	}
	if c.Grace < 0 || c.Grace > c.Life/2 {
		return fmt.Errorf("grace: %v is not from 0 to half of the life, %v", c.Grace, c.Life/2)
	}
	if c.As == "" {
		host, _ := os.Hostname()
		c.As = fmt.Sprintf("%s-%d", host, os.Getpid())
	}
	client, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: c.Coordinators, Life: c.Life, Log: g.log,
		Member: lease.Member{Kind: "task", Name: c.As, State: "lease hold " + c.Name}})
	if err != nil {
		return err
	}
	exit, err := leaseholder.Hold(g.ctx, client, c.Name, c.Command, c.Wait, c.Grace)
	last, done := context.WithTimeout(context.Background(), time.Second)
	client.Close(last)
	done()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exit)
	return nil
}

// taken is what revoke and release have in common.
type taken struct {
	reach
	Name  string `arg:""`
	Token uint64 `help:"Only the holder with this token; 0: whoever holds it."`
}

func (c taken) revoke(g *globals) (*leasepb.Outcome, error) {
	by := "operator"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	o, err := at(g, c.reach, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.Outcome, error) {
		return to.Revoke(ctx, &leasepb.RevokeAsk{Name: c.Name, Token: c.Token, By: by}, o)
	})
	if err != nil {
		return nil, err
	}
	switch lease.Status(o.Status) {
	case lease.Unknown:
		return nil, fmt.Errorf("lease %s: nobody holds it", c.Name)
	case lease.Stale:
		return nil, fmt.Errorf("lease %s: its token is not %d any more", c.Name, c.Token)
	}
	return o, nil
}

type revokeCommand struct{ taken }

func (c revokeCommand) Run(g *globals) error {
	o, err := c.revoke(g)
	if err == nil {
		fmt.Printf("lease %s, token %d: revoked\n", c.Name, o.Token)
	}
	return err
}

type releaseCommand struct{ taken }

func (c releaseCommand) Run(g *globals) error {
	o, err := c.revoke(g)
	if err != nil {
		return err
	}
	by := time.Now().Add(c.Timeout)
	for {
		a, err := list(g, c.reach)
		if err != nil {
			return err
		}
		if l := find(a, c.Name); l == nil || l.Token != o.Token || l.Holder == "" {
			fmt.Printf("lease %s, token %d: given back\n", c.Name, o.Token)
			return nil
		}
		if time.Now().After(by) {
			return fmt.Errorf("lease %s, token %d: revoked, and its holder has not said within %v that it stopped; it is given on when its life has passed", c.Name, o.Token, c.Timeout)
		}
		select {
		case <-g.ctx.Done():
			return g.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}
