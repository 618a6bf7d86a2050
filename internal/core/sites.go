package core

import (
	"time"

	"junctionring/control"
	"junctionring/sites"
)

// route returns the sites to which the next attempt of an exchange may go.
func (c *Core) route(h *heldExchange, remaining time.Duration) control.Reach {
	if c.sites == nil || h.VerdictOnly {
		return control.Reach{}
	}
	try := sites.Try{Class: h.Class, Elapsed: time.Since(h.receivedAt).Seconds(), Left: remaining.Seconds()}
	class := &c.classes[h.Class]
	switch {
	case h.EarlierRun != nil:
		try.Pinned, try.PinnedSite = true, h.EarlierRun.Placement.Site
	case h.mayHaveRun && class.BoundToGroup():
		try.Pinned, try.PinnedSite = true, h.ranAt.Site
	}
	h.verdict = c.sites.Route(c.now(), try)
	return h.verdict.Reach
}

// tickSites carries out the sites' timed actions.
func (c *Core) tickSites() {
	c.siteActions = c.sites.Tick(c.now(), c.siteActions[:0])
	for _, a := range c.siteActions {
		switch a := a.(type) {
		case sites.Probe:
			c.probeLink(a)
		case sites.Restored:
			c.handleEvent(control.LinkRestored{Site: a.Site})
		case sites.GiveUp:
			c.cancelSite(a.Site)
		case sites.Log:
			c.log.Info(a.Text)
		}
	}
}

func (c *Core) probeLink(a sites.Probe) {
	start := time.Now()
	if !c.egress.Probe(a.Server, duration(a.Within), func(s control.Status, _ []float64) {
		c.post(linkProbed{a.Server, s, time.Since(start).Seconds()})
	}) {
		c.selfMessages = append(c.selfMessages, linkProbed{a.Server, control.NotSent, 0})
	}
}

// cancelSite cancels the attempts in flight at a site whose link is down: their answers cannot arrive, and clients
// should not wait for them. Each attempt reports its end as usual, and control then decides what follows.
func (c *Core) cancelSite(site int) {
	for _, h := range c.held {
		for i, f := range h.flights {
			if f.Site == site {
				h.cancels[i]()
			}
		}
	}
}
