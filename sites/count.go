package sites

import (
	"fmt"
	"strings"
)

const summaryInterval = 10.0 // s between summary lines in the log, where any attempts crossed or tries were refused

// Counts holds the attempts that crossed and the tries that could not, since the start. Sites and classes have the
// indexes of the settings.
type Counts struct {
	Crossed  [][][crossReasons]uint64 // attempts sent over a link, by site, class and CrossReason
	Refused  [][denyReasons]uint64    // tries refused because no server could take them, by class and DenyReason
	Answered []uint64                 // attempts over a link that were answered, by site
}

func newCounts(sites, classes int) Counts {
	c := Counts{Crossed: make([][][crossReasons]uint64, sites), Refused: make([][denyReasons]uint64, classes),
		Answered: make([]uint64, sites)}
	for i := range c.Crossed {
		c.Crossed[i] = make([][crossReasons]uint64, classes)
	}
	return c
}

// Report is the state of the sites for operators. Times are in milliseconds.
type Report struct {
	Own     string          `json:"own"`
	Sites   []SiteReport    `json:"sites"`
	Refused []RefusalReport `json:"refused,omitempty"`
}

// SiteReport is the state of a site and the traffic sent to it.
type SiteReport struct {
	Name     string           `json:"name"`
	Ready    int              `json:"ready"`
	Draining int              `json:"draining"`
	LeftOut  int              `json:"left_out"`
	Weight   float64          `json:"weight"` // ready servers, each counted by its capacity share
	Out      int              `json:"out"`    // attempts in flight
	Window   float64          `json:"window"` // limit of attempts in flight; -1: none
	Late     float64          `json:"late"`   // average share of late answers
	Link     string           `json:"link,omitempty"`
	RTT      float64          `json:"rtt_ms,omitempty"`
	Crossed  []CrossingReport `json:"crossed,omitempty"`
	Answered uint64           `json:"answered,omitempty"`
}

// CrossingReport counts the attempts of a class that crossed for one reason.
type CrossingReport struct {
	Class int    `json:"class"`
	Cause string `json:"cause"`
	Count uint64 `json:"count"`
}

// RefusalReport counts the tries of a class that were refused because no server could take them.
type RefusalReport struct {
	Class int    `json:"class"`
	Why   string `json:"why"`
	Count uint64 `json:"count"`
}

// Report returns the state of all sites.
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

// Crossings returns the total number of attempts sent over links.
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

// logSummary logs one line about the attempts that crossed and the tries that were refused since the last summary.
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
