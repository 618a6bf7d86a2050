package sites

import (
	"fmt"

	"junctionring/control"
)

// Try is what Route is asked of: a request at its first attempt, or at one that may follow.
type Try struct {
	Class   int
	Elapsed Seconds // since it came in
	Left    Seconds // until its client gives up
	Bound   bool    // an earlier attempt may have run, and its key is known at one site only
	At      int     // that site
}

const (
	mostUrgentShare        = 0.9  // share of the near window from which on the most urgent class crosses
	leastUrgentShare       = 1.0  // share from which on the least urgent class does
	leastUrgentRemoteShare = 0.75 // share of a far window that the least urgent class may fill
	maxWeightAge           = 0.1  // s for which a weight is used while servers warm up
	connectRoundTrips      = 1.0  // round trips that opening a connection may cost
)

// Route says which sites a try may go to now. It neither allocates nor looks at single servers.
func (r *Router) Route(now Seconds, t Try) Verdict {
	r.now = now
	own := r.settings.Own
	local := &r.sites[own]
	if local.warmingUp && now-local.weighedAt > maxWeightAge {
		r.updateWeight(own)
	}
	verdict := Verdict{Reach: control.Reach{First: own, Then: own}}
	if t.Bound { // nobody else drops its repeat
		verdict.Reach = control.Reach{First: t.At, Then: t.At}
		if t.At != own {
			verdict.CrossReason = r.crossReason(local)
			if r.sites[t.At].link.down {
				verdict.Reach, verdict.DenyReason = control.Reach{First: own, Then: own}, LinkDown // control finds no server of its group
			}
		}
		return verdict
	}
	urgency := r.urgency[t.Class]
	share := leastUrgentShare - (leastUrgentShare-mostUrgentShare)*urgency
	localHasRoom := local.ready > 0 && local.window.admits(now, local.attempts.count, local.window.limit*share, 0)
	crossReason := r.crossReason(local)
	denyReason := RemoteUnavailable
	for _, f := range r.remotes {
		reason := r.denyReason(f, t, local, crossReason, localHasRoom)
		if reason == NotDenied {
			if localHasRoom { // the near site serves; the far one stands by for what control turns away here
				return Verdict{Reach: control.Reach{First: own, Then: f, Room: local.window.uncongested()}, CrossReason: crossReason}
			}
			return Verdict{Reach: control.Reach{First: f, Then: own, Room: r.sites[f].window.uncongested()}, CrossReason: crossReason}
		}
		if denyReason == RemoteUnavailable {
			denyReason = reason // of the nearest, unless it has nobody
		}
	}
	verdict.DenyReason = denyReason
	verdict.Reach.Room = localHasRoom && local.window.uncongested()
	// Nobody helps: what is beyond the window would only make the rest late. Now the urgent ones come last to it.
	share = mostUrgentShare + (leastUrgentShare-mostUrgentShare)*urgency
	// A far site that is only busy will soon help again: until then control sheds by what it sees.
	verdict.Reach.Full = local.ready > 0 && (denyReason == LinkDown || !local.window.uncongested()) && !local.window.admits(now, local.attempts.count, local.window.limit*share, 0)
	return verdict
}

// cause is the word for what crosses now.
func (r *Router) crossReason(local *siteState) CrossReason {
	switch {
	case local.draining > 0:
		return LocalDraining
	case local.ready == 0:
		return LocalUnavailable
	}
	return LocalSlow
}

// barred tells whether a try may go to a far site, and why not.
func (r *Router) denyReason(f int, t Try, local *siteState, crossReason CrossReason, localHasRoom bool) DenyReason {
	remote := &r.sites[f]
	if remote.warmingUp && r.now-remote.weighedAt > maxWeightAge {
		r.updateWeight(f)
	}
	class, aim := &remote.classes[t.Class], r.settings.Classes[t.Class].Aim
	required := class.highTime + connectRoundTrips*remote.link.rtt
	tooLate := local.ready > 0 && t.Elapsed+required > aim // a near site that is there answers late as well
	switch {
	case remote.ready == 0:
		return RemoteUnavailable
	case remote.link.down:
		return LinkDown
	case required > t.Left, tooLate:
		return InsufficientTime
	}
	if !localHasRoom {
		remote.window.resetIfIdle(r.now, float64(local.attempts.count))
	}
	if !remote.window.admits(r.now, remote.attempts.count, r.remoteLimit(remote, t.Class), class.baseline) {
		return RemoteBusy
	}
	return NotDenied
}

// farRoom is how many attempts of a class may be out at a far site: the urgent ones keep a part for themselves
// where it is short.
func (r *Router) remoteLimit(remote *siteState, class int) float64 {
	limit := remote.window.limit * remote.weight / max(1, float64(remote.ready))
	if r.sites[r.settings.Own].ready == 0 { // no guest any more: there is nowhere else to go
		limit = max(limit, 1)
	}
	if remote.window.uncongested() { // room for all: it grows as it is used
		return limit
	}
	return limit * (leastUrgentRemoteShare + (1-leastUrgentRemoteShare)*r.urgency[class])
}

