package leaseholder

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

// Watch receives the changes of the fleet's membership.
type Watch struct {
	Coordinators []string
	Log          *slog.Logger
}

// ChangeWord returns a kind of change as one word for display.
func ChangeWord(k lease.ChangeKind) string {
	return map[lease.ChangeKind]string{lease.Joined: "joined", lease.Changed: "changed", lease.Left: "left", lease.Expired: "silent"}[k]
}

// Run passes each change to the callback, in order and none twice, until ctx ends. After a lost stream it passes the
// changes that were missed; if the coordinators no longer have those, it passes all current members, with whole set.
func (w Watch) Run(ctx context.Context, notify func(whole bool, changes []lease.Change)) error {
	if len(w.Coordinators) == 0 {
		return errors.New("no coordinator address given")
	}
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minBackoff, maxBackoff
	var lastSeq uint64
	started, nextIndex, leader := false, 0, ""
	for ctx.Err() == nil {
		address := leader
		if leader = ""; address == "" {
			address = w.Coordinators[nextIndex%len(w.Coordinators)]
			nextIndex++
		}
		var err error
		leader, err = w.receive(ctx, address, &leasepb.WatchAsk{After: lastSeq, Whole: !started}, func(a *leasepb.WatchAnswer) {
			started, lastSeq = true, a.Seq
			retryDelay.Reset()
			var changes []lease.Change
			for _, c := range a.Changes {
				changes = append(changes, lease.Change{Seq: c.Seq, Kind: lease.ChangeKind(c.Kind), Session: c.Session, Member: c.Member.LeaseMember()})
			}
			if a.Whole || len(changes) > 0 {
				notify(a.Whole, changes)
			}
		})
		if ctx.Err() == nil && leader == "" {
			w.Log.Warn("membership stream ended", "address", address, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay.NextBackOff()):
		}
	}
	return nil
}

// receive reads one stream until it ends, and returns the leader's address if the coordinator named another one.
func (w Watch) receive(ctx context.Context, address string, ask *leasepb.WatchAsk, handle func(*leasepb.WatchAnswer)) (leader string, err error) {
	conn, err := leasepb.Dial(address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := leasepb.NewLeasesClient(conn).Watch(ctx, ask)
	if err != nil {
		return "", err
	}
	for {
		answer, err := stream.Recv()
		if err != nil {
			return leaderOtherThan(stream.Trailer().Get("leader"), address), err
		}
		handle(answer)
	}
}

// leaderOtherThan returns the leader's address from a trailer, unless it is the address that was asked.
func leaderOtherThan(leaders []string, address string) string {
	if len(leaders) == 1 && leaders[0] != address {
		return leaders[0]
	}
	return ""
}
