package leaseholder

import (
	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

// handleRequest handles a request that submit sent.
func (c *Client) handleRequest(m any) {
	switch m := m.(type) {
	case acquireRequest:
		if previous := c.leases[m.lease.Name]; previous != nil && previous.wanted {
			m.lease.end("already requested by this process")
			return
		} else if previous != nil && previous.released != nil {
			// Requests are handled in order: the release is applied before the new request.
			close(previous.released)
			previous.released = nil
		}
		m.lease.wanted = true
		c.leases[m.lease.Name] = m.lease
		c.holder.Acquire(m.lease.Name)
	case releaseRequest:
		if c.leases[m.lease.Name] != m.lease || !m.lease.wanted && c.holder.Phase(m.lease.Name) != lease.Revoked {
			if m.done != nil {
				close(m.done)
			}
			return
		}
		m.lease.wanted, m.lease.released = false, m.done
		c.perform(c.holder.Release(m.lease.Name, nil))
		m.lease.end(lease.CauseReleased)
	case reportRequest:
		c.options.Member = m.member
		c.holder.Report(m.member)
	case closeRequest:
		c.closing = m.done
		for _, l := range c.leases {
			l.grant.Store(nil)
			l.wanted = false
			l.end(lease.CauseReleased)
		}
		if c.stream == nil || !c.stream.send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Close{Close: true}}) {
			c.cancel() // the session ends when its TTL expires
		}
	}
}

// perform carries out the actions that the holder returned.
func (c *Client) perform(actions []any) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.Start:
			l := c.leases[a.Name]
			if l == nil || !l.wanted {
				c.holder.Release(a.Name, nil)
				continue
			}
			c.options.Log.Info("lease held", "lease", a.Name, "token", a.Token)
			until, _ := c.holder.ValidUntil()
			l.grant.Store(&grant{a.Token, until})
			l.stopBy.Store(int64(until))
			select {
			case <-l.granted:
			default:
				close(l.granted)
			}
		case lease.Stop:
			c.options.Log.Info("lease ended", "lease", a.Name, "token", a.Token, "cause", string(a.Cause))
			if l := c.leases[a.Name]; l != nil {
				l.wanted = false
				l.end(a.Cause)
			}
		case lease.SessionEnded:
			if c.closing != nil {
				close(c.closing)
				c.closing = nil
				c.cancel()
				return
			}
			c.options.Log.Warn("session ended; opening a new one", "session", c.session, "cause", string(a.Cause))
			for _, l := range c.leases {
				if l.released != nil {
					close(l.released)
					l.released = nil
				}
			}
			c.startSession()
		}
	}
}

// publishValidity updates until when the process's goroutines may act, and forgets leases that are fully released.
func (c *Client) publishValidity() {
	until, ok := c.holder.ValidUntil()
	for name, l := range c.leases {
		g := l.grant.Load()
		switch {
		case g == nil:
			if !l.wanted && l.released == nil && c.holder.Phase(name) == lease.None {
				delete(c.leases, name)
			}
		case ok && l.wanted && g.validUntil != until:
			l.grant.CompareAndSwap(g, &grant{g.token, until})
			l.stopBy.Store(int64(until))
		}
	}
}
