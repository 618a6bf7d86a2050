package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"junctionring/internal/lab"
	"junctionring/internal/lab/proc"
	"junctionring/rollout"
)

// Settings fit the lab's loads: each gateway gets a few requests a second.
func Settings(perGateway float64) rollout.Settings {
	s := rollout.Settings{Canary: 1, Growth: 3, Pause: 2 * time.Second, Patience: 90 * time.Second, Limits: rollout.DefaultLimits, GoBack: true}
	s.Limits.Enough = uint64(max(10, min(40, perGateway*5)))
	return s
}

// Outcome is what a play of one release came to.
type Outcome struct {
	Verdict
	Stage  rollout.Stage
	Why    string
	Took   time.Duration
	Span   time.Duration // of the load
	Chain  time.Duration // the shortest time that the budget permits
	One    time.Duration // that one gateway is out
	Saw    int           // gateways that ran the new version, by the judge's record
	Thrown int
	Stands string // what is wrong in the end; empty: nothing
}

// Release plays one release under load, with so many faults at random meanwhile.
func (r *Rig) Release(ctx context.Context, id, version string, faults int) (out Outcome, err error) {
	load := r.startLoad(ctx)
	defer load.cancel()
	select {
	case <-time.After(3 * time.Second):
	case <-ctx.Done():
		return out, ctx.Err()
	}
	faultCtx, calm := context.WithCancel(ctx)
	thrown := make(chan error, 1)
	go func() {
		n, err := r.Throw(faultCtx, faults, 8*time.Second)
		out.Thrown = n
		thrown <- err
	}()
	if err := r.begin(ctx, id, version, Settings(r.o.Rate/float64(len(r.gateways)))); err != nil {
		calm()
		return out, err
	}
	r.say("release %s to %s begins", id, version)
	started := time.Now()
	p, err := r.over(ctx, id, 10*time.Minute)
	out.Took = time.Since(started)
	calm()
	if e := <-thrown; e != nil && err == nil {
		err = e
	}
	if err != nil {
		return out, err
	}
	r.say("release %s is %s: %s", id, p.Stage, p.Why)
	if err := r.rests(ctx, 2*time.Minute); err != nil {
		out.Stands = err.Error()
	}
	ended := time.Now()
	s, begun := load.end(ended)
	out.Span = ended.Sub(begun)
	if version == "crashes" { // what it held is lost with it, and who runs it is what the check limits
		r.Judge.excuse(version, begun)
	}
	out.Verdict = r.Verdict(s, begun)
	out.Stage, out.Why = p.Stage, p.Why
	out.Saw = r.Judge.saw(version)
	f, err := r.View(ctx)
	if err != nil {
		return out, err
	}
	out.One = One(f)
	out.Chain = r.Chain(p.Waves, out.One, p.Settings)
	wrong := r.stands(ctx, func(id string) string {
		if p.Stage == rollout.Done {
			return version
		}
		return p.From[id]
	})
	out.Stands = strings.TrimSpace(out.Stands + " " + wrong)
	return out, nil
}

// rests waits until what faults broke is mended: every gateway serves, and nobody is out under a permit.
func (r *Rig) rests(ctx context.Context, within time.Duration) error {
	return r.Await(ctx, within, "every unit serves again, with no permit out", func(f *rollout.Fleet) bool {
		for _, g := range r.gateways {
			if u := f.Budget.Units[g.id]; u == nil || !u.Up || !u.Warm {
				return false
			}
		}
		return len(f.Budget.Permits) == 0
	})
}

// stands says which gateways do not run what they should, by the kernel's word; empty: all do.
func (r *Rig) stands(ctx context.Context, due func(id string) string) string {
	var wrong []string
	r.eventually(ctx, 3*time.Second, func() bool { // the judge looks ten times a second
		wrong = nil
		for _, g := range r.gateways {
			if now := r.Judge.pids(g.id); len(now) != 1 || now[0].version != due(g.id) {
				wrong = append(wrong, fmt.Sprintf("%s runs %v, %s is due", g.id, now, due(g.id)))
			}
		}
		return len(wrong) == 0
	})
	return strings.Join(wrong, "; ")
}

// longestLoad is how long a play's load goes on at the most.
const longestLoad = 20 * time.Minute

// runningLoad is a load that goes on until it is ended.
type runningLoad struct {
	cancel  context.CancelFunc
	offered chan Offered
}

