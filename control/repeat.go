package control

// This file decides where and how long a request that may have run can be sent again, and what its client
// is told.

// Placement is where a server stood when an attempt was sent to it. The server list may move the server to
// another zone, or remove it, while the attempt runs.
type Placement struct {
	Server string
	Since  Seconds // time of the server's last start
	Site   int
	Zone   string // empty: unknown
	Cell   string // empty: unknown
}

// DropsRepeats reports whether the server at candidate drops repeats of a key that may have run at ran. An
// unknown zone or cell is not equal to any, not even to another unknown one: only the same server, in the
// same place, is sure to know the key.
func (g Group) DropsRepeats(ran, candidate Placement) bool {
	if g == GroupAll || ran == candidate {
		return true
	}
	sameSite := ran.Site == candidate.Site
	sameZone := sameSite && ran.Zone != "" && ran.Zone == candidate.Zone
	switch g {
	case GroupSite:
		return sameSite
	case GroupZone:
		return sameZone
	default:
		return sameZone && ran.Cell != "" && ran.Cell == candidate.Cell
	}
}

// BoundToGroup reports whether a request of the class that may have run can be sent again only within
// a group of servers.
func (c *Class) BoundToGroup() bool { return c.Repeat == Keyed && c.Group != GroupAll }

// RepeatIsHarmless reports whether a request of the class that may have run may be refused: its client
// can send it again, and any server may get it.
func (c *Class) RepeatIsHarmless() bool { return c.Repeat != Unsafe && !c.BoundToGroup() }

// EarlierRun says where an earlier request with the same key may have run, and when it was sent.
type EarlierRun struct {
	Placement Placement
	SentAt    Seconds
}

// placement is where a server stands now.
func (s *server) placement() Placement {
	m := &s.member
	return Placement{Server: s.id, Since: m.Since, Site: s.pool.site, Zone: m.Zone, Cell: m.Cell}
}

// mayServe reports whether r may be sent to s: a hedge not to a server that has the request in flight, and
// a keyed request that may have run only to servers that drop its repeats.
func (g *Gateway) mayServe(r *request, s *server) bool {
	class := &g.settings.Classes[r.class]
	return !r.isInFlightAt(s) &&
		(!r.mayHaveRun || !class.BoundToGroup() || class.Group.DropsRepeats(r.firstRunAt, s.placement()))
}

// mayRetry reports whether another attempt of the request may follow one that ended with lastStatus.
func (g *Gateway) mayRetry(r *request, p *pool, lastStatus Status) bool {
	class := &g.settings.Classes[r.class]
	switch {
	case len(r.attempts) >= g.settings.Limits.MaxAttempts, lastStatus == NotSent, r.streaming,
		g.now+p.classes[r.class].workTime > r.deadline:
		return false
	case !r.mayHaveRun:
		return lastStatus != Full || p.overload < maxRetryOverload // no retry storm under overload
	case g.retryBudget < 1, class.Repeat == Unsafe:
		return false
	}
	return g.inRepeatWindow(r)
}

// inRepeatWindow reports whether servers still drop the repeats of a keyed request that may have run. It
// is true for all other requests.
func (g *Gateway) inRepeatWindow(r *request) bool {
	class := &g.settings.Classes[r.class]
	return class.Repeat != Keyed || !r.mayHaveRun || g.now < r.firstRunSentAt+class.Window
}

// giveUp answers a request that gets no further attempt: Refuse if it had no effect or may be repeated,
// else Fail.
func (g *Gateway) giveUp(r *request) {
	class := &g.settings.Classes[r.class]
	if !r.mayHaveRun || class.RepeatIsHarmless() {
		g.emit(Refuse{ID: r.id, RetryAfter: g.retryAfter(0)})
	} else {
		g.emit(Fail{ID: r.id})
	}
	g.finish(r)
}

// continueEarlierRun makes r subject to the rules of a request that may have run at an earlier request's
// server.
func (r *request) continueEarlierRun(earlier *EarlierRun) {
	if earlier != nil {
		r.mayHaveRun, r.firstRunSentAt, r.firstRunAt = true, earlier.SentAt, earlier.Placement
	}
}

// refuseNew refuses a request of which no attempt was sent. If an earlier request with its key may have
// run, a refusal would say that a repeat is harmless anywhere: it fails instead.
func (g *Gateway) refuseNew(e Request, refusal Refuse) {
	if e.EarlierRun != nil {
		g.emit(Fail{ID: e.ID})
		return
	}
	g.emit(refusal)
}
