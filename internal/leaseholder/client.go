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
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

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
	rules lease.Rules
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

// Lease is one lease that a client asked for.
type Lease struct {
	Name     string
	c        *Client
	grant    atomic.Pointer[grant]
	last     atomic.Int64  // by when all that was done under it must have stopped, on the client's clock
	got      chan struct{} // closed with the first grant
	lost     chan struct{} // closed when it was had, and is not any more
	cause    lease.Cause
	wanted   bool
	released chan struct{} // closed when the coordinators have taken it back
}

// grant is what a process may do now. It is replaced as a whole.
type grant struct {
	token uint64
	until time.Duration
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
		rules: lease.Rules{Life: o.Life, Drift: o.Drift, Margin: o.Margin, Pause: o.Life / 2, Jump: o.Life / 4},
		pause: backoff.NewExponentialBackOff(), turn: rand.IntN(len(o.Coordinators))}
	if c.rules.Span() < o.Life/4 {
		return nil, fmt.Errorf("life %v with a margin of %v and a drift of %g leaves %v to act in", o.Life, o.Margin, o.Drift, c.rules.Span())
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

// Token is what each act under the lease carries; ok is false when nothing may be done under it any more, and left
// is for how long it may be acted on if no renewal is answered from now on.
func (l *Lease) Token() (token uint64, left time.Duration, ok bool) {
	g := l.grant.Load()
	if g == nil {
		return 0, 0, false
	}
	left = g.until - l.c.clock()
	return g.token, left, left > 0
}

// Left is how long what was begun under the lease may go on, also after it was revoked.
func (l *Lease) Left() time.Duration { return time.Duration(l.last.Load()) - l.c.clock() }

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
	if err := l.c.tell(ctx, release{l, done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.c.ended:
		return l.c.over()
	}
}

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
			l.end(lease.Asked)
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

// begin starts a session of a name that was never used.
func (c *Client) begin() {
	c.h = lease.NewHolder(c.rules)
	c.h.Tick(c.clock(), c.wall(), nil)
	c.session = fmt.Sprintf("%s-%016x", c.o.Member.Name, rand.Uint64())
	c.hangUp()
	for name, l := range c.leases {
		if l.wanted {
			c.h.Want(name)
		}
	}
	c.again(0)
}

// again tries the next coordinator after a pause that grows, or one that was told.
func (c *Client) again(after time.Duration) {
	c.hangUp()
	if c.closing != nil { // its life ends the session; opened again it would live on
		c.close()
		return
	}
	if c.retry == nil {
		if after == 0 && c.leader != "" {
			after = firstPause/2 + rand.N(firstPause)
		} else if after == 0 {
			after = c.pause.NextBackOff()
		} else {
			after += rand.N(after) // they all were told the same
		}
		c.retry = time.After(after)
	}
}

func (c *Client) hangUp() {
	if c.stream != nil {
		c.stream.end()
		c.stream = nil
	}
	c.asked, c.resend = 0, nil
}

func (c *Client) connect(ctx context.Context) {
	address := c.leader
	if c.leader = ""; address == "" {
		address = c.o.Coordinators[c.turn%len(c.o.Coordinators)]
		c.turn++
	}
	s, err := open(ctx, address, c.o.Via)
	if err != nil {
		c.again(0)
		return
	}
	c.stream = s
	m := c.o.Member
	s.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Open{Open: &leasepb.Open{Session: c.session, LifeMs: c.o.Life.Milliseconds(),
		Renew: c.h.Renew(c.clock()), Member: leasepb.FromMember(m)}}})
}

func (c *Client) renew() {
	if c.stream != nil && c.stream.opened {
		// A stream that has answered nothing for most of a life is of no use.
		if c.clock()-c.stream.heard > c.rules.Life*2/5 {
			c.o.Log.Warn("the coordinator is silent", "address", c.stream.address)
			c.again(0)
			return
		}
		c.sent = c.clock()
		c.renewal = c.h.Renew(c.sent)
		if !c.stream.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Renew{Renew: c.renewal}}) {
			c.again(0)
		}
	}
}

