package coordinator

import (
	"context"
	"errors"
	"slices"

	"go.etcd.io/raft/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/leaseholder"
	"junctionring/rollout"
)

// Change implements the Leases service: it proposes a command of the fleet and answers once the command is applied.
func (s service) Change(ctx context.Context, in *leasepb.FleetCommand) (*leasepb.FleetReply, error) {
	var c rollout.Command
	if err := decode(in.Command, &c); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "the command can't be read: %v", err)
	}
	if err := c.Check(); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if c.Op == rollout.MarkOverdue || c.Op == rollout.MarkLost {
		return nil, status.Errorf(codes.InvalidArgument, "%s is the coordinators' own word", c.Op)
	}
	return runInActor(ctx, s, func(n *Node, done func(*leasepb.FleetReply, error)) {
		switch {
		case n.expiry == nil:
			done(nil, errNotLeader)
			return
		case len(n.pendingFleet) >= n.c.Bounds.Asks:
			done(nil, status.Errorf(codes.ResourceExhausted, "too many changes are under way: come back in %v", busyRetryAfter))
			return
		}
		n.proposeFleet(c, func(r rollout.Reply, err error) {
			if errors.Is(err, raft.ErrProposalDropped) {
				err = status.Errorf(codes.ResourceExhausted, "the log is behind: come back in %v", busyRetryAfter)
			}
			done(&leasepb.FleetReply{Error: r.Error, Token: r.Token, Waits: r.Waits}, err)
		})
	})
}

// Fleet implements the Leases service: it returns the current state of units, permits, releases and drains, or the part
// that one unit's agent needs.
func (s service) Fleet(ctx context.Context, a *leasepb.FleetAsk) (*leasepb.FleetView, error) {
	return runAsLeader(ctx, s, func(n *Node) (*leasepb.FleetView, error) {
		if a.Unit != "" {
			return &leasepb.FleetView{Fleet: encode(n.g.Fleet.Brief(a.Unit))}, nil
		}
		view := *n.g.Fleet
		from := slices.IndexFunc(view.Notes, func(note rollout.Note) bool { return note.Seq > a.Seq })
		if view.Notes = nil; from >= 0 {
			view.Notes = n.g.Fleet.Notes[from:]
		}
		return &leasepb.FleetView{Fleet: encode(&view)}, nil
	})
}

// Change sends a command of the fleet to the leader of the group. It repeats the request if the answer is lost, since
// every command may be applied twice without harm.
func Change(ctx context.Context, g *leaseholder.Group, c rollout.Command) (rollout.Reply, error) {
	if err := c.Check(); err != nil {
		return rollout.Reply{}, err
	}
	raw := encode(c)
	out, err := leaseholder.Ask(ctx, g, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.FleetReply, error) {
		return to.Change(ctx, &leasepb.FleetCommand{Command: raw}, leaseholder.Trailer(ctx))
	})
	if err != nil {
		return rollout.Reply{}, err
	}
	return rollout.Reply{Error: out.Error, Token: out.Token, Waits: out.Waits}, nil
}

// Brief fetches the state that one unit's agent needs.
func Brief(ctx context.Context, g *leaseholder.Group, unit string) (b rollout.Brief, err error) {
	err = fetch(ctx, g, &leasepb.FleetAsk{Unit: unit}, &b)
	return b, err
}

// View fetches the state of the fleet, with the notes after the one numbered after.
func View(ctx context.Context, g *leaseholder.Group, after uint64) (*rollout.Fleet, error) {
	f := rollout.NewFleet()
	if err := fetch(ctx, g, &leasepb.FleetAsk{Seq: after}, f); err != nil {
		return nil, err
	}
	return f, nil
}

func fetch(ctx context.Context, g *leaseholder.Group, ask *leasepb.FleetAsk, into any) error {
	out, err := leaseholder.Ask(ctx, g, func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.FleetView, error) {
		return to.Fleet(ctx, ask, leaseholder.Trailer(ctx))
	})
	if err != nil {
		return err
	}
	return decode(out.Fleet, into)
}
