// Package sites decides which sites a try may go to: the near one, where the gateway stands, or a distant
// one over a link. It owns what the gateway has seen of each site as a whole: attempts out, answers that came
// late, the state of the link. It never chooses a server, never decides on a retry or a quota (control does),
// and does no I/O, reads no clock and starts no goroutine: what it is told and when decides what it says.
//
// Unlike control it takes typed calls instead of an event interface: a value put into an interface costs an
// allocation, and a decision here may cost none.
package sites

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"junctionring/control"
)

// Seconds is a time or a duration, on control's clock.
type Seconds = control.Seconds

// Site is one place where servers stand.
type Site struct {
	Name     string
	Distance Seconds // one way, from the gateway; 0: its own
}

// Settings is what a Router is told once.
type Settings struct {
	Own        int // index of the site that the gateway stands at
	Sites      []Site
	Classes    []control.Class
	Guarantees control.Guarantees // of cold servers
	Seed       uint64
}

// validate names what cannot be right.
func (s *Settings) validate() error {
	if s.Own < 0 || s.Own >= len(s.Sites) {
		return fmt.Errorf("sites: own site %d of %d", s.Own, len(s.Sites))
	}
	if len(s.Classes) == 0 {
		return errors.New("sites: no classes")
	}
	for i, site := range s.Sites {
		if !(site.Distance >= 0) || math.IsInf(site.Distance, 0) {
			return fmt.Errorf("sites: %s: distance %v is no time", site.Name, site.Distance)
		}
		if (site.Distance == 0) != (i == s.Own) {
			return fmt.Errorf("sites: %s: the own site, and no other, is at distance 0", site.Name)
		}
	}
	return nil
}

// CrossReason is why an attempt went over a link.
type CrossReason uint8

// The causes. Local stands for no crossing at all.
const (
	Local            CrossReason = iota
	LocalSlow                    // the near site can't meet the wanted time for all that is asked of it
	LocalDraining                // near servers drain
	LocalUnavailable             // no near server is there, or all are left out
	crossReasons
)

func (c CrossReason) String() string {
	return [...]string{"near", "near too slow", "near draining", "near gone"}[c]
}

// DenyReason is why a try that the near site can't take well may not cross either.
type DenyReason uint8

// The bars. NotDenied stands for none.
const (
	NotDenied         DenyReason = iota
	InsufficientTime             // the link would eat the time that is left, or the gain
	LinkDown                     // nothing comes back over the link
	RemoteBusy                   // the far site shows that it has no room to spare
	RemoteUnavailable            // no far server takes work
	denyReasons
)

func (b DenyReason) String() string {
	return [...]string{"open", "no time", "link down", "far busy", "far gone"}[b]
}

// Verdict says which sites a try may go to, and the words under which that is counted.
type Verdict struct {
	Reach       control.Reach
	CrossReason CrossReason // of an attempt that goes to a far site within Reach
	DenyReason  DenyReason  // why none may; counted if the try is refused
}

// Action is something the Router wants done.
type Action interface{ action() }

// The actions.
type (
	// Probe asks a server over its link whether it is there; Probed must follow, within the time given.
	Probe struct {
		Server string
		Within Seconds
	}

	// Restored tells that a site's link is up again: what its servers failed to do meanwhile was the link's doing.
	Restored struct{ Site int }

	// GiveUp calls off what is out at a site: its link is down, and no answer will come.
	GiveUp struct{ Site int }

	// Log leaves a line for the operators.
	Log struct{ Text string }
)

func (Probe) action()    {}
func (GiveUp) action()   {}
func (Restored) action() {}
func (Log) action()      {}

// Router is the decision module for sites of one gateway. It is not safe for concurrent use.
type Router struct {
	settings   Settings
	rng        *rand.Rand
	now        Seconds
	sites      []siteState
	remotes    []int // the others, nearest first
	servers    map[string]*server
	urgency    []float64 // by class, from worth a second of the wanted time: 0 for the least, 1 for the most
	counts     Counts
	logLines   []string // lines that wait for the next Tick
	lastCounts Counts   // the counts at the last summary
	summaryAt  Seconds
	restored   []int // sites whose link came up since the last Tick
}

// site is what is known of one site.
type siteState struct {
	Site
	servers   []*server // on the list, in order of first sight
	ready     int       // of them, ready and not left out
	draining  int
	weight    float64 // of the ready ones, by their warmth
	weighedAt Seconds // when it was last taken
	warmingUp bool    // some are

	attempts attemptRing
	classes  []classTimes
	window   window
	link     link
}

// class is what was learned of a class at a site.
type classTimes struct {
	baseline   Seconds // about the least wait for an answer, link and all: the time without a queue
	baselineAt Seconds // when it was last moved
	highTime   Seconds // a high quantile of the whole time of an attempt: what a try must have left
}

// server is what is known of one server.
type server struct {
	id        string
	site      int
	state     control.MemberState
	since     Seconds
	failures  int       // failures in a row
	baselines []Seconds // by class, as that of its site. Danger: of all, a slow machine would look like a queue
}

const (
	ejectAfter      = 3    // failures in a row after which a server counts for nothing until it answers
	initialBaseline = 0.1  // share of the aim that low begins with
	initialHighTime = 0.3  // share of the aim that high begins with
	highQuantile    = 0.9  // quantile that high follows
	quantileStep    = 0.04 // share of itself by which an answer moves low or high at the most
	baselineRise    = 0.01 // share by which low may rise per second; faster, a standing queue would soon count as none
)

// New makes a Router.
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
			r.remotes = append(r.remotes, i)
		}
	}
	slices.SortStableFunc(r.remotes, func(a, b int) int {
		if s.Sites[a].Distance < s.Sites[b].Distance {
			return -1
		}
		return 1
	})
	return r, nil
}

// Members takes the server list in, or changes to it.
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
		if m.Since > s.since { // a new life: what its former one did says nothing
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

// weigh takes what a site can do anew. Danger: a hall that drains at once; its load must find the far site open
// within the same moment, so what the near site loses is granted to the link.
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
		r.logf("no near server takes work: %d drain, %d are left out", st.draining, len(st.servers)-st.draining)
	}
	inFlight := st.attempts.mean(r.now)
	st.window.shrink(1 - lostShare)
	for _, f := range r.remotes {
		remote := &r.sites[f]
		rttFactor := 1 + remote.link.rtt/max(st.classes[0].baseline, 1e-3)
		remote.window.grant(r.now, lostShare*inFlight*rttFactor)
	}
}

// warmth is the share of its capacity that a server has at the least.
func (r *Router) capacityShare(s *server) float64 {
	g := &r.settings.Guarantees
	if age := r.now - s.since; s.since > 0 && age < g.Ramp {
		return g.ColdFrom + (1-g.ColdFrom)*max(0, age/g.Ramp)
	}
	return 1
}

// least moves what counts as the time without a queue: down at once, up over minutes.
func trackBaseline(baseline, waited Seconds, elapsed Seconds) Seconds {
	if baseline == 0 || waited < baseline {
		return max(waited, baseline*(1-quantileStep))
	}
	return baseline * (1 + min(quantileStep, baselineRise*max(0, elapsed)))
}

// learn books the time of an answer: the wait for its first byte, and all that the attempt took.
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
