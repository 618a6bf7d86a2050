package leaseholder

import (
	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

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
		c.h.Acquire(m.l.Name)
	case release:
		if c.leases[m.l.Name] != m.l || !m.l.wanted && c.h.Phase(m.l.Name) != lease.Revoked {
			if m.done != nil {
				close(m.done)
			}
			return
		}
		m.l.wanted, m.l.released = false, m.done
		c.follow(c.h.Release(m.l.Name, nil))
		m.l.end(lease.CauseReleased)
	case report:
		c.o.Member = m.m
		c.h.Report(m.m)
	case closing:
		c.closing = m.done
		for _, l := range c.leases {
			l.grant.Store(nil)
			l.wanted = false
			l.end(lease.CauseReleased)
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
				c.h.Release(a.Name, nil)
				continue
			}
			c.o.Log.Info("lease held", "lease", a.Name, "token", a.Token)
			until, _ := c.h.ValidUntil()
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
		case lease.SessionEnded:
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
	until, ok := c.h.ValidUntil()
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
