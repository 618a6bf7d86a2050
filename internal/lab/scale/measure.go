package scale

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"junctionring/internal/lab/proc"
)

// Phase is a time of a run.
type Phase string

// The phases.
const (
	Start  Phase = "start"  // from the first gateway's start until all know everything
	Steady Phase = "steady" // at rest after that
)

// Leader is the coordinator that used most processor time: the one that leads.
const Leader Kind = "leader"

// Row is what the processes of one role have used in one phase of a run. Its fields are the columns of the raw data.
type Row struct {
	Scenario  string  `parquet:"scenario,dict"`
	Build     string  `parquet:"build,dict"`
	Vary      string  `parquet:"vary,dict"`
	Value     int     `parquet:"value"`
	HeldOut   bool    `parquet:"held_out"`
	Role      Kind    `parquet:"role,dict"`
	Phase     Phase   `parquet:"phase,dict"`
	Processes int     `parquet:"processes"`
	Seconds   float64 `parquet:"seconds"`
	CPU       float64 `parquet:"cpu_s"`
	Bytes     float64 `parquet:"bytes"`       // read and written
	Resident  float64 `parquet:"resident"`    // bytes, at the end of the phase
	Heap      float64 `parquet:"heap"`        // live bytes, of hollow gateways
	Messages  float64 `parquet:"messages"`    // of hollow gateways
	Failures  float64 `parquet:"failures"`    // calls of hollow gateways, and looks of a warden
	DelayP50  float64 `parquet:"delay_p50_s"` // from a version's push until it was in force
	DelayP99  float64 `parquet:"delay_p99_s"`
	DelayMax  float64 `parquet:"delay_max_s"`
	Disorder  float64 `parquet:"disorder"`
	Size      `parquet:"size"`
}

// snapshot is what all processes have used by one moment.
type snapshot struct {
	at      time.Time
	used    map[*process]usage
	reports map[Kind]Report
	delays  []float64 // since the snapshot before
}

// take takes a snapshot. The reports come last: they cost the processes something.
func (f *fleet) take(ctx context.Context) (s snapshot, err error) {
	s = snapshot{at: time.Now(), used: map[*process]usage{}, reports: map[Kind]Report{}}
	for _, p := range f.all {
		s.used[p] = p.usage()
	}
	for _, p := range f.all {
		r, err := f.ask(ctx, p, commandCollect)
		if err != nil {
			return s, err
		}
		s.reports[p.kind] = joined(s.reports[p.kind], r)
	}
	s.delays, f.delays = f.delays, nil
	return s, nil
}

// ask asks a process for its report, and keeps the delays that it tells.
func (f *fleet) ask(ctx context.Context, p *process, command string) (Report, error) {
	r, err := p.tell(ctx, command)
	f.delays = append(f.delays, r.Delays...)
	return r, err
}

func joined(a, b Report) Report {
	lowest := min(a.Lowest, b.Lowest)
	if a.Lowest == 0 {
		lowest = b.Lowest
	}
	return Report{Knowing: a.Knowing + b.Knowing, Messages: a.Messages + b.Messages, Failures: a.Failures + b.Failures, Disorder: a.Disorder + b.Disorder,
		Lowest: lowest, Highest: max(a.Highest, b.Highest), Heap: a.Heap + b.Heap}
}

