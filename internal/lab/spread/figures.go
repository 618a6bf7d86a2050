// Package spread measures how evenly a fleet of real gateways spreads a load over table servers, by the servers' own
// record: evenness in windows of time beside what chance and a perfect spread would give at the same counts, herds,
// servers without work, connections, and requests refused while a server stood idle.
package spread

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"junctionring/internal/lab"
	"junctionring/internal/standin"
)

// Server is one table server of a play.
type Server struct {
	ID       string
	Capacity float64   // requests a second, once warm
	From     time.Time // it is listed and usable from then on
	To       time.Time // until then; zero: to the end
}

// Even is how evenly a load lay in windows of one length.
type Even struct {
	Window  time.Duration
	CV      float64 // coefficient of variation of load over capacity, over servers; the mean over windows
	Chance  float64 // the same, were each request sent to a server at random in proportion to capacity
	Perfect float64 // the same, were each sent where load over capacity is lowest
	Highest float64 // load over capacity at the highest server, over the mean: the mean over windows
	Lowest  float64
	Windows int
}

// Figures are what a play comes to.
type Figures struct {
	Asked, InTime, Refused, Failed, Unanswered int
	P50, P99                                   time.Duration
	Even                                       []Even
	Herds                                      []Herd
	Idle                                       int           // server-seconds without work, beyond 2 s at a stretch
	LongestIdle                                time.Duration // of any server while it was usable
	RefusedWithRoom                            int           // requests refused while a server had nothing under way
	Opened                                     int           // connections to servers
	Open                                       []int         // at the end, by server
	HighestOpen                                float64       // over the mean for its capacity
	Fallen                                     []string      // cold servers that were sent too much
}

// Herd is more arrivals at one server within herdWindow than chance allows once in a million.
type Herd struct {
	At     time.Time
	Server string
	Came   int
	Mean   float64
}

const (
	herdWindow = 100 * time.Millisecond
	herdChance = 1e-6
	idleFor    = 2 * time.Second
	rateOver   = 2 * time.Second // over which the rate is taken that chance is reckoned from
	draws      = 20
)

func (s *Server) usable(from, to time.Time) bool {
	return !s.From.After(from) && (s.To.IsZero() || !s.To.Before(to))
}

// Evenness is the evenness over windows of one length, between two times.
func Evenness(servers []Server, arrivals []standin.Arrival, window time.Duration, from, to time.Time, seed uint64) (e Even) {
	e.Window = window
	rng := rand.New(rand.NewPCG(seed, 5))
	next := 0
	for ; next < len(arrivals) && arrivals[next].At.Before(from); next++ {
	}
	for at := from; !at.Add(window).After(to); at = at.Add(window) {
		count := map[string]int{}
		n := 0
		for ; next < len(arrivals) && arrivals[next].At.Before(at.Add(window)); next++ {
			count[arrivals[next].Server]++
		}
		var caps []float64
		var came []int
		for i := range servers {
			if s := &servers[i]; s.usable(at, at.Add(window)) {
				caps, came = append(caps, s.Capacity), append(came, count[s.ID])
				n += count[s.ID]
			}
		}
		if n == 0 || len(caps) < 2 {
			continue
		}
		cv, highest, lowest := variation(caps, came)
		e.CV, e.Highest, e.Lowest = e.CV+cv, e.Highest+highest, e.Lowest+lowest
		cv, _, _ = variation(caps, perfect(caps, n))
		e.Perfect += cv
		chance := 0.0
		for range draws {
			cv, _, _ = variation(caps, random(rng, caps, n))
			chance += cv / draws
		}
		e.Chance += chance
		e.Windows++
	}
	if w := float64(e.Windows); w > 0 {
		e.CV, e.Chance, e.Perfect, e.Highest, e.Lowest = e.CV/w, e.Chance/w, e.Perfect/w, e.Highest/w, e.Lowest/w
	}
	return e
}

// variation is the coefficient of variation of load over capacity, and its extremes over its mean.
func variation(caps []float64, came []int) (cv, highest, lowest float64) {
	sum, square := 0.0, 0.0
	highest, lowest = 0, math.Inf(1)
	for i, c := range caps {
		x := float64(came[i]) / c
		sum, square = sum+x, square+x*x
		highest, lowest = max(highest, x), min(lowest, x)
	}
	n := float64(len(caps))
	mean := sum / n
	return math.Sqrt(max(0, square/n-mean*mean)) / mean, highest / mean, lowest / mean
}

