package leaseholder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

// begin starts a session of a name that was never used.
func (c *Client) begin() {
	c.h = lease.NewHolder(c.rules)
	c.h.Tick(c.clock(), c.wall(), nil)
	c.session = fmt.Sprintf("%s-%016x", c.o.Member.Name, rand.Uint64())
	c.hangUp()
	for name, l := range c.leases {
		if l.wanted {
			c.h.Acquire(name)
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
		if c.clock()-c.stream.heard > c.rules.TTL*2/5 {
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
	a, ok := c.h.NextRequest()
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
		c.follow(c.h.ViewReceived(now, viewIn(is.Told), nil))
	case *leasepb.ToHolder_Gone:
		if c.closing == nil {
			c.o.Log.Warn("the coordinators ended the session", "session", c.session)
		}
		c.follow(c.h.SessionGone(nil))
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
