package control

// This file carries out what package hedge decides about hedged requests: second copies of slow requests. If
// the settings permit none, the Hedger is nil and nothing here has any effect.

import "junctionring/hedge"

// newHedger is the hedger for the classes of the settings; nil if none permits a copy.
func newHedger(s *Settings) *hedge.Hedger { return hedge.New(hedgeClasses(s)) }

// hedgeClasses states for each class whether two copies of a request may be in flight at once.
func hedgeClasses(s *Settings) []hedge.Class {
	classes := make([]hedge.Class, len(s.Classes))
	for i, c := range s.Classes {
		classes[i].Allowed = s.Limits.SecondCopies && s.Limits.MaxAttempts > 1 && c.Repeat == Safe && !c.Stream
	}
	return classes
}

// scheduleHedge registers the first attempt of a request, so that a copy may be sent later. A body that is
// forwarded while it is being received can't be sent to two servers.
func (g *Gateway) scheduleHedge(r *request) {
	if g.hedger == nil || len(r.attempts) > 1 || r.timeLeft > 0 {
		return
	}
	g.hedger.Sent(g.now, r.id, r.class)
	g.wakeBy(g.hedger.Next())
}

// sendDueHedges sends the copies that are due, as far as package hedge permits them.
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

// sendHedge sends a copy to another server of the site that serves the attempt in flight.
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

// atOpenLimit reports whether a customer's plan permits this gateway no further attempt in flight.
func (g *Gateway) atOpenLimit(c *customer) bool {
	return c.plan.Open > 0 && float64(c.attemptsInFlight+1) > max(1, float64(c.plan.Open)*g.share(c))
}

// isInFlightAt reports whether an attempt of the request is in flight at s.
func (r *request) isInFlightAt(s *server) bool {
	for _, a := range r.attempts {
		if a.server == s && !a.ended {
			return true
		}
	}
	return false
}

// recordHedgeTimes passes answer times to the hedger, and counts a first attempt that was slower than its
// copy towards the slowness of its server.
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