func perfect(caps []float64, n int) []int {
	came := make([]int, len(caps))
	for range n {
		best := 0
		for i := range caps {
			if float64(came[i]+1)/caps[i] < float64(came[best]+1)/caps[best] {
				best = i
			}
		}
		came[best]++
	}
	return came
}

func random(rng *rand.Rand, caps []float64, n int) []int {
	sums := make([]float64, len(caps))
	sum := 0.0
	for i, c := range caps {
		sum += c
		sums[i] = sum
	}
	came := make([]int, len(caps))
	for range n {
		i, _ := slices.BinarySearch(sums, rng.Float64()*sum)
		came[min(i, len(came)-1)]++
	}
	return came
}

// Herds finds the windows in which a server got more than chance allows, at the rate of all arrivals then and its
// share of the capacity.
func Herds(servers []Server, arrivals []standin.Arrival, from, to time.Time) (all []Herd) {
	by := map[string]*Server{}
	for i := range servers {
		by[servers[i].ID] = &servers[i]
	}
	first, last := 0, 0 // arrivals of the span that the rate is taken over
	next := 0
	for ; next < len(arrivals) && arrivals[next].At.Before(from); next++ {
	}
	for at := from; !at.Add(herdWindow).After(to); at = at.Add(herdWindow) {
		for ; first < len(arrivals) && arrivals[first].At.Before(at.Add(-rateOver/2)); first++ {
		}
		for ; last < len(arrivals) && arrivals[last].At.Before(at.Add(rateOver/2)); last++ {
		}
		capacity := 0.0
		for i := range servers {
			if servers[i].usable(at, at.Add(herdWindow)) {
				capacity += servers[i].Capacity
			}
		}
		count := map[string]int{}
		for ; next < len(arrivals) && arrivals[next].At.Before(at.Add(herdWindow)); next++ {
			count[arrivals[next].Server]++
		}
		for id, n := range count {
			s := by[id]
			if s == nil || n < 3 || capacity == 0 {
				continue
			}
			mean := float64(last-first) * herdWindow.Seconds() / rateOver.Seconds() * s.Capacity / capacity
			if 1-(distuv.Poisson{Lambda: mean}).CDF(float64(n-1)) < herdChance {
				all = append(all, Herd{at, id, n, mean})
			}
		}
	}
	slices.SortFunc(all, func(a, b Herd) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server)) })
	return all
}

// span is a time in which a server had work.
type span struct{ from, to time.Time }

// busy are the times in which each server had something under way, joined and in order.
func busy(arrivals []standin.Arrival, end time.Time) map[string][]span {
	all := map[string][]span{}
	for _, a := range arrivals { // in order of their coming
		to := a.Ended
		if to.IsZero() {
			to = end
		}
		s := all[a.Server]
		if n := len(s); n > 0 && !a.At.After(s[n-1].to) {
			if to.After(s[n-1].to) {
				s[n-1].to = to
			}
			continue
		}
		all[a.Server] = append(s, span{a.At, to})
	}
	return all
}

// Idle is how long servers had nothing under way for idleFor or more, in server-seconds beyond that, and the longest.
func Idle(servers []Server, arrivals []standin.Arrival, from, to time.Time) (seconds int, longest time.Duration) {
	spans := busy(arrivals, to)
	sum := time.Duration(0)
	for i := range servers {
		s := &servers[i]
		at, end := from, to
		if s.From.After(at) {
			at = s.From
		}
		if !s.To.IsZero() && s.To.Before(end) {
			end = s.To
		}
		for _, b := range append(spans[s.ID], span{end, end}) {
			gap := b.from
			if gap.After(end) {
				gap = end
			}
			if d := gap.Sub(at); d > 0 {
				longest = max(longest, d)
				sum += max(0, d-idleFor)
			}
			if b.to.After(at) {
				at = b.to
			}
		}
	}
	return int(sum.Seconds()), longest
}

// RefusedWithRoom counts the requests that were refused while some server had nothing under way.
func RefusedWithRoom(servers []Server, arrivals []standin.Arrival, samples []lab.Sample, begun, end time.Time) (n int) {
	spans := busy(arrivals, end)
	for _, s := range samples {
		if s.Status != http.StatusServiceUnavailable {
			continue
		}
		at := begun.Add(s.At + s.Took)
		for i := range servers {
			if !servers[i].usable(at, at) {
				continue
			}
			b := spans[servers[i].ID]
			k, _ := slices.BinarySearchFunc(b, at, func(x span, t time.Time) int { return x.from.Compare(t) })
			if k == 0 || b[k-1].to.Before(at) {
				n++
				break
			}
		}
	}
	return n
}
