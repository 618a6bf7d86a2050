package control

// Second copies of slow requests: what package hedge decides, carried out. Where the settings allow none the Hedger is
// nil, and nothing here has any effect.

import "junctionring/hedge"

func newHedger(s *Settings) *hedge.Hedger { return hedge.New(hedgeClasses(s)) }

// hedgeClasses tells of each class whether two copies of a request may be out at once.
func hedgeClasses(s *Settings) []hedge.Class {
	classes := make([]hedge.Class, len(s.Classes))
	for i, c := range s.Classes {
		classes[i].Allowed = s.Limits.SecondCopies && s.Limits.MaxAttempts > 1 && c.Repeat == Safe && !c.Stream
	}
	return classes
}

// awaitCopy notes the first attempt of a request, of which a copy may be sent later. A body that is sent on as it comes
// in can't be sent to two servers.
func (g *Gateway) scheduleHedge(r *request) {
	if g.hedger == nil || len(r.attempts) > 1 || r.timeLeft > 0 {
		return
	}
	g.hedger.Sent(g.now, r.id, r.class)
	g.wakeBy(g.hedger.Next())
}

// sendCopies sends the copies that are due, where package hedge allows them.
func (g *Gateway) sendDueHedges() {
	if g.hedger == nil {
		return
	}
	for _, id := range g.hedger.Due(g.now) {
		if r := g.requests[id]; r != nil && !r.closed && r.inFlight == 1 &&
			len(r.attempts) < g.settings.Limits.MaxAttempts {
			g.sendHedge(r)
		}
	}
	g.wakeBy(g.hedger.Next())
}

// sendCopy sends a copy to another server of the site at which the attempt that is out is being served.
func (g *Gateway) sendHedge(r *request) {
	pool := r.attempts[len(r.attempts)-1].server.pool
	aimEnds := r.attempts[0].sentAt + g.settings.Classes[r.class].Aim
	if !g.hedger.Allow(hedge.Conditions{
		Overload: pool.overload,
		Left:     min(aimEnds, r.deadline) - g.now,
		Typical:  pool.classes[r.class].typicalTime,
		Capped:   g.atOpenLimit(r.customer),
	}) {
		return
	}
	if s := g.chooseServer(r, pool, false); s != nil {
		g.hedger.Spend()
		g.send(r, s)
	}
}

// capped tells whether a customer's plan leaves this gateway no further attempt of it.
func (g *Gateway) atOpenLimit(c *customer) bool {
	return c.plan.Open > 0 && float64(c.openAttempts+1) > max(1, float64(c.plan.Open)*g.share(c))
}

// isOutAt tells whether an attempt of the request is out at s.
func (r *request) isInFlightAt(s *server) bool {
	for _, a := range r.attempts {
		if a.server == s && !a.ended {
			return true
		}
	}
	return false
}

// timeCopies learns how long answers take, and what a copy that was faster tells of the server of the first attempt.
func (g *Gateway) recordHedgeTimes(r *request, a *attempt, status Status) {
	elapsed := g.now - a.sentAt
	beaten := status == Cancelled && len(r.attempts) > 1 && a == r.attempts[0]
	if status == OK || status == Timeout || beaten {
		g.hedger.Answered(r.class, elapsed)
	}
	if status == OK && r.inFlight > 0 && g.hedger != nil {
		g.hedger.Judged(a != r.attempts[0])
	}
	if beaten {
		typicalTime := a.server.pool.classes[r.class].typicalTime
		a.server.slowness += (min(elapsed/typicalTime, 20) - a.server.slowness) * sampleWeight
	}
}
