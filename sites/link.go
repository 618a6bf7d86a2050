package sites

import (
	"fmt"

	"junctionring/control"
)

// link is the state of the link to a remote site. A failed server is told from a failed link by whether any server of
// the site still answers.
type link struct {
	down          bool
	lastAnswer    Seconds // time of the last answer of any kind from any server there
	rtt           Seconds // lowest recent round-trip time
	misses        int     // attempts and probes that failed since lastAnswer
	firstMissed   string  // server of the first of these
	severalMissed bool    // another server failed to answer as well
	downAt        Seconds // when the link went down

	probing      bool
	nextProbe    Seconds // when the next probe is due
	probeIndex   int     // index of the last probed server
	goodProbes   int     // consecutive answered probes
	probesNeeded int     // consecutive answered probes that bring the link up; more if it went down again soon
	upAt         Seconds
}

const (
	maxMisses          = 3     // unanswered attempts and probes, with no answer in between, after which a link is down
	minSilence         = 0.45  // s without an answer, with attempts in flight, after which a link is down
	silenceFactor      = 2.5   // multiple of the high quantile of attempt times that replaces minSilence if longer
	silenceMinAttempts = 2     // attempts that must be in flight for silence to count
	probeInterval      = 1.0   // s between probes while the link works
	fastProbeInterval  = 0.15  // s between probes while the link is down or the last probe got no answer
	probeSlack         = 0.15  // s that a probe may take in addition to three round trips
	minGoodProbes      = 2     // consecutive answered probes that bring a link up
	maxGoodProbes      = 8     // most probes needed after repeated failures
	stableUpTime       = 10.0  // s that a link must have been up for minGoodProbes to suffice again
	rttRise            = 0.002 // share by which rtt may rise per probe, to follow a route that became longer
)

// recordContact records an answer of any kind from a remote site.
func (r *Router) recordContact(st *siteState) {
	st.link.lastAnswer, st.link.misses, st.link.firstMissed, st.link.severalMissed = r.now, 0, "", false
}

// recordMiss records an attempt or a probe that got no answer. sent is when it was sent.
func (r *Router) recordMiss(st *siteState, id string, sent Seconds) {
	l := &st.link
	if l.lastAnswer > sent {
		return // another answer arrived since: the server failed, not the link
	}
	l.misses++
	if l.firstMissed == "" {
		l.firstMissed = id
	} else if l.firstMissed != id {
		l.severalMissed = true
	}
}

// checkLink updates the state of the link to a remote site and appends the actions that follow.
func (r *Router) checkLink(i int, actions []Action) []Action {
	st := &r.sites[i]
	l := &st.link
	if !l.down {
		oldest, hasOldest := st.attempts.oldest()
		slowest := 0.0
		for _, c := range st.classes {
			slowest = max(slowest, c.highTime)
		}
		silent := hasOldest && st.attempts.count >= silenceMinAttempts && l.lastAnswer < oldest &&
			r.now-oldest > max(minSilence, silenceFactor*slowest)
		lost := l.misses >= maxMisses && (l.severalMissed || len(st.servers) < 2)
		if silent || lost {
			if r.now-l.upAt > stableUpTime {
				l.probesNeeded = minGoodProbes
			} else {
				l.probesNeeded = min(maxGoodProbes, 2*max(1, l.probesNeeded))
			}
			l.down, l.downAt, l.goodProbes, l.nextProbe = true, r.now, 0, r.now
			actions = append(actions, GiveUp{i},
				Log{fmt.Sprintf("the link to %s is down: last answer %.2f s ago, %d attempts and probes unanswered",
					st.Name, r.now-l.lastAnswer, l.misses)})
		}
	}
	if l.probing || r.now < l.nextProbe || len(st.servers) == 0 {
		return actions
	}
	for range st.servers {
		l.probeIndex++
		if s := st.servers[l.probeIndex%len(st.servers)]; s.state == control.Ready && (s.failures < ejectAfter || l.down) {
			l.probing = true
			return append(actions, Probe{s.id, 3*l.rtt + probeSlack})
		}
	}
	return actions
}

// Probed records the result of a Probe; elapsed is the time that it took.
func (r *Router) Probed(now Seconds, id string, status control.Status, elapsed Seconds) {
	r.now = now
	s := r.servers[id]
	if s == nil {
		for i := range r.sites { // the server left the list meanwhile: no link may wait for this probe any longer
			r.sites[i].link.probing = false
		}
		return
	}
	st := &r.sites[s.site]
	l := &st.link
	l.probing = false
	fast := l.down
	if reachedServer(status) {
		r.recordContact(st)
		l.rtt = min(elapsed, l.rtt*(1+rttRise))
		s.failures = 0
		if l.goodProbes++; l.down && l.goodProbes >= l.probesNeeded {
			l.down, l.upAt = false, now
			if r.sites[r.settings.Own].ready > 0 { // otherwise the link must carry its whole former load again at once
				st.window.limit = max(remoteStart, st.window.limit/2)
			}
			st.window.delayed, st.window.late, st.window.lastUsed = false, 0, now
			fast = false
			for _, s := range st.servers {
				s.failures = 0
			}
			r.updateWeight(s.site)
			r.restored = append(r.restored, s.site)
			r.logf("the link to %s is up again after %.2f s", st.Name, now-l.downAt)
		}
	} else {
		l.goodProbes, fast = 0, true
		r.recordMiss(st, id, now-elapsed)
	}
	interval := probeInterval
	if fast {
		interval = fastProbeInterval
	}
	// The jitter keeps gateways that start together from probing in step.
	l.nextProbe = now + interval*(0.75+0.5*r.rng.Float64())
}