func (c *Client) sendAsk() {
	a, ok := c.h.Next()
	if !ok || c.stream == nil || !c.stream.opened || c.asked == a.Seq {
		return
	}
	c.asked = a.Seq
	m := a.Member
	if !c.stream.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Ask{Ask: &leasepb.Ask{Seq: a.Seq, Op: uint32(a.Op), Name: a.Name, Token: a.Token,
		Member: leasepb.FromMember(m)}}}) {
		c.again(0)
	}
}

// failed takes in that a connection ended, after what it said before that.
func (c *Client) failed(s *connection, err error) {
	for c.stream == s {
		select {
		case m := <-s.in:
			c.received(m)
			continue
		default:
		}
		if status.Code(err) == codes.InvalidArgument {
			c.fault = fmt.Errorf("%w: the coordinators turn its session down: %s", ErrOver, status.Convert(err).Message())
			c.hangUp()
			c.close()
			return
		}
		c.o.Log.Info("the connection to a coordinator ended", "address", s.address, "err", err)
		c.again(0)
	}
}

func (c *Client) received(m *leasepb.ToHolder) {
	now := c.clock()
	c.stream.heard = now
	switch is := m.Is.(type) {
	case *leasepb.ToHolder_Renewed:
		c.stream.opened = true
		if c.o.Renewed != nil && is.Renewed.Renew == c.renewal {
			c.o.Renewed(now - c.sent)
		}
		c.pause.Reset()
		c.follow(c.h.Renewed(now, is.Renewed.Renew, viewIn(is.Renewed.View), nil))
	case *leasepb.ToHolder_Answered:
		o := lease.Outcome{Status: lease.Status(is.Answered.Outcome.GetStatus()), Token: is.Answered.Outcome.GetToken(), Place: int(is.Answered.Outcome.GetPlace())}
		c.follow(c.h.Answered(now, is.Answered.Seq, o, viewIn(is.Answered.View), nil))
		if o.Status != lease.Full {
			c.asked = 0
		}
	case *leasepb.ToHolder_Told:
		c.follow(c.h.Told(now, viewIn(is.Told), nil))
	case *leasepb.ToHolder_Gone:
		if c.closing == nil {
			c.o.Log.Warn("the coordinators ended the session", "session", c.session)
		}
		c.follow(c.h.Gone(nil))
	case *leasepb.ToHolder_Busy:
		after := time.Duration(is.Busy.RetryAfterMs) * time.Millisecond
		c.o.Log.Warn("the coordinators are busy", "why", is.Busy.Why, "after", after)
		if c.stream.opened {
			c.resend = time.After(after + rand.N(after+1))
		} else {
			c.again(after)
		}
	case *leasepb.ToHolder_NotLeading:
		if c.leader = is.NotLeading.Leader; c.leader == c.stream.address {
			c.leader = ""
		}
		if c.leader == "" && c.closing == nil { // an election is on: it is over long before the life is
			c.again(c.o.Life / electionLooks)
		} else {
			c.again(0)
		}
	}
	for _, l := range c.leases { // what is given back is known to be so
		if l.released != nil && c.h.Phase(l.Name) == lease.None {
			close(l.released)
			l.released = nil
		}
	}
}

func (c *Client) asks(m any) {
	switch m := m.(type) {
	case acquire:
		if old := c.leases[m.l.Name]; old != nil && old.wanted {
			m.l.end("this process asked for it already")
			return
		} else if old != nil && old.released != nil { // taken back before what is asked now is looked at
			close(old.released)
			old.released = nil
		}
		m.l.wanted = true
		c.leases[m.l.Name] = m.l
		c.h.Want(m.l.Name)
	case release:
		if c.leases[m.l.Name] != m.l || !m.l.wanted && c.h.Phase(m.l.Name) != lease.Withdrawn {
			if m.done != nil {
				close(m.done)
			}
			return
		}
		m.l.wanted, m.l.released = false, m.done
		c.follow(c.h.Drop(m.l.Name, nil))
		m.l.end(lease.Asked)
	case report:
		c.o.Member = m.m
		c.h.Say(m.m)
	case closing:
		c.closing = m.done
		for _, l := range c.leases {
			l.grant.Store(nil)
			l.wanted = false
			l.end(lease.Asked)
		}
		if c.stream == nil || !c.stream.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Close{Close: true}}) {
			c.close() // its life ends it
		}
	}
}

