package core

import (
	"time"

	"junctionring/control"
	"junctionring/sites"
)

// route asks which sites an exchange may go to with its next attempt.
func (c *Core) route(h *held, rest time.Duration) control.Reach {
	if c.sites == nil || h.DecisionOnly {
		return control.Reach{}
	}
	t := sites.Try{Class: h.Class, Elapsed: time.Since(h.came).Seconds(), Left: rest.Seconds(), Bound: h.Pinned, At: h.PinnedSite}
	class := &c.classes[h.Class]
	if h.mayRan && class.Repeat == control.Keyed && class.Group != control.GroupAll {
		t.Bound, t.At = true, h.ranAt
	}
	h.verdict = c.sites.Route(c.now(), t)
	return h.verdict.Reach
}

// tick carries out what time alone calls for.
func (c *Core) tick() {
	c.todo = c.sites.Tick(c.now(), c.todo[:0])
	for _, a := range c.todo {
		switch a := a.(type) {
		case sites.Probe:
			c.probeLink(a)
		case sites.Restored:
			c.feed(control.Restored{Site: a.Site})
		case sites.GiveUp:
			c.giveUp(a.Site)
		case sites.Log:
			c.log.Info(a.Text)
		}
	}
}

func (c *Core) probeLink(a sites.Probe) {
	asked := time.Now()
	if !c.egress.Probe(a.Server, duration(a.Within), func(s control.Status, _ []float64) {
		c.post(probed{a.Server, s, time.Since(asked).Seconds()})
	}) {
		c.later = append(c.later, probed{a.Server, control.Moot, 0})
	}
}

// giveUp calls off what is out at a site whose link is down: a client is not to wait for what cannot come. Each
// attempt reports its end as usual, and control then decides on what follows.
func (c *Core) giveUp(site int) {
	for _, h := range c.held {
		for i, f := range h.flights {
			if f.Site == site {
				h.cancels[i]()
			}
		}
	}
}
