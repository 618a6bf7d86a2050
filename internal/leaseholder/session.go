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

// startSession starts a new session under a name that has never been used, and requests the wanted leases again.
func (c *Client) startSession() {
	c.holder = lease.NewHolder(c.timing)
	c.holder.Tick(c.clock(), c.wallClock(), nil)
	c.session = fmt.Sprintf("%s-%016x", c.options.Member.Name, rand.Uint64())
	c.disconnect()
	for name, l := range c.leases {
		if l.wanted {
			c.holder.Acquire(name)
		}
	}
	c.reconnectAfter(0)
}

// reconnectAfter schedules the next attempt to connect: after the delay that a coordinator asked for, soon if the
// leader is known, and with exponential backoff otherwise.
func (c *Client) reconnectAfter(delay time.Duration) {
	c.disconnect()
	if c.closing != nil { // the session ends when its TTL expires; a reconnect would extend it
		c.cancel()
		return
	}
	if c.retry == nil {
		if delay == 0 && c.leader != "" {
			delay = minBackoff/2 + rand.N(minBackoff)
		} else if delay == 0 {
			delay = c.backoff.NextBackOff()
		} else {
			delay += rand.N(delay) // jitter, since all clients were told the same delay
		}
		c.retry = time.After(delay)
	}
}

// disconnect closes the stream. An unanswered request is sent again on the next one.
func (c *Client) disconnect() {
	if c.stream != nil {
		c.stream.cancel()
		c.stream = nil
	}
	c.sentSeq, c.resend = 0, nil
}

// connect opens a stream to the leader if that is known, or otherwise to the next coordinator in turn.
func (c *Client) connect(ctx context.Context) {
	address := c.leader
	if c.leader = ""; address == "" {
		address = c.options.Coordinators[c.nextIndex%len(c.options.Coordinators)]
		c.nextIndex++
	}
	conn, err := openConnection(ctx, address, c.options.Via)
	if err != nil {
		c.reconnectAfter(0)
		return
	}
	c.stream = conn
	m := c.options.Member
	conn.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Open{Open: &leasepb.Open{Session: c.session, LifeMs: c.options.Life.Milliseconds(),
		Renew: c.holder.Renew(c.clock()), Member: leasepb.FromMember(m)}}})
}

func (c *Client) renew() {
	if c.stream != nil && c.stream.sessionOpen {
		// A stream that has delivered nothing for this part of the TTL is considered dead.
		if c.clock()-c.stream.lastReceived > c.timing.TTL*2/5 {
			c.options.Log.Warn("coordinator does not answer; reconnecting", "address", c.stream.address)
			c.reconnectAfter(0)
			return
		}
		c.lastRenewalAt = c.clock()
		c.lastRenewal = c.holder.Renew(c.lastRenewalAt)
		if !c.stream.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Renew{Renew: c.lastRenewal}}) {
			c.reconnectAfter(0)
		}
	}
}

// sendRequest sends the holder's next request, unless it was sent on this stream already.
func (c *Client) sendRequest() {
	a, ok := c.holder.NextRequest()
	if !ok || c.stream == nil || !c.stream.sessionOpen || c.sentSeq == a.Seq {
		return
	}
	c.sentSeq = a.Seq
	m := a.Member
	if !c.stream.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Ask{Ask: &leasepb.Ask{Seq: a.Seq, Op: uint32(a.Op), Name: a.Name, Token: a.Token,
		Member: leasepb.FromMember(m)}}}) {
		c.reconnectAfter(0)
	}
}

// handleFailure handles the end of a connection, after the messages that arrived on it before.
func (c *Client) handleFailure(conn *connection, err error) {
	for c.stream == conn {
		select {
		case m := <-conn.in:
			c.handleMessage(m)
			continue
		default:
		}
		if status.Code(err) == codes.InvalidArgument {
			c.endErr = fmt.Errorf("%w: the coordinators refused the session: %s", ErrClosed, status.Convert(err).Message())
			c.disconnect()
			c.cancel()
			return
		}
		c.options.Log.Info("connection to coordinator ended", "address", conn.address, "err", err)
		c.reconnectAfter(0)
	}
}

// handleMessage handles a coordinator's message.
func (c *Client) handleMessage(m *leasepb.ToHolder) {
	now := c.clock()
	c.stream.lastReceived = now
	switch is := m.Is.(type) {
	case *leasepb.ToHolder_Renewed:
		c.stream.sessionOpen = true
		if c.options.Renewed != nil && is.Renewed.Renew == c.lastRenewal {
			c.options.Renewed(now - c.lastRenewalAt)
		}
		c.backoff.Reset()
		c.perform(c.holder.Renewed(now, is.Renewed.Renew, viewFromProto(is.Renewed.View), nil))
	case *leasepb.ToHolder_Answered:
		o := lease.Outcome{Status: lease.Status(is.Answered.Outcome.GetStatus()), Token: is.Answered.Outcome.GetToken(), Place: int(is.Answered.Outcome.GetPlace())}
		c.perform(c.holder.Answered(now, is.Answered.Seq, o, viewFromProto(is.Answered.View), nil))
		if o.Status != lease.Full {
			c.sentSeq = 0
		}
	case *leasepb.ToHolder_Told:
		c.perform(c.holder.ViewReceived(now, viewFromProto(is.Told), nil))
	case *leasepb.ToHolder_Gone:
		if c.closing == nil {
			c.options.Log.Warn("coordinators ended the session", "session", c.session)
		}
		c.perform(c.holder.SessionGone(nil))
	case *leasepb.ToHolder_Busy:
		after := time.Duration(is.Busy.RetryAfterMs) * time.Millisecond
		c.options.Log.Warn("coordinators are busy; retrying later", "why", is.Busy.Why, "after", after)
		if c.stream.sessionOpen {
			c.resend = time.After(after + rand.N(after+1))
		} else {
			c.reconnectAfter(after)
		}
	case *leasepb.ToHolder_NotLeading:
		if c.leader = is.NotLeading.Leader; c.leader == c.stream.address {
			c.leader = ""
		}
		if c.leader == "" && c.closing == nil { // an election is in progress, and ends long before the TTL does
			c.reconnectAfter(c.options.Life / electionRetries)
		} else {
			c.reconnectAfter(0)
		}
	}
	for _, l := range c.leases { // the coordinators have confirmed these releases
		if l.released != nil && c.holder.Phase(l.Name) == lease.None {
			close(l.released)
			l.released = nil
		}
	}
}
