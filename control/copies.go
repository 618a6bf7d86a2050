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
func (g *Gateway) awaitCopy(r *request) {
	if g.hedges == nil || len(r.attempts) > 1 || r.wait > 0 {
		return
	}
	g.hedges.Sent(g.now, r.id, r.class)
	g.wake(g.hedges.Next())
}

// sendCopies sends the copies that are due, where package hedge allows them.
func (g *Gateway) sendCopies() {
	if g.hedges == nil {
		return
	}
	for _, id := range g.hedges.Due(g.now) {
		if r := g.requests[id]; r != nil && !r.closed && r.out == 1 && len(r.attempts) < g.set.Limits.MaxAttempts {
			g.sendCopy(r)
		}
	}
	g.wake(g.hedges.Next())
}

// sendCopy sends a copy to another server of the site at which the attempt that is out is being served.
func (g *Gateway) sendCopy(r *request) {
	pool := r.attempts[len(r.attempts)-1].server.pool
	worthless := r.attempts[0].sent + g.set.Classes[r.class].Aim
	if !g.hedges.Allow(hedge.Conditions{
		Overload: pool.press,
		Left:     min(worthless, r.deadline) - g.now,
		Typical:  pool.classes[r.class].typical,
		Capped:   g.capped(r.customer),
	}) {
		return
	}
	if s := g.choose(r, pool, false); s != nil {
		g.hedges.Spend()
		g.send(r, s)
	}
}

// capped tells whether a customer's plan leaves this gateway no further attempt of it.
func (g *Gateway) capped(c *customer) bool {
	return c.plan.Open > 0 && float64(c.open+1) > max(1, float64(c.plan.Open)*g.share(c))
}

// isOutAt tells whether an attempt of the request is out at s.
func (r *request) isOutAt(s *server) bool {
	for _, a := range r.attempts {
		if a.server == s && !a.ended {
			return true
		}
	}
	return false
}

// timeCopies learns how long answers take, and what a copy that was faster tells of the server of the first attempt.
func (g *Gateway) timeCopies(r *request, a *attempt, status Status) {
	took := g.now - a.sent
	beaten := status == Cancelled && len(r.attempts) > 1 && a == r.attempts[0]
	if status == OK || status == Timeout || beaten {
		g.hedges.Answered(r.class, took)
	}
	if status == OK && r.out > 0 && g.hedges != nil {
		g.hedges.Judged(a != r.attempts[0])
	}
	if beaten {
		typical := a.server.pool.classes[r.class].typical
		a.server.slow += (min(took/typical, 20) - a.server.slow) * learn
	}
}