// follow carries out what the holder decided.
func (c *Client) follow(do []any) {
	for _, a := range do {
		switch a := a.(type) {
		case lease.Start:
			l := c.leases[a.Name]
			if l == nil || !l.wanted {
				c.h.Drop(a.Name, nil)
				continue
			}
			c.o.Log.Info("lease held", "lease", a.Name, "token", a.Token)
			until, _ := c.h.Until()
			l.grant.Store(&grant{a.Token, until})
			l.last.Store(int64(until))
			select {
			case <-l.got:
			default:
				close(l.got)
			}
		case lease.Stop:
			c.o.Log.Info("lease ended", "lease", a.Name, "token", a.Token, "cause", string(a.Cause))
			if l := c.leases[a.Name]; l != nil {
				l.wanted = false
				l.end(a.Cause)
			}
		case lease.Over:
			if c.closing != nil {
				close(c.closing)
				c.closing = nil
				c.close()
				return
			}
			c.o.Log.Warn("session over: a new one begins", "session", c.session, "cause", string(a.Cause))
			for _, l := range c.leases {
				if l.released != nil {
					close(l.released)
					l.released = nil
				}
			}
			c.begin()
		}
	}
}

// publish tells the process's own threads until when they may act.
func (c *Client) publish() {
	until, ok := c.h.Until()
	for name, l := range c.leases {
		g := l.grant.Load()
		switch {
		case g == nil:
			if !l.wanted && l.released == nil && c.h.Phase(name) == lease.None {
				delete(c.leases, name)
			}
		case ok && l.wanted && g.until != until:
			l.grant.CompareAndSwap(g, &grant{g.token, until})
			l.last.Store(int64(until))
		}
	}
}

func (l *Lease) end(why lease.Cause) {
	l.grant.Store(nil)
	select {
	case <-l.lost:
	default:
		l.cause = why
		close(l.lost)
	}
}

func viewIn(v *leasepb.View) (out lease.View) {
	out.Rev = v.GetRev()
	for _, g := range v.GetHeld() {
		out.Held = append(out.Held, lease.Grant{Name: g.Name, Token: g.Token})
	}
	for _, p := range v.GetPlaces() {
		out.Places = append(out.Places, lease.Place{Name: p.Name, Before: int(p.Before)})
	}
	return out
}

// connection is one stream to a coordinator. Its writer and its reader wait for the network; the client never does.
type connection struct {
	address string
	in      chan *leasepb.ToHolder
	failed  chan error
	out     chan *leasepb.FromHolder
	end     context.CancelFunc
	opened  bool // it has answered
	heard   time.Duration
}

func open(ctx context.Context, address string, via map[string]string) (*connection, error) {
	conn, err := leasepb.Dial(cmp.Or(via[address], address))
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(ctx)
	c := &connection{address: address, in: make(chan *leasepb.ToHolder, 16), failed: make(chan error, 1), out: make(chan *leasepb.FromHolder, 16), end: end}
	go func() {
		defer conn.Close()
		defer end()
		late := time.AfterFunc(openWait, end)
		g, err := leasepb.NewLeasesClient(conn).Session(ctx)
		if err != nil {
			late.Stop()
			c.failed <- err
			return
		}
		go func() {
			for {
				select {
				case m := <-c.out:
					if g.Send(m) != nil {
						return // the reader is told why
					}
				case <-ctx.Done():
					return
				}
			}
		}()
		for {
			m, err := g.Recv()
			late.Stop()
			if err != nil {
				c.failed <- err
				return
			}
			select {
			case c.in <- m:
			case <-ctx.Done():
				c.failed <- ctx.Err()
				return
			}
		}
	}()
	return c, nil
}

func (c *connection) send(m *leasepb.FromHolder) bool {
	select {
	case c.out <- m:
		return true
	default:
		return false // it doesn't read
	}
}
