package leaseholder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
)

// Ask makes one call at whichever coordinator leads, as long as ctx lasts.
func Ask[T any](ctx context.Context, coordinators []string, call func(context.Context, leasepb.LeasesClient) (T, error)) (T, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longPause
	turn, leader := 0, ""
	var last error
	t, err := backoff.Retry(ctx, func() (t T, err error) {
		address := leader
		if leader = ""; address == "" {
			address = coordinators[turn%len(coordinators)]
			turn++
		}
		conn, err := leasepb.Dial(address)
		if err != nil {
			return t, backoff.Permanent(err)
		}
		defer conn.Close()
		one, done := context.WithTimeout(ctx, 5*time.Second)
		defer done()
		var trailer metadata.MD
		t, err = call(withTrailer(one, &trailer), leasepb.NewLeasesClient(conn))
		if at := trailer.Get("leader"); len(at) == 1 && at[0] != address {
			leader = at[0]
		}
		switch status.Code(err) {
		case codes.OK:
			return t, nil
		case codes.Unavailable, codes.DeadlineExceeded, codes.ResourceExhausted:
		case codes.FailedPrecondition:
			if len(trailer.Get("leader")) == 0 {
				return t, backoff.Permanent(errors.New(status.Convert(err).Message()))
			}
		default:
			return t, backoff.Permanent(errors.New(status.Convert(err).Message()))
		}
		last = fmt.Errorf("%s: %s", address, status.Convert(err).Message())
		return t, last
	}, backoff.WithBackOff(pause))
	if err != nil && ctx.Err() != nil && last != nil {
		err = fmt.Errorf("no coordinator answered in time; the last one tried: %w", last)
	}
	return t, err
}

type trailerKey struct{}

func withTrailer(ctx context.Context, md *metadata.MD) context.Context {
	return context.WithValue(ctx, trailerKey{}, md)
}

// Trailer is the option that a call made within Ask passes on, so that the leader's address comes back.
func Trailer(ctx context.Context) grpc.CallOption {
	if md, ok := ctx.Value(trailerKey{}).(*metadata.MD); ok {
		return grpc.Trailer(md)
	}
	return grpc.EmptyCallOption{}
}

// Backup fetches a whole backup of what the group keeps.
func Backup(ctx context.Context, coordinators []string) ([]byte, error) {
	return Ask(ctx, coordinators, func(ctx context.Context, to leasepb.LeasesClient) ([]byte, error) {
		s, err := to.Backup(ctx, &leasepb.BackupAsk{}, Trailer(ctx))
		if err != nil {
			return nil, err
		}
		var all []byte
		for {
			p, err := s.Recv()
			if err == io.EOF {
				return all, nil
			}
			if err != nil {
				return nil, err
			}
			all = append(all, p.Data...)
		}
	})
}