// measure has the gateways begin, and measures until they know everything, and then for the scenario's window.
func (f *fleet) measure(ctx context.Context, value int) (rows []Row, err error) {
	before, err := f.take(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.watchers(ctx); err != nil {
		return nil, err
	}
	if err := f.tellGateways(ctx, commandGo); err != nil {
		return nil, err
	}
	if err := f.awaitKnowing(ctx); err != nil {
		return nil, err
	}
	known, err := f.take(ctx)
	if err != nil {
		return nil, err
	}
	proc.Wait(ctx, f.s.Settle.Duration)
	settled, err := f.take(ctx)
	if err != nil {
		return nil, err
	}
	settled = f.usedNow(settled) // without what the reports have cost
	proc.Wait(ctx, f.s.Window.Duration)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	end, err := f.take(ctx)
	if err != nil {
		return nil, err
	}
	rows = append(f.rows(value, Start, before, known), f.rows(value, Steady, settled, end)...)
	return rows, nil
}

// usedNow is a snapshot with what the processes have used by now.
func (f *fleet) usedNow(s snapshot) snapshot {
	s.at = time.Now()
	for _, p := range f.all {
		s.used[p] = p.usage()
	}
	return s
}

// tellGateways tells all processes of hollow gateways at once.
func (f *fleet) tellGateways(ctx context.Context, command string) error {
	failed := make(chan error, len(f.all))
	told := 0
	for _, p := range f.all {
		if p.kind != KindGateways {
			continue
		}
		told++
		go func() {
			_, err := p.tell(ctx, command)
			failed <- err
		}()
	}
	var first error
	for range told {
		first = cmp.Or(first, <-failed)
	}
	return first
}

// awaitKnowing waits until every hollow gateway has heard from all its parts.
func (f *fleet) awaitKnowing(ctx context.Context) error {
	if !f.hollow() {
		return nil
	}
	return f.await(ctx, func(r Report) bool { return true })
}

// await waits until every hollow gateway has heard from all its parts, and the report of all is as it should be.
func (f *fleet) await(ctx context.Context, so func(Report) bool) error {
	for {
		var all Report
		for _, p := range f.all {
			if p.kind != KindGateways {
				continue
			}
			r, err := f.ask(ctx, p, commandReport)
			if err != nil {
				return err
			}
			all = joined(all, r)
		}
		if all.Knowing == f.size.Gateways && so(all) {
			return nil
		}
		if proc.Wait(ctx, lookEvery); ctx.Err() != nil {
			return fmt.Errorf("%d of %d gateways know everything, versions from %d to %d: %w", all.Knowing, f.size.Gateways, all.Lowest, all.Highest, context.Cause(ctx))
		}
	}
}

// rows are what each role has used between two snapshots.
func (f *fleet) rows(value int, phase Phase, from, to snapshot) (rows []Row) {
	sums, counts := map[Kind]usage{}, map[Kind]int{}
	var leader usage
	for _, p := range f.all {
		used := to.used[p].less(from.used[p])
		sums[p.kind] = sums[p.kind].plus(used)
		counts[p.kind]++
		if p.kind == KindCoordinator && used.CPU >= leader.CPU {
			leader = used
		}
	}
	if counts[KindCoordinator] > 0 {
		sums[Leader], counts[Leader] = leader, 1
	}
	for kind, used := range sums {
		was, is := from.reports[kind], to.reports[kind]
		row := Row{Scenario: f.s.Name, Build: f.o.Build, Vary: f.s.Vary, Value: value, HeldOut: slices.Contains(f.s.HeldOut, value), Role: kind, Phase: phase,
			Processes: counts[kind], Seconds: to.at.Sub(from.at).Seconds(), CPU: used.CPU.Seconds(), Bytes: float64(used.Bytes), Resident: float64(used.Resident),
			Heap: float64(is.Heap), Messages: float64(is.Messages - was.Messages), Failures: float64(is.Failures - was.Failures),
			Disorder: float64(is.Disorder), Size: f.size}
		row.DelayP50, row.DelayP99, row.DelayMax = quantiles(f.delaysOf(kind, to))
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Role, b.Role) })
	return rows
}

func (f *fleet) delaysOf(kind Kind, s snapshot) []float64 {
	if kind != KindGateways {
		return nil
	}
	return s.delays
}

func quantiles(all []float64) (p50, p99, most float64) {
	if len(all) == 0 {
		return 0, 0, 0
	}
	slices.Sort(all)
	at := func(q float64) float64 { return all[min(len(all)-1, int(q*float64(len(all))))] }
	return at(0.5), at(0.99), all[len(all)-1]
}

// awaitReady waits until an address answers that it is ready.
func awaitReady(ctx context.Context, p *process, url string) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	late := time.Now().Add(startWait)
	for {
		a, err := client.Get(url)
		if err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !p.Running() || time.Now().After(late) {
			return fmt.Errorf("%s is not ready: %v; its log: %s", p.Name, err, p.logPath)
		}
		if proc.Wait(ctx, lookEvery); ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}
