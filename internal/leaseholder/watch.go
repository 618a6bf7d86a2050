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

// Watch follows the fleet's membership.
type Watch struct {
	Coordinators []string
	Log          *slog.Logger
}

// ChangeWord is a change in a word.
func ChangeWord(k lease.ChangeKind) string {
	return map[lease.ChangeKind]string{lease.Joined: "joined", lease.Changed: "changed", lease.Left: "left", lease.Expired: "silent"}[k]
}

// Run tells each change in order, none twice, until ctx ends. After a stream was lost, what was missed is told; where
// that is not known any more, everybody who is there (whole).
func (w Watch) Run(ctx context.Context, tell func(whole bool, changes []lease.Change)) error {
	if len(w.Coordinators) == 0 {
		return errors.New("no coordinator is named")
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longPause
	var newest uint64
	begun, turn, leader := false, 0, ""
	for ctx.Err() == nil {
		address := leader
		if leader = ""; address == "" {
			address = w.Coordinators[turn%len(w.Coordinators)]
			turn++
		}
		var err error
		leader, err = w.follow(ctx, address, &leasepb.WatchAsk{After: newest, Whole: !begun}, func(a *leasepb.WatchAnswer) {
			begun, newest = true, a.Seq
			pause.Reset()
			var changes []lease.Change
			for _, c := range a.Changes {
				changes = append(changes, lease.Change{Seq: c.Seq, Kind: lease.ChangeKind(c.Kind), Session: c.Session, Member: c.Member.LeaseMember()})
			}
			if a.Whole || len(changes) > 0 {
				tell(a.Whole, changes)
			}
		})
		if ctx.Err() == nil && leader == "" {
			w.Log.Warn("the stream of members ended", "address", address, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
	return nil
}

// follow keeps one stream until it ends, and returns where the leader is, where it was told.
func (w Watch) follow(ctx context.Context, address string, ask *leasepb.WatchAsk, take func(*leasepb.WatchAnswer)) (leader string, err error) {
	conn, err := leasepb.Dial(address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	ctx, end := context.WithCancel(ctx)
	defer end()
	s, err := leasepb.NewLeasesClient(conn).Watch(ctx, ask)
	if err != nil {
		return "", err
	}
	for {
		a, err := s.Recv()
		if err != nil {
			return first(s.Trailer().Get("leader"), address), err
		}
		take(a)
	}
}

func first(words []string, not string) string {
	if len(words) == 1 && words[0] != not {
		return words[0]
	}
	return ""
}
