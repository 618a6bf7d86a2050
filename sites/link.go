package sites

import (
	"fmt"

	"junctionring/control"
)

// link is what is known of the way to a far site. A dead server is told from a dead link by whether anybody
// there still answers.
type link struct {
	down          bool
	lastAnswer    Seconds // last answer of anybody there, of any kind
	rtt           Seconds // there and back: the least of late
	misses        int     // attempts and probes without an answer since then
	firstMissed   string  // the server that missed first
	severalMissed bool    // another one missed as well
	downAt        Seconds // when it went down

	probing      bool
	nextProbe    Seconds // next probe
	probeIndex   int     // whom to probe
	goodProbes   int     // probes answered in a row while it is down
	probesNeeded int     // so many bring it back: more where it went down again soon
	upAt         Seconds
}

const (
	maxMisses          = 3     // attempts and probes without an answer in between after which a link counts as down
	minSilence         = 0.45  // s without an answer, with attempts out, after which it counts as down
	silenceFactor      = 2.5   // multiple of the usual answer time that is waited for where it is longer
	silenceMinAttempts = 2     // attempts that must be out for silence to count
	probeInterval      = 1.0   // s between probes while all is well
	fastProbeInterval  = 0.15  // s between probes while the link is down or a probe got no answer
	probeSlack         = 0.15  // s that a probe may take beyond three round trips
	minGoodProbes      = 2     // answered probes in a row that bring a link back
	maxGoodProbes      = 8     // the most that are needed where it fails again soon
	stableUpTime       = 10.0  // s that a link must have been up for upFirst to be enough again
	rttRise            = 0.002 // share by which the round-trip time may rise per probe, to follow a way that became longer
)

// hear books any answer from a far site.
func (r *Router) recordContact(st *siteState) {
	st.link.lastAnswer, st.link.misses, st.link.firstMissed, st.link.severalMissed = r.now, 0, "", false
}

// miss books an attempt or a probe that brought no answer. begun is when it was sent.
func (r *Router) recordMiss(st *siteState, id string, sent Seconds) {
	l := &st.link
	if l.lastAnswer > sent {
		return // others answered meanwhile: it is the server, not the link
	}
	l.misses++
	if l.firstMissed == "" {
		l.firstMissed = id
	} else if l.firstMissed != id {
		l.severalMissed = true
	}
}

// look judges the link of a far site and appends what follows.
func (r *Router) checkLink(i int, actions []Action) []Action {
	st := &r.sites[i]
	l := &st.link
	if !l.down {
		oldest, hasOldest := st.attempts.oldest()
		slowest := 0.0
		for _, c := range st.classes {
			slowest = max(slowest, c.highTime)
		}
		silent := hasOldest && st.attempts.count >= silenceMinAttempts && l.lastAnswer < oldest && r.now-oldest > max(minSilence, silenceFactor*slowest)
		lost := l.misses >= maxMisses && (l.severalMissed || len(st.servers) < 2)
		if silent || lost {
			if r.now-l.upAt > stableUpTime {
				l.probesNeeded = minGoodProbes
			} else {
				l.probesNeeded = min(maxGoodProbes, 2*max(1, l.probesNeeded))
			}
			l.down, l.downAt, l.goodProbes, l.nextProbe = true, r.now, 0, r.now
			actions = append(actions, GiveUp{i},
				Log{fmt.Sprintf("the link to %s is down: heard %.2f s ago, %d missed", st.Name, r.now-l.lastAnswer, l.misses)})
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

// Probed takes the end of a Probe in; elapsed is the time that it took.
func (r *Router) Probed(now Seconds, id string, status control.Status, elapsed Seconds) {
	r.now = now
	s := r.servers[id]
	if s == nil {
		for i := range r.sites { // it left the list meanwhile: nothing may wait for it for ever
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
			if r.sites[r.settings.Own].ready > 0 { // else all that the link carried is to come back at once
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
	l.nextProbe = now + interval*(0.75+0.5*r.rng.Float64()) // gateways that start together do not probe in step
}
