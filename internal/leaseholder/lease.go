package leaseholder

import (
	"context"
	"sync/atomic"
	"time"

	"junctionring/lease"
)

// Lease is one lease that a client has requested.
type Lease struct {
	Name     string
	client   *Client
	grant    atomic.Pointer[grant]
	stopBy   atomic.Int64  // when all actions under the lease must have stopped, on the client's clock
	granted  chan struct{} // closed when the lease is granted for the first time
	lost     chan struct{} // closed when the lease has ended, or its request failed
	cause    lease.Cause
	wanted   bool          // requested, and neither released nor lost since
	released chan struct{} // closed when the release is applied, the session ended, or the lease is requested again
}

// grant is what allows the process to act now. It is immutable, and replaced as a whole.
type grant struct {
	token      uint64
	validUntil time.Duration
}

// Token returns the fencing token that each action under the lease carries, and for how much longer the process may
// act if no further renewal is answered. ok is false once the process may no longer act.
func (l *Lease) Token() (token uint64, remaining time.Duration, ok bool) {
	g := l.grant.Load()
	if g == nil {
		return 0, 0, false
	}
	remaining = g.validUntil - l.client.clock()
	return g.token, remaining, remaining > 0
}

// Left returns for how much longer an action that began under the lease may continue, also after a revocation.
func (l *Lease) Left() time.Duration { return time.Duration(l.stopBy.Load()) - l.client.clock() }

// Lost returns a channel that is closed when the lease is lost or released; Cause then returns the reason.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Cause returns why the lease ended. It is valid once Lost is closed. After a revocation the process confirms with
// Release that all its actions have stopped; until then, or until a TTL has passed, no other session is granted the
// lease.
func (l *Lease) Cause() lease.Cause { return l.cause }

// Release gives up the lease. From this call on the process must not act under it. Release returns when the
// coordinators have applied it, or when ctx ends; in the latter case they free the lease when the session's TTL
// expires at the latest.
func (l *Lease) Release(ctx context.Context) error {
	l.grant.Store(nil)
	done := make(chan struct{})
	if err := l.client.submit(ctx, releaseRequest{l, done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.client.ended:
		return l.client.endError()
	}
}

func (l *Lease) end(cause lease.Cause) {
	l.grant.Store(nil)
	select {
	case <-l.lost:
	default:
		l.cause = cause
		close(l.lost)
	}
}
