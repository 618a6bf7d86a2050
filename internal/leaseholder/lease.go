package leaseholder

import (
	"context"
	"sync/atomic"
	"time"

	"junctionring/lease"
)

// Lease is one lease that a client asked for.
type Lease struct {
	Name     string
	client   *Client
	grant    atomic.Pointer[grant]
	stopBy   atomic.Int64  // by when all that was done under it must have stopped, on the client's clock
	granted  chan struct{} // closed with the first grant
	lost     chan struct{} // closed when it was had, and is not any more
	cause    lease.Cause
	wanted   bool
	released chan struct{} // closed when the coordinators have taken it back
}

// grant is what a process may do now. It is replaced as a whole.
type grant struct {
	token      uint64
	validUntil time.Duration
}

// Token is what each act under the lease carries; ok is false when nothing may be done under it any more, and left
// is for how long it may be acted on if no renewal is answered from now on.
func (l *Lease) Token() (token uint64, remaining time.Duration, ok bool) {
	g := l.grant.Load()
	if g == nil {
		return 0, 0, false
	}
	remaining = g.validUntil - l.client.clock()
	return g.token, remaining, remaining > 0
}

// Left is how long what was begun under the lease may go on, also after it was revoked.
func (l *Lease) Left() time.Duration { return time.Duration(l.stopBy.Load()) - l.client.clock() }

// Lost is closed when the lease was lost or given back; Cause then says why.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Cause is why the lease ended. Valid once Lost is closed. After a revocation the process says with Release that all
// it did has stopped; until then, or for a life, nobody else is given the lease.
func (l *Lease) Cause() lease.Cause { return l.cause }

// Release gives the lease back. Nothing may be done under it from the call on. It returns when the coordinators have
// taken it, or ctx ends, and then they take it back with the session's life at the latest.
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
