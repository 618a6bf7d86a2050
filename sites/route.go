package sites

import (
	"fmt"

	"junctionring/control"
)

// Try is a request that needs a server for its first or a later attempt.
type Try struct {
	Class      int
	Elapsed    Seconds // since the request arrived
	Left       Seconds // until the client's deadline
	Pinned     bool    // an earlier attempt may have run, and only one site recognizes its key
	PinnedSite int     // the site of a pinned try
}

const (
	mostUrgentShare        = 0.9  // share of the local window from which the most urgent class crosses
	leastUrgentShare       = 1.0  // share of the local window from which the least urgent class crosses
	leastUrgentRemoteShare = 0.75 // share of a remote window that the least urgent class may fill
	maxWeightAge           = 0.1  // s for which a site's weight is used while its servers warm up
	connectRoundTrips      = 1.0  // round trips that opening a connection may take
)

// Route returns which sites a try may use now. It does not allocate and does not look at single servers.
func (r *Router) Route(now Seconds, t Try) Verdict {
	r.now = now
	own := r.settings.Own
	local := &r.sites[own]
	if local.warmingUp && now-local.weighedAt > maxWeightAge {
		r.updateWeight(own)
	}
	verdict := Verdict{Reach: control.Reach{First: own, Then: own}}
	if t.Pinned { // only the site of the earlier attempt recognizes a repeat
		verdict.Reach = control.Reach{First: t.PinnedSite, Then: t.PinnedSite}
		if t.PinnedSite != own {
			verdict.CrossReason = r.crossReason(local)
			if r.sites[t.PinnedSite].link.down {
				// At the local site control finds no server of the try's group.
				verdict.Reach, verdict.DenyReason = control.Reach{First: own, Then: own}, LinkDown
			}
		}
		return verdict
	}
	urgency := r.urgency[t.Class]
	share := leastUrgentShare - (leastUrgentShare-mostUrgentShare)*urgency
	localHasRoom := local.ready > 0 && local.window.admits(now, local.attempts.count, local.window.limit*share, 0)
	crossReason := r.crossReason(local)
	denyReason := RemoteUnavailable
	for _, f := range r.remoteSites {
		reason := r.denyReason(f, t, local, crossReason, localHasRoom)
		if reason == NotDenied {
			if localHasRoom { // the local site serves; the remote one is the fallback for what control sheds locally
				return Verdict{Reach: control.Reach{First: own, Then: f, Room: local.window.uncongested()},
					CrossReason: crossReason}
			}
			return Verdict{Reach: control.Reach{First: f, Then: own, Room: r.sites[f].window.uncongested()},
				CrossReason: crossReason}
		}
		if denyReason == RemoteUnavailable {
			denyReason = reason // report the nearest remote site that has servers
		}
	}
	verdict.DenyReason = denyReason
	verdict.Reach.Room = localHasRoom && local.window.uncongested()
	// No remote site can take the try, and attempts beyond the local window would only make the others late. The share is
	// reversed: the most urgent class is now refused last.
	share = mostUrgentShare + (leastUrgentShare-mostUrgentShare)*urgency
	// A remote site that is merely busy will soon have capacity again: until then control sheds by its own measure.
	verdict.Reach.Full = local.ready > 0 && (denyReason == LinkDown || !local.window.uncongested()) &&
		!local.window.admits(now, local.attempts.count, local.window.limit*share, 0)
	return verdict
}

// crossReason returns the reason under which attempts cross now.
func (r *Router) crossReason(local *siteState) CrossReason {
	switch {
	case local.draining > 0:
		return LocalDraining
	case local.ready == 0:
		return LocalUnavailable
	}
	return LocalSlow
}

// denyReason returns why a try may not use a remote site, or NotDenied.
func (r *Router) denyReason(f int, t Try, local *siteState, crossReason CrossReason, localHasRoom bool) DenyReason {
	remote := &r.sites[f]
	if remote.warmingUp && r.now-remote.weighedAt > maxWeightAge {
		r.updateWeight(f)
	}
	class, aim := &remote.classes[t.Class], r.settings.Classes[t.Class].Aim
	required := class.highTime + connectRoundTrips*remote.link.rtt
	tooLate := local.ready > 0 && t.Elapsed+required > aim // if both would answer late, the local site is as good
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

// remoteLimit returns how many attempts of a class may be in flight at a remote site. While the site shows late answers,
// a part is reserved for the more urgent classes.
func (r *Router) remoteLimit(remote *siteState, class int) float64 {
	limit := remote.window.limit * remote.weight / max(1, float64(remote.ready))
	if r.sites[r.settings.Own].ready == 0 { // no alternative is left: always allow one attempt
		limit = max(limit, 1)
	}
	if remote.window.uncongested() { // capacity for all classes: the window grows as it is used
		return limit
	}
	return limit * (leastUrgentRemoteShare + (1-leastUrgentRemoteShare)*r.urgency[class])
}

// Sent records an attempt that control sends under the verdict v. ok is false for an unknown server.
func (r *Router) Sent(now Seconds, id string, class int, v Verdict) (a Attempt, ok bool) {
	r.now = now
	s := r.servers[id]
	if s == nil {
		return Attempt{Site: -1}, false
	}
	st := &r.sites[s.site]
	a = Attempt{Site: s.site, seq: st.attempts.add(now, class, s), class: class, sent: now, server: s,
		remote: s.site != r.settings.Own}
	st.window.lastUsed = now
	if a.remote {
		if v.CrossReason == Local {
			v.CrossReason = r.crossReason(&r.sites[r.settings.Own])
		}
		r.counts.Crossed[s.site][class][v.CrossReason]++
	}
	return a, true
}

// reachedServer reports whether an attempt's status proves that the server was reached and answered.
func reachedServer(s control.Status) bool {
	return s == control.OK || s == control.Error || s == control.Full
}

// Ended records the end of an attempt. waited is the time from the last byte of the request to the first byte of the
// answer; 0 if not known.
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

// lateAfter returns the time after which an answer of a server counts as late.
func (r *Router) lateAfter(s *server, class int) Seconds {
	aim := r.settings.Classes[class].Aim
	if s.site == r.settings.Own {
		return localLateShare * aim
	}
	baseline := s.baselines[class]
	if baseline == 0 {
		baseline = r.sites[s.site].classes[class].baseline
	}
	// A server that is warming up is slow without being overloaded.
	return (baseline + remoteLateShare*aim) / r.capacityShare(s)
}

// Refused counts a try that control refused because no server could take it, by the reason why it could not cross.
func (r *Router) Refused(class int, v Verdict) { r.counts.Refused[class][v.DenyReason]++ }

// Tick handles what depends on time alone, overdue attempts and silent links, and appends the actions that follow. It
// must be called about twenty times a second.
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
			// Counted while in flight: where nothing is answered, no answer would report the delay.
			if now-entry.sent > r.lateAfter(entry.server, entry.class) {
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

// logf queues a log line for the next Tick. At most 64 lines are queued; further ones are dropped.
func (r *Router) logf(format string, args ...any) {
	if len(r.logLines) < 64 {
		r.logLines = append(r.logLines, fmt.Sprintf(format, args...))
	}
}
