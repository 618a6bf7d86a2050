package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// Report is what is kept of a run.
type Report struct {
	Seed     uint64
	Length   time.Duration
	Requests int
	Served   int
	Lateness time.Duration // of the stand-ins' own timers, at most: it widens every limit
	Struck   map[FaultKind]int
	Breaks   []Break
}

// Report sums a run up.
func (r Result) Report() Report {
	report := Report{Seed: r.Plan.Seed, Length: r.Plan.Length, Requests: r.Requests(), Lateness: r.Record.lateness,
		Struck: r.Record.Struck(), Breaks: r.Breaks}
	for _, s := range r.Record.Requests() {
		if s.Status == 200 {
			report.Served++
		}
	}
	return report
}

// Write writes the report as JSON.
func (r Report) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadReport reads a report that Write wrote.
func ReadReport(path string) (r Report, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Story tells of each broken rule, with all that is known of its request, and the faults of the run.
func (r Result) Story() string {
	const most = 5 // breaks that are told at length
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d broke rules %d times\n", r.Plan.Seed, len(r.Breaks))
	for i, broken := range r.Breaks {
		if fmt.Fprintln(&b, broken); i < most && broken.ID != "" {
			fmt.Fprintln(&b, Story(r.Record, broken.ID, r.Start))
		}
	}
	for _, l := range r.Record.lives {
		fmt.Fprintf(&b, "gateway %d: started %.3f s, ready %.3f, told to end %.3f, ended %.3f\n", l.Gateway, since(r.Start, l.Started),
			since(r.Start, l.Ready), since(r.Start, l.Terminated), since(r.Start, l.Ended))
	}
	for _, f := range r.Plan.Faults {
		fmt.Fprintln(&b, f)
	}
	return b.String()
}

func since(start, at time.Time) float64 {
	if at.IsZero() {
		return 0
	}
	return at.Sub(start).Seconds()
}

// Summary adds reports up.
type Summary struct {
	seeds, requests, served int
	lateness                time.Duration
	struck                  map[FaultKind]int
	breaks                  map[Rule]int
	broken                  []uint64 // seeds
}

// NewSummary makes an empty summary.
func NewSummary() *Summary {
	return &Summary{struck: map[FaultKind]int{}, breaks: map[Rule]int{}}
}

// Add adds a report.
func (s *Summary) Add(r Report) {
	s.seeds++
	s.requests += r.Requests
	s.served += r.Served
	s.lateness = max(s.lateness, r.Lateness)
	for k, n := range r.Struck {
		s.struck[k] += n
	}
	for _, b := range r.Breaks {
		s.breaks[b.Rule]++
	}
	if len(r.Breaks) > 0 {
		s.broken = append(s.broken, r.Seed)
	}
}

// Broken counts the seeds that broke a rule.
func (s *Summary) Broken() int { return len(s.broken) }

func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d seeds, %d requests, %d served; the stand-ins' own timers were late by %v at most\n", s.seeds, s.requests, s.served, s.lateness)
	for _, k := range slices.Sorted(maps.Keys(s.struck)) {
		fmt.Fprintf(&b, "  fault %-18s %d\n", k, s.struck[k])
	}
	for _, rule := range Rules {
		fmt.Fprintf(&b, "  rule %-19s %d breaks\n", rule, s.breaks[rule])
	}
	fmt.Fprintln(&b, "seeds that broke a rule:", s.broken)
	return b.String()
}

// Shrink drops the faults of a plan one at a time, as long as it still breaks a rule without them.
func Shrink(p Plan, breaks func(Plan) bool) Plan {
	for i := len(p.Faults) - 1; i >= 0; i-- {
		smaller := p
		smaller.Faults = slices.Delete(slices.Clone(p.Faults), i, i+1)
		if breaks(smaller) {
			p = smaller
		}
	}
	return p
}