// Sent books an attempt that control sends; v is the verdict it goes by. ok is false for a server not known.
func (r *Router) Sent(now Seconds, id string, class int, v Verdict) (a Attempt, ok bool) {
	r.now = now
	s := r.servers[id]
	if s == nil {
		return Attempt{Site: -1}, false
	}
	st := &r.sites[s.site]
	a = Attempt{Site: s.site, seq: st.attempts.add(now, class, s), class: class, sent: now, server: s, remote: s.site != r.settings.Own}
	st.window.lastUsed = now
	if a.remote {
		if v.CrossReason == Local {
			v.CrossReason = r.crossReason(&r.sites[r.settings.Own])
		}
		r.counts.Crossed[s.site][class][v.CrossReason]++
	}
	return a, true
}

// answered tells whether an end proves that the server was reached and spoke.
func reachedServer(s control.Status) bool {
	return s == control.OK || s == control.Error || s == control.Full
}

// Ended books the end of an attempt; waited is the time from its last byte to the answer's first, 0: not known.
func (r *Router) Ended(now Seconds, a Attempt, status control.Status, waited Seconds) {
	r.now = now
	if a.server == nil {
		return
	}
	st := &r.sites[a.Site]
	countedLate, ok := st.attempts.end(now, a.seq)
	if !ok {
		return
	}
	took, c := now-a.sent, &st.classes[a.class]
	if waited <= 0 || waited > took {
		waited = took
	}
	if reachedServer(status) {
		r.recordContact(st)
		if a.remote {
			r.counts.Answered[a.Site]++
		}
	}
	switch status {
	case control.OK:
		if a.server.failures >= ejectAfter {
			a.server.failures = 0
			r.updateWeight(a.Site)
		}
		a.server.failures = 0
		if !countedLate {
			st.window.recordAnswer(now, waited > r.lateAfter(a.server, a.class), float64(st.attempts.count), c.baseline)
		}
		share := r.capacityShare(a.server)
		a.server.baselines[a.class] = trackBaseline(a.server.baselines[a.class], waited*share, now-c.baselineAt)
		c.recordAnswer(now, waited*share, took)
	case control.Full:
		st.window.recordAnswer(now, true, float64(st.attempts.count), c.baseline)
	case control.Reset, control.ConnectFailed, control.Error, control.Timeout:
		if a.server.failures++; a.server.failures == ejectAfter {
			r.updateWeight(a.Site)
		}
		if a.remote && status != control.Error {
			r.recordMiss(st, a.server.id, a.sent)
		}
	}
}

// lateAt is the time after which an answer of a server is late.
func (r *Router) lateAfter(s *server, class int) Seconds {
	aim := r.settings.Classes[class].Aim
	if s.site == r.settings.Own {
		return localLateShare * aim
	}
	baseline := s.baselines[class]
	if baseline == 0 {
		baseline = r.sites[s.site].classes[class].baseline
	}
	return (baseline + remoteLateShare*aim) / r.capacityShare(s) // a cold one is slow, not crowded
}

// Refused counts a try that control turned away for want of servers, by why it could not cross.
func (r *Router) Refused(class int, v Verdict) { r.counts.Refused[class][v.DenyReason]++ }

// Tick looks at what time alone tells: attempts that are overdue, links that fell silent. It is to be called
// about twenty times a second.
func (r *Router) Tick(now Seconds, actions []Action) []Action {
	r.now = now
	for i := range r.sites {
		st := &r.sites[i]
		if st.warmingUp && now-st.weighedAt > maxWeightAge {
			r.updateWeight(i)
		}
		for seq := st.attempts.first; seq < st.attempts.next; seq++ {
			entry := st.attempts.at(seq)
			if entry.ended || entry.countedLate {
				continue
			}
			if now-entry.sent > r.lateAfter(entry.server, entry.class) { // Danger: where nothing is answered no answer tells of it
				entry.countedLate = true
				st.window.recordAnswer(now, true, float64(st.attempts.count), st.classes[entry.class].baseline)
			}
		}
		if i != r.settings.Own {
			actions = r.checkLink(i, actions)
		}
	}
	for _, i := range r.restored {
		actions = append(actions, Restored{i})
	}
	r.restored = r.restored[:0]
	r.logSummary()
	for _, text := range r.logLines {
		actions = append(actions, Log{text})
	}
	r.logLines = r.logLines[:0]
	return actions
}

func (r *Router) logf(format string, args ...any) {
	if len(r.logLines) < 64 {
		r.logLines = append(r.logLines, fmt.Sprintf(format, args...))
	}
}
