// Package sites decides which sites a try may use, the gateway's local site or a remote one over a link, from what the
// gateway has observed of each site as a whole: attempts in flight, late answers and the state of the link. It does not
// choose servers, retry or account for quota (package control does), does no I/O, reads no clock and starts no
// goroutine.
//
// Its results depend only on the calls and the times that they carry. Unlike control it takes typed calls instead of an
// event interface: converting a value to an interface allocates, and a routing decision must not allocate.
package sites

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"junctionring/control"
)

// Seconds is a point in time or a duration on control's clock.
type Seconds = control.Seconds

// Site is a location with servers.
type Site struct {
	Name     string
	Distance Seconds // one-way latency from the gateway; 0 for the local site
}

// Settings configures a Router.
type Settings struct {
	Own        int // index of the gateway's local site
	Sites      []Site
	Classes    []control.Class
	Guarantees control.Guarantees // capacity of servers that are warming up
	Seed       uint64
}

// validate returns an error for the first invalid setting.
func (s *Settings) validate() error {
	if s.Own < 0 || s.Own >= len(s.Sites) {
		return fmt.Errorf("sites: index of the own site out of range: %d of %d sites", s.Own, len(s.Sites))
	}
	if len(s.Classes) == 0 {
		return errors.New("sites: no classes configured")
	}
	for i, site := range s.Sites {
		if !(site.Distance >= 0) || math.IsInf(site.Distance, 0) {
			return fmt.Errorf("sites: %s: invalid distance %v, want a finite time of at least 0", site.Name, site.Distance)
		}
		if (site.Distance == 0) != (i == s.Own) {
			return fmt.Errorf("sites: %s: distance %v, but only the own site must be at distance 0", site.Name, site.Distance)
		}
	}
	return nil
}

// CrossReason is why an attempt is sent over a link to a remote site.
type CrossReason uint8

// The reasons for a crossing. Local means that the attempt does not cross.
const (
	Local            CrossReason = iota
	LocalSlow                    // the local site cannot answer all its load within the aim
	LocalDraining                // local servers are draining
	LocalUnavailable             // the local site has no server, or all are ejected
	crossReasons
)

func (c CrossReason) String() string {
	return [...]string{"near", "near too slow", "near draining", "near gone"}[c]
}

// DenyReason is why a try that the local site cannot serve in time may not cross to a remote site either.
type DenyReason uint8

// The reasons against a crossing. NotDenied means that there is none.
const (
	NotDenied         DenyReason = iota
	InsufficientTime             // crossing takes too long for the deadline, or too long for the aim to be an advantage
	LinkDown                     // no answers arrive over the link
	RemoteBusy                   // the remote site has no spare capacity
	RemoteUnavailable            // no remote server accepts requests
	denyReasons
)

func (d DenyReason) String() string {
	return [...]string{"open", "no time", "link down", "far busy", "far gone"}[d]
}

// Verdict says which sites a try may use, and the reasons under which the decision is counted.
type Verdict struct {
	Reach       control.Reach
	CrossReason CrossReason // of an attempt to a remote site within Reach
	DenyReason  DenyReason  // why no remote site may be used; counted if the try is refused
}

// Action is something that the Router asks its caller to do.
type Action interface{ action() }

// The actions.
type (
	// Probe checks whether a server can be reached over its link. The caller must report the result with Probed within
	// the given time.
	Probe struct {
		Server string
		Within Seconds
	}

	// Restored reports that a site's link is up again: failures of its servers in the meantime were caused by the link.
	Restored struct{ Site int }

	// GiveUp cancels all attempts in flight at a site: its link is down, so no answer will arrive.
	GiveUp struct{ Site int }

	// Log writes a line to the operators' log.
	Log struct{ Text string }
)

func (Probe) action()    {}
func (GiveUp) action()   {}
func (Restored) action() {}
func (Log) action()      {}

// Router decides for one gateway which sites a try may use. It is not safe for concurrent use.
type Router struct {
	settings    Settings
	rng         *rand.Rand
	now         Seconds
	sites       []siteState
	remoteSites []int // all other sites, nearest first
	servers     map[string]*server
	urgency     []float64 // by class, ranked by worth per second of the aim: 0 for the lowest, 1 for the highest
	counts      Counts
	logLines    []string // lines that the next Tick returns
	lastCounts  Counts   // counts at the last summary
	summaryAt   Seconds
	restored    []int // sites whose link came up since the last Tick, for Restored
}

// siteState is what is known of one site.
type siteState struct {
	Site
	servers   []*server // listed servers, in the order in which they were first listed
	ready     int       // listed servers that are ready and not ejected
	draining  int
	weight    float64 // ready servers, each counted by its capacity share
	weighedAt Seconds // when weight was last computed
	warmingUp bool    // some ready servers are warming up

	attempts attemptRing
	classes  []classTimes
	window   window
	link     link
}

// classTimes holds the answer times that were learned for a class at a site.
type classTimes struct {
	baseline   Seconds // about the shortest wait for an answer, link included: the time without queueing
	baselineAt Seconds // when baseline was last updated
	highTime   Seconds // high quantile of the total time of an attempt; a try must have this much time left
}

// server is what is known of one server.
type server struct {
	id       string
	site     int
	state    control.MemberState
	since    Seconds
	failures int // consecutive failures
	// Time without queueing by class, as in classTimes. It is kept for each server, as measured against a common baseline
	// a slow machine would look like a queue.
	baselines []Seconds
}

