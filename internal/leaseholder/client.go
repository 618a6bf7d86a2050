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
	lookEvery  = 50 * time.Millisecond // at the clock
	firstPause = 50 * time.Millisecond // before the next coordinator is tried, doubled with jitter
	longPause  = 2 * time.Second
	openWait   = 2 * time.Second // for the first answer of a coordinator
	mailbox    = 256

	electionLooks = 40 // in a life, at coordinators that know no leader yet; with jitter half as many
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

// ErrOver says that the client was closed, or that the coordinators turn its session down for good.
var ErrOver = errors.New("the lease client is closed")

// Client keeps one session, and a new one when that is lost.
type Client struct {
	o     Options
	rules lease.Timing
	clock func() time.Duration
	wall  func() time.Duration
	ask   chan any
	ended chan struct{}
	close context.CancelFunc

	// the actor's own
	h       *lease.Holder
	session string
	stream  *connection
	leases  map[string]*Lease
	turn    int
	leader  string
	pause   *backoff.ExponentialBackOff
	retry   <-chan time.Time // when the next coordinator is tried
	resend  <-chan time.Time // when the first ask is sent again
	asked   uint64           // the ask that is out on this stream
	closing chan struct{}
	fault   error  // why it ended; read once ended is closed
	renewal uint64 // the newest, and when it was sent
	sent    time.Duration
}

// messages to the actor
type (
	acquire struct{ l *Lease }
	release struct {
		l    *Lease
		done chan struct{}
	}
	report  struct{ m lease.Member }
	closing struct{ done chan struct{} }
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
	c := &Client{o: o, clock: o.Clock, ask: make(chan any, mailbox), ended: make(chan struct{}), leases: map[string]*Lease{},
		rules: lease.Timing{TTL: o.Life, Drift: o.Drift, Margin: o.Margin, MaxPause: o.Life / 2, MaxClockJump: o.Life / 4},
		pause: backoff.NewExponentialBackOff(), turn: rand.IntN(len(o.Coordinators))}
	if c.rules.Validity() < o.Life/4 {
		return nil, fmt.Errorf("life %v with a margin of %v and a drift of %g leaves %v to act in", o.Life, o.Margin, o.Drift, c.rules.Validity())
	}
	begun := time.Now()
	if c.clock == nil {
		c.clock = func() time.Duration { return time.Since(begun) }
	}
	c.wall = func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	c.pause.InitialInterval, c.pause.MaxInterval = firstPause, longPause
	ctx, c.close = context.WithCancel(ctx)
	go c.run(ctx)
	return c, nil
}

// Acquire asks for a lease and waits until this process has it. The ask stands until Release, or until ctx ends.
func (c *Client) Acquire(ctx context.Context, name string) (*Lease, error) {
	l := &Lease{Name: name, c: c, got: make(chan struct{}), lost: make(chan struct{})}
	if err := c.tell(ctx, acquire{l}); err != nil {
		return nil, err
	}
	select {
	case <-l.got:
		return l, nil
	case <-l.lost: // another ask of this process for the same name, or the client's end
		select {
		case <-c.ended:
			return nil, c.over()
		default:
		}
		return nil, fmt.Errorf("lease %s: %s", name, l.cause)
	case <-ctx.Done():
		c.tell(context.Background(), release{l, nil})
		return nil, ctx.Err()
	case <-c.ended:
		return nil, c.over()
	}
}

func (c *Client) over() error { return cmp.Or(c.fault, ErrOver) }

// Report tells the fleet how this member is.
func (c *Client) Report(ctx context.Context, m lease.Member) error { return c.tell(ctx, report{m}) }

// Close ends the session: what it holds is free at once for others. Nothing may be done under it from the call on.
func (c *Client) Close(ctx context.Context) {
	done := make(chan struct{})
	if c.tell(ctx, closing{done}) == nil {
		select {
		case <-done:
		case <-ctx.Done():
		case <-c.ended:
		}
	}
	c.close()
	<-c.ended
}

func (c *Client) tell(ctx context.Context, m any) error {
	select {
	case c.ask <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.ended:
		return c.over()
	}
}

// run is the actor.
func (c *Client) run(ctx context.Context) {
	look := time.NewTicker(lookEvery)
	renew := time.NewTicker(c.o.Life / 5)
	defer func() {
		look.Stop()
		renew.Stop()
		c.hangUp()
		close(c.ended)
		for _, l := range c.leases {
			l.end(lease.CauseReleased)
		}
	}()
	c.begin()
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
		case <-look.C:
			c.follow(c.h.Tick(c.clock(), c.wall(), nil))
		case <-renew.C:
			c.renew()
		case <-c.retry:
			c.retry = nil
			c.connect(ctx)
		case <-c.resend:
			c.resend = nil
			c.asked = 0
		case r := <-in:
			c.follow(c.h.Tick(c.clock(), c.wall(), nil)) // first: a pause ends the session, whatever was answered in it
			if c.stream == stream {                      // else the session that it was meant for is over
				c.received(r)
			}
		case err := <-failed:
			c.follow(c.h.Tick(c.clock(), c.wall(), nil))
			c.failed(stream, err)
		case m := <-c.ask:
			c.follow(c.h.Tick(c.clock(), c.wall(), nil))
			c.asks(m)
		}
		c.sendAsk()
		c.publish()
	}
}
