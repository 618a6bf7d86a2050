package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"junctionring/internal/lab"
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
	Saw    int // gateways that ran the new version, by the judge's record
	Thrown int
	Stands string // what is wrong in the end; empty: nothing
}

// Release plays one release under load, with so many faults at random meanwhile.
func (r *Rig) Release(ctx context.Context, id, version string, faults int) (out Outcome, err error) {
	loadCtx, enough := context.WithCancel(ctx)
	defer enough()
	begun := time.Now()
	samples := make(chan []lab.Sample, 1)
	go func() {
		s, _ := r.Offer(loadCtx, r.o.Rate, 20*time.Minute)
		samples <- s
	}()
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
	// What faults broke is mended by now: the fleet comes to rest.
	err = r.Await(ctx, 2*time.Minute, "every unit serves again, with no permit out", func(f *rollout.Fleet) bool {
		for _, g := range r.gateways {
			if u := f.Budget.Units[g.id]; u == nil || !u.Up || !u.Warm {
				return false
			}
		}
		return len(f.Budget.Permits) == 0
	})
	if err != nil {
		out.Stands = err.Error()
	}
	ended := time.Now()
	enough()
	s := <-samples
	// Requests that were under way when the load ended have no answer, and prove nothing.
	s = slices.DeleteFunc(s, func(x lab.Sample) bool { return x.Status == 0 && begun.Add(x.At+x.Took).After(ended) })
	out.Verdict = r.Verdict(s, begun)
	out.Stage, out.Why = p.Stage, p.Why
	out.Saw = r.Judge.saw(version)
	want := map[rollout.Stage]string{rollout.Done: version}[p.Stage]
	var wrong []string
	f, err := r.View(ctx)
	if err != nil {
		return out, err
	}
	for _, g := range r.gateways {
		due := want
		if due == "" {
			due = p.From[g.id]
		}
		if now := r.Judge.pids(g.id); len(now) != 1 || now[0].version != due {
			wrong = append(wrong, fmt.Sprintf("%s runs %v, %s is due (the log says %s)", g.id, now, due, f.Budget.Units[g.id].Version))
		}
	}
	if len(wrong) > 0 {
		out.Stands = strings.TrimSpace(out.Stands + " " + strings.Join(wrong, "; "))
	}
	return out, nil
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
		all = append(all, fmt.Sprintf("%d requests lost at gateways that no fault had struck, the first %s", len(o.Lost), o.Lost[0]))
	}
	if len(o.Twice) > 0 {
		all = append(all, fmt.Sprintf("%d moves ran twice, the first %s", len(o.Twice), o.Twice[0]))
	}
	return all
}
