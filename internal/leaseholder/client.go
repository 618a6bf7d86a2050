// Package leaseholder is the client of the coordinators: it connects and reconnects, keeps a session alive, acquires
// and releases leases, and reports at any moment whether the process may act under them. It does not decide what a
// holder may do, and until when: package lease does.
package leaseholder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

const (
	clockCheckInterval = 50 * time.Millisecond // between two checks of the clocks
	minBackoff         = 50 * time.Millisecond // before the next coordinator is tried; grows exponentially with jitter
	maxBackoff         = 2 * time.Second
	firstAnswerTimeout = 2 * time.Second // for a coordinator's first answer on a stream
	mailboxSize        = 256

	electionRetries = 40 // per TTL, while the coordinators know no leader; the jitter can halve it
)

// Options holds the settings of a client.
type Options struct {
	Coordinators []string // host:port of all of them, in any order
	Member       lease.Member
	Life         time.Duration            // the session's TTL; 0: 10 s
	Drift        float64                  // the largest error of any clock's rate, as a fraction; 0: 0.01 (1 %)
	Margin       time.Duration            // by which the holder stops earlier than it must; 0: a tenth of the TTL
	Clock        func() time.Duration     // nil: the monotonic clock
	Via          map[string]string        // by coordinator address: what to dial instead; others are dialled as they are
	Renewed      func(took time.Duration) // called with each renewal's time from sending to answer, unless nil
	Log          *slog.Logger
}

// ErrClosed is returned once the client is closed or the coordinators have refused its session for good.
var ErrClosed = errors.New("the lease client is closed")

// Client keeps one session alive, and opens a new one when that is lost.
type Client struct {
	options   Options
	timing    lease.Timing
	clock     func() time.Duration
	wallClock func() time.Duration
	mailbox   chan any
	ended     chan struct{} // closed when the actor has returned
	cancel    context.CancelFunc

	// owned by the actor, which is run
	holder        *lease.Holder
	session       string
	stream        *connection
	leases        map[string]*Lease
	nextIndex     int
	leader        string
	backoff       *backoff.ExponentialBackOff
	retry         <-chan time.Time // fires when the next coordinator is tried
	resend        <-chan time.Time // fires when the first request is sent again
	sentSeq       uint64           // the request that was sent on this stream and is unanswered; 0: none
	closing       chan struct{}    // closed when the session that Close ends has ended; nil: Close was not called
	endErr        error            // why the client ended, if not with ErrClosed; read only after ended is closed
	lastRenewal   uint64           // number of the newest renewal; it was sent at lastRenewalAt
	lastRenewalAt time.Duration
}

// The requests to the actor.
type (
	acquireRequest struct{ lease *Lease }
	releaseRequest struct {
		lease *Lease
		done  chan struct{}
	}
	reportRequest struct{ member lease.Member }
	closeRequest  struct{ done chan struct{} }
)

