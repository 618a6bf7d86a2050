package leaseholder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
)

// Group is a client of a group of coordinators. It keeps its connections and the last known leader between calls, and
// is safe for concurrent use.
type Group struct {
	Coordinators []string          // host:port of all of them, in any order
	Via          map[string]string // by coordinator address: what to dial instead; others are dialled as they are
	Try          time.Duration     // time limit for one coordinator's answer before the next one is asked; 0: 5 s

	mu        sync.Mutex
	conns     map[string]*grpc.ClientConn
	leader    string
	nextIndex int
}

// NewGroup returns a client of the coordinators at these addresses.
func NewGroup(coordinators ...string) *Group { return &Group{Coordinators: coordinators} }

// Close closes the connections. A later call opens new ones.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.Close()
	}
	g.conns = nil
}

// nextCoordinator returns the coordinator to ask now, and a connection to it: the last known leader, or otherwise each
// coordinator in turn.
func (g *Group) nextCoordinator() (address string, conn *grpc.ClientConn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if address = g.leader; address == "" {
		if len(g.Coordinators) == 0 {
			return "", nil, errors.New("no coordinator address given")
		}
		address = g.Coordinators[g.nextIndex%len(g.Coordinators)]
		g.nextIndex++
	}
	if conn = g.conns[address]; conn == nil {
		if conn, err = leasepb.Dial(cmp.Or(g.Via[address], address)); err != nil {
			return "", nil, err
		}
		if g.conns == nil {
			g.conns = map[string]*grpc.ClientConn{}
		}
		g.conns[address] = conn
	}
	return address, conn, nil
}

// setLeader records the leader's address; empty: no leader is known.
func (g *Group) setLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
}

// Ask makes one call to the leading coordinator, whichever that is. It retries while no leader answers, until ctx
// ends.
func Ask[T any](ctx context.Context, g *Group, call func(context.Context, leasepb.LeasesClient) (T, error)) (T, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = minBackoff, maxBackoff
	var lastErr error
	t, err := backoff.Retry(ctx, func() (t T, err error) {
		address, conn, err := g.nextCoordinator()
		if err != nil {
			return t, backoff.Permanent(err)
		}
		callCtx, cancel := context.WithTimeout(ctx, cmp.Or(g.Try, 5*time.Second))
		defer cancel()
		var trailer metadata.MD
		t, err = call(withTrailer(callCtx, &trailer), leasepb.NewLeasesClient(conn))
		leader := trailer.Get("leader")
		switch code := status.Code(err); {
		case code == codes.OK:
			g.setLeader(address)
			return t, nil
		case len(leader) == 1 && leader[0] != address:
			g.setLeader(leader[0])
		case code != codes.ResourceExhausted:
			g.setLeader("")
		}
		switch status.Code(err) {
		case codes.Unavailable, codes.DeadlineExceeded, codes.ResourceExhausted:
		case codes.FailedPrecondition:
			if len(leader) == 0 {
				return t, backoff.Permanent(errors.New(status.Convert(err).Message()))
			}
		default:
			return t, backoff.Permanent(errors.New(status.Convert(err).Message()))
		}
		lastErr = fmt.Errorf("%s: %s", address, status.Convert(err).Message())
		return t, lastErr
	}, backoff.WithBackOff(retryDelay))
	if err != nil && ctx.Err() != nil && lastErr != nil {
		err = fmt.Errorf("no coordinator answered in time; the last one tried: %w", lastErr)
	}
	return t, err
}

type trailerKey struct{}

func withTrailer(ctx context.Context, md *metadata.MD) context.Context {
	return context.WithValue(ctx, trailerKey{}, md)
}

// Trailer returns the option that a call within Ask must be made with, so that Ask receives the leader's address.
func Trailer(ctx context.Context) grpc.CallOption {
	if md, ok := ctx.Value(trailerKey{}).(*metadata.MD); ok {
		return grpc.Trailer(md)
	}
	return grpc.EmptyCallOption{}
}

// Backup fetches a complete backup of the group's state.
func Backup(ctx context.Context, g *Group) ([]byte, error) {
	return Ask(ctx, g, func(ctx context.Context, client leasepb.LeasesClient) ([]byte, error) {
		stream, err := client.Backup(ctx, &leasepb.BackupAsk{}, Trailer(ctx))
		if err != nil {
			return nil, err
		}
		var data []byte
		for {
			part, err := stream.Recv()
			if err == io.EOF {
				return data, nil
			}
			if err != nil {
				return nil, err
			}
			data = append(data, part.Data...)
		}
	})
}
