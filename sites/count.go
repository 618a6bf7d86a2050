package sites

import (
	"fmt"
	"strings"
)

const summaryInterval = 10.0 // s between lines for the operators, where something crossed or could not

// Counts is what crossed and what could not, since the start. The indexes are those of the settings.
type Counts struct {
	Crossed  [][][crossReasons]uint64 // attempts sent over a link, by site and class
	Refused  [][denyReasons]uint64    // tries refused for want of servers, by class and why they could not cross
	Answered []uint64                 // attempts over a link that brought an answer, by site
}

func newCounts(sites, classes int) Counts {
	c := Counts{Crossed: make([][][crossReasons]uint64, sites), Refused: make([][denyReasons]uint64, classes), Answered: make([]uint64, sites)}
	for i := range c.Crossed {
		c.Crossed[i] = make([][crossReasons]uint64, classes)
	}
	return c
}

// Report is what an operator reads of the sites; times are in milliseconds.
type Report struct {
	Own     string          `json:"own"`
	Sites   []SiteReport    `json:"sites"`
	Refused []RefusalReport `json:"refused,omitempty"`
}

// SiteReport is a site's state and what went there.
type SiteReport struct {
	Name     string           `json:"name"`
	Ready    int              `json:"ready"`
	Draining int              `json:"draining"`
	LeftOut  int              `json:"left_out"`
	Weight   float64          `json:"weight"` // ready servers by their warmth
	Out      int              `json:"out"`    // attempts out now
	Window   float64          `json:"window"` // that may be out; -1: not bounded
	Late     float64          `json:"late"`   // share of answers too late for the window
	Link     string           `json:"link,omitempty"`
	RTT      float64          `json:"rtt_ms,omitempty"`
	Crossed  []CrossingReport `json:"crossed,omitempty"`
	Answered uint64           `json:"answered,omitempty"`
}

// CrossingReport counts attempts over a link.
type CrossingReport struct {
	Class int    `json:"class"`
	Cause string `json:"cause"`
	Count uint64 `json:"count"`
}

// RefusalReport counts tries that were refused for want of servers.
type RefusalReport struct {
	Class int    `json:"class"`
	Why   string `json:"why"`
	Count uint64 `json:"count"`
}

// Report tells the state of all sites.
func (r *Router) Report() Report {
	report := Report{Own: r.sites[r.settings.Own].Name}
	for i := range r.sites {
		st := &r.sites[i]
		s := SiteReport{Name: st.Name, Ready: st.ready, Draining: st.draining, Weight: st.weight,
			LeftOut: len(st.servers) - st.ready - st.draining, Out: st.attempts.count, Window: st.window.limit,
			Late: st.window.late, Answered: r.counts.Answered[i]}
		if s.Window > 1e9 {
			s.Window = -1
		}
		if i != r.settings.Own {
			s.Link, s.RTT = "up", st.link.rtt*1000
			if st.link.down {
				s.Link = "down"
			}
		}
		for class, counts := range r.counts.Crossed[i] {
			for reason, n := range counts {
				if n > 0 {
					s.Crossed = append(s.Crossed, CrossingReport{class, CrossReason(reason).String(), n})
				}
			}
		}
		report.Sites = append(report.Sites, s)
	}
	for class, by := range r.counts.Refused {
		for reason, n := range by {
			if n > 0 {
				report.Refused = append(report.Refused, RefusalReport{class, DenyReason(reason).String(), n})
			}
		}
	}
	return report
}

// Crossings is how many attempts went over links, in all.
func (r *Router) Crossings() (n uint64) {
	for _, site := range r.counts.Crossed {
		for _, class := range site {
			for _, c := range class {
				n += c
			}
		}
	}
	return n
}

// summary leaves a line of what crossed since the last one, and what was refused because it could not.
func (r *Router) logSummary() {
	if r.now-r.summaryAt < summaryInterval {
		return
	}
	r.summaryAt = r.now
	if r.lastCounts.Crossed == nil {
		r.lastCounts = newCounts(len(r.sites), len(r.settings.Classes))
	}
	var b strings.Builder
	for i := range r.counts.Crossed {
		for class := range r.counts.Crossed[i] {
			for reason, n := range r.counts.Crossed[i][class] {
				if previous := r.lastCounts.Crossed[i][class][reason]; n > previous {
					fmt.Fprintf(&b, " %d of class %d to %s (%v)", n-previous, class, r.sites[i].Name, CrossReason(reason))
				}
			}
			r.lastCounts.Crossed[i][class] = r.counts.Crossed[i][class]
		}
	}
	for class := range r.counts.Refused {
		for reason, n := range r.counts.Refused[class] {
			if before := r.lastCounts.Refused[class][reason]; n > before {
				fmt.Fprintf(&b, " %d of class %d refused (%v)", n-before, class, DenyReason(reason))
			}
		}
		r.lastCounts.Refused[class] = r.counts.Refused[class]
	}
	if b.Len() > 0 {
		r.logf("crossed:%s", b.String())
	}
}
