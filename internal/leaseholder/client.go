// Package leaseholder is a process's side of the coordinators: a session kept alive, leases asked for and given
// back, and the word, at any moment, whether the process may act. It owns the connection and its reconnects; what a
// holder may do, and until when, package lease decides.
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
	clockCheckInterval = 50 * time.Millisecond // at the clock
	minBackoff         = 50 * time.Millisecond // before the next coordinator is tried, doubled with jitter
	maxBackoff         = 2 * time.Second
	firstAnswerTimeout = 2 * time.Second // for the first answer of a coordinator
	mailboxSize        = 256

	electionRetries = 40 // in a life, at coordinators that know no leader yet; with jitter half as many
)

// Options start a client.
type Options struct {
	Coordinators []string // host:port of all of them, in any order
	Member       lease.Member
	Life         time.Duration // of the session; 10 s where it is 0
	Drift        float64       // of any clock's rate; 1 % where it is 0
	Margin       time.Duration // by which it stops before it must; a tenth of the life where it is 0
	Clock        func() time.Duration
	Via          map[string]string        // where to dial for an address; others are dialled as they are
	Renewed      func(took time.Duration) // each renewal's time from sending to answer; nil: nobody wants to know
	Log          *slog.Logger
}

// ErrClosed says that the client was closed, or that the coordinators turn its session down for good.
var ErrClosed = errors.New("the lease client is closed")

// Client keeps one session, and a new one when that is lost.
type Client struct {
	options   Options
	timing    lease.Timing
	clock     func() time.Duration
	wallClock func() time.Duration
	mailbox   chan any
	ended     chan struct{}
	cancel    context.CancelFunc

	// the actor's own
	holder        *lease.Holder
	session       string
	stream        *connection
	leases        map[string]*Lease
	nextIndex     int
	leader        string
	backoff       *backoff.ExponentialBackOff
	retry         <-chan time.Time // when the next coordinator is tried
	resend        <-chan time.Time // when the first ask is sent again
	sentSeq       uint64           // the ask that is out on this stream
	closing       chan struct{}
	endErr        error  // why it ended; read once ended is closed
	lastRenewal   uint64 // the newest, and when it was sent
	lastRenewalAt time.Duration
}

// messages to the actor
type (
	acquireRequest struct{ lease *Lease }
	releaseRequest struct {
		lease *Lease
		done  chan struct{}
	}
	reportRequest struct{ member lease.Member }
	closeRequest  struct{ done chan struct{} }
)

// Start begins a session. It goes on until ctx ends or Close is called.
func Start(ctx context.Context, o Options) (*Client, error) {
	if len(o.Coordinators) == 0 {
		return nil, errors.New("no coordinator is named")
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
		return nil, fmt.Errorf("life %v with a margin of %v and a drift of %g leaves %v to act in", o.Life, o.Margin, o.Drift, c.timing.Validity())
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

// Acquire asks for a lease and waits until this process has it. The ask stands until Release, or until ctx ends.
func (c *Client) Acquire(ctx context.Context, name string) (*Lease, error) {
	l := &Lease{Name: name, client: c, granted: make(chan struct{}), lost: make(chan struct{})}
	if err := c.submit(ctx, acquireRequest{l}); err != nil {
		return nil, err
	}
	select {
	case <-l.granted:
		return l, nil
	case <-l.lost: // another ask of this process for the same name, or the client's end
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

func (c *Client) endError() error { return cmp.Or(c.endErr, ErrClosed) }

// Report tells the fleet how this member is.
func (c *Client) Report(ctx context.Context, m lease.Member) error {
	return c.submit(ctx, reportRequest{m})
}

// Close ends the session: what it holds is free at once for others. Nothing may be done under it from the call on.
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

// run is the actor.
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
			c.perform(c.holder.Tick(c.clock(), c.wallClock(), nil)) // first: a pause ends the session, whatever was answered in it
			if c.stream == stream {                                 // else the session that it was meant for is over
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