const (
	ejectAfter      = 3    // consecutive failures after which a server does not count as ready until it answers
	initialBaseline = 0.1  // baseline before any answer, as a share of the aim
	initialHighTime = 0.3  // highTime before any answer, as a share of the aim
	highQuantile    = 0.9  // quantile that highTime estimates
	quantileStep    = 0.04 // greatest share by which one answer moves baseline or highTime
	baselineRise    = 0.01 // share per second by which baseline may rise; if faster, it would soon absorb a standing queue
)

// New returns a Router, or an error if the settings are invalid.
func New(s Settings) (*Router, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	r := &Router{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 0xbf58476d1ce4e5b9)), servers: map[string]*server{},
		sites: make([]siteState, len(s.Sites)), counts: newCounts(len(s.Sites), len(s.Classes))}
	r.urgency = urgencies(s.Classes)
	for i := range r.sites {
		st := &r.sites[i]
		st.Site = s.Sites[i]
		st.window = newWindow(i == s.Own)
		st.link.rtt = 2 * st.Distance
		for _, c := range s.Classes {
			st.classes = append(st.classes, initialTimes(c, st.Distance))
		}
		if i != s.Own {
			r.remoteSites = append(r.remoteSites, i)
		}
	}
	slices.SortStableFunc(r.remoteSites, func(a, b int) int {
		if s.Sites[a].Distance < s.Sites[b].Distance {
			return -1
		}
		return 1
	})
	return r, nil
}

// Members applies a server list, or changes to it.
func (r *Router) Members(now Seconds, e control.Members) {
	r.now = now
	if e.Kind == control.Failed {
		return
	}
	listed := map[string]bool{}
	for _, m := range e.Entries {
		listed[m.Server] = true
		if m.Site < 0 || m.Site >= len(r.sites) {
			m.Site = r.settings.Own
		}
		s := r.servers[m.Server]
		if s != nil && (m.State == control.Removed || s.site != m.Site) {
			r.removeServer(s)
			s = nil
		}
		if m.State == control.Removed {
			continue
		}
		if s == nil {
			s = &server{id: m.Server, site: m.Site, baselines: make([]Seconds, len(r.settings.Classes))}
			r.servers[s.id] = s
			r.sites[m.Site].servers = append(r.sites[m.Site].servers, s)
		}
		if m.Since > s.since { // the server restarted: what was learned before no longer applies
			s.since, s.failures = m.Since, 0
			clear(s.baselines)
		}
		s.state = m.State
	}
	if e.Kind != control.Delta {
		for _, st := range r.sites {
			for _, s := range slices.Clone(st.servers) {
				if !listed[s.id] {
					r.removeServer(s)
				}
			}
		}
	}
	for i := range r.sites {
		r.updateWeight(i)
	}
}

func (r *Router) removeServer(s *server) {
	delete(r.servers, s.id)
	st := &r.sites[s.site]
	st.servers = slices.DeleteFunc(st.servers, func(o *server) bool { return o == s })
}

// updateWeight recomputes the capacity of a site. When a whole hall drains at once, its load must be admitted at the
// remote sites immediately, so the attempts that the local site loses capacity for are added to the remote windows.
func (r *Router) updateWeight(i int) {
	st := &r.sites[i]
	oldWeight, hadServers := st.weight, len(st.servers) > 0
	st.ready, st.draining, st.weight, st.weighedAt, st.warmingUp = 0, 0, 0, r.now, false
	for _, s := range st.servers {
		switch {
		case s.state == control.Draining:
			st.draining++
		case s.failures < ejectAfter:
			st.ready++
			share := r.capacityShare(s)
			st.warmingUp = st.warmingUp || share < 1
			st.weight += share
		}
	}
	if i != r.settings.Own || oldWeight <= 0 || st.weight >= oldWeight {
		return
	}
	lostShare := 1 - st.weight/oldWeight
	if st.ready == 0 && hadServers {
		r.logf("no local server accepts requests: %d draining, %d ejected after failures",
			st.draining, len(st.servers)-st.draining)
	}
	inFlight := st.attempts.mean(r.now)
	st.window.shrink(1 - lostShare)
	for _, f := range r.remoteSites {
		remote := &r.sites[f]
		rttFactor := 1 + remote.link.rtt/max(st.classes[0].baseline, 1e-3)
		remote.window.grant(r.now, lostShare*inFlight*rttFactor)
	}
}

// capacityShare returns the share of its full capacity that a server is guaranteed to have.
func (r *Router) capacityShare(s *server) float64 {
	g := &r.settings.Guarantees
	if age := r.now - s.since; s.since > 0 && age < g.Ramp {
		return g.ColdFrom + (1-g.ColdFrom)*max(0, age/g.Ramp)
	}
	return 1
}

// trackBaseline returns the new estimate of the time without queueing: it falls at once and rises over minutes.
func trackBaseline(baseline, waited Seconds, elapsed Seconds) Seconds {
	if baseline == 0 || waited < baseline {
		return max(waited, baseline*(1-quantileStep))
	}
	return baseline * (1 + min(quantileStep, baselineRise*max(0, elapsed)))
}

// recordAnswer updates the times with an answer: the wait for its first byte, and the total time of the attempt.
func (c *classTimes) recordAnswer(now, waited, took Seconds) {
	c.baseline = trackBaseline(c.baseline, waited, now-c.baselineAt)
	c.baselineAt = now
	if took > c.highTime {
		c.highTime += c.highTime * quantileStep * highQuantile
	} else {
		c.highTime -= c.highTime * quantileStep * (1 - highQuantile)
	}
	c.highTime = max(c.highTime, c.baseline)
}