func (r *Rig) startLoad(ctx context.Context) runningLoad {
	ctx, cancel := context.WithCancel(ctx)
	l := runningLoad{cancel, make(chan Offered, 1)}
	go func() {
		o, _ := r.Offer(ctx, r.o.Rate, longestLoad)
		l.offered <- o
	}()
	return l
}

// end ends the load now. It returns the requests that were not under way any more, and when the load began.
func (l runningLoad) end(now time.Time) ([]lab.Sample, time.Time) {
	l.cancel()
	return answered(<-l.offered, now)
}

// answered leaves out the requests that were under way when the load ended: they have no answer, and prove nothing.
func answered(o Offered, ended time.Time) ([]lab.Sample, time.Time) {
	return slices.DeleteFunc(o.Samples, func(x lab.Sample) bool { return x.Status == 0 && o.Begun.Add(x.At+x.Took).After(ended) }), o.Begun
}

// Broken lists what a release broke, of what has to hold whatever fails.
func (r *Rig) Broken(o Outcome) (all []string) {
	if o.Verdict.Most > r.o.Most {
		all = append(all, fmt.Sprintf("%d gateways out at once through planned work, %d may be", o.Verdict.Most, r.o.Most))
	}
	all = append(all, o.Unfit...)
	if o.Stands != "" {
		all = append(all, o.Stands)
	}
	if len(o.Lost) > 0 {
		all = append(all, fmt.Sprintf("%d requests lost at gateways that no fault had struck, within %.2f s: %s", len(o.Lost), o.Span.Seconds(), strings.Join(o.Lost[:min(8, len(o.Lost))], "; ")))
	}
	if len(o.Twice) > 0 {
		all = append(all, fmt.Sprintf("%d moves ran twice, the first %s", len(o.Twice), o.Twice[0]))
	}
	return all
}

// Gone plays a release in whose middle all coordinators are gone for a time, with permits out. It tells how many units
// were changed meanwhile by the judge's record, and how many were being changed when they went.
func (r *Rig) Gone(ctx context.Context, d time.Duration) (o Outcome, held, during int, err error) {
	went := make(chan error, 1)
	go func() {
		r.eventually(ctx, 3*time.Minute, func() bool {
			f, err := r.View(ctx)
			if err != nil {
				return false
			}
			held = 0
			for _, p := range f.Budget.Permits {
				if p.Left && !p.Returned {
					held++
				}
			}
			return held >= min(5, r.o.Most)
		})
		before := r.Judge.saw("2")
		struck, err := r.withoutCoordinators(ctx, d)
		during = r.Judge.saw("2") - before
		r.met("all coordinators gone", struck)
		went <- err
	}()
	o, err = r.Release(ctx, "release", "2", 0)
	if e := <-went; err == nil {
		err = e
	}
	return o, held, during, err
}

// Calm offers the load without any release, for as long as one took.
func (r *Rig) Calm(ctx context.Context, d time.Duration) (Verdict, error) {
	s, err := r.Offer(ctx, r.o.Rate, d)
	return r.Verdict(s.Samples, s.Begun), err
}

// Chain is the shortest time that a release may take under the budget: in each wave, so many one after the other as
// the budget permits at once, each for as long as one takes alone, and after each wave the pause, or as long as the
// changed gateways take to get enough requests of the rarest class to be judged by.
func (r *Rig) Chain(waves [][]string, one time.Duration, s rollout.Settings) (d time.Duration) {
	rarest := 1.0
	for _, c := range lab.Classes {
		rarest = min(rarest, c.Share)
	}
	changed := 0
	for _, w := range waves {
		changed += len(w)
		rate := r.o.Rate / float64(len(r.gateways)) * float64(changed) * rarest
		judged := time.Duration(float64(s.Limits.Enough) / rate * float64(time.Second))
		d += time.Duration((len(w)+r.o.Most-1)/r.o.Most)*one + max(s.Pause, judged)
	}
	return d
}