// Start opens a session, and keeps it until ctx ends or Close is called.
func Start(ctx context.Context, o Options) (*Client, error) {
	if len(o.Coordinators) == 0 {
		return nil, errors.New("no coordinator address given")
	}
	if o.Life == 0 {
		o.Life = 10 * time.Second
	}
	if o.Drift == 0 {
		o.Drift = 0.01
	}
	if o.Margin == 0 {
		o.Margin = o.Life / 10
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	c := &Client{options: o, clock: o.Clock, mailbox: make(chan any, mailboxSize), ended: make(chan struct{}), leases: map[string]*Lease{},
		timing:  lease.Timing{TTL: o.Life, Drift: o.Drift, Margin: o.Margin, MaxPause: o.Life / 2, MaxClockJump: o.Life / 4},
		backoff: backoff.NewExponentialBackOff(), nextIndex: rand.IntN(len(o.Coordinators))}
	if c.timing.Validity() < o.Life/4 {
		return nil, fmt.Errorf("life %v with a margin of %v and a drift of %g leaves a validity of %v, less than a quarter of the life", o.Life, o.Margin, o.Drift, c.timing.Validity())
	}
	startedAt := time.Now()
	if c.clock == nil {
		c.clock = func() time.Duration { return time.Since(startedAt) }
	}
	c.wallClock = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	c.backoff.InitialInterval, c.backoff.MaxInterval = minBackoff, maxBackoff
	ctx, c.cancel = context.WithCancel(ctx)
	go c.run(ctx)
	return c, nil
}

// Acquire requests a lease and waits until this process holds it. The request stands until Release is called, or until
// ctx ends before the lease is held.
func (c *Client) Acquire(ctx context.Context, name string) (*Lease, error) {
	l := &Lease{Name: name, client: c, granted: make(chan struct{}), lost: make(chan struct{})}
	if err := c.submit(ctx, acquireRequest{l}); err != nil {
		return nil, err
	}
	select {
	case <-l.granted:
		return l, nil
	case <-l.lost: // this process has requested the same lease already, or the client has ended
		select {
		case <-c.ended:
			return nil, c.endError()
		default:
		}
		return nil, fmt.Errorf("lease %s: %s", name, l.cause)
	case <-ctx.Done():
		c.submit(context.Background(), releaseRequest{l, nil})
		return nil, ctx.Err()
	case <-c.ended:
		return nil, c.endError()
	}
}

// endError returns the reason why the client ended.
func (c *Client) endError() error { return cmp.Or(c.endErr, ErrClosed) }

// Report sends the coordinators the current description of this member.
func (c *Client) Report(ctx context.Context, m lease.Member) error {
	return c.submit(ctx, reportRequest{m})
}

// Close ends the session, so that its leases are free for others at once. From this call on the process must not act
// under them.
func (c *Client) Close(ctx context.Context) {
	done := make(chan struct{})
	if c.submit(ctx, closeRequest{done}) == nil {
		select {
		case <-done:
		case <-ctx.Done():
		case <-c.ended:
		}
	}
	c.cancel()
	<-c.ended
}

// submit sends the actor a request.
func (c *Client) submit(ctx context.Context, request any) error {
	select {
	case c.mailbox <- request:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ended:
		return c.endError()
	}
}

// run is the actor's loop. It ends with ctx.
func (c *Client) run(ctx context.Context) {
	clockTicker := time.NewTicker(clockCheckInterval)
	renewTicker := time.NewTicker(c.options.Life / 5)
	defer func() {
		clockTicker.Stop()
		renewTicker.Stop()
		c.disconnect()
		close(c.ended)
		for _, l := range c.leases {
			l.end(lease.CauseReleased)
		}
	}()
	c.startSession()
	for {
		var in <-chan *leasepb.ToHolder
		var failed <-chan error
		stream := c.stream
		if stream != nil {
			in, failed = stream.in, stream.failed
		}
		select {
		case <-ctx.Done():
			return
		case <-clockTicker.C:
			c.perform(c.holder.Tick(c.clock(), c.wallClock(), nil))
		case <-renewTicker.C:
			c.renew()
		case <-c.retry:
			c.retry = nil
			c.connect(ctx)
		case <-c.resend:
			c.resend = nil
			c.sentSeq = 0
		case message := <-in:
			// The clocks come first: a pause of the process ends the session, even if an answer came during it.
			c.perform(c.holder.Tick(c.clock(), c.wallClock(), nil))
			if c.stream == stream { // otherwise the session that the message is for has ended
				c.handleMessage(message)
			}
		case err := <-failed:
			c.perform(c.holder.Tick(c.clock(), c.wallClock(), nil))
			c.handleFailure(stream, err)
		case request := <-c.mailbox:
			c.perform(c.holder.Tick(c.clock(), c.wallClock(), nil))
			c.handleRequest(request)
		}
		c.sendRequest()
		c.publishValidity()
	}
}