// One is how long one gateway is out for a release, from its leave until it is back, by the notes of the fleet's log: the
// middle one of those that were.
func One(f *rollout.Fleet) time.Duration {
	left, all := map[string]int64{}, []int64{}
	for _, n := range f.Notes {
		if strings.HasPrefix(n.What, "leaves for") {
			left[n.By] = n.At
		} else if at, ok := left[n.By]; ok && strings.HasPrefix(n.What, "is back") {
			all = append(all, n.At-at)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return time.Duration(all[len(all)/2]) * time.Millisecond
}

// Cost is what the coordinators spent.
type Cost struct {
	CPU     time.Duration
	Bytes   int64  // read and written, sockets and disk
	Entries uint64 // of the log
}

// Cost is what the coordinators have spent so far.
func (r *Rig) Cost(ctx context.Context) (c Cost) {
	for i, p := range r.nodes {
		cpu, bytes := proc.Spent(p.Cmd.Process.Pid)
		c.CPU, c.Bytes = c.CPU+cpu, c.Bytes+bytes
		if s, err := r.status(ctx, i); err == nil {
			c.Entries = max(c.Entries, s.Applied)
		}
	}
	return c
}

// Less is what was spent since an earlier look.
func (c Cost) Less(was Cost) Cost {
	return Cost{c.CPU - was.CPU, c.Bytes - was.Bytes, c.Entries - was.Entries}
}

// DrainOutcome is what taking a zone of table servers out came to.
type DrainOutcome struct {
	Before, During lab.Summary
	Late           int           // requests that reached a server later than 1 s after its registry was told
	Quiet          time.Duration // from the command until the fleet says that nothing is under way there
	StillHeld      int           // requests that ended there after that, by the servers' record
	Out            int           // servers out at once, at the most
	Refused        string        // why a second zone may not leave meanwhile
	Back           time.Duration // from the restore until all serve again
	Lost           []string
}

// Drain takes a zone of table servers out under load, and back again.
func (r *Rig) Drain(ctx context.Context, span time.Duration) (o DrainOutcome, err error) {
	load := r.startLoad(ctx)
	defer load.cancel()
	proc.Wait(ctx, span)
	asked := time.Now()
	if err := r.change(ctx, rollout.Command{Op: rollout.Drain, Change: "hall-0", Units: r.zone(0), Life: time.Hour}); err != nil {
		return o, err
	}
	if err := r.Await(ctx, 30*time.Second, "the drain is quiet", func(f *rollout.Fleet) bool { return f.Drains["hall-0"].Quiet }); err != nil {
		return o, err
	}
	quiet := time.Now()
	o.Quiet = quiet.Sub(asked)
	if err := r.change(ctx, rollout.Command{Op: rollout.Drain, Change: "hall-1", Units: r.zone(1), Life: time.Hour}); err != nil {
		return o, err
	}
	proc.Wait(ctx, span)
	f, err := r.View(ctx)
	if err != nil {
		return o, err
	}
	for i := range r.tables {
		if p := f.Budget.Permits[fmt.Sprintf("t%d", i)]; p != nil && p.Left {
			o.Out++
		}
	}
	if no := f.Budget.CheckLeave("t1"); no != nil {
		o.Refused = no.Error()
	}
	if err := r.change(ctx, rollout.Command{Op: rollout.Restore, Change: "hall-1"}); err != nil {
		return o, err
	}
	drained := time.Now()
	if err := r.change(ctx, rollout.Command{Op: rollout.Restore, Change: "hall-0"}); err != nil {
		return o, err
	}
	if err := r.Await(ctx, 30*time.Second, "the zone serves again", func(f *rollout.Fleet) bool { return len(f.Drains) == 0 }); err != nil {
		return o, err
	}
	o.Back = time.Since(drained)
	proc.Wait(ctx, 2*time.Second)
	s, begun := load.end(time.Now())
	o.Before = lab.Summarise(lab.Between(s, time.Second, asked.Sub(begun)), "")
	o.During = lab.Summarise(lab.Between(s, asked.Sub(begun), drained.Sub(begun)), "")
	o.Lost = r.Verdict(s, begun).Lost
	o.Late, o.StillHeld = r.reachedDraining(quiet, drained)
	return o, nil
}

// zone is the table servers of a zone.
func (r *Rig) zone(n int) (units []string) {
	for i := range r.tables {
		if i%zones == n {
			units = append(units, fmt.Sprintf("t%d", i))
		}
	}
	return units
}

// reachedDraining counts, by the servers' record, the requests that reached a server later than 1 s after its registry
// was told that it drains, until the drain ended, and those that were at such a server when the fleet said that nothing
// was under way there.
func (r *Rig) reachedDraining(quiet, drained time.Time) (late, stillHeld int) {
	told := map[string]time.Time{}
	for _, t := range r.registry.Told() {
		if t.Lifecycle == "DRAINING" {
			told[t.ID] = t.At
		}
	}
	for _, a := range r.Record.All() {
		at, ok := told[a.Server]
		if !ok {
			continue
		}
		if a.At.After(at.Add(time.Second)) && a.At.Before(drained) {
			late++
		}
		if a.At.Before(quiet) && (a.Ended.IsZero() || a.Ended.After(quiet)) {
			stillHeld++
		}
	}
	return late, stillHeld
}
